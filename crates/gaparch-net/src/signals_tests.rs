//! Signals that come together are reported one after the other.

use super::*;
use signal_hook::low_level::raise;
use tokio::time::timeout;

#[tokio::test]
async fn each_signal_is_reported_once_in_the_order_of_its_registration() {
    let signals = Signals::install(&[Signal::Terminate, Signal::Hangup]).expect("handlers");
    for signal in [SIGHUP, SIGTERM, SIGHUP] {
        raise(signal).expect("raised");
    }
    assert_eq!(signals.next().await, Signal::Terminate);
    assert_eq!(signals.next().await, Signal::Hangup);
    assert!(timeout(POLL_INTERVAL * 8, signals.next()).await.is_err());
}
