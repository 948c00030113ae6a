//! Which queued requests are admitted to their prefill, and when: as far as decode workers have
//! capacity for them.

use super::constants::{
    ADMISSION_CHECKS_PER_EVENT, NEIGHBORHOOD, PREFILL_RATE_GROWTH, PREFILL_REDUCTION, RATE_SPAN, RECENT,
};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{Nanos, RequestId};
use crate::state::{
    AdaptiveThrottle, AdmissionQueue, InFlightRequest, QueuePosition, QueuedRequest, ResourceRequirements,
    Server, TrafficClassKey,
};

/// The requests that wait for their prefill, and how fast prefills may be sent.
#[derive(Default)]
pub(super) struct Admission {
    queue: AdmissionQueue,
    throttle: AdaptiveThrottle,
    /// The last request that was checked, where the next event goes on behind it.
    resume_after: Option<QueuePosition>,
}

impl Admission {
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Drops a request, if it is queued.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.queue.remove(id);
    }

    /// The queued requests that have to be checked by `check_at`, or whose objective is before
    /// `objective_at`.
    pub(super) fn due(&self, check_at: Nanos, objective_at: Nanos) -> impl Iterator<Item = RequestId> + '_ {
        self.queue.due(check_at, objective_at)
    }

    /// A prefill is sent.
    pub(super) fn record_prefill(&mut self, now: Nanos) {
        self.throttle.record_send(now, RATE_SPAN);
    }

    /// A prefill took so long that it is lost: fewer are sent for a while.
    pub(super) fn record_lost_prefill(&mut self, now: Nanos) {
        self.throttle.reduce(now, PREFILL_REDUCTION);
    }

    fn may_send_prefill(&mut self, now: Nanos) -> bool {
        self.throttle.allows(now, PREFILL_RATE_GROWTH)
    }
}

/// The next queued request of a traffic class of which some may be admitted.
struct GroupHead {
    traffic: Option<TrafficClassKey>,
    next: Option<QueuedRequest>,
    /// The least KV cache tokens for which there was no capacity.
    rejected_kv_tokens: f64,
}

/// The head whose next request is the first of all, and that request.
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

    /// Admits queued requests in their order, as far as there is capacity. Of a traffic class of
    /// which not even the least request can be admitted none is checked. Where requests choose
    /// among neighbourhoods each has servers of its own: then all classes are checked, some
    /// requests with each event.
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
            // What needs no less than one for which there was no capacity finds none either.
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
                // It has changed what there is capacity for.
                heads = self.group_heads(checked);
                continue;
            }
            if by_neighborhood {
                checks_left -= 1;
                self.widen_search(id);
            }
            head.next = self.admission.queue.next_in_group(head.traffic, checked);
        }
    }

    /// The heads of the traffic classes of which some may be admitted, each behind the last request
    /// that was checked.
    fn group_heads(&self, checked: Option<QueuePosition>) -> Vec<GroupHead> {
        let by_neighborhood = self.fleet.uses_neighborhoods();
        let mut heads = Vec::new();
        for (traffic, group) in self.admission.queue.groups() {
            let is_checked_anyway = by_neighborhood || group.is_single();
            if is_checked_anyway || self.may_admit_any(traffic, &group.least_requirements()) {
                let next = group.first_after(checked);
                heads.push(GroupHead { traffic, next, rejected_kv_tokens: f64::INFINITY });
            }
        }
        heads
    }

    /// Whether a request of a traffic class that requires so little may be admitted. Requests that
    /// some servers must not be sent are checked one by one.
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

    /// Whether the servers that a request chooses among can decode it after its prefill.
    fn can_decode_later(&self, id: RequestId, kv_tokens: f64) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        self.mixed_server_has_capacity(Some(request), kv_tokens) || self.decode_workers_have_capacity(request)
    }

    /// False only if no prefill worker can have capacity for what has so long a time to its
    /// objective: `start_prefill` would find the same, one worker after the other.
    fn prefill_may_have_capacity(&self, requirements: &ResourceRequirements) -> bool {
        let prefill = &self.fleet.ready().prefill;
        if prefill.is_empty() || self.settings.decode_workers_can_prefill {
            return true;
        }
        let has_capacity = |server: &Server| {
            !server.was_saturated_within(self.now, RECENT)
                && !self.is_prefill_wait_long(server, requirements.time_to_objective)
        };
        self.servers.at(prefill).any(has_capacity)
    }

    /// None of the servers near a request's position has capacity: next time it is those behind
    /// them, and so round.
    pub(super) fn widen_search(&mut self, id: RequestId) {
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
