//! The load that this router's own attempts put on a server.

use crate::api::Nanos;
use crate::state::{Attempt, AttemptProgress, LaggedValue};

/// The load that this router's own attempts put on a server, with lagged copies to compare with load reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalLoad {
    awaiting_first_token: u32,
    queued_prompt_tokens: f64,
    reserved_kv_tokens: f64,
    lagged_reserved_kv_tokens: LaggedValue,
    lagged_awaiting_first_token: LaggedValue,
}

impl LocalLoad {
    /// Attempts whose first token has not been received.
    pub fn awaiting_first_token(&self) -> u32 {
        self.awaiting_first_token
    }

    /// Prompt tokens sent to the server that are not prefilled yet.
    pub fn queued_prompt_tokens(&self) -> f64 {
        self.queued_prompt_tokens
    }

    /// KV cache tokens that the attempts on the server are expected to need.
    pub fn reserved_kv_tokens(&self) -> f64 {
        self.reserved_kv_tokens
    }

    /// The reserved tokens that a load report can include, given that it lags behind.
    pub(super) fn reported_kv_tokens(&self) -> f64 {
        self.lagged_reserved_kv_tokens.value()
    }

    /// The attempts awaiting their first token that a load report can include, given that it lags behind.
    pub(super) fn reported_awaiting_first_token(&self) -> f64 {
        self.lagged_awaiting_first_token.value()
    }

    /// Advances the lagged values to `now`; call it before the load changes or is compared with a report.
    pub(super) fn advance_lag(&mut self, now: Nanos, lag: Nanos) {
        self.lagged_reserved_kv_tokens.follow(now, self.reserved_kv_tokens, lag);
        self.lagged_awaiting_first_token.follow(now, f64::from(self.awaiting_first_token), lag);
    }

    pub(super) fn add(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.advance_lag(now, lag);
        self.awaiting_first_token += 1;
        self.reserved_kv_tokens += attempt.reserved_kv_tokens;
        self.queued_prompt_tokens += attempt.prompt_tokens;
    }

    pub(super) fn begin_streaming(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        self.advance_lag(now, lag);
        self.awaiting_first_token = self.awaiting_first_token.saturating_sub(1);
        self.queued_prompt_tokens -= attempt.prompt_tokens;
    }

    pub(super) fn remove(&mut self, now: Nanos, lag: Nanos, attempt: &Attempt) {
        if attempt.progress == AttemptProgress::Streaming {
            self.advance_lag(now, lag);
        } else {
            self.begin_streaming(now, lag, attempt);
        }
        self.reserved_kv_tokens -= attempt.reserved_kv_tokens;
    }
}
