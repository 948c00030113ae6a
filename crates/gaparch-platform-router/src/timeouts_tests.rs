//! Tests that the derived timeouts fit into the limits that the settings imply.

use super::*;

#[test]
fn timeouts_fit_into_their_limits_and_are_never_zero() {
    let ms = |n: u64| n * 1_000_000;
    let settings = |connect, grace, release| Settings {
        connect_timeout: ms(connect),
        drain_grace: ms(grace),
        kv_release_within: ms(release),
        ..Settings::default()
    };
    let within = |connect, grace| connect_timeout(&settings(connect, grace, 0)).as_millis();
    assert_eq!((within(250, 500), within(250, 0), within(0, 0)), (250, 250, 500));
    assert!(within(3000, 500) < 450 && within(0, 200) < 180);
    // Three release attempts fit into the release time.
    for release in [100, 200, 300, 500, 5000] {
        let attempt = release_attempt_timeout(&settings(0, 0, release)).as_millis();
        assert!(attempt > 0 && 3 * attempt < u128::from(release), "{attempt} of {release}");
    }
    assert!(release_attempt_timeout(&settings(0, 0, 0)) > Duration::ZERO);
}
