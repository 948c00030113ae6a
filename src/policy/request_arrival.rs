//! The estimates for a new request, and which prefill workers it prefers.

use super::constants::{
    DEFAULT_PROMPT_TOKENS, LOAD_INFO_POINTS_PER_REQUEST, MAX_LOAD_INFO_POINTS, MEAN_GAIN, NEIGHBORHOOD,
    POPULARITY_SPAN, WORKERS_PER_PREFIX_SHARE,
};
use super::Policy;
use crate::api::{Action, GiveUpReason, Nanos, Request, TrafficClass};
use crate::state::{next_power_of_four, InFlightRequest, PrefillAffinity, RequestFacts};

impl Policy {
    pub(super) fn on_request_arrived(&mut self, request: Request) {
        let Some(class) = self.settings.classes.get(request.class.0).cloned() else {
            let cause = GiveUpReason::UnknownClass.into();
            return self.actions.push(Action::Fail { id: request.id, cause });
        };
        let (id, deadline_at) = (request.id, request.deadline_at);
        let facts = self.record_arrival(request, &class);
        self.requests.insert(id, InFlightRequest::new(facts, self.settings.seed));
        if deadline_at <= self.give_up_horizon() {
            return self.give_up(id, GiveUpReason::DeadlineExceeded);
        }
        self.enqueue(id);
    }

    /// Counts a new request in the statistics, and estimates its size and objective.
    fn record_arrival(&mut self, request: Request, class: &TrafficClass) -> RequestFacts {
        let is_length_known = request.prompt_tokens > 0.0;
        let prompt_tokens = if is_length_known { request.prompt_tokens } else { DEFAULT_PROMPT_TOKENS };
        let expected_output_tokens = expected_output_tokens(&request, class);
        let over_quota = self.quotas.exceeds_quota(self.now, &self.settings, request.tenant);
        self.gossip.earn();
        self.probe_budget.earn(LOAD_INFO_POINTS_PER_REQUEST, MAX_LOAD_INFO_POINTS);
        let affinity = self.prefill_affinity(&request);
        self.traffic.record_size(request.class, prompt_tokens, expected_output_tokens, MEAN_GAIN);
        self.estimate_unreported_load();
        RequestFacts {
            arrived_at: self.now,
            over_quota,
            objective_at: objective_at(self.now, &request, class, prompt_tokens),
            expected_output_tokens,
            affinity,
            request: Request { prompt_tokens, ..request },
        }
    }

    /// The affinity of a request. If its shared prefix certainly makes up more than one worker's share
    /// of the requests that this router has seen, it would overload a single worker, and is spread over
    /// several. Their number is rounded to powers of four, so that sessions rarely move.
    fn prefill_affinity(&mut self, request: &Request) -> PrefillAffinity {
        let workers = self.fleet.ready().prefill.len();
        let recent = self.traffic.record_arrival(self.now, request.prefix, POPULARITY_SPAN);
        let certain_count = (recent.same_prefix - recent.same_prefix.sqrt()).max(0.0);
        let share = certain_count / recent.total.max(1.0);
        let spread = (share * WORKERS_PER_PREFIX_SHARE * workers as f64) as usize;
        PrefillAffinity::of(request, next_power_of_four(spread), NEIGHBORHOOD.target_servers)
    }
}

/// Expected length of an answer in tokens: from the expected duration, otherwise half of the maximum.
fn expected_output_tokens(request: &Request, class: &TrafficClass) -> f64 {
    let expected = match request.expected_duration {
        Some(duration) if class.token_latency_objective > 0 => {
            duration as f64 / class.token_latency_objective as f64
        }
        _ => request.max_output_tokens / 2.0,
    };
    if request.max_output_tokens > 0.0 {
        expected.min(request.max_output_tokens)
    } else {
        expected
    }
}

/// When the first token is due; without a latency objective, the client's deadline.
fn objective_at(now: Nanos, request: &Request, class: &TrafficClass, prompt_tokens: f64) -> Nanos {
    if class.latency_objective == 0 {
        return request.deadline_at;
    }
    let for_prompt = (class.latency_objective_per_prompt_token * prompt_tokens) as Nanos;
    now.saturating_add(class.latency_objective.saturating_add(for_prompt))
}
