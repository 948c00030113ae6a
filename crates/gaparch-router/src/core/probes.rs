//! Probes of engines and their results.

use super::timers::Timer;
use super::{Core, Output};
use gaparch_protocol::engine::EngineFrame;
use gaparch_scheduler::api::{AttemptStatus, Event, LoadReport, Nanos, ServerId};

impl Core {
    pub(super) fn probe(&mut self, server: ServerId) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&server) else {
            return self.report_probe(server, 0, AttemptStatus::ConnectFailed, None);
        };
        if connection.is_connected() {
            connection.outstanding_probes.insert(nonce, now);
            self.pending_frames.push(Output::Engine { engine: server, frame: EngineFrame::Probe { nonce } });
            self.timers.set(
                now.saturating_add(self.config.attempts.probe_timeout),
                Timer::ProbeTimeout(server, nonce),
            );
        } else {
            self.report_probe(server, 0, AttemptStatus::ConnectFailed, None);
        }
    }

    pub(super) fn report_probe(
        &mut self,
        server: ServerId,
        latency: Nanos,
        status: AttemptStatus,
        report: Option<LoadReport>,
    ) {
        self.scheduler_events.push_back(Event::ProbeFinished { server, status, latency, report });
    }

    pub(super) fn on_probe_finished(&mut self, engine: ServerId, nonce: u64, status: AttemptStatus) {
        let sent = self
            .connections
            .get_mut(&engine)
            .and_then(|connection| connection.outstanding_probes.remove(&nonce));
        if let Some(sent) = sent {
            self.report_probe(engine, self.now.saturating_sub(sent), status, None);
        }
    }
}
