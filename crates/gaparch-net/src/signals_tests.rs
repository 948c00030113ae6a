//! Pending signals are reported one at a time.

use super::*;
use signal_hook::low_level::raise;
use tokio::time::timeout;

#[tokio::test]
async fn each_signal_is_reported_once_in_the_order_of_its_registration() {
    let signals = Signals::install(&[Signal::Terminate, Signal::Hangup]).expect("the handlers are installed");
    for signal in [SIGHUP, SIGTERM, SIGHUP] {
        raise(signal).expect("the signal is raised");
    }
    assert_eq!(signals.next().await, Signal::Terminate);
    assert_eq!(signals.next().await, Signal::Hangup);
    assert!(timeout(POLL_INTERVAL * 8, signals.next()).await.is_err());
}
