//! Links that fail in one direction, as those say who should hear over them.

use crate::view::EdgeView;
use crate::Nanos;
use gaparch_protocol::fleet::Update;
use std::collections::BTreeMap;

/// Edges kept in mind, and said by one member; more are not.
const MOST: usize = 512;
pub(crate) const MOST_OF_ONE: usize = 8;
/// A link that is whole again is news for so long.
const TOLD_AFTER: Nanos = 60_000 * crate::MS;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Edge {
    lost: bool,
    /// The incarnation and beat of who said so: the later word holds.
    said: (u64, u64),
    since: Nanos,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Edges {
    /// By who should hear, and whom.
    all: BTreeMap<(String, String), Edge>,
}

impl Edges {
    /// Takes somebody's word; whether it changes what was known.
    pub fn take(&mut self, from: &str, to: &str, lost: bool, said: (u64, u64), now: Nanos) -> bool {
        let key = (to.to_owned(), from.to_owned());
        // A link that is whole is what all take it for.
        let worth = lost && self.all.len() < MOST && self.of(to) < MOST_OF_ONE;
        match self.all.get_mut(&key) {
            Some(edge) if said <= edge.said => false,
            Some(edge) => {
                let changed = edge.lost != lost;
                edge.said = said;
                if changed {
                    (edge.lost, edge.since) = (lost, now);
                }
                changed
            }
            None if !worth => false,
            None => {
                self.all.insert(key, Edge { lost, said, since: now });
                true
            }
        }
    }

    /// How many a member says it does not hear.
    pub fn of(&self, to: &str) -> usize {
        let first = (to.to_owned(), String::new());
        self.all.range(first..).take_while(|((by, _), _)| by == to).filter(|(_, e)| e.lost).count()
    }

    /// Forgets what was said by or of members that are no more, and links that are whole again and known to be.
    pub fn retain(&mut self, present: impl Fn(&str) -> bool, now: Nanos) {
        let told = |edge: &Edge| !edge.lost && now >= edge.since.saturating_add(TOLD_AFTER);
        self.all.retain(|(to, from), edge| present(to) && present(from) && !told(edge));
    }

    pub fn news(&self, from: &str, to: &str) -> Option<Update> {
        let edge = self.all.get(&(to.to_owned(), from.to_owned()))?;
        Some(Update::Link {
            from: from.to_owned(),
            to: to.to_owned(),
            failed: edge.lost,
            incarnation: edge.said.0,
            heartbeat: edge.said.1,
        })
    }

    pub fn view(&self) -> Vec<EdgeView> {
        let lost = self.all.iter().filter(|(_, edge)| edge.lost);
        lost.map(|((to, from), edge)| EdgeView { from: from.clone(), to: to.clone(), since: edge.since })
            .collect()
    }
}
