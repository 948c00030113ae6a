//! Tests which idle connections are asked to close.

use super::*;

#[tokio::test]
async fn the_longest_idle_connection_is_closed_first_and_one_that_is_no_longer_idle_never() {
    let idle = Arc::new(IdleConnections::default());
    let (first, second, third) = (
        idle.enter(ConnectionHistory::CarriedRequests),
        idle.enter(ConnectionHistory::CarriedRequests),
        idle.enter(ConnectionHistory::CarriedRequests),
    );
    drop(first);
    idle.close_next();
    second.close_requested().await;
    idle.close_older_than(Duration::from_secs(3600));
    assert!(tokio::time::timeout(Duration::from_millis(20), third.close_requested()).await.is_err());
    idle.close_older_than(Duration::ZERO);
    third.close_requested().await;
    drop((second, third));
    assert!(lock(&idle.table).by_closing_order.is_empty());
}

#[tokio::test]
async fn an_unused_connection_is_closed_before_one_that_carried_requests() {
    let idle = Arc::new(IdleConnections::default());
    let (used, unused) =
        (idle.enter(ConnectionHistory::CarriedRequests), idle.enter(ConnectionHistory::Unused));
    idle.close_next();
    unused.close_requested().await;
    idle.close_next();
    used.close_requested().await;
}

#[tokio::test]
async fn busy_connections_are_closed_only_while_no_connection_is_idle() {
    let idle = Arc::new(IdleConnections::default());
    assert!(!idle.take_busy_close());
    let guard = idle.enter(ConnectionHistory::CarriedRequests);
    idle.close_next();
    guard.close_requested().await;
    assert!(!idle.take_busy_close(), "an idle one was closed");
    idle.close_next();
    for closed in 0..BUSY_CLOSED_AT_ONCE {
        assert!(idle.take_busy_close(), "{closed} closed");
    }
    assert!(!idle.take_busy_close(), "enough were closed");
    idle.close_next();
    idle.keep_busy();
    assert!(!idle.take_busy_close(), "there is room again");
}
