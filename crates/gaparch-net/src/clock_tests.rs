use super::*;

const DAY: Duration = Duration::from_secs(86_400);

/// Guards against timers that are always due, and starve all other work, in a process that has run for a month.
#[test]
fn a_time_ahead_is_ahead_however_long_the_process_has_run() {
    let new = Clock::default();
    let started = new.started.checked_sub(40 * DAY).expect("a time 40 days ago");
    let clock = Clock { started, ..new };
    let ahead = clock.instant(clock.now() + nanos(DAY));
    let from_now = ahead.saturating_duration_since(Instant::now());
    assert!(from_now > DAY - Duration::from_secs(60) && from_now <= DAY, "{from_now:?}");
}

#[test]
fn a_time_too_far_ahead_is_clamped_and_a_time_before_the_start_is_the_start() {
    let clock = Clock::default();
    let from_now = clock.instant(Nanos::MAX).saturating_duration_since(Instant::now());
    assert!(from_now > 29 * DAY && from_now <= 30 * DAY, "{from_now:?}");
    assert_eq!(clock.instant(0), clock.started);
}
