//! The list of servers.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    pub(super) fn on_members(&mut self, kind: EndpointUpdate, entries: &[Endpoint]) {
        if kind == EndpointUpdate::Failed {
            return self.out.push(Action::SetTimer { token: ASK_TIMER, delay: RECENTLY });
        }
        self.out.extend(
            (kind == EndpointUpdate::Cached && self.set.poll_endpoints)
                .then_some(Action::WatchEndpoints(true)),
        );
        if kind != EndpointUpdate::Delta {
            self.servers.values_mut().for_each(|s| (s.ready, s.gone) = (false, true));
        }
        let new =
            |e: &Endpoint| self.set.kind(e.kind).map(|(role, memory)| new_server(e.server, role, memory));
        self.servers.insert_missing(entries.iter().filter_map(new));
        for e in entries {
            let Some(s) = self.servers.get_mut(&e.server) else { continue };
            let kind = self.set.kind(e.kind);
            s.ready &= kind.is_some();
            let Some((role, memory)) = kind else { continue };
            (s.role, s.memory) = (role, memory);
            // Nothing new goes to a draining or gone server from now on: rule 3 with its grace unused.
            s.listed(self.now, e, AffinityKey(self.set.seed).unit_interval(e.server));
        }
        self.averages.list(&mut self.servers, WALKED, NEAR);
        // Homes are spread as the writers are that can take the states without a move out of the cell. What a
        // mixed server reads it writes itself.
        let writes = self.averages.writes as usize;
        for s in self.servers.values_mut() {
            let cell = s.cell.filter(|_| s.role == Role::Prefill).and_then(|c| self.averages.cells.get(&c));
            let near = cell.map_or(1.0, |of| of[writes] / of[Role::Prefill as usize].max(1e-9));
            s.home = s.weight * near.clamp(1e-3, HOME_MOST);
        }
        self.averages.news(self.now, 0, NEWS_FOR, &mut self.servers, &mut self.told);
        self.note_untold();
    }
}
