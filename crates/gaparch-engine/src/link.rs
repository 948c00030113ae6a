//! The link of a stand-in: it can be cut and made slow while connections go on believing in it.

use gaparch_scheduler::api::Nanos;
use std::time::Duration;
use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct State {
    cut: bool,
    delay: Nanos,
}

/// Shared by all the connections of one stand-in.
#[derive(Clone, Debug)]
pub struct Link {
    state: watch::Sender<State>,
}

impl Default for Link {
    fn default() -> Self {
        Link { state: watch::Sender::new(State::default()) }
    }
}

impl Link {
    pub fn cut(&self, cut: bool) {
        self.state.send_modify(|s| s.cut = cut);
    }

    pub fn delay(&self, delay: Nanos) {
        self.state.send_modify(|s| s.delay = delay);
    }

    /// Waits while the link is cut. What was sent meanwhile comes through afterwards, as with TCP.
    pub async fn open(&self) {
        // The sender lives as long as `self`: the wait can't fail.
        let _ = self.state.subscribe().wait_for(|s| !s.cut).await;
    }

    /// How long something sent now takes.
    pub fn lag(&self) -> Duration {
        Duration::from_nanos(self.state.borrow().delay)
    }
}
