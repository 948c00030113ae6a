//! Tests of the invariants: each one must fail on observations that violate it.

use super::*;
use gaparch_protocol::ops::view::{FleetView, MemberView};

const SECOND: Duration = Duration::from_secs(1);

fn row(router: usize, state: MemberState) -> MemberView {
    MemberView {
        name: Site::router_name(router),
        zone: String::new(),
        build: String::new(),
        address: String::new(),
        incarnation: 1,
        state,
        since: 0,
        last_alive_at: 0,
        last_received_at: None,
        suspected_by: Vec::new(),
        duplicate_at: None,
        receives_nothing: false,
    }
}

fn sample(at: Duration, router: usize, others: [MemberState; 2], divisor: u32) -> ViewSample {
    let names = (0..3).filter(|r| *r != router).zip(others);
    let view = FleetView {
        router: Site::router_name(router),
        incarnation: 1,
        majority: true,
        present: 3,
        counted: 3,
        divisor,
        receives_nothing: false,
        is_unanswered: false,
        timeout_extension: 0,
        members: names.map(|(of, state)| row(of, state)).collect(),
        link_faults: Vec::new(),
        sent: 0,
        sent_bytes: 0,
        received: 0,
        forged: 0,
        malformed: 0,
        newer: 0,
        replayed: 0,
        misdirected: 0,
        throttled: 0,
    };
    ViewSample { at, requested_at: at, router, view, versions: None, held: BTreeSet::new() }
}

/// Three routers; the third is killed after 2 s and known as dead after 3 s.
fn observations() -> Observations {
    use MemberState::{Alive, Dead};
    let mut observations = Observations { bytes: vec![1000; 3], ..Observations::default() };
    observations.process_states =
        (0..3).map(|router| (Duration::ZERO, router, ProcessState::Running)).collect();
    observations.process_states.push((SECOND * 2, 2, ProcessState::Killed));
    for tenth in 1..100 {
        let at = Duration::from_millis(tenth * 100);
        let third = if at < SECOND * 3 { Alive } else { Dead };
        observations.samples.push(sample(at, 0, [Alive, third], 3));
        observations.samples.push(sample(at, 1, [Alive, third], 3));
    }
    observations
}

fn scenario(expectation: &str) -> Scenario {
    let text = format!(r#"<day name="x" says="x" routers="3" lasts="10s">{expectation}</day>"#);
    Scenario::parse(&text).expect("a day")
}

fn failures(expectation: &str, observations: &Observations) -> Vec<String> {
    judge(&scenario(expectation), observations.clone(), Verdict::default(), (0, 0)).failures()
}

#[test]
fn a_met_expectation_reports_the_time_it_took() {
    let expectation = r#"<want at="2s" within="5s" what="dead" routers="2" stays="2s"/>"#;
    let report = judge(&scenario(expectation), observations(), Verdict::default(), (0, 0));
    assert!(report.passed(), "{report}");
    assert_eq!(report.results[0].took, [SECOND, SECOND]);
}

#[test]
fn each_invariant_can_fail() {
    let dead_soon = r#"<want at="2s" within="500ms" what="dead" routers="2"/>"#;
    assert_eq!(failures(dead_soon, &observations()).len(), 1);
    assert_eq!(
        failures(r#"<want at="4s" within="1s" what="whole" by="2"/>"#, &observations()).len(),
        1,
        "no router observed it"
    );
    assert_eq!(
        failures(r#"<want at="1s" within="1s" what="edges" from="0" to="1"/>"#, &observations()).len(),
        1
    );
    for what in ["no-majority", "forged"] {
        assert_eq!(
            failures(&format!(r#"<want at="1s" within="1s" what="{what}"/>"#), &observations()).len(),
            1,
            "{what}"
        );
    }
    for what in ["deaf", "mute", "left"] {
        let expectation = format!(r#"<want at="1s" within="1s" what="{what}" routers="1"/>"#);
        assert_eq!(failures(&expectation, &observations()).len(), 1, "{what}");
    }
    assert_eq!(
        failures(r#"<want at="1s" within="1s" what="event" text="never"/>"#, &observations()).len(),
        1
    );
}

#[test]
fn a_suspicion_of_a_running_router_is_found() {
    let expectation =
        r#"<want at="1s" within="300ms" what="no-accusation" routers="1" by="0 1" stays="500ms"/>"#;
    assert!(failures(expectation, &observations()).is_empty());
    let mut accused = observations();
    let mut by_one = sample(Duration::from_millis(1450), 0, [MemberState::Alive, MemberState::Suspect], 3);
    by_one.view.members[1].suspected_by = vec![Site::router_name(1)];
    let at = accused.samples.iter().position(|l| l.at > by_one.at).expect("there are later ones");
    accused.samples.insert(at, by_one);
    assert_eq!(failures(expectation, &accused).len(), 1);
}

#[test]
fn a_picture_shows_each_state_in_its_colour() {
    let report = judge(&scenario(""), observations(), Verdict::default(), (0, 0));
    let svg = crate::fleet::picture::draw(&report).expect("drawn");
    assert!(svg.starts_with("<svg") && svg.contains("seen by router 1"));
    // Two routers count the third one as dead after 3 s; the third match is in the legend.
    assert_eq!(svg.matches("#C83C32").count(), 3, "{svg}");
}

#[test]
fn general_invariants_are_checked_without_an_expectation() {
    let all_well = observations();
    assert!(failures("", &all_well).is_empty());
    let mut false_death = observations();
    false_death.samples.push(sample(SECOND * 8, 0, [MemberState::Dead, MemberState::Dead], 3));
    assert_eq!(failures("", &false_death), ["router 0 counts running router 1 as dead"]);
    let mut small_divisor = observations();
    small_divisor.samples.push(sample(SECOND, 1, [MemberState::Alive, MemberState::Alive], 1));
    assert!(failures("", &small_divisor)[0].contains("of a limit at once"));
    assert!(failures("", &Observations { bytes: vec![10_000_000], ..observations() })[0]
        .contains("bytes a second"));
    assert_eq!(
        failures("", &Observations { crashes: vec!["it ended".to_owned()], ..observations() }),
        ["it ended"]
    );
    assert_eq!(
        failures("", &Observations { samples: Vec::new(), ..observations() }),
        ["no router was observed"]
    );
    let mut verdict = Verdict::default();
    verdict.rules[0].broken.push("no answer".to_owned());
    assert_eq!(judge(&scenario(""), observations(), verdict, (0, 0)).failures(), ["rule 1: no answer"]);
}
