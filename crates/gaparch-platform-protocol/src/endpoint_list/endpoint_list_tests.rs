//! Answers of the discovery service, complete and in pieces.

use super::*;
use proptest::prelude::*;
use serde_json::json;

const LIMITS: ListLimits = ListLimits { bytes: 1 << 20, entries: 1_000 };

/// A site may name its cells: an entry was dropped for it, and with all of them the list.
#[test]
fn an_entry_is_taken_whatever_stands_for_its_cell_and_weight() {
    let cases = [
        (json!(3), json!(1.5), "3", Some(1.5)),
        (json!("rack-b"), json!("heavy"), "rack-b", None),
        (json!(null), json!(null), "", None),
        (json!([3]), json!({}), "", None),
        (json!(-3), json!(2), "-3", Some(2.0)),
    ];
    for (cell, weight, rack, taken) in cases {
        let list = json!({"generation": 1, "reset": true, "instances": [{"instanceId": "s", "hostPort": "127.0.0.1:1",
            "cell": cell, "weight": weight, "lifecycle": "ready"}]});
        let members = EndpointList::from_json(list.to_string().as_bytes(), LIMITS).expect("it is a list");
        let entry = &members.entries[0];
        assert_eq!((entry.rack.as_str(), entry.weight, members.rejected_entries), (rack, taken, 0));
    }
}

/// An entry whose start can't be read may be in slow start, and is not taken for one that is past it.
#[test]
fn an_entry_whose_start_makes_no_sense_is_rejected() {
    let list = json!({"generation": 1, "reset": false, "instances": [{"instanceId": "s", "hostPort": "127.0.0.1:1",
        "startedAtMs": "just now", "lifecycle": "ready"}]});
    let members = EndpointList::from_json(list.to_string().as_bytes(), LIMITS).expect("it is a list");
    assert_eq!((members.entries.len(), members.rejected_entries), (0, 1));
}

/// A list of so many workers, indented or not.
fn list(workers: usize, indented: bool) -> String {
    let instance = |n: usize| {
        json!({"instanceId": format!("s-{n} \"[{{]}},"), "hostPort": format!("10.0.0.{n}:80"), "zone": "a",
            "machineType": "m", "cell": n / 8, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    };
    let all: Vec<Value> = (0..workers).map(instance).collect();
    let list = json!({"other": {"instances": ["not these"]}, "generation": 7, "reset": true, "instances": all,
        "later": [{"x": "]"}]});
    if indented {
        serde_json::to_string_pretty(&list).expect("it is JSON")
    } else {
        list.to_string()
    }
}

fn read_in_pieces(
    text: &[u8],
    cuts: &[usize],
    limits: ListLimits,
) -> Result<EndpointList, EndpointListError> {
    let mut reader = EndpointListParser::new(limits);
    let mut from = 0;
    for cut in cuts {
        let to = (from + cut).min(text.len());
        reader.push(&text[from..to])?;
        from = to;
    }
    reader.push(&text[from..])?;
    reader.finish()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_cut_gives_the_same_list(
        workers in 1usize..20, indented in any::<bool>(), cuts in prop::collection::vec(1usize..97, 0..40)
    ) {
        let text = list(workers, indented);
        let members = read_in_pieces(text.as_bytes(), &cuts, LIMITS).expect("it is a list");
        prop_assert_eq!((members.generation, members.scope, members.rejected_entries), (7, Scope::Full, 0));
        prop_assert_eq!(members.entries.len(), workers);
        prop_assert_eq!(&members.entries[workers - 1].engine, &format!("s-{} \"[{{]}},", workers - 1));
        prop_assert_eq!(&EndpointList::from_json(text.as_bytes(), LIMITS).expect("it is a list"), &members);
    }

    #[test]
    fn a_list_that_is_cut_off_is_none(workers in 1usize..20, indented in any::<bool>(), at in 0.0..1.0) {
        let text = list(workers, indented);
        let kept = (text.len() as f64 * at) as usize;
        prop_assert!(EndpointList::from_json(&text.as_bytes()[..kept], LIMITS).is_err());
    }

    #[test]
    fn no_bytes_make_the_reader_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = EndpointList::from_json(&bytes, LIMITS);
    }

    /// Noise built of what the reader looks at.
    #[test]
    fn no_brackets_make_the_reader_panic(text in "[\\[\\]{},:\" a1\\\\]{0,60}") {
        let _ = EndpointList::from_json(format!("{{\"instances\":{text}").as_bytes(), LIMITS);
    }
}

#[test]
fn entries_that_make_no_sense_are_rejected_and_counted() {
    let good = r#"{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}"#;
    let long = format!(r#"{{"instanceId":"{}","hostPort":"127.0.0.1:1"}}"#, "x".repeat(9_000));
    for bad in [
        "null",
        "7",
        "[]",
        "{}",
        r#"{"instanceId":"","hostPort":"x"}"#,
        r#"{"instanceId":"s","hostPort":"x","startedAtMs":"soon"}"#,
        &long,
    ] {
        let text = format!(r#"{{"generation":1,"reset":true,"instances":[{good}, {bad} ,{good}]}}"#);
        let members = EndpointList::from_json(text.as_bytes(), LIMITS).expect("the others are a list");
        assert_eq!((members.entries.len(), members.rejected_entries), (2, 1), "{bad:.60}");
    }
}

#[test]
fn what_is_no_json_is_rejected_as_a_whole() {
    let good = r#"{"instanceId":"s","hostPort":"127.0.0.1:1","lifecycle":"ready"}"#;
    for entries in [
        format!("{good},"),
        format!(",{good}"),
        format!("{good},,{good}"),
        format!("{good} {good}"),
        format!("{good},{{"),
        "x".to_owned(),
    ] {
        let text = format!(r#"{{"generation":1,"reset":true,"instances":[{entries}]}}"#);
        let error = EndpointList::from_json(text.as_bytes(), LIMITS).expect_err(&entries);
        assert!(matches!(error, EndpointListError::Json(_)), "{entries}: {error}");
    }
    for text in [
        "",
        "[]",
        "{",
        r#"{"generation":1,"instances":7}"#,
        r#"{"instances":[]}"#,
        r#"{"generation":1,"instances":[]} x"#,
    ] {
        assert!(EndpointList::from_json(text.as_bytes(), LIMITS).is_err(), "{text}");
    }
    assert!(EndpointList::from_json(br#"{"generation":1,"reset":false,"instances":[ ]}"#, LIMITS).is_ok());
}

#[test]
fn a_list_beyond_the_limits_is_rejected_by_name() {
    let text = list(20, false);
    let few = ListLimits { entries: 19, ..LIMITS };
    assert!(matches!(
        EndpointList::from_json(text.as_bytes(), few),
        Err(EndpointListError::TooManyEntries { max: 19 })
    ));
    let short = ListLimits { bytes: text.len() - 1, ..LIMITS };
    assert!(matches!(
        EndpointList::from_json(text.as_bytes(), short),
        Err(EndpointListError::TooLong { .. })
    ));
    assert!(EndpointList::from_json(text.as_bytes(), ListLimits { bytes: text.len(), entries: 20 }).is_ok());
    let noise = format!("{{\"x\":\"{}\"", "x".repeat(100_000));
    assert!(matches!(
        EndpointList::from_json(noise.as_bytes(), LIMITS),
        Err(EndpointListError::OutlineTooLong { .. })
    ));
}

/// The letter's fleet fits into the letter's memory; less memory allows a shorter list, and never none.
#[test]
fn limits_follow_from_the_memory() {
    const MIB: usize = 1 << 20;
    let fleet = list(10_000, true);
    let limits = ListLimits::for_memory(64 * MIB);
    assert_eq!(EndpointList::from_json(fleet.as_bytes(), limits).expect("it fits").entries.len(), 10_000);
    assert!(limits.entries >= 16_000 && ListLimits::for_memory(32 * MIB).entries < limits.entries);
    assert!(ListLimits::for_memory(0).entries >= 2_000);
}
