//! Sites that differ from the usual one: coarse time steps, mixed servers, missing settings or missing
//! signals.

mod common;
use common::*;
use gaparch_scheduler::api::*;

/// An answer used to be due two ticks before the client's deadline, however far apart the steps of a site
/// are.
#[test]
fn with_coarse_time_steps_the_answer_still_comes_in_time() {
    for step in [20 * MS, 40 * MS, 150 * MS] {
        let settings = Settings { step, can_cancel: false, ..settings() };
        let answer_grace = settings.answer_grace;
        let mut r = Router::new(settings, two_cells());
        r.step = step;
        let deadline_at = r.now + 5 * S + step * 3 / 4;
        let request = Request { deadline_at, ..r.request(1) };
        r.handle(Event::RequestArrived(request));
        let mut answered_at = None;
        while r.now < deadline_at + S {
            if final_answers(&r.advance(step), 1) > 0 {
                answered_at.get_or_insert(r.now);
            }
        }
        assert!(
            answered_at.is_some_and(|at| at <= deadline_at + answer_grace),
            "{step} {answered_at:?} {deadline_at}"
        );
        assert_eq!(final_answers(&r.actions, 1), 1);
    }
}

#[test]
fn with_coarse_time_steps_a_kv_cache_is_still_released_in_time() {
    let settings = Settings { step: 100 * MS, kv_release_within: 90 * MS, ..settings() };
    let mut r = Router::new(settings, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    r.step = 100 * MS;
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    r.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { state: ServerState::Removed, ..endpoint(11, 1, 0) }],
    );
    r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    r.advance(90 * MS);
    assert!(releases_kv(&r.actions, 1));
}

/// A small server that was warming up used to get its share of what large servers of its role are sent.
#[test]
fn a_warming_up_server_is_compared_with_servers_of_its_own_size() {
    // Sizes differ by kind, or by weight within one kind.
    for (small_kind, weight) in [(2, None), (1, Some(0.1))] {
        let mut kinds = kinds([100_000.0, 100_000.0, if small_kind == 2 { 10_000.0 } else { 100_000.0 }]);
        kinds[2].role = Some(Role::Decode);
        let mut r = Router::new(Settings { kinds, ..settings() }, vec![endpoint(1, 0, 0)]);
        let large = |id| Endpoint { weight: weight.map(|_| 1.0), ..endpoint(id, 1, 0) };
        let small = |id| Endpoint { weight, ..endpoint(id, small_kind, 0) };
        r.update_endpoints(EndpointUpdate::Delta, vec![large(11), large(12), large(13), small(14)]);
        let (mut warm, mut warming_up, mut decode_workers) = (0, 0, Vec::new());
        for id in 1..1200 {
            if id == 600 {
                r.update_endpoints(
                    EndpointUpdate::Delta,
                    vec![Endpoint { started_at: Some(r.now), ..small(15) }],
                );
            }
            let short = Request { prompt_tokens: 300.0, ..r.request(id) };
            let prefill_worker = sent_to(&r.handle(Event::RequestArrived(short))).expect("a prefill is sent");
            let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
                .expect("a decode is sent");
            r.first_token(id, decode_worker);
            r.advance(10 * MS);
            decode_workers.push(decode_worker);
            if id > 20 {
                r.finish_attempt(id - 20, decode_workers[id as usize - 21], AttemptStatus::Ok);
            }
            if id >= 600 {
                (warm, warming_up) =
                    (warm + u32::from(decode_worker == 14), warming_up + u32::from(decode_worker == 15));
            }
        }
        // The limit is 2.5 x 0.3 of the load of a warm server of its size.
        assert!(
            warming_up > 0 && f64::from(warming_up) <= 0.8 * f64::from(warm),
            "kind {small_kind}: {warming_up} against {warm}"
        );
    }
}

/// The affinity weight by the share of decode workers in the cell used to apply to mixed servers too, so that
/// one with no decode worker in its cell was preferred by no request.
#[test]
fn a_mixed_server_gets_its_share_of_affinity_whatever_its_cell_has() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 1)]);
    let served_whole = (1..200).filter(|id| {
        let server = sent_to(&r.submit(*id)).expect("an attempt is sent");
        r.first_token(*id, server);
        r.finish_attempt(*id, server, AttemptStatus::Ok);
        server == 21
    });
    let served_whole = served_whole.count();
    assert!((60..140).contains(&served_whole), "{served_whole} of 199");
}

#[test]
fn where_mixed_servers_decode_affinity_follows_them() {
    let endpoints = vec![
        endpoint(1, 0, 0),
        endpoint(2, 0, 1),
        endpoint(21, 2, 0),
        endpoint(22, 2, 0),
        endpoint(23, 2, 0),
    ];
    let mut r = Router::new(settings(), endpoints);
    let prefill_workers: Vec<u32> = (1..300)
        .map(|id| {
            let server = sent_to(&r.submit(id)).expect("an attempt is sent");
            r.handle(Event::ClientDisconnected(RequestId(id)));
            r.finish_attempt(id, server, AttemptStatus::Cancelled);
            server
        })
        .collect();
    let sent_to_worker = |server| prefill_workers.iter().filter(|s| **s == server).count();
    let (with_decode, without_decode) = (sent_to_worker(1), sent_to_worker(2));
    assert!(
        with_decode > 10 * without_decode,
        "{with_decode} in the cell that can decode, {without_decode} in the other"
    );
}

#[test]
fn a_server_that_runs_neither_stage_is_sent_nothing() {
    let mut settings = settings();
    settings.kinds[2].role = None;
    let mut r = Router::new(settings, [two_cells(), vec![endpoint(21, 2, 0), endpoint(22, 2, 1)]].concat());
    for id in 1..50 {
        let (prefill_worker, decode_worker) = r.start_stream(id);
        assert!(prefill_worker < 3 && (11..13).contains(&decode_worker));
    }
    let others: Vec<Endpoint> =
        two_cells().into_iter().map(|e| Endpoint { state: ServerState::Removed, ..e }).collect();
    r.update_endpoints(EndpointUpdate::Delta, others);
    assert_eq!(sent_to(&r.submit(100)), None);
}

/// A server id that was listed again with another kind used to keep its old role.
#[test]
fn a_server_that_comes_back_as_another_kind_takes_the_role_of_that_kind() {
    let mut r = Router::new(settings(), two_cells());
    r.update_endpoints(EndpointUpdate::Delta, vec![Endpoint { started_at: Some(1), ..endpoint(11, 0, 1) }]);
    let prefills = (1..60).filter(|id| {
        let (prefill_worker, decode_worker) = r.start_stream(*id);
        assert_eq!(decode_worker, 12);
        r.finish_attempt(*id, decode_worker, AttemptStatus::Ok);
        prefill_worker == 11
    });
    assert!(prefills.count() > 0);
}

#[test]
fn a_class_without_a_latency_objective_is_served_until_its_deadline() {
    let class =
        TrafficClass { latency_objective: 0, ..class(Idempotency::Idempotent, DeduplicationScope::All) };
    let mut r = Router::new(Settings { classes: vec![class], ..settings() }, two_cells());
    // All decode workers drain for a second: the request is queued, and served when one is ready again.
    let decode_workers =
        |state| vec![Endpoint { state, ..endpoint(11, 1, 0) }, Endpoint { state, ..endpoint(12, 1, 1) }];
    r.update_endpoints(EndpointUpdate::Delta, decode_workers(ServerState::Draining));
    r.submit(1);
    assert_eq!(final_answers(&r.advance(S), 1), 0);
    let actions = r.update_endpoints(EndpointUpdate::Delta, decode_workers(ServerState::Ready));
    assert!(sent_to(&actions).is_some());
}

#[test]
fn the_default_number_of_attempts_allows_a_prefill_and_a_decode() {
    let mut r =
        Router::new(Settings { max_attempts: Settings::default().max_attempts, ..settings() }, two_cells());
    r.start_stream(1);
    assert_eq!(final_answers(&r.actions, 1), 0);
}

/// Where attempts can't be cancelled, each prefill used to get a timeout of 1.5 s, however long prefills take
/// at a site.
#[test]
fn without_cancellation_the_timeout_follows_the_learnt_prefill_time() {
    let class = TrafficClass {
        latency_objective: 20 * S,
        deadline: 60 * S,
        ..class(Idempotency::Idempotent, DeduplicationScope::All)
    };
    let mut r = Router::new(Settings { can_cancel: false, classes: vec![class], ..settings() }, two_cells());
    let mut last_timeout = 0;
    for id in 1..20 {
        let request = Request { deadline_at: r.now + 60 * S, prompt_tokens: 60_000.0, ..r.request(id) };
        let actions = r.handle(Event::RequestArrived(request));
        let Some(Action::Send { server, timeout, .. }) =
            actions.iter().find(|a| matches!(a, Action::Send { .. })).cloned()
        else {
            panic!("no prefill is sent")
        };
        last_timeout = timeout;
        r.advance(3 * S);
        let id = RequestId(id);
        let prefilled = attempt_outcome(id, AttemptNumber(0), server, AttemptStatus::Prefilled, 3 * S);
        let decode_worker = sent_to(&r.handle(Event::AttemptFinished(prefilled))).expect("a decode is sent");
        r.finish_attempt(id.0, decode_worker, AttemptStatus::Ok);
        r.advance(S);
    }
    assert!(last_timeout > 3 * S, "{last_timeout}");
}

// A request that is given up gets its final answer at once.

/// A request with a key whose deduplication window was over, or whose deduplication domain was not known,
/// used to stay queued until it missed its objective.
#[test]
fn a_request_with_a_key_that_may_not_be_repeated_anywhere_fails_at_once() {
    let router = |scope, window, endpoints: Vec<Endpoint>| {
        let class = TrafficClass {
            latency_objective: 4 * S,
            deduplication_window: window,
            ..class(Idempotency::WithKey, scope)
        };
        Router::new(Settings { classes: vec![class], ..settings() }, endpoints)
    };
    let mixed = vec![endpoint(21, 2, 0), endpoint(22, 2, 1)];
    // Endpoints listed without zone and cell.
    let without_location: Vec<Endpoint> =
        mixed.iter().map(|e| Endpoint { zone: None, cell: None, ..e.clone() }).collect();
    for scope in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut r = router(scope, 2 * S, without_location.clone());
        let server = sent_to(&r.submit(1)).expect("an attempt is sent");
        assert!(is_failed(&r.finish_attempt(1, server, AttemptStatus::Error), 1), "{scope:?}");
    }
    // The window ends while the attempt is in flight, or while the request waits for the only server of its
    // domain.
    let mut r = router(DeduplicationScope::Cell, 2 * S, mixed.clone());
    let server = sent_to(&r.submit(1)).expect("an attempt is sent");
    r.advance(2 * S);
    assert!(is_failed(&r.finish_attempt(1, server, AttemptStatus::Error), 1));
    let mut r = router(DeduplicationScope::Cell, 2 * S, mixed);
    let server = sent_to(&r.submit(1)).expect("an attempt is sent");
    let draining = endpoint(server, 2, u64::from(server - 21));
    r.update_endpoints(EndpointUpdate::Delta, vec![Endpoint { state: ServerState::Draining, ..draining }]);
    assert_eq!(final_answers(&r.finish_attempt(1, server, AttemptStatus::Error), 1), 0);
    let actions = r.advance(2 * S + 50 * MS);
    assert!(is_failed(&actions, 1), "{actions:?}");
}

/// Whatever the reason, the answer comes with the event or the tick at which the request is given up, so that
/// a client that may retry is not kept waiting, and it has a Retry-After.
#[test]
fn a_request_that_is_given_up_is_rejected_at_once_with_a_retry_after() {
    let router = |class: TrafficClass, max_attempts| {
        let classes = vec![TrafficClass { latency_objective: 2 * S, ..class }];
        let settings =
            Settings { classes, max_attempts, can_send_retry_after: true, max_retry_after: S, ..settings() };
        Router::new(settings, two_cells())
    };
    let idempotent = class(Idempotency::Idempotent, DeduplicationScope::All);
    let assert_rejected = |actions: &[Action], reason: GiveUpReason| {
        let is_expected =
            |a: &Action| matches!(a, Action::Reject { retry_after: S, cause, .. } if cause.reason == reason);
        assert!(actions.iter().any(is_expected), "{reason:?}: {actions:?}");
    };
    // The last attempt has failed.
    let mut r = router(idempotent.clone(), 2);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    assert_rejected(
        &r.finish_attempt(1, decode_worker, AttemptStatus::Error),
        GiveUpReason::AttemptsExhausted,
    );
    // No decode worker is left: the latency objective ends the wait, three seconds before the client's
    // deadline.
    let mut r = router(idempotent.clone(), 5);
    r.update_endpoints(EndpointUpdate::Full, vec![endpoint(1, 0, 0)]);
    let arrived_at = r.now;
    r.submit(1);
    while final_answers(&r.actions, 1) == 0 && r.now < arrived_at + 5 * S {
        r.advance(10 * MS);
    }
    assert_rejected(&r.actions, GiveUpReason::ObjectiveMissed);
    assert!(r.now <= arrived_at + 2 * S + 20 * MS, "{}", r.now - arrived_at);
    // The KV cache may not be held any longer.
    let mut r = router(idempotent.clone(), 5);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    r.update_endpoints(EndpointUpdate::Full, vec![endpoint(1, 0, 0), endpoint(2, 0, 1)]);
    r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    assert_rejected(&r.advance(400 * MS), GiveUpReason::KvReleaseTimeout);
    // The attempt expired before it was sent.
    let mut r = router(idempotent, 5);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    assert_rejected(&r.finish_attempt(1, prefill_worker, AttemptStatus::Expired), GiveUpReason::TooLate);
}

// Mixed servers.

/// The latency of mixed servers used to be ignored, so that a slow one counted as any other.
#[test]
fn a_slow_mixed_server_has_a_high_latency_ratio() {
    let mut r = Router::new(settings(), vec![endpoint(21, 2, 0), endpoint(22, 2, 1), endpoint(23, 2, 1)]);
    for id in 1..60 {
        let server = sent_to(&r.submit(id)).expect("an attempt is sent");
        r.first_token_after(id, server, if server == 21 { 300 * MS } else { 30 * MS });
        r.finish_attempt(id, server, AttemptStatus::Ok);
        r.advance(S);
    }
    let latency_ratio =
        |id| r.policy.views().find(|v| v.server == ServerId(id)).map_or(0.0, |v| v.latency_ratio);
    assert!(
        latency_ratio(21) > 3.0 && latency_ratio(22) < 2.0,
        "{} {}",
        latency_ratio(21),
        latency_ratio(22)
    );
}

/// While all decode workers looked saturated every request used to be queued, even beside mixed servers with
/// capacity.
#[test]
fn while_decode_workers_look_saturated_mixed_servers_with_capacity_serve_requests_whole() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 0)]);
    let mut id = 0;
    // Until a request is prefilled at the prefill worker, and its decode worker rejects it.
    loop {
        id += 1;
        let server = sent_to(&r.submit(id)).expect("an attempt is sent");
        if server == 1 {
            let decode_worker =
                sent_to(&r.finish_attempt(id, 1, AttemptStatus::Prefilled)).expect("a decode is sent");
            r.finish_attempt(id, decode_worker, AttemptStatus::Rejected);
            break;
        }
        r.first_token(id, server);
        r.finish_attempt(id, server, AttemptStatus::Ok);
    }
    for next in id + 1..id + 20 {
        assert_eq!(sent_to(&r.submit(next)), Some(21));
        r.first_token(next, 21);
        r.finish_attempt(next, 21, AttemptStatus::Ok);
    }
    // Once the mixed server has no capacity either, requests are queued.
    r.handle(Event::RequestArrived(Request { max_output_tokens: 190_000.0, ..r.request(900) }));
    r.first_token(900, 21);
    assert_eq!(sent_to(&r.submit(901)), None);
}

#[test]
fn a_kv_cache_is_sent_to_a_mixed_server_where_no_decode_worker_is_left() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 0)]);
    let id = (1..).find(|id| sent_to(&r.submit(*id)) == Some(1)).expect("a prefill is sent");
    r.finish_attempt(id, 1, AttemptStatus::Prefilled);
    assert_eq!(sent_to(&r.finish_attempt(id, 11, AttemptStatus::ConnectFailed)), Some(21));
}

// Missing signals.

/// The worker of an answer that is not streamed used to count as saturated after 0.4 s, and the attempt was
/// cancelled after 0.9 s.
#[test]
fn a_decode_worker_of_an_answer_that_is_not_streamed_may_be_silent() {
    for can_cancel in [true, false] {
        let classes =
            vec![TrafficClass { streamed: false, ..class(Idempotency::Idempotent, DeduplicationScope::All) }];
        let mut r = Router::new(Settings { classes, can_cancel, ..settings() }, two_cells());
        let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
        let actions = r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
        let Some(Action::Send { server, timeout: 0, .. }) = actions.first().cloned() else {
            panic!("{actions:?}")
        };
        assert!(r.advance(3 * S).iter().all(|a| !matches!(a, Action::Cancel { .. })));
        let view = r.policy.views().find(|v| v.server == server).expect("it is listed");
        assert_eq!(view.avoid_reason, None);
        // The answer is still due in time.
        assert_eq!(final_answers(&r.advance(2 * S), 1), 1);
    }
}

/// A decode worker whose probe was never answered used to count as saturated for ever.
#[test]
fn a_probe_that_is_never_answered_is_forgotten() {
    let settings = Settings { can_probe: true, ..settings() };
    let mut r = Router::new(settings, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    let mut served = 0;
    for id in 1..200 {
        let mut actions = r.submit(id);
        actions.extend(r.advance(150 * MS));
        actions.retain(|a| matches!(a, Action::Send { .. }));
        // Every attempt is answered, also those of earlier requests; only probes are not.
        while let Some(Action::Send { id, server, .. }) = actions.pop() {
            if server == ServerId(1) {
                actions.extend(r.finish_attempt(id.0, 1, AttemptStatus::Prefilled));
            } else {
                r.first_token(id.0, server.0);
                r.finish_attempt(id.0, server.0, AttemptStatus::Ok);
                served += u32::from(r.now > 105 * S);
            }
            actions.retain(|a| matches!(a, Action::Send { .. }));
        }
    }
    assert!(r.actions.contains(&Action::Probe(ServerId(11))));
    // Each unanswered probe may keep requests away for some time, but not all the time.
    assert!(served > 20, "{served}");
}

/// A gossip message has space for 42 servers, and used to name those with the lowest ids.
#[test]
fn a_gossip_message_names_the_servers_where_the_router_holds_most() {
    let settings = Settings { can_gossip: true, gossip_cost: 0.0, ..settings() };
    let decode_workers = (100..160).map(|id| endpoint(id, 1, 0));
    let mut r = Router::new(settings, [vec![endpoint(1, 0, 0)], decode_workers.collect()].concat());
    for id in 1..61 {
        let prefill_worker = sent_to(&r.submit(id)).expect("a prefill is sent");
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
    }
    let utilization = |r: &Router, id| {
        r.policy.views().find(|v| v.server == ServerId(id)).map_or(0.0, |v| v.memory_utilization)
    };
    let large = Request { max_output_tokens: 100_000.0, ..r.request(61) };
    let prefill_worker = sent_to(&r.handle(Event::RequestArrived(large))).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(61, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    assert!(utilization(&r, decode_worker) > 0.4);
    r.actions.clear();
    r.advance(S);
    let message = r.actions.iter().rev().find_map(|a| match a {
        Action::SendGossip { data, .. } => Some(data.clone()),
        _ => None,
    });
    let message = message.expect("a gossip message is sent");
    let first = u32::from_le_bytes([message[0], message[1], message[2], message[3]]);
    assert!(message.len() <= 256 && first == decode_worker, "{first}, not {decode_worker}");
}

// Behaviour that does harm only with hundreds of routers.

/// In a run of the full fleet, two of three gossip messages were empty, and cost as much as the others.
#[test]
fn a_router_that_holds_no_kv_cache_tokens_sends_no_gossip() {
    let settings = Settings { can_gossip: true, gossip_cost: 0.0, can_cancel: false, ..settings() };
    let mut r = Router::new(settings, two_cells());
    // Its prefill is in flight, and nothing is decoded yet.
    r.submit(1);
    let actions = r.advance(3 * S);
    assert!(actions.iter().all(|a| !matches!(a, Action::SendGossip { .. })), "{actions:?}");
    r.start_stream(2);
    assert!(r.advance(S).iter().any(|a| matches!(a, Action::SendGossip { data, .. } if !data.is_empty())));
}

/// In a run of the full fleet, most prefill workers were warming up and stayed idle beside the overloaded old
/// ones, since each router seldom came across one of the few that it was allowed to send to.
#[test]
fn a_warming_up_prefill_worker_with_budget_is_probed_beside_the_preferred_one() {
    let settings = Settings { can_probe: true, router_count: 300, ..settings() };
    let mut r = Router::new(
        settings,
        [two_cells(), (3..9).map(|id| endpoint(id, 0, u64::from(id))).collect()].concat(),
    );
    for id in 1..40 {
        let (_, decode_worker) = r.start_stream_with_probes(id);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(50 * MS);
    }
    r.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { started_at: Some(r.now), ..endpoint(20, 0, 1) }],
    );
    // Its budget begins in debt, which is paid off some time before it is warm.
    let mut probed = 0;
    for id in 100..180 {
        let allowed = r
            .policy
            .views()
            .any(|v| v.server == ServerId(20) && v.slow_start_budget.is_some_and(|b| b >= 0.0));
        r.actions.clear();
        let (prefill_worker, decode_worker) = r.start_stream_with_probes(id);
        if allowed && prefill_worker != 20 {
            probed += 1;
            assert!(r.actions.contains(&Action::Probe(ServerId(20))), "{:?}", r.actions);
        }
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(1100 * MS);
        if r.policy.views().any(|v| v.server == ServerId(20) && v.slow_start_budget.is_none()) {
            break;
        }
    }
    assert!(probed > 0);
}
