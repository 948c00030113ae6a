//! Why a request is given up, and how the module shows what it thinks of a server.

mod common;

use common::*;
use gaparch_scheduler::api::*;
use gaparch_scheduler::view::Avoided;

fn held(reason: Reason, by: Holdup) -> Option<Why> {
    Some(Why { reason, held_by: Some(by) })
}

#[test]
fn a_held_request_says_what_it_waited_for() {
    for (engines, by) in [(vec![entry(1, 0, 0)], Holdup::NoWriter), (vec![entry(11, 1, 0)], Holdup::NoReader)]
    {
        let mut r = Router::new(settings(), engines);
        r.ask(1);
        assert_eq!(why(&r.pass(1100 * MS), 1), held(Reason::AimLost, by));
    }
    // Its writer says that it is full, again and again.
    let mut r = Router::new(settings(), vec![entry(1, 0, 0), entry(11, 1, 0)]);
    let report = Report { memory: Some(0.99), ..Report::default() };
    r.event(Event::Probed { server: ServerId(11), status: Status::Ok, latency: MS, report: Some(report) });
    r.ask(1);
    assert_eq!(why(&r.pass(1100 * MS), 1), held(Reason::AimLost, Holdup::WritersFull));
}

#[test]
fn one_over_its_share_says_so_where_there_is_no_room_for_all() {
    let tenants = vec![Tenant { share: 1.0, quota_per_s: 1.0 }];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![entry(1, 0, 0), entry(11, 1, 0)]);
    let report = Report { memory: Some(0.99), ..Report::default() };
    r.event(Event::Probed { server: ServerId(11), status: Status::Ok, latency: MS, report: Some(report) });
    for id in 1..6 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.event(Event::Request(request));
    }
    let done = r.pass(1100 * MS);
    assert_eq!(why(&done, 1), held(Reason::AimLost, Holdup::WritersFull));
    assert_eq!(why(&done, 5), held(Reason::AimLost, Holdup::OverShare));
}

#[test]
fn a_quota_told_later_counts_from_then_on() {
    let tenants = vec![Tenant { share: 1.0, quota_per_s: 0.5 }];
    let mut r = Router::new(Settings { tenants, ..settings() }, vec![entry(1, 0, 0), entry(11, 1, 0)]);
    let report = Report { memory: Some(0.99), ..Report::default() };
    r.event(Event::Probed { server: ServerId(11), status: Status::Ok, latency: MS, report: Some(report) });
    r.event(Event::Quota { tenant: TenantId(0), per_s: 1000.0 });
    r.event(Event::Quota { tenant: TenantId(0), per_s: f64::NAN });
    for id in 1..6 {
        let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
        r.event(Event::Request(request));
    }
    // By the old one it would be over its share.
    assert_eq!(why(&r.pass(1100 * MS), 5), held(Reason::AimLost, Holdup::WritersFull));
}

#[test]
fn a_tenants_part_follows_the_number_of_routers_told_last() {
    let tenants = vec![Tenant { share: 1.0, quota_per_s: 10.0 }];
    for (told, by) in
        [(vec![], Holdup::WritersFull), (vec![100], Holdup::OverShare), (vec![100, 1], Holdup::WritersFull)]
    {
        let mut r = Router::new(
            Settings { tenants: tenants.clone(), ..settings() },
            vec![entry(1, 0, 0), entry(11, 1, 0)],
        );
        let report = Report { memory: Some(0.99), ..Report::default() };
        r.event(Event::Probed {
            server: ServerId(11),
            status: Status::Ok,
            latency: MS,
            report: Some(report),
        });
        told.into_iter().for_each(|routers| drop(r.event(Event::Routers(routers))));
        for id in 1..6 {
            let request = Request { tenant: Some(TenantId(0)), ..r.request(id) };
            r.event(Event::Request(request));
        }
        assert_eq!(why(&r.pass(1100 * MS), 5), held(Reason::AimLost, by));
    }
}

#[test]
fn attempts_used_up_and_effects_that_may_have_been_are_told_apart() {
    let settings = Settings { max_attempts: 2, ..settings() };
    let mut r = Router::new(settings.clone(), pairs());
    let reader = sent_to(&r.ask(1)).expect("a read");
    let done = r.outcome(1, reader, Status::Error);
    assert_eq!(why(&done, 1), Some(Reason::AttemptsUsed.into()));
    let classes = vec![class(Effect::Unsafe, Group::All)];
    let mut r = Router::new(Settings { classes, ..settings }, pairs());
    let reader = sent_to(&r.ask(1)).expect("a read");
    let writer = sent_to(&r.outcome(1, reader, Status::Read)).expect("a write");
    let done = r.outcome(1, writer, Status::Error);
    assert!(failed(&done, 1));
    assert_eq!(why(&done, 1), Some(Reason::MayHaveRun.into()));
}

#[test]
fn a_server_shows_why_it_is_avoided() {
    let mut r = Router::new(settings(), pairs());
    let seen = |r: &Router, id| r.policy.views().find(|v| v.server == ServerId(id)).expect("known");
    assert_eq!(seen(&r, 1).avoided, None);
    let reader = sent_to(&r.ask(1)).expect("a read");
    assert_eq!(seen(&r, reader).unbegun, 1);
    r.outcome(1, reader, Status::Error);
    assert!(matches!(seen(&r, reader).avoided, Some(Avoided::Resting { .. })));
    r.members(ListKind::Delta, vec![Entry { state: ServerState::Draining, ..entry(11, 1, 0) }]);
    assert_eq!(seen(&r, 11).avoided, Some(Avoided::NotReady));
    let reader = sent_to(&r.ask(2)).expect("a read");
    r.outcome(2, reader, Status::ConnectFailed);
    assert_eq!(seen(&r, reader).avoided, Some(Avoided::Unreachable));
    r.members(ListKind::Delta, vec![Entry { ready_at: Some(r.now), ..entry(12, 1, 1) }]);
    assert_eq!(seen(&r, 12).avoided, Some(Avoided::Cold));
    assert!(seen(&r, 12).cold_budget.is_some_and(|left| left < 0.0));
}
