//! Tests of memory pools.

use super::MemoryPool;
use futures_poll::is_pending;

mod futures_poll {
    use std::future::Future;
    use std::pin::Pin;
    use std::task::{Context, Waker};

    /// Whether a future is not ready when it is polled now.
    pub fn is_pending<F: Future>(future: Pin<&mut F>) -> bool {
        future.poll(&mut Context::from_waker(Waker::noop())).is_pending()
    }
}

#[test]
fn reservations_are_granted_in_order_and_returned() {
    let pool = MemoryPool::new(1024);
    let mut half = pool.try_reserve(512).expect("free");
    let mut large = Box::pin(pool.reserve(1024));
    assert!(is_pending(large.as_mut()) && pool.is_contended());
    // A small reservation does not overtake the large one.
    assert!(pool.try_reserve(256).is_none());
    half.shrink_to(256);
    assert!(is_pending(large.as_mut()));
    drop(half);
    assert!(!is_pending(large.as_mut()) && !pool.is_contended());
    drop(large);
    assert_eq!(pool.reserved_bytes(), 0);
}

#[test]
fn an_abandoned_wait_gives_back_what_it_had() {
    let pool = MemoryPool::new(1024);
    let held = pool.try_reserve(512).expect("free");
    let mut waiting = Box::pin(pool.reserve(1024));
    assert!(is_pending(waiting.as_mut()));
    drop(waiting);
    assert!(!pool.is_contended() && pool.try_reserve(512).is_some());
    assert_eq!(pool.reserved_bytes(), 512);
    drop(held);
    assert_eq!(pool.reserved_bytes(), 0);
}

#[test]
fn a_reservation_larger_than_the_pool_gets_all_of_it() {
    let pool = MemoryPool::new(1000);
    let all = pool.try_reserve(1 << 20).expect("free");
    assert!(pool.reserved_bytes() == 768 && pool.try_reserve(1).is_none());
    drop(all);
    assert_eq!(pool.reserved_bytes(), 0);
}
