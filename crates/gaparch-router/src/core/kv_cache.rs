//! What engines hold for a request: its KV cache after the prefill, and KV reservations.

use super::request::Stage;
use super::Core;
use gaparch_config::Links;
use gaparch_protocol::engine::EngineFrame;
use gaparch_scheduler::api::{RequestId, ServerId};
use gaparch_scheduler::policy::kv_release::may_release_beside_decode;

impl Core {
    /// Releases everything that is held for the request. A KV cache for which a decode is in flight stays
    /// recorded: the decode may have arrived, and then it fetches the KV cache.
    pub(super) fn release_kv(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let decode = tracked.attempt.filter(|attempt| attempt.stage == Stage::Decode);
        let fetched_from = tracked.kv_cache_at.filter(|_| decode.is_some());
        let holders = std::mem::take(&mut tracked.kv_held_at);
        tracked.kv_held_at.extend(fetched_from.filter(|server| holders.contains(server)));
        tracked.kv_cache_at = fetched_from;
        let has_arrived =
            decode.is_some_and(|decode| self.policy.has_run_since(decode.server, decode.sent_at));
        let may_release_fetched =
            may_release_beside_decode(self.config.links == Links::Exchanges, has_arrived);
        for server in holders {
            let is_fetched = Some(server) == fetched_from;
            if may_release_fetched || !is_fetched {
                self.send_to_engine(server, EngineFrame::Release { request: id.0 });
            }
            if !is_fetched {
                self.queue_disconnect_check(server);
            }
        }
        self.forget_if_done(id);
    }

    pub(super) fn reserve_kv(&mut self, id: RequestId, server: ServerId) {
        let Some(tracked) = self.requests.get_mut(&id).filter(|tracked| !tracked.answered) else { return };
        let Some(prefill) = tracked.attempt.filter(|attempt| attempt.stage == Stage::Prefill) else { return };
        let Some(from) = self.endpoints.kv_source(prefill.server) else { return };
        let job = tracked.request.job(id, prefill.number, tracked.deadline_at, self.now);
        tracked.add_kv_holder(server);
        self.send_to_engine(server, EngineFrame::Reserve { job, from });
    }
}
