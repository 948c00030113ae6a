//! Tests of the replay window.

use super::ReplayWindow;

#[test]
fn each_sequence_number_is_admitted_once_in_any_order() {
    let mut window = ReplayWindow::default();
    assert!([3, 1, 2, 10].into_iter().all(|n| window.admit(n)));
    assert!([1, 2, 3, 10, 0].into_iter().all(|n| !window.admit(n)));
    assert!(window.admit(1000));
    assert!(window.admit(900) && !window.admit(900));
    // Older than the window, which covers 873 to 1000.
    assert!(!window.admit(872));
}
