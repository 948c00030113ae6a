//! Which orders may be carried out, and the effective states that follow from orders and the endpoint list.

mod common;

use common::*;
use gaparch_ops::{effective_state, read_change, restart_warning, EngineDrain, OrderRegistry, SiteStatus};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, DrainMode, Subject};
use gaparch_protocol::ops::view::EngineState::{self, Draining, Ready, Removed};
use gaparch_protocol::ops::{to_bytes, DenyCode, Order};
use proptest::prelude::*;

#[test]
fn the_effective_state_follows_from_the_order_and_the_listed_state() {
    let rows: [(Option<DrainMode>, EngineState, EngineState); 9] = [
        (None, Ready, Ready),
        (None, Draining, Draining),
        (None, Removed, Removed),
        (Some(DrainMode::Drain), Ready, Draining),
        (Some(DrainMode::Drain), Draining, Draining),
        (Some(DrainMode::Drain), Removed, Removed),
        (Some(DrainMode::Detach), Ready, Removed),
        (Some(DrainMode::Detach), Draining, Removed),
        (Some(DrainMode::Detach), Removed, Removed),
    ];
    for (mode, listed, expected) in rows {
        assert_eq!(effective_state(mode, listed), expected, "{mode:?}, {listed}");
    }
    let drain = EngineDrain { mode: DrainMode::Drain, since: 10 };
    assert_eq!(restart_warning(drain, Some(9)), None);
    assert!(restart_warning(drain, Some(11)).is_some_and(|r| r.contains("still drained")));
}

#[test]
fn the_last_engine_of_a_role_is_drained_only_with_force_and_the_effect_is_reported() {
    let mut registry = OrderRegistry::default();
    let forced = Order { force: true, ..drain("w1") };
    let results = carry_out(&mut registry, &site(2, 2), &[drain("w0"), drain("w1"), forced]);
    assert!(
        results[0].as_ref().is_ok_and(|e| e.contains("3 streaming end in their own time")),
        "{results:?}"
    );
    let denied = results[1].as_ref().expect_err("the last decode worker");
    assert_eq!(denied.code, DenyCode::LastOfRole);
    assert!(denied.message.contains("12 held and 3 being read"), "{}", denied.message);
    assert!(results[2].as_ref().is_ok_and(|e| e.contains("until their time is up")), "{results:?}");
}

#[test]
fn draining_the_second_of_two_prefill_workers_is_denied_unless_decode_workers_can_prefill() {
    let mut registry = OrderRegistry::default();
    let results = carry_out(&mut registry, &site(2, 2), &[drain("r0"), drain("r1")]);
    assert!(results[0].is_ok());
    assert_eq!(results[1].as_ref().map_err(|d| d.code), Err(DenyCode::LastOfRole));
    // If decode workers do the prefill, no prefill worker is needed.
    let mut registry = OrderRegistry::default();
    let site = SiteStatus { decode_workers_can_prefill: true, ..site(2, 2) };
    assert!(carry_out(&mut registry, &site, &[drain("r0"), drain("r1")]).iter().all(Result::is_ok));
    // An unreachable prefill worker doesn't count as remaining.
    let mut unreachable = site.clone();
    unreachable.decode_workers_can_prefill = false;
    unreachable.engines[0].accepts_requests = false;
    let result = OrderRegistry::default().propose(&drain("r1"), "someone", 0, &unreachable);
    assert_eq!(result.map_err(|d| d.code).map(|_| ()), Err(DenyCode::LastOfRole));
}

#[test]
fn an_order_based_on_an_outdated_revision_is_denied_with_the_conflicting_change() {
    let mut registry = OrderRegistry::default();
    let seen_revision = Some(registry.revision());
    let conflicting = Order { revision: seen_revision, ..undrain("w0") };
    let unrelated = Order { revision: seen_revision, ..drain("w1") };
    let results = carry_out(&mut registry, &site(2, 3), &[drain("w0"), conflicting, unrelated]);
    let denied = results[1].as_ref().expect_err("the subject has changed");
    assert_eq!(denied.code, DenyCode::Conflict);
    assert!(denied.message.contains("w0 drained (a test)"), "{}", denied.message);
    assert!(results[2].is_ok(), "another subject has not changed");
}

#[test]
fn invalid_orders_are_denied_with_a_code_and_a_reason() {
    let registry = OrderRegistry::default();
    let limit = |name: &str, value| Change::SetLimit { name: name.to_owned(), value };
    for (order, code, text) in [
        (drain("w9"), DenyCode::Unknown, "'w9'"),
        (undrain("w0"), DenyCode::Invalid, "no operator holds 'w0'"),
        (order(Change::Resume {}), DenyCode::Invalid, "not paused"),
        (order(limit("speed", Some(1.0))), DenyCode::Unknown, "open-requests"),
        (order(limit("open-requests", Some(0.0))), DenyCode::Invalid, "from 1 to 1000"),
        (order(limit("open-requests", Some(f64::NAN))), DenyCode::Invalid, "from 1"),
        (Order { reason: " ".to_owned(), ..drain("w0") }, DenyCode::Invalid, "reason"),
        (Order { reason: "x".repeat(501), ..drain("w0") }, DenyCode::Invalid, "501 bytes"),
    ] {
        let denied = registry.propose(&order, "someone", 0, &site(2, 2)).expect_err("the order is denied");
        assert_eq!(denied.code, code, "{order:?}");
        assert!(denied.message.contains(text), "{}", denied.message);
    }
}

#[test]
fn a_change_of_schema_1_is_read_and_gets_a_revision() {
    let note = ChangeNote { operator: "someone".to_owned(), reason: "noise".to_owned(), at: 5 };
    let change = Change::Drain { engine: "w0".to_owned(), mode: DrainMode::Detach };
    let mut old = to_bytes(&change);
    old.extend(to_bytes(&note));
    let accepted = AcceptedChange { revision: 4, change, note };
    assert_eq!(read_change(1, &old, 4), Some(accepted.clone()));
    assert_eq!(read_change(2, &to_bytes(&accepted), 9), Some(accepted));
    assert_eq!(read_change(2, &old, 9), None, "bytes of another schema are rejected");
}

proptest! {
    /// After any orders, the registry can be rebuilt from its changes. Since no order is forced, no role is
    /// left without an engine.
    #[test]
    fn a_registry_is_restored_from_its_changes(
        picks in proptest::collection::vec((0usize..5, 0u8..7), 0..40),
    ) {
        let names = ["r0", "r1", "w0", "w1", "w2"];
        let mut registry = OrderRegistry::default();
        let base = site(2, 3);
        for (engine, kind) in picks {
            let engine = names[engine].to_owned();
            let change = match kind {
                0 | 1 => Change::Drain { engine, mode: DrainMode::Drain },
                2 => Change::Drain { engine, mode: DrainMode::Detach },
                3 | 4 => Change::Undrain { engine },
                5 => Change::Pause {},
                _ => Change::SetLimit { name: "open-requests".to_owned(), value: Some(50.0) },
            };
            carry_out(&mut registry, &base, &[order(change)]);
            let remaining = apply_drains(base.clone(), &registry);
            let any_accepts = |range: std::ops::Range<usize>| {
                remaining.engines[range].iter().any(|engine| engine.accepts_requests)
            };
            prop_assert!(any_accepts(0..2) && any_accepts(2..5));
        }
        let restored = OrderRegistry::restore(registry.changes());
        prop_assert_eq!(&restored, &registry);
        let intents = registry.intents(|_| true).into_iter();
        let engine_intents = intents.filter(|intent| matches!(intent.subject, Subject::Engine { .. }));
        prop_assert_eq!(engine_intents.count(), names.iter().filter(|n| registry.drain(n).is_some()).count());
    }
}
