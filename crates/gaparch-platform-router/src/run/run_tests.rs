//! Orders to a router, and the end of the task that owns its scheduler.

use super::{next_order, Order, RouterError};
use tokio::sync::mpsc;

/// A router whose scheduler task has panicked would answer 500 to everything for ever, and call itself ready.
#[tokio::test]
async fn a_router_ends_with_the_scheduler_task() {
    let (_orders, mut taken) = mpsc::channel(1);
    let mut owner = tokio::spawn(async { panic!("a mistake") });
    let ended = next_order(&mut taken, &mut owner).await;
    assert!(matches!(ended, Err(RouterError::OwnerEnded(Some(why))) if why.contains("a mistake")));
}

#[tokio::test]
async fn orders_come_in_their_order_and_the_last_is_to_shut_down() {
    let (orders, mut taken) = mpsc::channel(1);
    let mut owner = tokio::spawn(std::future::pending());
    orders.send(Order::Reload).await.expect("it is taken");
    assert_eq!(next_order(&mut taken, &mut owner).await.ok(), Some(Order::Reload));
    drop(orders);
    assert_eq!(next_order(&mut taken, &mut owner).await.ok(), Some(Order::Shutdown));
}
