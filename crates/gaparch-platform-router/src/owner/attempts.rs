//! Executes the attempts and worker calls that the core requests.

use super::open_request::RunningAttempt;
use super::Owner;
use crate::messages::{AttemptEvent, AttemptUpdate, OwnerMessage};
use crate::timeouts::{connect_timeout, release_attempt_timeout};
use crate::worker::{self, Attempt, Release, ReservationRequest, WorkerProcess};
use gaparch_platform_protocol::worker::Stage;
use gaparch_protocol::engine::{AttemptKey, EngineFrame, Job};
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, RequestId, ServerId};
use gaparch_scheduler::policy::connect::SendRisk;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};

const NANOS_PER_MICRO: u64 = 1000;

impl Owner {
    /// Executes a frame that the core addresses to a worker.
    pub(super) fn dispatch(&mut self, server: ServerId, frame: EngineFrame) {
        match frame {
            EngineFrame::Prefill(job) => self.send(server, &job, Stage::Prefill, SendRisk::TimeOnly),
            EngineFrame::Decode { job, kv_cache: state } => {
                let send_risk = if state.is_some() { SendRisk::HeldKvCache } else { SendRisk::TimeOnly };
                self.send(server, &job, Stage::Decode, send_risk);
            }
            EngineFrame::Cancel(key) => self.cancel(key),
            EngineFrame::Reserve { job, .. } => self.reserve(server, job.key),
            EngineFrame::Release { request } => self.release(RequestId(request), server),
            EngineFrame::Probe { nonce } => self.probe(server, nonce),
            // Routers send no other frames to workers.
            _ => {}
        }
    }

    fn send(&mut self, server: ServerId, job: &Job, stage: Stage, send_risk: SendRisk) {
        let id = RequestId(job.key.request);
        let number = AttemptNumber(job.key.attempt);
        if !self.open.contains_key(&id) {
            return;
        }
        let Some(process) = self.process(server) else {
            return self.notify_unknown_worker(server, id, number);
        };
        self.log_send(server, job, stage);
        let (written, written_receiver) = watch::channel(false);
        let settings = &self.shared.config.settings.scheduler;
        let Some(open) = self.open.get_mut(&id) else { return };
        let previous = open.last_attempt.take().map(|attempt| {
            attempt.task.abort();
            attempt.task
        });
        let attempt = Attempt {
            request: id,
            number,
            process,
            stage,
            send_risk,
            deadline_at: self.core.deadline_at(id),
            forwarded: Arc::clone(&open.forwarded),
            previous,
            release_done: open.release_done.take(),
            write_timeout: connect_timeout(settings),
            write_by: self.core.send_by(id),
            release_timeout: release_attempt_timeout(settings),
            written,
        };
        let exchange = worker::exchange(attempt, Arc::clone(&self.pool), Arc::clone(&self.shared));
        let task = tokio::spawn(exchange);
        open.last_attempt = Some(RunningAttempt { number, stage, task, written: written_receiver });
    }

    fn log_send(&self, server: ServerId, job: &Job, stage: Stage) {
        let id = RequestId(job.key.request);
        let waited = self.shared.clock.now().saturating_sub(self.core.arrived_at(id));
        tracing::debug!(
            target: "gaparch_platform_router::wire",
            request = id.0,
            txn = self.transaction(id),
            attempt = job.key.attempt,
            worker = server.0,
            stage = stage.name(),
            class = job.class,
            prompt_tokens = job.prompt_tokens,
            prefix_tokens = job.prefix_tokens,
            prefix = job.prefix,
            session = job.session,
            waited_us = waited / NANOS_PER_MICRO,
            previous_status = ?self.core.last_status(id),
            "attempt sent"
        );
    }

    /// Reports a connect failure for an attempt at a worker that the core no longer knows.
    fn notify_unknown_worker(&self, server: ServerId, request: RequestId, attempt: AttemptNumber) {
        self.shared.notify_owner(OwnerMessage::Attempt(AttemptUpdate {
            server,
            request,
            attempt,
            at: self.shared.clock.now(),
            event: AttemptEvent::Ended(AttemptStatus::ConnectFailed.into()),
        }));
    }

    fn cancel(&mut self, key: AttemptKey) {
        let id = RequestId(key.request);
        // This may be the last event of the request, after its client has disconnected or its deadline has
        // passed.
        self.touched.push(id);
        tracing::debug!(
            target: "gaparch_platform_router::wire",
            request = id.0,
            txn = self.transaction(id),
            attempt = key.attempt,
            "attempt cancelled"
        );
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.last_attempt.as_ref().filter(|attempt| attempt.number.0 == key.attempt)
        else {
            return;
        };
        attempt.task.abort();
        let is_written = *attempt.written.borrow();
        if is_written {
            open.record_possible_run(AttemptNumber(key.attempt));
        }
    }

    fn reserve(&mut self, server: ServerId, key: AttemptKey) {
        let request = RequestId(key.request);
        let Some(open) = self.open.get(&request) else { return };
        let Some(last_attempt) = &open.last_attempt else { return };
        let Some(process) = self.process(server) else { return };
        let reservation = ReservationRequest {
            request,
            attempt: AttemptNumber(key.attempt),
            transaction: open.forwarded.transaction.clone(),
            process,
            prefill_written: last_attempt.written.clone(),
        };
        self.calls.spawn(worker::reserve(reservation, Arc::clone(&self.pool), Arc::clone(&self.shared)));
    }

    /// Releases the resources held for a request. `prefill_worker` may hold them even if it is draining or
    /// removed.
    fn release(&mut self, id: RequestId, prefill_worker: ServerId) {
        self.touched.push(id);
        tracing::debug!(
            target: "gaparch_platform_router::wire",
            request = id.0,
            txn = self.transaction(id),
            prefill_worker = prefill_worker.0,
            "KV cache released"
        );
        let listed = self.core.listed_engines().filter_map(|server| self.process(server));
        let mut processes: Vec<WorkerProcess> = listed.collect();
        let holder = self.process(prefill_worker);
        processes.extend(holder.filter(|process| !processes.contains(process)));
        let Some(open) = self.open.get_mut(&id) else { return };
        let release = Release::new(
            open.forwarded.transaction.clone(),
            processes,
            release_attempt_timeout(&self.shared.config.settings.scheduler),
            &self.pool,
        );
        let (finished, release_done) = oneshot::channel();
        open.release_done = Some(release_done);
        let pool = Arc::clone(&self.pool);
        let clock = self.shared.clock;
        self.releases.spawn(async move {
            worker::release(release, pool, clock).await;
            drop(finished);
        });
    }

    fn probe(&mut self, server: ServerId, nonce: u64) {
        let shared = Arc::clone(&self.shared);
        let Some(process) = self.process(server) else {
            let at = shared.clock.now();
            let status = AttemptStatus::ConnectFailed;
            return shared.notify_owner(OwnerMessage::ProbeFinished { server, nonce, at, status });
        };
        let probe = worker::probe(process, nonce, self.probe_timeout, Arc::clone(&self.pool), shared);
        self.calls.spawn(probe);
    }

    /// Returns the transaction id that the client gave the request.
    pub(super) fn transaction(&self, id: RequestId) -> Option<&str> {
        self.open.get(&id).map(|open| open.forwarded.transaction.as_str())
    }

    /// Returns the current process of a worker, as known to the core.
    fn process(&self, server: ServerId) -> Option<WorkerProcess> {
        let (address, started_at) = self.core.endpoint_process(server)?;
        Some(WorkerProcess { server, address, started_at })
    }
}
