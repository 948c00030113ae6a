//! What a deployment that is put together differently may lack, or have in another shape.

mod common;
use common::*;
use gaparch_scheduler::api::*;

/// Found by reading: an answer was due two ticks before its client leaves, however far apart a site's steps are.
#[test]
fn where_time_comes_in_coarse_steps_the_answer_still_comes_in_time() {
    for step in [20 * MS, 40 * MS, 150 * MS] {
        let set = Settings { step, can_cancel: false, ..settings() };
        let slack = set.answer_grace;
        let mut r = Router::new(set, two_cells());
        r.step = step;
        let give_up_at = r.now + 5 * S + step * 3 / 4;
        let request = Request { deadline_at: give_up_at, ..r.request(1) };
        r.handle(Event::RequestArrived(request));
        let mut answered_at = None;
        while r.now < give_up_at + S {
            if final_answers(&r.advance(step), 1) > 0 {
                answered_at.get_or_insert(r.now);
            }
        }
        assert!(
            answered_at.is_some_and(|at| at <= give_up_at + slack),
            "{step} {answered_at:?} {give_up_at}"
        );
        assert_eq!(final_answers(&r.actions, 1), 1);
    }
}

#[test]
fn where_time_comes_in_coarse_steps_a_kv_cache_is_still_let_go_in_time() {
    let set = Settings { step: 100 * MS, kv_release_within: 90 * MS, ..settings() };
    let mut r = Router::new(set, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
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

/// Found by reading: a small server that starts was given its part of what large peers of its role carry.
#[test]
fn a_warming_up_server_is_measured_by_servers_of_its_own_size() {
    // Told by their kinds, or by their weights where the kind is the same.
    for (small, weight) in [(2, None), (1, Some(0.1))] {
        let mut kinds = kinds([100_000.0, 100_000.0, if small == 2 { 10_000.0 } else { 100_000.0 }]);
        kinds[2].role = Some(Role::Decode);
        let mut r = Router::new(Settings { kinds, ..settings() }, vec![endpoint(1, 0, 0)]);
        let large = |id| Endpoint { weight: weight.map(|_| 1.0), ..endpoint(id, 1, 0) };
        let little = |id| Endpoint { weight, ..endpoint(id, small, 0) };
        r.update_endpoints(EndpointUpdate::Delta, vec![large(11), large(12), large(13), little(14)]);
        let (mut warm, mut cold, mut wrote) = (0, 0, Vec::new());
        for id in 1..1200 {
            if id == 600 {
                r.update_endpoints(
                    EndpointUpdate::Delta,
                    vec![Endpoint { started_at: Some(r.now), ..little(15) }],
                );
            }
            let short = Request { prompt_tokens: 300.0, ..r.request(id) };
            let prefill_worker = sent_to(&r.handle(Event::RequestArrived(short))).expect("a prefill is sent");
            let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
                .expect("a decode is sent");
            r.first_token(id, decode_worker);
            r.advance(10 * MS);
            wrote.push(decode_worker);
            if id > 20 {
                r.finish_attempt(id - 20, wrote[id as usize - 21], AttemptStatus::Ok);
            }
            if id >= 600 {
                (warm, cold) = (warm + u32::from(decode_worker == 14), cold + u32::from(decode_worker == 15));
            }
        }
        // 2.5 x 0.3 of what one of its size carries is the limit.
        assert!(cold > 0 && f64::from(cold) <= 0.8 * f64::from(warm), "{small}: {cold} against {warm}");
    }
}

/// Found by reading: the part of a cell's decode workers weighed mixed servers too, and one with no decode worker near was home to
/// nothing.
#[test]
fn a_mixed_server_is_home_to_its_share_whatever_stands_in_its_cell() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 1)]);
    let whole = (1..200).filter(|id| {
        let server = sent_to(&r.submit(*id)).expect("an attempt is sent");
        r.first_token(*id, server);
        r.finish_attempt(*id, server, AttemptStatus::Ok);
        server == 21
    });
    let whole = whole.count();
    assert!((60..140).contains(&whole), "{whole} of 199");
}

#[test]
fn where_mixed_servers_write_homes_follow_them() {
    let entries = vec![
        endpoint(1, 0, 0),
        endpoint(2, 0, 1),
        endpoint(21, 2, 0),
        endpoint(22, 2, 0),
        endpoint(23, 2, 0),
    ];
    let mut r = Router::new(settings(), entries);
    let reads: Vec<u32> = (1..300)
        .map(|id| {
            let server = sent_to(&r.submit(id)).expect("an attempt is sent");
            r.handle(Event::ClientDisconnected(RequestId(id)));
            r.finish_attempt(id, server, AttemptStatus::Cancelled);
            server
        })
        .collect();
    let of = |server| reads.iter().filter(|s| **s == server).count();
    assert!(of(1) > 10 * of(2), "{} in the cell with decode workers, {} in the other", of(1), of(2));
}

#[test]
fn a_server_that_neither_reads_nor_writes_is_sent_nothing() {
    let mut set = settings();
    set.kinds[2].role = None;
    let mut r = Router::new(set, [two_cells(), vec![endpoint(21, 2, 0), endpoint(22, 2, 1)]].concat());
    for id in 1..50 {
        let (prefill_worker, decode_worker) = r.start_stream(id);
        assert!(prefill_worker < 3 && (11..13).contains(&decode_worker));
    }
    let others: Vec<Endpoint> =
        two_cells().into_iter().map(|e| Endpoint { state: ServerState::Removed, ..e }).collect();
    r.update_endpoints(EndpointUpdate::Delta, others);
    assert_eq!(sent_to(&r.submit(100)), None);
}

/// Found by reading: an id that came back as another kind kept the role of its first life.
#[test]
fn a_server_that_comes_back_as_another_kind_does_what_that_does() {
    let mut r = Router::new(settings(), two_cells());
    r.update_endpoints(EndpointUpdate::Delta, vec![Endpoint { started_at: Some(1), ..endpoint(11, 0, 1) }]);
    let reads = (1..60).filter(|id| {
        let (prefill_worker, decode_worker) = r.start_stream(*id);
        assert_eq!(decode_worker, 12);
        r.finish_attempt(*id, decode_worker, AttemptStatus::Ok);
        prefill_worker == 11
    });
    assert!(reads.count() > 0);
}

#[test]
fn a_class_without_an_objective_is_served_while_its_client_waits() {
    let class =
        TrafficClass { latency_objective: 0, ..class(Idempotency::Idempotent, DeduplicationScope::All) };
    let mut r = Router::new(Settings { classes: vec![class], ..settings() }, two_cells());
    // All decode workers drain for a second: it waits, and is served when one is back.
    let state =
        |state| vec![Endpoint { state, ..endpoint(11, 1, 0) }, Endpoint { state, ..endpoint(12, 1, 1) }];
    r.update_endpoints(EndpointUpdate::Delta, state(ServerState::Draining));
    r.submit(1);
    assert_eq!(final_answers(&r.advance(S), 1), 0);
    assert!(sent_to(&r.update_endpoints(EndpointUpdate::Delta, state(ServerState::Ready))).is_some());
}

#[test]
fn where_no_number_of_attempts_is_told_a_read_and_a_write_are_made() {
    let mut r =
        Router::new(Settings { max_attempts: Settings::default().max_attempts, ..settings() }, two_cells());
    r.start_stream(1);
    assert_eq!(final_answers(&r.actions, 1), 0);
}

/// Found by reading: where attempts can't be cancelled each read got 1.5 s, whatever reads take at a site.
#[test]
fn where_nothing_can_be_cancelled_an_attempt_gets_the_time_that_they_take_there() {
    let class = TrafficClass {
        latency_objective: 20 * S,
        deadline: 60 * S,
        ..class(Idempotency::Idempotent, DeduplicationScope::All)
    };
    let mut r = Router::new(Settings { can_cancel: false, classes: vec![class], ..settings() }, two_cells());
    let mut last = 0;
    for id in 1..20 {
        let request = Request { deadline_at: r.now + 60 * S, prompt_tokens: 60_000.0, ..r.request(id) };
        let done = r.handle(Event::RequestArrived(request));
        let Some(Action::Send { server, timeout, .. }) =
            done.iter().find(|a| matches!(a, Action::Send { .. })).cloned()
        else {
            panic!("no read")
        };
        last = timeout;
        r.advance(3 * S);
        let (status, latency, attempt) = (AttemptStatus::Prefilled, 3 * S, AttemptNumber(0));
        let report = None;
        let id = RequestId(id);
        let read = AttemptOutcome {
            id,
            attempt,
            server,
            status,
            latency,
            request_finished: false,
            cached_prompt_tokens: 0,
            kv_cache_missing: false,
            report,
        };
        let decode_worker = sent_to(&r.handle(Event::AttemptFinished(read))).expect("a decode is sent");
        r.finish_attempt(id.0, decode_worker, AttemptStatus::Ok);
        r.advance(S);
    }
    assert!(last > 3 * S, "{last}");
}

// What is given up gets its final answer at once.

/// Found by reading: past its window, or with no group known to stay in, it was held until its objective was lost.
#[test]
fn a_keyed_request_that_can_go_nowhere_any_more_fails_at_once() {
    let site = |group, window, entries: Vec<Endpoint>| {
        let class = TrafficClass {
            latency_objective: 4 * S,
            deduplication_window: window,
            ..class(Idempotency::WithKey, group)
        };
        Router::new(Settings { classes: vec![class], ..settings() }, entries)
    };
    let mixed = vec![endpoint(21, 2, 0), endpoint(22, 2, 1)];
    // No zones or cells are told here.
    let bare: Vec<Endpoint> =
        mixed.iter().map(|e| Endpoint { zone: None, cell: None, ..e.clone() }).collect();
    for group in [DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let mut r = site(group, 2 * S, bare.clone());
        let server = sent_to(&r.submit(1)).expect("an attempt is sent");
        assert!(is_failed(&r.finish_attempt(1, server, AttemptStatus::Error), 1), "{group:?}");
    }
    // Its window ends while it is out, or while it waits for the only other one of its group.
    let mut r = site(DeduplicationScope::Cell, 2 * S, mixed.clone());
    let server = sent_to(&r.submit(1)).expect("an attempt is sent");
    r.advance(2 * S);
    assert!(is_failed(&r.finish_attempt(1, server, AttemptStatus::Error), 1));
    let mut r = site(DeduplicationScope::Cell, 2 * S, mixed);
    let server = sent_to(&r.submit(1)).expect("an attempt is sent");
    let gone = endpoint(server, 2, u64::from(server - 21));
    r.update_endpoints(EndpointUpdate::Delta, vec![Endpoint { state: ServerState::Draining, ..gone }]);
    assert_eq!(final_answers(&r.finish_attempt(1, server, AttemptStatus::Error), 1), 0);
    let done = r.advance(2 * S + 50 * MS);
    assert!(is_failed(&done, 1), "{done:?}");
}

/// Whatever a request is given up for, the answer is there with the event that settles it, or with the tick at
/// which it is settled: a client that may come back is not kept, and is told when.
#[test]
fn what_is_given_up_is_answered_at_once_and_told_when_to_come_back() {
    let site = |class: TrafficClass, max_attempts| {
        let classes = vec![TrafficClass { latency_objective: 2 * S, ..class }];
        let set =
            Settings { classes, max_attempts, can_send_retry_after: true, max_retry_after: S, ..settings() };
        Router::new(set, two_cells())
    };
    let safe = class(Idempotency::Idempotent, DeduplicationScope::All);
    let told = |done: &[Action], reason: GiveUpReason| {
        let refusal = |a: &Action| matches!(a, Action::Reject { retry_after: S, cause: why, .. } if why.reason == reason);
        assert!(done.iter().any(refusal), "{reason:?}: {done:?}");
    };
    // The last attempt has failed.
    let mut r = site(safe.clone(), 2);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    told(&r.finish_attempt(1, decode_worker, AttemptStatus::Error), GiveUpReason::AttemptsExhausted);
    // No decode worker is left: the objective ends the wait, three seconds before the client leaves.
    let mut r = site(safe.clone(), 5);
    r.update_endpoints(EndpointUpdate::Full, vec![endpoint(1, 0, 0)]);
    let asked = r.now;
    r.submit(1);
    while final_answers(&r.actions, 1) == 0 && r.now < asked + 5 * S {
        r.advance(10 * MS);
    }
    told(&r.actions, GiveUpReason::ObjectiveMissed);
    assert!(r.now <= asked + 2 * S + 20 * MS, "{}", r.now - asked);
    // The KV cache can't wait any longer.
    let mut r = site(safe.clone(), 5);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    r.update_endpoints(EndpointUpdate::Full, vec![endpoint(1, 0, 0), endpoint(2, 0, 1)]);
    r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
    told(&r.advance(400 * MS), GiveUpReason::KvReleaseTimeout);
    // A send that was too late.
    let mut r = site(safe, 5);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    told(&r.finish_attempt(1, prefill_worker, AttemptStatus::Expired), GiveUpReason::TooLate);
}

// Servers that do both.

/// Found by reading: nothing was learnt of what mixed servers take, and a slow one counted as any other.
#[test]
fn a_slow_mixed_server_counts_as_smaller() {
    let mut r = Router::new(settings(), vec![endpoint(21, 2, 0), endpoint(22, 2, 1), endpoint(23, 2, 1)]);
    for id in 1..60 {
        let server = sent_to(&r.submit(id)).expect("an attempt is sent");
        r.first_token_after(id, server, if server == 21 { 300 * MS } else { 30 * MS });
        r.finish_attempt(id, server, AttemptStatus::Ok);
        r.advance(S);
    }
    let pace = |id| r.policy.views().find(|v| v.server == ServerId(id)).map_or(0.0, |v| v.latency_ratio);
    assert!(pace(21) > 3.0 && pace(22) < 2.0, "{} {}", pace(21), pace(22));
}

/// Found by reading: while all decode workers looked full everything was held, also beside mixed servers with capacity.
#[test]
fn while_decode_workers_look_full_mixed_servers_with_capacity_take_requests_whole() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 0)]);
    let mut id = 0;
    // A request that was read: its decode worker answers full.
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
    // One without capacity holds them as before.
    r.handle(Event::RequestArrived(Request { max_output_tokens: 190_000.0, ..r.request(900) }));
    r.first_token(900, 21);
    assert_eq!(sent_to(&r.submit(901)), None);
}

#[test]
fn a_kv_cache_goes_to_a_mixed_server_where_no_decode_worker_is_left() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 0)]);
    let id = (1..).find(|id| sent_to(&r.submit(*id)) == Some(1)).expect("a prefill is sent");
    r.finish_attempt(id, 1, AttemptStatus::Prefilled);
    assert_eq!(sent_to(&r.finish_attempt(id, 11, AttemptStatus::ConnectFailed)), Some(21));
}

// Signals that never come.

/// Found by reading: an answer that does not stream looked late after 0.4 s, and was cancelled after 0.9.
#[test]
fn where_answers_do_not_stream_a_silent_decode_worker_is_no_late_one() {
    for cancel in [true, false] {
        let classes =
            vec![TrafficClass { streamed: false, ..class(Idempotency::Idempotent, DeduplicationScope::All) }];
        let mut r = Router::new(Settings { classes, can_cancel: cancel, ..settings() }, two_cells());
        let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
        let done = r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled);
        let Some(Action::Send { server, timeout: 0, .. }) = done.first().cloned() else { panic!("{done:?}") };
        assert!(r.advance(3 * S).iter().all(|a| !matches!(a, Action::Cancel { .. })));
        let view = r.policy.views().find(|v| v.server == server).expect("it is listed");
        assert_eq!(view.avoid_reason, None);
        // Its end is still due in time.
        assert_eq!(final_answers(&r.advance(2 * S), 1), 1);
    }
}

/// Found by reading: a decode worker whose probe was never answered looked full for ever.
#[test]
fn a_probe_that_is_never_answered_is_forgotten() {
    let set = Settings { can_probe: true, ..settings() };
    let mut r = Router::new(set, vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    let mut served = 0;
    for id in 1..200 {
        let mut done = r.submit(id);
        done.extend(r.advance(150 * MS));
        done.retain(|a| matches!(a, Action::Send { .. }));
        // Whatever is sent is answered, whenever it was asked for: only probes are not.
        while let Some(Action::Send { id, server, .. }) = done.pop() {
            if server == ServerId(1) {
                done.extend(r.finish_attempt(id.0, 1, AttemptStatus::Prefilled));
            } else {
                r.first_token(id.0, server.0);
                r.finish_attempt(id.0, server.0, AttemptStatus::Ok);
                served += u32::from(r.now > 105 * S);
            }
            done.retain(|a| matches!(a, Action::Send { .. }));
        }
    }
    assert!(r.actions.contains(&Action::Probe(ServerId(11))));
    // Each probe may cost it some time; all together don't cost it all.
    assert!(served > 20, "{served}");
}

/// Found by reading: a message has capacity for 42 servers, and named those of the lowest ids.
#[test]
fn a_message_names_the_servers_where_most_is_held() {
    let set = Settings { can_gossip: true, gossip_cost: 0.0, ..settings() };
    let decode_workers = (100..160).map(|id| endpoint(id, 1, 0));
    let mut r = Router::new(set, [vec![endpoint(1, 0, 0)], decode_workers.collect()].concat());
    for id in 1..61 {
        let prefill_worker = sent_to(&r.submit(id)).expect("a prefill is sent");
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
    }
    let held = |r: &Router, id| {
        r.policy.views().find(|v| v.server == ServerId(id)).map_or(0.0, |v| v.memory_utilization)
    };
    let heavy = Request { max_output_tokens: 100_000.0, ..r.request(61) };
    let prefill_worker = sent_to(&r.handle(Event::RequestArrived(heavy))).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(61, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    assert!(held(&r, decode_worker) > 0.4);
    r.actions.clear();
    r.advance(S);
    let told = r.actions.iter().rev().find_map(|a| match a {
        Action::SendGossip { data, .. } => Some(data.clone()),
        _ => None,
    });
    let told = told.expect("a message");
    let first = u32::from_le_bytes([told[0], told[1], told[2], told[3]]);
    assert!(told.len() <= 256 && first == decode_worker, "{first}, not {decode_worker}");
}

// What does no harm in one router, and does in hundreds.

/// Found on the full fleet: two of three messages said nothing, and were paid for all the same.
#[test]
fn a_router_that_holds_nothing_tells_nothing() {
    let set = Settings { can_gossip: true, gossip_cost: 0.0, can_cancel: false, ..settings() };
    let mut r = Router::new(set, two_cells());
    // Its read is out, and nothing is written yet.
    r.submit(1);
    let done = r.advance(3 * S);
    assert!(done.iter().all(|a| !matches!(a, Action::SendGossip { .. })), "{done:?}");
    r.start_stream(2);
    assert!(r.advance(S).iter().any(|a| matches!(a, Action::SendGossip { data, .. } if !data.is_empty())));
}

/// Found on the full fleet: while most prefill workers were new, they stood idle beside the jammed old ones, since each router
/// seldom met one of the few that it might ask.
#[test]
fn beside_its_home_a_warming_up_prefill_worker_that_may_be_asked_is_looked_at() {
    let set = Settings { can_probe: true, router_count: 300, ..settings() };
    let mut r =
        Router::new(set, [two_cells(), (3..9).map(|id| endpoint(id, 0, u64::from(id))).collect()].concat());
    for id in 1..40 {
        let (_, decode_worker) = r.start_stream_with_probes(id);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(50 * MS);
    }
    r.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { started_at: Some(r.now), ..endpoint(20, 0, 1) }],
    );
    // Its budget, which begins in debt, is paid off some time before it is warm.
    let mut looked = 0;
    for id in 100..180 {
        let allowed = r
            .policy
            .views()
            .any(|v| v.server == ServerId(20) && v.slow_start_budget.is_some_and(|b| b >= 0.0));
        r.actions.clear();
        let (prefill_worker, decode_worker) = r.start_stream_with_probes(id);
        if allowed && prefill_worker != 20 {
            looked += 1;
            assert!(r.actions.contains(&Action::Probe(ServerId(20))), "{:?}", r.actions);
        }
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(1100 * MS);
        if r.policy.views().any(|v| v.server == ServerId(20) && v.slow_start_budget.is_none()) {
            break;
        }
    }
    assert!(looked > 0);
}
