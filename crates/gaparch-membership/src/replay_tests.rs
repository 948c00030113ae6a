//! Tests of `replay`.

use super::ReplayWindow;

#[test]
fn each_number_is_taken_once_in_whatever_order_they_come() {
    let mut window = ReplayWindow::default();
    assert!([3, 1, 2, 10].into_iter().all(|n| window.admit(n)));
    assert!([1, 2, 3, 10, 0].into_iter().all(|n| !window.admit(n)));
    assert!(window.admit(1000));
    assert!(window.admit(900) && !window.admit(900));
    // Too old to know.
    assert!(!window.admit(872));
}
