//! Endpoint lists of the discovery service, parsed whole and in pieces.

use super::*;
use proptest::prelude::*;
use serde_json::json;

const LIMITS: ListLimits = ListLimits { bytes: 1 << 20, entries: 1_000 };

/// Guards against rejecting entries, and with them the whole list, at a site whose cells have names.
#[test]
fn an_entry_is_accepted_with_any_value_as_its_cell_and_weight() {
    let cases = [
        (json!(3), json!(1.5), "3", Some(1.5)),
        (json!("rack-b"), json!("heavy"), "rack-b", None),
        (json!(null), json!(null), "", None),
        (json!([3]), json!({}), "", None),
        (json!(-3), json!(2), "-3", Some(2.0)),
    ];
    for (cell, weight, expected_rack, expected_weight) in cases {
        let list = json!({"generation": 1, "reset": true, "instances": [{"instanceId": "s",
            "hostPort": "127.0.0.1:1", "cell": cell, "weight": weight, "lifecycle": "ready"}]});
        let parsed = EndpointList::from_json(list.to_string().as_bytes(), LIMITS).expect("a valid list");
        let entry = &parsed.entries[0];
        assert_eq!(
            (entry.rack.as_str(), entry.weight, parsed.rejected_entries),
            (expected_rack, expected_weight, 0)
        );
    }
}

/// A worker whose start time can't be read may be in slow start, so it must not count as fully warmed up.
#[test]
fn an_entry_with_an_invalid_start_time_is_rejected() {
    let list = json!({"generation": 1, "reset": false, "instances": [{"instanceId": "s",
        "hostPort": "127.0.0.1:1", "startedAtMs": "just now", "lifecycle": "ready"}]});
    let parsed = EndpointList::from_json(list.to_string().as_bytes(), LIMITS).expect("a valid list");
    assert_eq!((parsed.entries.len(), parsed.rejected_entries), (0, 1));
}

/// Returns a list of this many workers, indented or not.
fn list(workers: usize, indented: bool) -> String {
    let instance = |n: usize| {
        json!({"instanceId": format!("s-{n} \"[{{]}},"), "hostPort": format!("10.0.0.{n}:80"), "zone": "a",
            "machineType": "m", "cell": n / 8, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0})
    };
    let all: Vec<Value> = (0..workers).map(instance).collect();
    let list = json!({"other": {"instances": ["not these"]}, "generation": 7, "reset": true, "instances": all,
        "later": [{"x": "]"}]});
    if indented {
        serde_json::to_string_pretty(&list).expect("valid JSON")
    } else {
        list.to_string()
    }
}

fn parse_in_pieces(
    text: &[u8],
    cuts: &[usize],
    limits: ListLimits,
) -> Result<EndpointList, EndpointListError> {
    let mut parser = EndpointListParser::new(limits);
    let mut from = 0;
    for cut in cuts {
        let to = (from + cut).min(text.len());
        parser.push(&text[from..to])?;
        from = to;
    }
    parser.push(&text[from..])?;
    parser.finish()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_list_does_not_depend_on_how_its_bytes_are_split(
        workers in 1usize..20, indented in any::<bool>(), cuts in prop::collection::vec(1usize..97, 0..40)
    ) {
        let text = list(workers, indented);
        let parsed = parse_in_pieces(text.as_bytes(), &cuts, LIMITS).expect("a valid list");
        prop_assert_eq!((parsed.generation, parsed.scope, parsed.rejected_entries), (7, Scope::Full, 0));
        prop_assert_eq!(parsed.entries.len(), workers);
        prop_assert_eq!(&parsed.entries[workers - 1].engine, &format!("s-{} \"[{{]}},", workers - 1));
        prop_assert_eq!(&EndpointList::from_json(text.as_bytes(), LIMITS).expect("a valid list"), &parsed);
    }

    #[test]
    fn a_truncated_list_is_rejected(workers in 1usize..20, indented in any::<bool>(), at in 0.0..1.0) {
        let text = list(workers, indented);
        let kept = (text.len() as f64 * at) as usize;
        prop_assert!(EndpointList::from_json(&text.as_bytes()[..kept], LIMITS).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_make_the_parser_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = EndpointList::from_json(&bytes, LIMITS);
    }

    /// Random text made of the characters that the parser treats specially.
    #[test]
    fn arbitrary_brackets_and_quotes_do_not_make_the_parser_panic(text in "[\\[\\]{},:\" a1\\\\]{0,60}") {
        let _ = EndpointList::from_json(format!("{{\"instances\":{text}").as_bytes(), LIMITS);
    }
}

#[test]
fn invalid_entries_are_rejected_and_counted() {
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
        let parsed = EndpointList::from_json(text.as_bytes(), LIMITS).expect("a list of the other entries");
        assert_eq!((parsed.entries.len(), parsed.rejected_entries), (2, 1), "{bad:.60}");
    }
}

#[test]
fn a_list_that_is_not_json_is_rejected_as_a_whole() {
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
fn each_exceeded_limit_has_its_own_error() {
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
    let long_envelope = format!("{{\"x\":\"{}\"", "x".repeat(100_000));
    assert!(matches!(
        EndpointList::from_json(long_envelope.as_bytes(), LIMITS),
        Err(EndpointListError::EnvelopeTooLong { .. })
    ));
}

/// A list of 10,000 workers fits into the limits for 64 MiB. Less memory lowers the limits, but not below the
/// platform's usual list length.
#[test]
fn list_limits_depend_on_the_memory_limit() {
    const MIB: usize = 1 << 20;
    let fleet = list(10_000, true);
    let limits = ListLimits::for_memory(64 * MIB);
    assert_eq!(
        EndpointList::from_json(fleet.as_bytes(), limits).expect("a list within the limits").entries.len(),
        10_000
    );
    assert!(limits.entries >= 16_000 && ListLimits::for_memory(32 * MIB).entries < limits.entries);
    assert!(ListLimits::for_memory(0).entries >= 2_000);
}
