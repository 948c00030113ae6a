//! Which idle connection is asked to close.

use super::*;

#[tokio::test]
async fn the_longest_idle_is_asked_first_and_who_asks_meanwhile_never() {
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
async fn who_never_asked_is_asked_to_close_before_who_has() {
    let idle = Arc::new(IdleConnections::default());
    let (used, unused) =
        (idle.enter(ConnectionHistory::CarriedRequests), idle.enter(ConnectionHistory::Unused));
    idle.close_next();
    unused.close_requested().await;
    idle.close_next();
    used.close_requested().await;
}
