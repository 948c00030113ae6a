//! The stages of a request from arrival to answer, and how requests are still served when servers fail.

mod common;
use common::*;
use gaparch_scheduler::api::*;

/// Serves requests with that shared prefix one after the other; returns their prefill workers.
fn prefill_workers_of(r: &mut Router, ids: std::ops::Range<u64>, prefix: u64) -> Vec<u32> {
    ids.map(|id| {
        let request = Request { prefix: Some(AffinityKey(prefix)), prefix_tokens: 800.0, ..r.request(id) };
        let prefill_worker = sent_to(&r.handle(Event::RequestArrived(request))).expect("a prefill is sent");
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        prefill_worker
    })
    .collect()
}

#[test]
fn a_shared_prefix_has_the_same_preferred_prefill_worker_on_all_routers() {
    let rounds = |seed| {
        let mut r = Router::new(Settings { router_index: seed as u32, seed, ..settings() }, two_cells());
        let round =
            |n: u64| (0..20).map(|p| prefill_workers_of(&mut r, n * 20 + p..n * 20 + p + 1, p)[0]).collect();
        (1..9).map(round).collect::<Vec<Vec<u32>>>()
    };
    let (on_first, on_second) = (rounds(1), rounds(2));
    assert!(on_first.iter().all(|round| *round == on_first[0]));
    assert_eq!(on_first, on_second);
}

/// With many routers, a few popular shared prefixes overloaded their prefill workers and the decode workers
/// near them.
#[test]
fn a_popular_prefix_is_spread_over_workers_and_each_session_stays_at_one() {
    let list: Vec<Endpoint> =
        (0..8).flat_map(|n| [endpoint(n + 1, 0, n.into()), endpoint(n + 11, 1, n.into())]).collect();
    let mut r = Router::new(settings(), list);
    let mut workers_by_session: std::collections::BTreeMap<u64, Vec<u32>> = Default::default();
    for id in 1..400 {
        let session = id % 10;
        let request =
            Request { prefix: Some(AffinityKey(7)), session: Some(AffinityKey(session)), ..r.request(id) };
        let prefill_worker = sent_to(&r.handle(Event::RequestArrived(request))).expect("a prefill is sent");
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(20 * MS);
        workers_by_session.entry(session).or_default().push(prefill_worker);
    }
    let settled =
        workers_by_session.values().map(|prefill_workers| prefill_workers[20..].to_vec()).collect::<Vec<_>>();
    assert!(settled.iter().all(|prefill_workers| prefill_workers
        .iter()
        .all(|prefill_worker| *prefill_worker == prefill_workers[0])));
    let preferred_workers: std::collections::BTreeSet<u32> =
        settled.iter().map(|prefill_workers| prefill_workers[0]).collect();
    assert!(preferred_workers.len() >= 4, "{preferred_workers:?}");
}

/// With many racks, prefill workers with few decode workers near them sent most KV caches over slow links.
#[test]
fn affinity_follows_the_decode_workers_of_the_cell() {
    let decode_workers = (11..16).map(|n| endpoint(n, 1, 0)).chain([endpoint(16, 1, 1)]);
    let list: Vec<Endpoint> =
        [endpoint(1, 0, 0), endpoint(2, 0, 1)].into_iter().chain(decode_workers).collect();
    let mut r = Router::new(settings(), list);
    let preferred_workers: Vec<u32> =
        (0..60).map(|p| prefill_workers_of(&mut r, p * 10..p * 10 + 1, p)[0]).collect();
    let at_worker_1 = preferred_workers.iter().filter(|s| **s == 1).count();
    assert!((40..60).contains(&at_worker_1), "{at_worker_1}");
}

#[test]
fn prefixes_spread_over_the_prefill_workers() {
    let mut r = Router::new(settings(), two_cells());
    let preferred_workers: Vec<u32> =
        (0..40).map(|p| prefill_workers_of(&mut r, p * 10..p * 10 + 1, p)[0]).collect();
    let at_worker_1 = preferred_workers.iter().filter(|s| **s == 1).count();
    assert!((8..=32).contains(&at_worker_1), "{at_worker_1}");
}

#[test]
fn the_least_loaded_worker_is_chosen_when_the_preferred_one_is_clearly_busier() {
    let mut r = Router::new(settings(), two_cells());
    let prefill_workers: Vec<u32> = (1..30)
        .filter_map(|id| {
            let long = Request { prefix: Some(AffinityKey(7)), prompt_tokens: 2000.0, ..r.request(id) };
            sent_to(&r.handle(Event::RequestArrived(long)))
        })
        .collect();
    assert_eq!(prefill_workers[0], prefill_workers[1], "one more is not clearly busier");
    assert!(
        prefill_workers.iter().any(|s| *s != prefill_workers[0]),
        "another worker is chosen once the preferred one is overloaded"
    );
}

#[test]
fn the_decode_worker_is_chosen_after_the_prefill_and_in_the_same_cell() {
    let mut r = Router::new(settings(), two_cells());
    for id in 1..20 {
        let actions = r.submit(id);
        let sends = actions.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        assert_eq!(sends, 1, "only the prefill is sent");
        assert!(!actions.iter().any(|a| matches!(a, Action::ReserveKv { .. })));
        let prefill_worker = sent_to(&actions).expect("a prefill is sent");
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        assert_eq!(decode_worker, prefill_worker + 10, "1 and 11 are in one cell, 2 and 12 in the other");
        r.first_token(id, decode_worker);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
    }
}

#[test]
fn a_far_decode_worker_is_chosen_when_the_near_one_is_clearly_busier() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(12, 1, 1)]);
    let mut decoded_elsewhere = 0;
    for id in 1..60 {
        let request = Request { prefix: Some(AffinityKey(7)), ..r.request(id) };
        let Some(prefill_worker) = sent_to(&r.handle(Event::RequestArrived(request))) else { break };
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
        decoded_elsewhere += usize::from(decode_worker != prefill_worker + 10);
    }
    assert!(decoded_elsewhere > 0);
}

#[test]
fn requests_are_queued_before_prefill_while_all_decode_workers_look_saturated_and_sent_once_one_is_free() {
    let mut r = Router::new(Settings { router_count: 1, ..settings() }, two_cells());
    let mut streams = Vec::new();
    let mut queued = None;
    for id in 1..400 {
        let Some(prefill_worker) = sent_to(&r.submit(id)) else {
            queued = Some(id);
            break;
        };
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
        streams.push((id, decode_worker));
    }
    let queued = queued.expect("the estimated KV capacity is used up");
    // Each request is expected to need 1,000 prompt tokens and half of 200 output tokens; there are two
    // decode workers of 100,000 tokens.
    assert!((140..200).contains(&streams.len()), "{}", streams.len());
    let (id, decode_worker) = streams[0];
    let actions = r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { id, .. } if id.0 == queued)));
}

#[test]
fn the_expected_duration_is_preferred_to_half_of_the_allowed_output() {
    let admitted = |expected_duration: Option<Nanos>| {
        let mut r = Router::new(settings(), two_cells());
        (1..1000)
            .take_while(|id| {
                let request = Request {
                    expected_duration,
                    max_output_tokens: 4000.0,
                    prompt_tokens: 100.0,
                    ..r.request(*id)
                };
                let Some(prefill_worker) = sent_to(&r.handle(Event::RequestArrived(request))) else {
                    return false;
                };
                let decode_worker = sent_to(&r.finish_attempt(*id, prefill_worker, AttemptStatus::Prefilled))
                    .expect("a decode is sent");
                r.first_token(*id, decode_worker);
                true
            })
            .count()
    };
    // 10 s are 200 tokens of 50 ms each.
    assert!(admitted(Some(10 * S)) > 3 * admitted(None));
}

#[test]
fn a_decode_worker_that_rejected_an_attempt_is_not_used_for_a_second() {
    let mut r = Router::new(settings(), two_cells());
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let rejecting =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    let other =
        sent_to(&r.finish_attempt(1, rejecting, AttemptStatus::Rejected)).expect("another decode worker");
    assert_ne!(rejecting, other);
    r.first_token(1, other);
    for id in 2..10 {
        assert_eq!(r.start_stream(id).1, other);
    }
    r.advance(1100 * MS);
    assert!((10..30).any(|id| r.start_stream(id).1 == rejecting));
}

/// In incidents, each rejection by a prefill worker was followed at once by another send to it.
#[test]
fn a_prefill_worker_that_rejected_an_attempt_is_not_used_and_requests_wait() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0)]);
    r.submit(1);
    // A prefill worker has no KV cache to fetch, so the note has no meaning there.
    assert_eq!(sent_to(&r.finish_attempt_with_note(1, 1, AttemptStatus::Rejected, 1)), None);
    let sends: usize = (2..20).filter(|id| sent_to(&r.submit(*id)).is_some()).count();
    assert_eq!(sends, 0);
    assert!(sent_to(&r.advance(1100 * MS)).is_some() || final_answers(&r.actions, 1) == 1);
}

#[test]
fn a_decode_worker_that_reports_a_full_kv_cache_is_not_used_until_its_next_report() {
    let mut r = Router::new(settings(), two_cells());
    let report = |server, memory| Event::ProbeFinished {
        server: ServerId(server),
        status: AttemptStatus::Ok,
        latency: MS,
        report: Some(LoadReport { memory_utilization: Some(memory), ..LoadReport::default() }),
    };
    r.handle(report(12, 0.1));
    r.handle(report(11, 0.97));
    for id in 1..20 {
        assert_eq!(r.start_stream(id).1, 12);
    }
    r.handle(report(11, 0.1));
    assert!((20..40).any(|id| r.start_stream(id).1 == 11));
}

#[test]
fn mixed_servers_get_their_share_of_requests_and_serve_them_whole() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(11, 1, 0), endpoint(21, 2, 0)]);
    let mut served_whole = 0;
    for id in 1..40 {
        let server = sent_to(&r.submit(id)).expect("an attempt is sent");
        if server == 21 {
            served_whole += 1;
            assert_eq!(sent_to(&r.first_token(id, 21)), None);
            assert_eq!(sent_to(&r.finish_attempt(id, 21, AttemptStatus::Ok)), None);
        } else {
            let decode_worker = sent_to(&r.finish_attempt(id, server, AttemptStatus::Prefilled));
            assert_eq!(decode_worker, Some(11));
            r.first_token(id, 11);
            r.finish_attempt(id, 11, AttemptStatus::Ok);
        }
    }
    assert!((5..35).contains(&served_whole), "{served_whole}");
}

#[test]
fn decode_workers_that_can_prefill_serve_without_any_prefill_worker() {
    let only_decode_workers = vec![endpoint(11, 1, 0)];
    let mut r =
        Router::new(Settings { decode_workers_can_prefill: true, ..settings() }, only_decode_workers.clone());
    assert_eq!(sent_to(&r.submit(1)), Some(11));
    let mut r = Router::new(settings(), only_decode_workers);
    assert_eq!(sent_to(&r.submit(1)), None);
}

#[test]
fn a_server_that_fails_fast_is_avoided_and_tried_again_one_request_at_a_time() {
    let mut r = Router::new(settings(), two_cells());
    let mut sent_to_failing = 0;
    for id in 1..100 {
        let mut prefill_worker = sent_to(&r.submit(id)).expect("a prefill is sent");
        if prefill_worker == 1 {
            sent_to_failing += 1;
            prefill_worker =
                sent_to(&r.finish_attempt(id, 1, AttemptStatus::Error)).expect("another prefill worker");
        }
        assert_eq!(prefill_worker, 2);
        let decode_worker =
            sent_to(&r.finish_attempt(id, 2, AttemptStatus::Prefilled)).expect("a decode is sent");
        r.first_token(id, decode_worker);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(50 * MS);
    }
    assert!((3..15).contains(&sent_to_failing), "{sent_to_failing}");
}

#[test]
fn when_all_servers_of_a_stage_fail_they_are_still_used() {
    let mut r = Router::new(settings(), two_cells());
    for id in 1..40 {
        let prefill_worker = sent_to(&r.submit(id)).expect("a prefill is sent");
        let other = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Error))
            .expect("another prefill worker");
        r.finish_attempt(id, other, AttemptStatus::Error);
        r.handle(Event::ClientDisconnected(RequestId(id)));
        r.advance(20 * MS);
    }
    assert!(sent_to(&r.submit(100)).is_some());
}

#[test]
fn a_silent_prefill_worker_is_probed_and_the_prefill_is_sent_elsewhere() {
    let mut r = Router::new(Settings { can_probe: true, ..settings() }, two_cells());
    r.submit(1);
    let prefill_worker =
        sent_to(&r.advance(50 * MS)).expect("a prefill is sent, though no probe is answered");
    let actions = r.advance(S);
    assert!(actions.contains(&Action::Probe(ServerId(prefill_worker))));
    assert!(actions.contains(&Action::Cancel { id: RequestId(1), attempt: AttemptNumber(0) }));
    let other = sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Cancelled))
        .expect("another prefill worker");
    assert_ne!(prefill_worker, other);
}

#[test]
fn queued_requests_that_miss_their_objective_are_rejected_with_a_retry_after() {
    let settings = Settings { can_send_retry_after: true, max_retry_after: 700 * MS, ..settings() };
    let mut r = Router::new(settings, vec![endpoint(1, 0, 0)]);
    r.submit(1);
    let actions = r.advance(1100 * MS);
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Reject { id: RequestId(1), retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert_eq!(retry_after, Some(700 * MS));
}

#[test]
fn a_tenant_within_its_quota_leaves_the_queue_before_one_over_quota() {
    let tenants = vec![
        Tenant { quota_share: 0.5, quota_per_second: 2.0 },
        Tenant { quota_share: 0.5, quota_per_second: 100.0 },
    ];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![endpoint(1, 0, 0)]);
    for id in 1..20 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.handle(Event::RequestArrived(request));
    }
    let request = Request { tenant: Some(TenantId(1)), ..r.request(50) };
    r.handle(Event::RequestArrived(request));
    let decode_worker = endpoint(11, 1, 0);
    let actions = r.update_endpoints(EndpointUpdate::Delta, vec![decode_worker]);
    let order: Vec<u64> = actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { id, .. } => Some(id.0),
            _ => None,
        })
        .collect();
    let send_position = |id| order.iter().position(|i| *i == id);
    assert!(send_position(1) < send_position(50));
    assert!(send_position(50).is_some());
    assert!(send_position(50) < send_position(19).or(Some(usize::MAX)));
}

#[test]
fn missing_and_extreme_numbers_are_tolerated() {
    let mut r = Router::new(Settings { kinds: kinds([0.0; 3]), ..settings() }, two_cells());
    for (id, prompt_tokens) in [(1, 0.0), (2, 1e12), (3, 1.0)] {
        let request = Request {
            session: None,
            prompt_tokens,
            max_output_tokens: 0.0,
            deadline_at: r.now + 5 * S,
            ..r.request(id)
        };
        let actions = r.handle(Event::RequestArrived(request));
        assert!(sent_to(&actions).is_some() || final_answers(&r.advance(6 * S), id) == 1);
    }
    assert!(sent_to(&r.submit(4)).is_some() || final_answers(&r.advance(6 * S), 4) == 1);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut r = Router::new(settings(), two_cells());
        for id in 1..60 {
            let prefill_worker = sent_to(&r.submit(id));
            r.advance(7 * MS);
            if let Some(prefill_worker) = prefill_worker {
                let status = if id % 7 == 0 { AttemptStatus::Error } else { AttemptStatus::Prefilled };
                if let Some(server) = sent_to(&r.finish_attempt(id, prefill_worker, status)) {
                    r.first_token(id, server);
                }
            }
        }
        r.advance(10 * S);
        r.actions
    };
    assert_eq!(run(), run());
}

fn gossip_messages(r: &Router) -> Vec<Vec<u8>> {
    let data = |a: &Action| match a {
        Action::SendGossip { peer: None, data } => Some(data.clone()),
        _ => None,
    };
    r.actions.iter().filter_map(data).collect()
}

#[test]
fn without_load_reports_gossip_makes_decode_workers_look_saturated() {
    let with_gossip = || Settings { can_gossip: true, ..settings() };
    let mut busy = Router::new(with_gossip(), two_cells());
    for id in 1..70 {
        busy.start_stream(id);
    }
    busy.advance(S);
    let message = gossip_messages(&busy).pop().expect("it sends its load");
    assert!(message.len() <= 256);
    let admitted = |message: Option<Vec<u8>>| {
        let mut r = Router::new(with_gossip(), two_cells());
        if let Some(data) = message {
            r.handle(Event::GossipReceived { from: 1, data });
            r.advance(20 * MS);
        }
        (1..300).filter(|id| sent_to(&r.submit(*id)).is_some()).count()
    };
    assert!(admitted(Some(message)) < admitted(Some(Vec::new())));
    // A truncated message is accepted.
    assert!(admitted(Some(vec![1, 2, 3])) > 0);
}

#[test]
fn no_gossip_is_sent_where_servers_report_their_load_or_gossip_is_off() {
    for (can_gossip, reported) in [(false, false), (true, true)] {
        let mut r = Router::new(Settings { can_gossip, ..settings() }, two_cells());
        if reported {
            let report = Some(LoadReport { memory_utilization: Some(0.2), ..LoadReport::default() });
            r.handle(Event::ProbeFinished {
                server: ServerId(11),
                status: AttemptStatus::Ok,
                latency: MS,
                report,
            });
        }
        r.start_stream(1);
        r.advance(2 * S);
        assert!(gossip_messages(&r).is_empty());
    }
}

#[test]
fn a_slow_prefill_worker_gets_one_request_at_a_time() {
    let mut r = Router::new(
        settings(),
        vec![endpoint(1, 0, 0), endpoint(2, 0, 0), endpoint(3, 0, 0), endpoint(11, 1, 0)],
    );
    for id in 1..60 {
        let prefill_worker = sent_to(&r.submit(id)).expect("a prefill is sent");
        let latency = if prefill_worker == 1 { 900 * MS } else { 60 * MS };
        let server = ServerId(prefill_worker);
        let prefilled =
            attempt_outcome(RequestId(id), AttemptNumber(0), server, AttemptStatus::Prefilled, latency);
        let actions = r.handle(Event::AttemptFinished(prefilled));
        let decode_worker = sent_to(&actions).expect("a decode is sent");
        r.first_token(id, decode_worker);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
    }
    let at_slow = (100..106).filter(|id| sent_to(&r.submit(*id)) == Some(1)).count();
    assert!(at_slow <= 1, "{at_slow}");
}

/// In incidents with slow links, each KV cache was transferred over the slow link again and again.
#[test]
fn a_decode_waiting_in_another_cell_is_not_cancelled_for_another_far_worker() {
    let mut r = Router::new(settings(), vec![endpoint(1, 0, 0), endpoint(12, 1, 1), endpoint(13, 1, 2)]);
    let prefill_worker = sent_to(&r.submit(1)).expect("a prefill is sent");
    let decode_worker =
        sent_to(&r.finish_attempt(1, prefill_worker, AttemptStatus::Prefilled)).expect("a decode is sent");
    r.submit(2);
    r.advance(300 * MS);
    // The decode worker answers a probe meanwhile, so it is running.
    let report = Some(LoadReport::default());
    r.handle(Event::ProbeFinished {
        server: ServerId(decode_worker),
        status: AttemptStatus::Ok,
        latency: MS,
        report,
    });
    let actions = r.advance(1200 * MS);
    assert!(!actions.contains(&Action::Cancel { id: RequestId(1), attempt: AttemptNumber(1) }));
}

/// With many routers, all chose the same server while they knew nothing about any.
#[test]
fn routers_without_load_information_do_not_all_choose_the_same_decode_worker() {
    let list = || (1..9).map(|n| endpoint(10 + n, 1, 0)).chain([endpoint(1, 0, 0)]).collect::<Vec<_>>();
    let first_choice =
        |seed| Router::new(Settings { seed, router_count: 200, ..settings() }, list()).start_stream(1).1;
    let chosen: std::collections::BTreeSet<u32> = (0..40).map(first_choice).collect();
    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// With many routers, a decode worker that had once reported to be full was not used until its next report.
#[test]
fn an_old_load_report_is_forgotten() {
    let mut r = Router::new(settings(), two_cells());
    let full = Some(LoadReport { memory_utilization: Some(0.97), ..LoadReport::default() });
    for server in [11, 12] {
        let (status, latency, report) = (AttemptStatus::Ok, MS, full);
        r.handle(Event::ProbeFinished { server: ServerId(server), status, latency, report });
    }
    assert_eq!(sent_to(&r.submit(1)), None);
    r.handle(Event::ClientDisconnected(RequestId(1)));
    r.advance(4 * S);
    assert!(sent_to(&r.submit(2)).is_some());
}

/// With many routers, gossip messages to all of them cost more than all service is worth.
#[test]
fn gossip_costs_no_more_than_it_is_worth() {
    let messages_sent = |routers, gossip_cost| {
        let settings = Settings { router_count: routers, can_gossip: true, gossip_cost, ..settings() };
        let mut r = Router::new(settings, two_cells());
        for id in 1..40 {
            let prefill_worker = sent_to(&r.submit(id)).expect("a prefill is sent");
            let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
                .expect("a decode is sent");
            r.advance(50 * MS);
            r.first_token(id, decode_worker);
            r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        }
        gossip_messages(&r).len()
    };
    assert!(messages_sent(3, 0.003) >= 5);
    assert!(messages_sent(3, 0.003) > messages_sent(300, 0.3));
    assert_eq!(messages_sent(300, 3.0), 0);
}

/// With many routers, none hears often enough from a server to know its load.
#[test]
fn a_preferred_worker_with_a_late_probe_is_passed_over_and_a_recent_answer_saves_the_probe() {
    let mut r = Router::new(Settings { can_probe: true, ..settings() }, two_cells());
    let actions = r.submit(1000);
    let probed: Vec<u32> =
        actions.iter().filter_map(|a| if let Action::Probe(s) = a { Some(s.0) } else { None }).collect();
    assert_eq!(probed.len(), 2, "the preferred and another prefill worker");
    let probe_answer = |server, latency| Event::ProbeFinished {
        server: ServerId(server),
        status: AttemptStatus::Ok,
        latency,
        report: None,
    };
    let (first, second) = (probed[0], probed[1]);
    let mut actions = r.handle(probe_answer(second, MS));
    actions.extend(r.handle(probe_answer(first, 20_000 * MS)));
    assert_eq!(sent_to(&actions), Some(second));
    // Both have just answered, so neither is probed again.
    assert!(!r.submit(1001).iter().any(|a| matches!(a, Action::Probe(s) if [first, second].contains(&s.0))));
}

/// With many routers, prefills that were wrongly taken for lost were repeated elsewhere, until all prefill
/// workers were overloaded.
#[test]
fn cancellations_are_a_small_share_of_sends() {
    let list: Vec<Endpoint> = (1..21).map(|n| endpoint(n, 0, 0)).chain([endpoint(31, 1, 0)]).collect();
    let mut r = Router::new(Settings { max_attempts: 20, ..settings() }, list);
    for id in 1..101 {
        r.submit(id);
        r.advance(50 * MS);
    }
    r.advance(2 * S);
    // This may include attempts that are cancelled because their request reached its deadline.
    let cancelled = r.actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert!((3..=30).contains(&cancelled), "{cancelled}");
}

/// Some servers reject one class or tenant while they serve the rest.
#[test]
fn a_server_that_rejects_one_class_keeps_serving_the_others() {
    let classes = vec![
        class(Idempotency::Idempotent, DeduplicationScope::All),
        class(Idempotency::Idempotent, DeduplicationScope::All),
    ];
    let mut r = Router::new(Settings { classes, ..settings() }, two_cells());
    let mut sent = [[0; 2]; 2];
    for id in 1..400 {
        let request = Request { class: ClassId(id as usize % 2), ..r.request(id) };
        let class = request.class.0;
        let mut prefill_worker =
            sent_to(&r.handle(Event::RequestArrived(request))).expect("a prefill is sent");
        sent[class][usize::from(prefill_worker == 1)] += 1;
        if prefill_worker == 1 && class == 0 {
            prefill_worker =
                sent_to(&r.finish_attempt(id, 1, AttemptStatus::Rejected)).expect("the other prefill worker");
        }
        let decode_worker = sent_to(&r.finish_attempt(id, prefill_worker, AttemptStatus::Prefilled))
            .expect("a decode is sent");
        r.first_token(id, decode_worker);
        r.finish_attempt(id, decode_worker, AttemptStatus::Ok);
        r.advance(50 * MS);
    }
    assert!(sent[0][1] < 12, "{sent:?}");
    assert!(sent[1][1] > 40, "{sent:?}");
}

/// In an incident, queued prefills of clients that had already disconnected kept all prefill workers busy in
/// vain.
#[test]
fn prefills_are_throttled_while_they_take_longer_than_the_objective() {
    let sends = |latency: Nanos| {
        let mut r = Router::new(settings(), two_cells());
        let mut in_flight: Vec<(u64, u32)> = Vec::new();
        let mut sends = 0;
        for id in 1..300 {
            if let Some(prefill_worker) = sent_to(&r.submit(id)) {
                in_flight.push((id, prefill_worker));
            }
            r.advance(50 * MS);
            sends += in_flight.len();
            for (id, prefill_worker) in in_flight.drain(..) {
                let (id, server) = (RequestId(id), ServerId(prefill_worker));
                let prefilled =
                    attempt_outcome(id, AttemptNumber(0), server, AttemptStatus::Prefilled, latency);
                r.handle(Event::AttemptFinished(prefilled));
                r.handle(Event::ClientDisconnected(id));
            }
        }
        sends
    };
    let (fast, slow) = (sends(60 * MS), sends(4 * S));
    assert!(fast > 50 && slow < fast * 3 / 4, "{fast} {slow}");
}

/// Serves requests with one shared prefix at a router that has learnt how much is queued behind a probe that
/// stays unanswered. Returns the preferred prefill worker and the one of the last request, before which
/// prefill workers answered their probes after `probe_latency`, or not at all.
fn workers_before_and_after(probe_latency: Option<Nanos>) -> (u32, u32) {
    // Prefill workers in a cell without decode workers have hardly any affinity, and so have capacity.
    let idle = [endpoint(31, 0, 7), endpoint(32, 0, 7)];
    let list = [two_cells(), idle.to_vec()].concat();
    let settings = Settings { can_probe: true, probe_cost: 0.0001, ..settings() };
    let mut r = Router::new(settings, list);
    let serve = |r: &mut Router, id: u64, probe_latency: Option<Nanos>, prefill_latency: Nanos| {
        let request = Request {
            prefix: Some(AffinityKey(77)),
            prompt_tokens: 6000.0,
            prefix_tokens: 5000.0,
            ..r.request(id)
        };
        let mut actions = r.handle(Event::RequestArrived(request));
        let mut seen = 0;
        // Decode workers answer their probes in any case.
        for _ in 0..8 {
            let new = actions[seen..].to_vec();
            seen = actions.len();
            for action in new {
                let Action::Probe(server) = action else { continue };
                if probe_latency.is_some() || (11..13).contains(&server.0) {
                    let latency = probe_latency.unwrap_or(2 * MS);
                    let probed =
                        Event::ProbeFinished { server, status: AttemptStatus::Ok, latency, report: None };
                    actions.extend(r.handle(probed));
                }
            }
            actions.extend(r.advance(10 * MS));
        }
        let sent =
            actions
                .iter()
                .find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None });
        let server = sent.unwrap_or_else(|| panic!("request {id} is not sent: {actions:?}"));
        r.now += prefill_latency;
        let (id, attempt) = (RequestId(id), AttemptNumber(0));
        let prefilled = AttemptOutcome {
            cached_prompt_tokens: 5000,
            ..attempt_outcome(id, attempt, server, AttemptStatus::Prefilled, prefill_latency)
        };
        let decode_worker = sent_to(&r.handle(Event::AttemptFinished(prefilled))).expect("a decode is sent");
        r.first_token(id.0, decode_worker);
        r.finish_attempt(id.0, decode_worker, AttemptStatus::Ok);
        r.advance(2 * S);
        server.0
    };
    // Learns the time per token: a thousand tokens and the fixed cost of a prefill, with nothing queued
    // before them.
    for id in 1..20 {
        serve(&mut r, id, Some(2 * MS), 70 * MS);
    }
    let preferred = serve(&mut r, 20, Some(2 * MS), 70 * MS);
    // Where a probe stays unanswered, prefills take long.
    for id in 21..30 {
        serve(&mut r, id, probe_latency, if probe_latency.is_none() { 800 * MS } else { 70 * MS });
    }
    (preferred, serve(&mut r, 40, probe_latency, 70 * MS))
}

#[test]
fn a_preferred_worker_whose_probe_stays_unanswered_is_passed_over_for_one_with_less_affinity() {
    let (preferred, chosen) = workers_before_and_after(Some(2 * MS));
    assert_eq!(preferred, chosen, "a preferred worker that answers its probes at once is kept");
    let (preferred, chosen) = workers_before_and_after(None);
    assert!(preferred < 30 && chosen > 30, "preferred {preferred}, chosen {chosen}");
}

#[test]
fn the_prefill_time_per_token_is_learnt_from_the_computed_tokens() {
    // The prefix was cached, which the router could not know. If all prompt tokens counted as computed, the
    // learnt time per token would be a seventh.
    let mut prefill_cost = gaparch_scheduler::state::PrefillCostModel::default();
    let attempt = gaparch_scheduler::state::Attempt {
        prompt_tokens: 7000.0,
        queued_tokens: 7000.0,
        ..gaparch_scheduler::state::Attempt::planned(ServerId(1), gaparch_scheduler::state::Stage::Prefill)
    };
    let gains = gaparch_scheduler::state::LearningGains { mean: 0.1, slower_unloaded: 0.02 };
    for _ in 0..10 {
        prefill_cost.record_finished(&attempt, 50_000_000, 1000.0, gains);
    }
    assert_eq!(prefill_cost.unloaded_time_per_token(), 50_000.0);
    assert_eq!(prefill_cost.tokens_within(100_000_000), 2000.0);
    // Before that, the latency objective per prompt token of the settings is used.
    assert_eq!(
        gaparch_scheduler::state::PrefillCostModel::with_unloaded_time_per_token(100_000.0)
            .tokens_within(100_000_000),
        1000.0
    );
}
