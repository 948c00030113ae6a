//! Counters of the router core, from its start.

use gaparch_scheduler::policy::send_guards::Denials;

/// How often something has happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests whose response was completed.
    pub served: u64,
    /// Requests that were rejected before they had any effect.
    pub rejected: u64,
    /// Requests that failed, with or without an effect.
    pub failed: u64,
    /// Requests whose client disconnected first.
    pub client_disconnected: u64,
    /// Completed responses whose first token came within the latency objective.
    pub within_objective: u64,
    /// Tokens passed to clients.
    pub tokens: u64,
    /// Requests that the core failed since the scheduler had not answered by the client's deadline. Should
    /// stay 0.
    pub overdue: u64,
    /// Frames from engines that came too late to count, such as those about attempts that had already ended.
    pub late_frames: u64,
    /// Connections to engines that were closed for a violation of the protocol.
    pub protocol_violations: u64,
    /// Numbers in load reports or list entries that are out of range and were ignored.
    pub ignored_values: u64,
    /// List entries that can't be used and were ignored.
    pub ignored_entries: u64,
    /// Attempts that the scheduler decided on and that were not sent: the request had ended, or a send guard
    /// denied them.
    pub unsent_attempts: u64,
    /// Sends and rejections by the scheduler that a send guard denied when they were carried out, by reason.
    pub denials: Denials,
    /// Final answers after the first one, which were dropped. Should stay 0.
    pub duplicate_answers: u64,
}
