//! Each invariant can fail: a planted defect for each.

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

fn look(at: Duration, router: usize, others: [MemberState; 2], divisor: u32) -> Look {
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
    Look { at, asked: at, router, view, versions: None, held: BTreeSet::new() }
}

/// Three routers; the third is killed after two seconds, and known as dead after three.
fn seen() -> Seen {
    use MemberState::{Alive, Dead};
    let mut seen = Seen { bytes: vec![1000; 3], ..Seen::default() };
    seen.lives = (0..3).map(|router| (Duration::ZERO, router, Life::Running)).collect();
    seen.lives.push((SECOND * 2, 2, Life::Killed));
    for tenth in 1..100 {
        let at = Duration::from_millis(tenth * 100);
        let third = if at < SECOND * 3 { Alive } else { Dead };
        seen.looks.push(look(at, 0, [Alive, third], 3));
        seen.looks.push(look(at, 1, [Alive, third], 3));
    }
    seen
}

fn day(want: &str) -> Day {
    let text = format!(r#"<day name="x" says="x" routers="3" lasts="10s">{want}</day>"#);
    Day::parse(&text).expect("a day")
}

fn short(want: &str, seen: &Seen) -> Vec<String> {
    judge(&day(want), seen.clone(), Verdict::default(), (0, 0)).short()
}

#[test]
fn what_is_wanted_is_found_with_the_time_it_took() {
    let want = r#"<want at="2s" within="5s" what="dead" routers="2" stays="2s"/>"#;
    let report = judge(&day(want), seen(), Verdict::default(), (0, 0));
    assert!(report.holds(), "{report}");
    assert_eq!(report.found[0].took, [SECOND, SECOND]);
}

#[test]
fn each_invariant_can_fail() {
    let dead_soon = r#"<want at="2s" within="500ms" what="dead" routers="2"/>"#;
    assert_eq!(short(dead_soon, &seen()).len(), 1);
    assert_eq!(
        short(r#"<want at="4s" within="1s" what="whole" by="2"/>"#, &seen()).len(),
        1,
        "nobody saw it"
    );
    assert_eq!(short(r#"<want at="1s" within="1s" what="edges" from="0" to="1"/>"#, &seen()).len(), 1);
    for what in ["no-majority", "forged"] {
        assert_eq!(
            short(&format!(r#"<want at="1s" within="1s" what="{what}"/>"#), &seen()).len(),
            1,
            "{what}"
        );
    }
    for what in ["deaf", "mute", "left"] {
        let want = format!(r#"<want at="1s" within="1s" what="{what}" routers="1"/>"#);
        assert_eq!(short(&want, &seen()).len(), 1, "{what}");
    }
    assert_eq!(short(r#"<want at="1s" within="1s" what="event" text="never"/>"#, &seen()).len(), 1);
}

#[test]
fn an_accusation_of_one_who_lives_is_found() {
    let want = r#"<want at="1s" within="300ms" what="no-accusation" routers="1" by="0 1" stays="500ms"/>"#;
    assert!(short(want, &seen()).is_empty());
    let mut accused = seen();
    let mut by_one = look(Duration::from_millis(1450), 0, [MemberState::Alive, MemberState::Suspect], 3);
    by_one.view.members[1].suspected_by = vec![Site::router_name(1)];
    let at = accused.looks.iter().position(|l| l.at > by_one.at).expect("there are later ones");
    accused.looks.insert(at, by_one);
    assert_eq!(short(want, &accused).len(), 1);
}

#[test]
fn a_picture_shows_each_thought_in_its_colour() {
    let report = judge(&day(""), seen(), Verdict::default(), (0, 0));
    let svg = crate::fleet::picture::draw(&report).expect("drawn");
    assert!(svg.starts_with("<svg") && svg.contains("as router 1 sees"));
    // Two routers count the third as dead from the third second on; one more stands in the legend.
    assert_eq!(svg.matches("#C83C32").count(), 3, "{svg}");
}

#[test]
fn what_must_never_be_is_found_without_being_asked_for() {
    let all_well = seen();
    assert!(short("", &all_well).is_empty());
    let mut false_death = seen();
    false_death.looks.push(look(SECOND * 8, 0, [MemberState::Dead, MemberState::Dead], 3));
    assert_eq!(short("", &false_death), ["router 0 counts 1 as dead"]);
    let mut small_divisor = seen();
    small_divisor.looks.push(look(SECOND, 1, [MemberState::Alive, MemberState::Alive], 1));
    assert!(short("", &small_divisor)[0].contains("of a limit at once"));
    assert!(short("", &Seen { bytes: vec![10_000_000], ..seen() })[0].contains("bytes a second"));
    assert_eq!(short("", &Seen { crashes: vec!["it ended".to_owned()], ..seen() }), ["it ended"]);
    assert_eq!(short("", &Seen { looks: Vec::new(), ..seen() }), ["nothing was seen"]);
    let mut verdict = Verdict::default();
    verdict.rules[0].broken.push("no answer".to_owned());
    assert_eq!(judge(&day(""), seen(), verdict, (0, 0)).short(), ["rule 1: no answer"]);
}
