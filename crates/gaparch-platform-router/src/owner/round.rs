//! The inputs that the owner handles in one round, an iteration of its loop.

use crate::gossip::GossipMessage;
use crate::messages::OwnerMessage;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// Maximum number of messages of each kind in one round, so that timers are checked regularly.
pub(super) const MAX_BATCH: usize = 64;

/// Messages that were received and not handled yet.
#[derive(Default)]
pub(super) struct Round {
    pub messages: Vec<OwnerMessage>,
    pub gossip: Vec<GossipMessage>,
}

impl Round {
    /// Waits for a message, gossip or the time `wake_at`, then collects the available messages and gossip, up to
    /// [`MAX_BATCH`] of each. If a round takes longer than the time to the next timer, a timer is always due;
    /// messages and gossip must be received nevertheless.
    ///
    /// Returns `false` once all message senders are gone. Cancel-safe.
    pub async fn wait(
        &mut self,
        wake_at: Instant,
        messages: &mut mpsc::UnboundedReceiver<OwnerMessage>,
        gossip: &mut mpsc::Receiver<GossipMessage>,
    ) -> bool {
        tokio::select! {
            biased;
            () = sleep_until(wake_at) => {}
            Some(message) = gossip.recv() => self.gossip.push(message),
            count = messages.recv_many(&mut self.messages, MAX_BATCH) => {
                if count == 0 {
                    return false;
                }
            }
        }
        while self.messages.len() < MAX_BATCH {
            let Ok(message) = messages.try_recv() else { break };
            self.messages.push(message);
        }
        while self.gossip.len() < MAX_BATCH {
            let Ok(message) = gossip.try_recv() else { break };
            self.gossip.push(message);
        }
        true
    }
}

#[cfg(test)]
#[path = "round_tests.rs"]
mod tests;
