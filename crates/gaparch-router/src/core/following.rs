//! The list, and the engines that it makes the router connect to.

use super::engines::{ConnNo, EngineLink};
use super::request::{Attempt, Live};
use super::roster::ListUpdate;
use super::{Core, Output};
use gaparch_config::Links;
use gaparch_scheduler::api::{AttemptStatus, EndpointUpdate, Event, RequestId, ServerId};
use std::collections::BTreeSet;

impl Core {
    pub(super) fn on_list_up(&mut self, out: &mut Vec<Output>) {
        // Where it must be asked, the module asks.
        if !self.config.module.poll_endpoints {
            out.push(Output::Watch(true));
        }
    }

    pub(super) fn on_list_down(&mut self) {
        if self.config.module.poll_endpoints {
            self.events.push_back(Event::EndpointsChanged {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new().into(),
            });
        }
    }

    pub(super) fn on_list(&mut self, update: ListUpdate, out: &mut Vec<Output>) {
        let told = self.roster.update(update, &self.config, &self.book, self.now, &mut self.counts);
        let Some((kind, entries)) = told else {
            // A change was missed: the whole list tells.
            return out.push(Output::Fetch);
        };
        let changed =
            (kind == EndpointUpdate::Delta).then(|| entries.iter().map(|entry| entry.server).collect());
        self.events.push_back(Event::EndpointsChanged { update: kind, endpoints: entries.into() });
        match changed {
            Some(changed) => self.follow_engines(changed, out),
            None => self.follow_roster(out),
        }
    }

    /// Connects to what is listed anew, and lets go of what is gone.
    pub(super) fn follow_roster(&mut self, out: &mut Vec<Output>) {
        let mut all: BTreeSet<ServerId> = self.engines.keys().copied().collect();
        all.extend(self.roster.engines());
        self.follow_engines(all, out);
    }

    /// The same for those that a change of the list names: of a long list few change at once.
    fn follow_engines(&mut self, engines: BTreeSet<ServerId>, out: &mut Vec<Output>) {
        self.close_sends_that_wait();
        for engine in engines {
            if self.roster.wanted(engine) {
                let link = match self.config.links {
                    Links::Connections => EngineLink::default,
                    Links::Exchanges => EngineLink::listed,
                };
                self.engines.entry(engine).or_insert_with(link);
            }
            self.follow_engine(engine, out);
        }
        if self.config.links == Links::Exchanges {
            // New engines come under new names all day: what is gone must not stay in the books.
            let engines = &self.engines;
            self.roster.forget_gone(|engine| engines.contains_key(&engine));
        }
    }

    /// Sends that wait for a connection are not to go out after the drain.
    fn close_sends_that_wait(&mut self) {
        let roster = &self.roster;
        let waits = |l: &Live| l.attempt.filter(|a| a.waits && !roster.ready(a.server));
        let waiting: Vec<(RequestId, Attempt)> =
            self.live.iter().filter_map(|(id, l)| Some((*id, waits(l)?))).collect();
        for (id, attempt) in waiting {
            self.close(id, attempt, AttemptStatus::ConnectFailed, 0, None);
        }
    }

    fn follow_engine(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some(link) = self.engines.get(&engine) else { return };
        if self.roster.wanted(engine) {
            if link.is_new() {
                self.connect(engine, out);
            }
        } else {
            self.let_go(engine, out);
        }
    }

    /// Something of ours has ended at an engine: if it is not wanted any more, that may have been the last.
    pub(super) fn may_leave(&mut self, engine: ServerId) {
        if !self.roster.wanted(engine) && !self.leaving.contains(&engine) {
            self.leaving.push(engine);
        }
    }

    /// Closes the connection to an engine that is not wanted any more, once nothing of ours runs or waits there: a
    /// state that is still to be fetched would go with it.
    pub(super) fn let_go(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some(link) = self.engines.get(&engine).filter(|_| !self.roster.wanted(engine)) else { return };
        let holds = |l: &Live| l.held_at.contains(&engine);
        if !link.attempts.is_empty() || self.live.values().any(holds) {
            return;
        }
        if let Some(conn) = link.conn().filter(|c| *c != ConnNo::EXCHANGES) {
            out.push(Output::Disconnect { engine, reason: "no longer listed, or set aside" });
            self.on_engine_down(engine, conn, out);
        }
        self.engines.remove(&engine);
    }
}
