//! Which queued requests are admitted to prefill, and when: as far as decode workers have capacity
//! for them.

use super::constants::{
    ADMISSION_CHECKS_PER_EVENT, NEIGHBORHOOD, PREFILL_RATE_GROWTH, PREFILL_REDUCTION, RATE_SPAN,
    RECENT_WINDOW,
};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{Nanos, RequestId};
use crate::state::{
    AdaptiveThrottle, AdmissionQueue, InFlightRequest, QueuePosition, QueuedRequest, ResourceRequirements,
    Server, TrafficClassKey,
};

/// The requests that wait for their prefill, and the rate limit of prefills.
#[derive(Default)]
pub(super) struct Admission {
    queue: AdmissionQueue,
    throttle: AdaptiveThrottle,
    /// The last request checked on the previous event, if its checks ran out: the next event
    /// continues behind it.
    resume_after: Option<QueuePosition>,
}

impl Admission {
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Removes a request, if it is queued.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.queue.remove(id);
    }

    /// The queued requests that have to be checked by `check_at`, or whose latency objective is before
    /// `objective_at`.
    pub(super) fn due(&self, check_at: Nanos, objective_at: Nanos) -> impl Iterator<Item = RequestId> + '_ {
        self.queue.due(check_at, objective_at)
    }

    /// Counts a prefill that is sent.
    pub(super) fn record_prefill(&mut self, now: Nanos) {
        self.throttle.record_send(now, RATE_SPAN);
    }

    /// Throttles prefills after one that took longer than the latency objective of its request.
    pub(super) fn record_missed_prefill(&mut self, now: Nanos) {
        self.throttle.reduce(now, PREFILL_REDUCTION);
    }

    fn may_send_prefill(&mut self, now: Nanos) -> bool {
        self.throttle.allows(now, PREFILL_RATE_GROWTH)
    }
}

/// The head of a group: the next queued request of a traffic class that may be admitted.
struct GroupHead {
    traffic: Option<TrafficClassKey>,
    next: Option<QueuedRequest>,
    /// The smallest number of KV cache tokens for which no capacity was found.
    rejected_kv_tokens: f64,
}

/// The group head whose request is first in the queue, and that request.
fn first_head(heads: &mut [GroupHead]) -> Option<(&mut GroupHead, QueuedRequest)> {
    let with_next = heads.iter_mut().filter_map(|head| head.next.map(|next| (head, next)));
    with_next.min_by_key(|(_, next)| next.position)
}

impl Policy {
    /// Queues a request for its prefill.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let check_at = request.request().deadline_at.min(self.repeat_deadline(request));
        self.admission.queue.insert(id, request, check_at);
    }

    /// Admits queued requests in queue order as far as there is capacity. A traffic class is skipped
    /// if not even its smallest request can be admitted. With neighbourhoods, each request has its
    /// own set of servers: all classes are checked then, a limited number of requests per event.
    pub(super) fn admit(&mut self) {
        if self.admission.is_empty() || !self.admission.may_send_prefill(self.now) {
            return;
        }
        let by_neighborhood = self.fleet.uses_neighborhoods();
        let mut checks_left = if by_neighborhood { ADMISSION_CHECKS_PER_EVENT } else { usize::MAX };
        let mut checked = self.admission.resume_after.take();
        let mut heads = self.group_heads(checked);
        loop {
            let first = first_head(&mut heads).filter(|_| checks_left > 0);
            let Some((head, QueuedRequest { position, requirements })) = first else {
                self.admission.resume_after = checked.filter(|_| checks_left == 0);
                return;
            };
            let id = position.id;
            checked = Some(position);
            // A request that needs at least as much as a previous one without capacity has none either.
            let has_capacity = requirements.kv_tokens < head.rejected_kv_tokens
                && self.can_decode_later(id, requirements.kv_tokens);
            if !has_capacity && head.traffic.is_some() && !by_neighborhood {
                head.rejected_kv_tokens = head.rejected_kv_tokens.min(requirements.kv_tokens);
            }
            let may_start =
                has_capacity && (by_neighborhood || self.prefill_may_have_capacity(&requirements));
            if may_start && self.start_prefill(id) {
                self.admission.remove(id);
                if !self.admission.may_send_prefill(self.now) {
                    return;
                }
                // The prefill has changed the available capacity.
                heads = self.group_heads(checked);
                continue;
            }
            if by_neighborhood {
                checks_left -= 1;
                self.advance_ring_position(id);
            }
            head.next = self.admission.queue.next_in_group(head.traffic, checked);
        }
    }

    /// The heads of the groups that may be admitted, each after the last request that was checked.
    fn group_heads(&self, checked: Option<QueuePosition>) -> Vec<GroupHead> {
        let by_neighborhood = self.fleet.uses_neighborhoods();
        let mut heads = Vec::new();
        for (traffic, group) in self.admission.queue.groups() {
            let is_always_checked = by_neighborhood || group.is_single();
            if is_always_checked || self.may_admit_any(traffic, &group.least_requirements()) {
                let next = group.first_after(checked);
                heads.push(GroupHead { traffic, next, rejected_kv_tokens: f64::INFINITY });
            }
        }
        heads
    }

    /// Whether any request of a traffic class may be admitted, given the least requirements in its
    /// group. Requests that may not be sent to some servers (`None`) are checked one by one.
    fn may_admit_any(&self, traffic: Option<TrafficClassKey>, least: &ResourceRequirements) -> bool {
        if traffic.is_none() {
            return true;
        }
        if !self.prefill_may_have_capacity(least) {
            return false;
        }
        if self.mixed_server_has_capacity(None, least.kv_tokens) {
            return true;
        }
        let workers = self.eligible_servers(self.fleet.ready(), WorkerPool::Decode, None, traffic);
        self.have_joint_capacity(&workers, least.kv_tokens)
    }

    /// Whether the servers that a request chooses from can decode it after its prefill.
    fn can_decode_later(&self, id: RequestId, kv_tokens: f64) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        self.mixed_server_has_capacity(Some(request), kv_tokens) || self.decode_workers_have_capacity(request)
    }

    /// False only if no prefill worker can have capacity, given the time that the latency objective allows
    /// from arrival to the first token. A cheap check: `start_prefill` would find the same worker by worker.
    fn prefill_may_have_capacity(&self, requirements: &ResourceRequirements) -> bool {
        let prefill = &self.fleet.ready().prefill;
        if prefill.is_empty() || self.settings.decode_workers_can_prefill {
            return true;
        }
        let has_capacity = |server: &Server| {
            !server.was_saturated_within(self.now, RECENT_WINDOW)
                && !self.is_prefill_wait_long(server, requirements.time_to_objective)
        };
        self.servers.at(prefill).any(has_capacity)
    }

    /// Moves a request to the next neighbourhood on the hash ring, as its current one has no capacity.
    /// Repeated calls go around the whole ring.
    pub(super) fn advance_ring_position(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.awaits_probes(self.now) {
            return;
        }
        let position = request.position;
        if let Some(next) = self.fleet.neighborhood(Some(position), None, NEIGHBORHOOD).next {
            self.requests.update_unindexed(id, |request: &mut InFlightRequest| request.position = next);
        }
    }
}
