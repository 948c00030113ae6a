//! The five guarantees of the scheduler, each tested on one router.

mod common;
use common::*;
use gaparch_scheduler::api::*;

// 1: one final answer in time, and no send after it.

#[test]
fn a_request_past_its_deadline_gets_one_answer_at_once() {
    let mut r = Router::new(settings(), two_cells());
    let request = Request { deadline_at: r.now - S, ..r.request(1) };
    let actions = r.handle(Event::RequestArrived(request));
    assert_eq!(final_answers(&actions, 1), 1);
    assert_eq!(sent_to(&actions), None);
}

#[test]
fn without_a_server_the_answer_still_comes_in_time() {
    for endpoints in [vec![], vec![endpoint(1, 0, 0)], vec![endpoint(11, 1, 0)]] {
        let mut r = Router::new(settings(), endpoints);
        let deadline_at = r.now + 5 * S;
        r.submit(1);
        let mut answered_at = None;
        while r.now < deadline_at + S {
            if final_answers(&r.advance(10 * MS), 1) > 0 {
                answered_at.get_or_insert(r.now);
            }
        }
        assert!(answered_at.is_some_and(|at| at <= deadline_at));
        assert_eq!(final_answers(&r.actions, 1), 1);
    }
}

#[test]
fn a_request_whose_attempt_never_ends_is_answered_before_its_deadline() {
    let mut r = Router::new(Settings { can_probe: false, can_cancel: false, ..settings() }, two_cells());
    r.submit(1);
    r.advance(5 * S);
    assert_eq!(final_answers(&r.actions, 1), 1);
    let actions_before = r.actions.len();
    assert!(releases_kv(&r.finish_attempt(1, 1, AttemptStatus::Prefilled), 1));
    assert_eq!(sent_to(&r.actions[actions_before..]), None);
}

#[test]
fn after_a_client_disconnects_only_its_kv_cache_is_released() {
    let mut r = Router::new(settings(), two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    r.handle(Event::ClientDisconnected(RequestId(1)));
    let actions = r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    assert_eq!(actions, vec![Action::ReleaseKv(RequestId(1))]);
    assert_eq!(r.advance(6 * S), vec![]);
    // A repeated disconnect and one of an unknown request are ignored.
    assert_eq!(r.handle(Event::ClientDisconnected(RequestId(1))), vec![]);
    assert_eq!(r.handle(Event::ClientDisconnected(RequestId(99))), vec![]);
}

// 2: no second execution that may do harm.

fn mixed_router(idempotency: Idempotency, scope: DeduplicationScope) -> Router {
    let settings = Settings { classes: vec![class(idempotency, scope)], ..settings() };
    Router::new(settings, vec![endpoint(21, 2, 0), endpoint(22, 2, 0), endpoint(23, 2, 1)])
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_sent_again() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Timeout,
        AttemptStatus::Reset,
        AttemptStatus::Cancelled,
        AttemptStatus::Unknown,
    ] {
        let mut r = mixed_router(Idempotency::NotIdempotent, DeduplicationScope::All);
        let server = sent_to(&r.submit(1)).expect("an attempt is sent");
        let actions = r.finish_attempt(1, server, status);
        assert!(is_failed(&actions, 1), "{status:?}");
        assert_eq!(sent_to(&actions), None, "{status:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_sent_again() {
    for status in [AttemptStatus::Rejected, AttemptStatus::ConnectFailed] {
        let mut r = mixed_router(Idempotency::NotIdempotent, DeduplicationScope::All);
        let server = sent_to(&r.submit(1)).expect("an attempt is sent");
        let again = sent_to(&r.finish_attempt(1, server, status));
        assert!(again.is_some_and(|s| s != server), "{status:?}");
    }
}

#[test]
fn a_failed_prefill_of_a_non_idempotent_request_is_sent_again() {
    let settings =
        Settings { classes: vec![class(Idempotency::NotIdempotent, DeduplicationScope::All)], ..settings() };
    let mut r = Router::new(settings, two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    assert!(sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Error)).is_some());
}

#[test]
fn a_non_idempotent_request_that_may_run_is_failed_not_rejected_at_its_deadline() {
    let mut r = mixed_router(Idempotency::NotIdempotent, DeduplicationScope::All);
    r.submit(1);
    let actions = r.advance(5 * S);
    assert!(is_failed(&actions, 1));
    assert!(!is_rejected(&actions, 1));
}

#[test]
fn a_prefill_in_flight_is_cancelled_before_its_request_is_rejected() {
    for (idempotency, scope) in [
        (Idempotency::NotIdempotent, DeduplicationScope::All),
        (Idempotency::WithKey, DeduplicationScope::Cell),
        (Idempotency::Idempotent, DeduplicationScope::All),
    ] {
        let settings = Settings { classes: vec![class(idempotency, scope)], ..settings() };
        // There is no other prefill worker for which it would be cancelled earlier.
        let mut r = Router::new(settings, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
        r.submit(1);
        let actions = r.advance(5 * S);
        let last_position = |matches: fn(&Action) -> bool| {
            actions.iter().rposition(matches).unwrap_or_else(|| panic!("{idempotency:?}: {actions:?}"))
        };
        let cancelled = last_position(|a| matches!(a, Action::Cancel { .. }));
        let answered = last_position(|a| matches!(a, Action::Reject { .. }));
        assert!(cancelled < answered, "{idempotency:?}: {actions:?}");
    }
}

#[test]
fn where_a_prefill_cant_be_cancelled_a_request_that_may_not_be_repeated_fails() {
    for (idempotency, scope) in [
        (Idempotency::NotIdempotent, DeduplicationScope::All),
        (Idempotency::WithKey, DeduplicationScope::Cell),
    ] {
        let settings = Settings {
            classes: vec![class(idempotency, scope)],
            can_cancel: false,
            can_probe: false,
            ..settings()
        };
        let mut r = Router::new(settings, two_cells());
        r.submit(1);
        let actions = r.advance(5 * S);
        assert!(is_failed(&actions, 1) && !is_rejected(&actions, 1), "{idempotency:?}: {actions:?}");
    }
}

#[test]
fn a_request_with_a_key_that_may_have_run_stays_in_its_deduplication_domain_and_window() {
    let mut r = mixed_router(Idempotency::WithKey, DeduplicationScope::Cell);
    let server = sent_to(&r.submit(1)).expect("an attempt is sent");
    let again = sent_to(&r.finish_attempt(1, server, AttemptStatus::Error));
    match server {
        21 => assert_eq!(again, Some(22)),
        22 => assert_eq!(again, Some(21)),
        _ => assert!(again.is_none() || again == Some(23)),
    }
    // After the window nothing is sent any more, and the request fails, as its deduplication scope is not all
    // servers.
    r.advance(2 * S + 100 * MS);
    let last = again.unwrap_or(server);
    let actions = r.finish_attempt(1, last, AttemptStatus::Error);
    assert_eq!(sent_to(&actions), None);
    r.advance(5 * S);
    assert!(is_failed(&r.actions, 1));
    assert!(!is_rejected(&r.actions, 1));
}

#[test]
fn no_second_attempt_while_one_is_in_flight() {
    let mut r = Router::new(settings(), two_cells());
    r.submit(1);
    let actions = r.advance(4 * S);
    let cancels = actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(sent_to(&actions), None, "the first attempt has no outcome yet");
    assert!(cancels <= 1);
}

// 3: nothing is sent to draining or removed servers.

#[test]
fn a_draining_or_removed_server_gets_nothing_new() {
    for state in [ServerState::Draining, ServerState::Removed] {
        let mut r = Router::new(settings(), two_cells());
        r.update_endpoints(EndpointUpdate::Delta, vec![Endpoint { state, ..endpoint(1, 0, 0) }]);
        r.update_endpoints(EndpointUpdate::Delta, vec![Endpoint { state, ..endpoint(11, 1, 0) }]);
        for id in 1..20 {
            assert_eq!(r.start_stream(id), (2, 12));
        }
    }
}

#[test]
fn a_server_missing_in_a_full_endpoint_list_is_removed() {
    let mut r = Router::new(settings(), two_cells());
    r.update_endpoints(EndpointUpdate::Full, vec![endpoint(2, 0, 1), endpoint(12, 1, 1)]);
    for id in 1..20 {
        assert_eq!(r.start_stream(id), (2, 12));
    }
}

#[test]
fn a_failed_endpoint_update_keeps_the_list_and_the_list_is_watched_again() {
    let mut r = Router::new(Settings { poll_endpoints: true, ..settings() }, two_cells());
    assert!(r.actions.contains(&Action::WatchEndpoints(true)));
    r.actions.clear();
    r.update_endpoints(EndpointUpdate::Failed, vec![]);
    assert!(sent_to(&r.submit(1)).is_some());
    r.advance(2 * S);
    assert!(r.actions.contains(&Action::WatchEndpoints(true)));
}

/// In a run of the full fleet with one zone cut off, four connections in a row failed after 250 ms each, and
/// each of them restarted the release time.
#[test]
fn connect_failures_do_not_hold_a_kv_cache_past_the_release_time() {
    let decode_workers = (11..19).map(|server| endpoint(server, 1, 0));
    let mut r = Router::new(settings(), [endpoint(1, 0, 0)].into_iter().chain(decode_workers).collect());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let mut decode_worker = sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled));
    let prefilled_at = r.now;
    while let Some(server) = decode_worker {
        r.advance(250 * MS);
        let actions = r.finish_attempt(1, server, AttemptStatus::ConnectFailed);
        decode_worker = sent_to(&actions);
        let is_released = actions.contains(&Action::ReleaseKv(RequestId(1)));
        assert!(decode_worker.is_some() != is_released, "{actions:?}");
    }
    // A KV cache is not released for one connect failure: there is still time for a second attempt.
    assert_eq!((r.now - prefilled_at) / MS, 500);
}

fn send_by(actions: &[Action]) -> Nanos {
    let limit = |a: &Action| if let Action::Send { send_by, .. } = a { Some(*send_by) } else { None };
    actions.iter().find_map(limit).expect("an attempt is sent")
}

/// Connecting may take longer than the KV cache may still be held.
#[test]
fn a_decode_has_to_be_sent_before_its_kv_cache_is_released() {
    let mut r = Router::new(settings(), two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let prefilled_at = r.now;
    let decode = r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    assert_eq!(send_by(&decode), prefilled_at + 500 * MS);
    r.advance(400 * MS);
    // No decode worker was reached, so the release time is not restarted.
    let again =
        r.finish_attempt(1, sent_to(&decode).expect("a decode is sent"), AttemptStatus::ConnectFailed);
    assert_eq!(send_by(&again), prefilled_at + 500 * MS);
    let too_late = r.finish_attempt(1, sent_to(&again).expect("a decode is sent"), AttemptStatus::Expired);
    assert!(is_rejected(&too_late, 1) && releases_kv(&too_late, 1), "{too_late:?}");
}

/// Whether a repeat is allowed was checked only when it was decided, and connecting could take longer than
/// the rest of the deduplication window.
#[test]
fn a_repeat_has_to_be_sent_within_its_deduplication_window() {
    let classes = vec![class(Idempotency::WithKey, DeduplicationScope::All)];
    let keyed = Settings { classes, kv_release_within: 5 * S, ..settings() };
    let mut r = Router::new(keyed, two_cells());
    let prefill = r.submit(1);
    assert_eq!(send_by(&prefill), Nanos::MAX, "a prefill may be repeated");
    let prefill_worker = sent_to(&prefill).expect("a prefill is sent");
    let decode = r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    let first_sent_at = r.now;
    assert_eq!(
        send_by(&decode),
        first_sent_at + 5 * S,
        "nothing has run yet, so only the release of the KV cache limits it"
    );
    r.advance(300 * MS);
    let again = r.finish_attempt(1, sent_to(&decode).expect("a decode is sent"), AttemptStatus::Reset);
    assert_eq!(send_by(&again), first_sent_at + 2 * S, "the window counts from the send that may have run");
}

// 4: warming-up servers.

#[test]
fn a_warming_up_server_gets_a_small_share_of_what_its_warm_peer_gets() {
    let mut r = Router::new(settings(), two_cells());
    let (mut warming_up, mut warm) = (0, 0);
    for id in 1..400 {
        if id == 200 {
            let started = Endpoint { started_at: Some(r.now), ..endpoint(1, 0, 0) };
            r.update_endpoints(EndpointUpdate::Delta, vec![started]);
        }
        let short = Request { prompt_tokens: 300.0, ..r.request(id) };
        let prefill_worker = sent_to(&r.handle(Event::RequestArrived(short))).expect("a prefill is sent");
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
        r.advance(20 * MS);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        if id >= 200 {
            *(if prefill_worker == 1 { &mut warming_up } else { &mut warm }) += 1;
        }
    }
    // The limit for all routers together is 2.5 x 0.3 of the load of a warm peer.
    assert!(warming_up > 0, "a server that gets nothing never warms up");
    assert!(f64::from(warming_up) < 0.75 * f64::from(warm), "{warming_up} against {warm}");
}

#[test]
fn a_router_without_history_sends_a_warming_up_server_almost_nothing() {
    let started = |server, kind| Endpoint { started_at: Some(100 * S), ..endpoint(server, kind, 0) };
    let mut r = Router::new(settings(), vec![started(1, 0), endpoint(11, 1, 0)]);
    for id in 1..100 {
        r.submit(id);
        r.advance(10 * MS);
    }
    let sends = r.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
    assert!(sends <= 2, "{sends}");
}

#[test]
fn the_budget_floor_of_a_warming_up_server_is_divided_by_the_number_of_routers() {
    let sends = |announced: Option<u32>| {
        let warming_up = |server, kind| Endpoint { started_at: Some(100 * S), ..endpoint(server, kind, 0) };
        let settings = Settings { router_count: 1, slow_start_duration: 60 * S, ..settings() };
        let mut r = Router::new(settings, vec![warming_up(1, 0), endpoint(11, 1, 0)]);
        announced.into_iter().for_each(|routers| drop(r.handle(Event::RouterCountChanged(routers))));
        for id in 1..400 {
            r.submit(id);
            r.advance(100 * MS);
        }
        r.actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
    };
    let (alone, four, twenty) = (sends(None), sends(Some(4)), sends(Some(20)));
    // All routers together may send one request in 4 s, by the settings of this test.
    assert!((8..=11).contains(&alone), "{alone}");
    assert!(four <= alone / 3 && twenty <= 1, "{four} and {twenty} against {alone}");
}

#[test]
fn a_server_that_was_unreachable_counts_as_warming_up_when_it_answers_again() {
    // Load probes are too expensive here, but health checks of unreachable servers are still sent.
    let settings = Settings { can_probe: true, probe_cost: 1.0, ..settings() };
    let mut r = Router::new(settings, two_cells());
    for id in 1..100 {
        let (_, decode_worker) = r.start_stream(id);
        r.advance(20 * MS);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
    }
    let prefill_worker = sent_to(&r.submit(100)).expect("a prefill is sent");
    r.finish_attempt(100, prefill_worker, AttemptStatus::ConnectFailed);
    r.advance(20 * MS);
    assert!(r.actions.contains(&Action::Probe(ServerId(prefill_worker))));
    let probe_answer = Event::ProbeFinished {
        server: ServerId(prefill_worker),
        status: AttemptStatus::Ok,
        latency: MS,
        report: None,
    };
    r.handle(probe_answer);
    let sent_at_once = (200..220).filter(|id| sent_to(&r.submit(*id)) == Some(prefill_worker)).count();
    assert!(sent_at_once <= 2, "{sent_at_once}");
}

/// A broken stream does not mean that the process has restarted: a worker that keeps serving must not be put
/// into slow start for it.
#[test]
fn a_server_that_lost_one_connection_and_answers_at_once_is_not_warming_up() {
    let settings = Settings { can_probe: true, probe_cost: 1.0, ..settings() };
    let mut r = Router::new(settings, two_cells());
    let prefill_worker = sent_to(&r.submit(100)).expect("a prefill is sent");
    r.finish_attempt(100, prefill_worker, AttemptStatus::Reset);
    r.advance(20 * MS);
    assert!(r.actions.contains(&Action::Probe(ServerId(prefill_worker))));
    r.handle(Event::ProbeFinished {
        server: ServerId(prefill_worker),
        status: AttemptStatus::Ok,
        latency: MS,
        report: None,
    });
    let view = r.policy.views().find(|v| v.server == ServerId(prefill_worker)).expect("it is listed");
    assert_eq!((view.avoid_reason, view.slow_start_budget), (None, None));
}

/// New servers get new ids all the time, so removed ones must not stay in the server table.
#[test]
fn a_removed_server_is_dropped_once_no_attempt_is_left_there() {
    let mut r = Router::new(settings(), two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let is_known = |r: &Router, server: u32| r.policy.views().any(|v| v.server == ServerId(server));
    let removed = |server, kind| Endpoint { state: ServerState::Removed, ..endpoint(server, kind, 0) };
    r.update_endpoints(EndpointUpdate::Delta, vec![removed(prefill_worker, 0)]);
    assert!(is_known(&r, prefill_worker), "its prefill is in flight");
    r.finish_attempt(1, prefill_worker, AttemptStatus::Reset);
    for next in 100..1000 {
        r.update_endpoints(EndpointUpdate::Delta, vec![endpoint(next, 1, 0), removed(next - 1, 1)]);
    }
    assert!(!is_known(&r, prefill_worker));
    assert!(r.policy.views().count() <= 5, "{}", r.policy.views().count());
    // Servers that a full list does not name are removed too.
    r.update_endpoints(EndpointUpdate::Full, two_cells());
    assert_eq!(r.policy.views().count(), 4);
}

// 5: no KV cache is held for too long.

#[test]
fn a_kv_cache_is_fetched_or_released_within_the_release_time() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let removed = Endpoint { state: ServerState::Removed, ..endpoint(11, 1, 0) };
    r.update_endpoints(EndpointUpdate::Delta, vec![removed]);
    r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    let actions = r.advance(490 * MS);
    assert!(releases_kv(&actions, 1));
    assert_eq!(final_answers(&r.actions, 1), 1);
}

#[test]
fn the_kv_cache_of_a_request_that_is_given_up_is_released() {
    let mut r = Router::new(Settings { max_attempts: 2, ..settings() }, two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    let actions = r.finish_attempt(1, decode_worker, AttemptStatus::Error);
    assert_eq!(final_answers(&actions, 1), 1);
    assert!(releases_kv(&actions, 1));
}

/// With one zone cut off, a decode worker that could not reach the prefill worker reported that there was no
/// KV cache to fetch.
#[test]
fn a_kv_cache_that_a_decode_worker_cannot_fetch_is_released_and_computed_again() {
    let mut r = Router::new(settings(), two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    let actions = r.finish_attempt_with_note(1, decode_worker, AttemptStatus::Rejected, 1);
    assert!(releases_kv(&actions, 1));
    assert!(matches!(sent_to(&actions), Some(1 | 2)));
}

/// Lets request 1 be prefilled; returns the decode worker that it is sent to, and when the prefill ended.
fn send_decode(r: &mut Router) -> (u32, Nanos) {
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let prefilled_at = r.now;
    (
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent"),
        prefilled_at,
    )
}

/// Operators reported that a decode attempt that no running server had received counted as in flight, and its
/// KV cache was held for 3.5 s.
#[test]
fn a_kv_cache_is_released_once_beside_an_unanswered_decode() {
    for (can_cancel, can_probe) in [(true, true), (true, false), (false, true), (false, false)] {
        for idempotency in [Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent] {
            let classes = vec![class(idempotency, DeduplicationScope::All)];
            let settings = Settings { classes, can_cancel, can_probe, ..settings() };
            let mut r = Router::new(settings, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
            r.submit(1);
            r.advance(40 * MS);
            r.finish_attempt(1, 1, AttemptStatus::Prefilled);
            let releases = |actions: &[Action]| {
                actions.iter().filter(|a| **a == Action::ReleaseKv(RequestId(1))).count()
            };
            assert_eq!(releases(&r.advance(400 * MS)), 0, "{idempotency:?}");
            let actions = r.advance(100 * MS);
            assert_eq!(
                (releases(&actions), sent_to(&actions), final_answers(&actions, 1)),
                (1, None, 0),
                "{idempotency:?}"
            );
            // Its answer may still come: the attempt had arrived, and the release left its KV cache alone.
            assert_eq!(releases(&r.advance(200 * MS)), 0, "{idempotency:?}");
            r.first_token(1, 11);
            assert_eq!(final_answers(&r.finish_attempt(1, 11, AttemptStatus::Ok), 1), 0, "{idempotency:?}");
        }
    }
}

/// A server that did not answer may never have received the decode attempt, so the release time is not
/// restarted.
#[test]
fn the_end_of_an_unanswered_decode_does_not_restart_the_release_time() {
    for status in [AttemptStatus::Reset, AttemptStatus::Timeout, AttemptStatus::Cancelled] {
        let mut r = Router::new(settings(), two_cells());
        let (decode_worker, prefilled_at) = send_decode(&mut r);
        r.advance(200 * MS);
        let again = r.finish_attempt(1, decode_worker, status);
        assert_eq!(send_by(&again), prefilled_at + 500 * MS, "{status:?}");
    }
    // A server that answered did receive the attempt, so the release time starts again.
    for status in [AttemptStatus::Rejected, AttemptStatus::Error] {
        let mut r = Router::new(settings(), two_cells());
        let (decode_worker, prefilled_at) = send_decode(&mut r);
        r.advance(200 * MS);
        let again = r.finish_attempt(1, decode_worker, status);
        assert_eq!(send_by(&again), prefilled_at + 700 * MS, "{status:?}");
    }
}

/// Once its KV cache was released, a request whose decode ends unanswered is prefilled again.
#[test]
fn a_request_is_prefilled_again_after_its_kv_cache_was_released() {
    let mut r = Router::new(settings(), two_cells());
    let (decode_worker, _) = send_decode(&mut r);
    assert!(releases_kv(&r.advance(600 * MS), 1));
    let again = sent_to(&r.finish_attempt(1, decode_worker, AttemptStatus::Reset)).expect("another send");
    assert!([1, 2].contains(&again), "sent to {again}");
}

/// If a decode worker does not answer a probe, the attempt is retried at another one while the KV cache is
/// still held; if it answers, the attempt stays.
#[test]
fn a_decode_is_retried_elsewhere_if_its_worker_does_not_answer_a_probe() {
    for answers_probes in [false, true] {
        let mut r = Router::new(Settings { can_probe: true, ..settings() }, two_cells());
        let mut actions = r.submit(1);
        actions.extend(r.advance(40 * MS));
        let prefill_worker = sent_to(&actions).expect("a prefill is sent");
        for server in [1, 2, 11, 12].map(ServerId) {
            r.handle(Event::ProbeFinished {
                server,
                status: AttemptStatus::Ok,
                latency: 2 * MS,
                report: None,
            });
        }
        let decode_worker = sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        let server = ServerId(decode_worker);
        let actions = r.advance(200 * MS);
        assert!(actions.contains(&Action::Probe(server)), "{actions:?}");
        if answers_probes {
            r.handle(Event::ProbeFinished {
                server,
                status: AttemptStatus::Ok,
                latency: 2 * MS,
                report: None,
            });
        }
        let actions = r.advance(150 * MS);
        let is_cancelled = actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        assert_eq!(is_cancelled, !answers_probes, "{actions:?}");
        if is_cancelled {
            let other = sent_to(&r.finish_attempt(1, decode_worker, AttemptStatus::Cancelled))
                .expect("an attempt is sent");
            assert!([11, 12].contains(&other) && other != decode_worker, "sent to {other}");
        }
    }
}

/// If a client disconnects while its decode is in flight and can't be cancelled, the end of the attempt may
/// never be heard of.
#[test]
fn the_kv_cache_of_a_disconnected_client_is_released_at_once() {
    let mut r = Router::new(Settings { can_cancel: false, ..settings() }, two_cells());
    send_decode(&mut r);
    assert!(releases_kv(&r.handle(Event::ClientDisconnected(RequestId(1))), 1));
}
