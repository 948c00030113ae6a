//! Settings files: the example is valid, errors are reported with their lines, schema and reader agree.

use gaparch_config::schema::{self, Schema};
use gaparch_config::{server_id, Config, EXAMPLE};
use gaparch_scheduler::api::{DeduplicationScope, Idempotency, ServerState};

fn problems(text: &str) -> Vec<String> {
    Config::parse(text).err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

/// Returns the example with the first occurrence of a text replaced; panics if the text does not occur.
fn edited(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "{from}");
    EXAMPLE.replacen(from, to, 1)
}

#[test]
fn the_example_is_valid_and_parsed_as_written() {
    let config = Config::parse(EXAMPLE).expect("valid settings");
    assert_eq!(config.router, "north-1");
    assert_eq!(config.listeners.len(), 3);
    assert_eq!(config.listeners[2].dialect.name(), "house");
    assert_eq!(config.scheduler.classes[1].idempotency, Idempotency::WithKey);
    assert_eq!(config.scheduler.classes[1].deduplication_scope, DeduplicationScope::Cell);
    assert_eq!(config.scheduler.classes[0].latency_objective_per_prompt_token, 60_000.0);
    assert_eq!(config.scheduler.kv_release_within, 500_000_000);
    assert_eq!(config.engines[3].state, ServerState::Ready);
    assert_eq!(config.keys.len(), 2);
    assert_ne!(server_id("read-1"), server_id("read-2"));
}

#[test]
fn fleet_defaults_apply_and_the_key_file_is_resolved_against_the_settings_folder() {
    let text = edited(" address=\"127.0.0.1:7400\" key-file", " key-file")
        .replace(" period=\"200ms\" hold=\"60s\" confirm=\"3s\" refined=\"true\"", "");
    let fleet = Config::parse(&text).expect("valid settings").fleet.expect("a fleet");
    assert_eq!((fleet.address, fleet.period, fleet.hold), (fleet.listen, 200_000_000, 60_000_000_000));
    assert!(fleet.refined);
    let example = Config::parse(EXAMPLE).expect("valid settings").fleet.expect("a fleet");
    assert_eq!(
        (fleet.confirm, example.confirm),
        (None, Some(3_000_000_000)),
        "lists of other routers are used only if configured"
    );
    assert_eq!(gaparch_config::Fleet { confirm: None, ..example.clone() }, fleet);
    assert_eq!(
        example.resolve_paths("/etc/gaparch".as_ref()).key_file.to_str(),
        Some("/etc/gaparch/fleet.key")
    );
}

#[test]
fn each_invalid_fleet_setting_is_reported() {
    for (from, to, expected) in [
        (" key-file=\"fleet.key\"", "", "<fleet>: attribute 'key-file' is missing"),
        ("period=\"200ms\"", "period=\"10ms\"", "<fleet period>: below 80ms a router would exceed its limit"),
        ("period=\"200ms\"", "period=\"1m\"", "<fleet period>: above 10s"),
        ("hold=\"60s\"", "hold=\"1s\"", "<fleet hold>: must be at least 6000 ms: the longest deadline"),
        (
            "address=\"127.0.0.1:7400\" key",
            "address=\"0.0.0.0:7400\" key",
            "<fleet address>: other routers can't send to this",
        ),
        (
            "<fleet listen=\"127.0.0.1:7400\" address=\"127.0.0.1:7400\"",
            "<fleet listen=\"127.0.0.1:0\"",
            "<fleet listen>: other routers can't",
        ),
        ("<seed address=\"127.0.0.1:7401\"/>", "<seed address=\"127.0.0.1:99999\"/>", "<seed address>"),
    ] {
        let found = problems(&edited(from, to));
        assert!(found.iter().any(|p| p.contains(expected)), "{expected}: {found:?}");
    }
    let (before, rest) = EXAMPLE.split_once("<operations ").expect("the element");
    let (_, after) = rest.split_once("</operations>").expect("its end tag");
    let found = problems(&format!("{before}{after}"));
    assert!(found.iter().any(|p| p.contains("<fleet listen>: requires <operations>")), "{found:?}");
    let (before, rest) = EXAMPLE.split_once("<seed ").expect("the element");
    let (_, after) = rest.split_once("</fleet>").expect("its end tag");
    let found = problems(&format!("{before}</fleet>{after}"));
    assert!(found.iter().any(|p| p.contains("<fleet listen>: requires a <seed>")), "{found:?}");
}

#[test]
fn each_error_is_reported_with_line_and_element() {
    for (from, to, expected) in [
        ("<zone id=\"south\"/>", "<zone id=\"north\"/>", "<zone id>: 'north' is already used in line 11"),
        (
            "kind=\"reader\" zone=\"south\"",
            "kind=\"raeder\" zone=\"south\"",
            "<engine kind>: unknown kind 'raeder'",
        ),
        ("zone=\"north\" rack", "zone=\"west\" rack", "<engine zone>: unknown zone 'west'"),
        ("aim=\"1s\"", "aim=\"9s\"", "<class aim>: must be above 0"),
        (" window=\"5s\"", "", "<class window>: a keyed class needs"),
        ("deadline=\"5s\"", "", "<class>: attribute 'deadline' is missing"),
        ("deadline=\"5s\"", "deadline=\"5\"", "<class deadline>: '5' is not a valid time"),
        (
            "release-within=\"500ms\"",
            "release-within=\"5ms\"",
            "<rules release-within>: 5ms is too short: must be at least 50ms",
        ),
        ("<zones>", "<zonen/><zones>", "<zonen>: unknown element 'zonen'"),
        (
            "mode=\"push\"",
            "mode=\"pull\"",
            "<list mode>: 'pull' is not a valid mode: must be one of push, ask",
        ),
        ("most=\"5\"", "most=\"0\"", "<attempts most>: '0' is not a valid count: must be at least 1"),
        ("weight=\"1\"", "weight=\"1e300\"", "<engine weight>"),
        ("weight=\"1\"", "weight=\"NaN\"", "<engine weight>"),
        ("weight=\"1\"", "weihgt=\"1\"", "<engine>: unknown attribute 'weihgt'"),
        ("value=\"change-me-web\"", "value=\"change-me-app\"", "<key value>: the same key is used twice"),
        ("share=\"0.6\"", "share=\"0.7\"", "<tenants share>: the shares add up"),
        ("dialect=\"house\"", "dialect=\"cottage\"", "<listen dialect>: unknown dialect 'cottage'"),
        ("spelt=\"busy\"", "spelt=\"api_error\"", "<dialect>: two labels are spelt 'api_error'"),
        ("name=\"tick\"", "name=\"error\"", "<dialect>: events 'failed' and 'keep-alive' have the same name"),
        ("number=\"0\"", "number=\"2\"", "<router number>"),
        (
            "127.0.0.1:7101",
            "127.0.0.1:99999",
            "<engine address>: '127.0.0.1:99999' is not an IP address with a port",
        ),
        ("127.0.0.1:8090", "10.1.2.3:8090", "<operations address>: 10.1.2.3 is not a loopback address"),
        (" key=\"change-me-wall\"", "", "<operator key-file>: exactly one of key-file and key"),
        ("name=\"wall\"", "name=\"office\"", "<operator name>: 'office' is already used in line"),
        ("role=\"watch\"", "role=\"root\"", "<operator role>: 'root' is not a valid operator-role"),
        ("history=\"64MiB\"", "history=\"64\"", "<operations history>: must be at least 1MiB"),
        ("version=\"1\">", "version=\"2\">", "<gaparch version>: only version 1 is supported"),
    ] {
        let found = problems(&edited(from, to));
        let reported = found.iter().any(|p| p.starts_with("line ") && p.contains(expected));
        assert!(reported, "{from} -> {to}: {found:?}");
    }
}

#[test]
fn all_errors_are_reported_at_once_in_line_order() {
    let text = edited("aim=\"1s\"", "aim=\"9s\"").replacen("kind=\"writer\"", "kind=\"w\"", 2);
    let found = problems(&text);
    assert_eq!(found.len(), 3, "{found:?}");
    let lines: Vec<usize> =
        found.iter().filter_map(|p| p.strip_prefix("line ")?.split(':').next()?.parse().ok()).collect();
    assert!(lines.windows(2).all(|w| w[0] <= w[1]), "{found:?}");
}

#[test]
fn malformed_xml_is_reported_as_a_single_error() {
    for text in ["", "<gaparch>", "<gaparch version='1'>\n<router></gaparch>", "hello", "<a/><b/>"] {
        let found = problems(text);
        assert_eq!(found.len(), 1, "{text}: {found:?}");
    }
    assert!(problems("<!DOCTYPE x [<!ENTITY a \"b\">]><gaparch/>")[0].contains("document type"));
    let deep = "<a>".repeat(100_000);
    assert!(problems(&deep)[0].contains("too deep"));
}

/// Shows, together with the test that the reader accepts the example, that the reader knows each element and
/// attribute of the schema: it rejects those that it does not know (`deny_unknown_fields`).
#[test]
fn the_example_uses_each_element_and_attribute_of_the_schema() {
    for (element, attributes) in Schema::published().attributes_by_element() {
        assert!(EXAMPLE.contains(&format!("<{element}")), "<{element}> is not in the example");
        for attribute in attributes {
            let used = EXAMPLE.split(&format!("<{element} ")).skip(1).any(|rest| {
                let tag = rest.split('>').next().unwrap_or_default();
                tag.split_whitespace().any(|word| word.starts_with(&format!("{attribute}=")))
            });
            assert!(used, "<{element} {attribute}> is not in the example");
        }
    }
}

/// The reverse: each element and attribute that the reader's structs declare is in the schema.
#[test]
fn the_schema_has_each_attribute_of_the_reader() {
    let vocabulary = Schema::published().attributes_by_element();
    let mut seen = 0;
    let reader = concat!(
        include_str!("../src/raw/mod.rs"),
        include_str!("../src/raw/traffic.rs"),
        include_str!("../src/raw/operations.rs"),
        include_str!("../src/raw/dialects.rs"),
    );
    for item in reader.split("pub(crate) struct ").skip(1) {
        let element = item.split_whitespace().next().unwrap_or_default().to_lowercase();
        let Some(attributes) = vocabulary.get(&element) else { panic!("<{element}> is not in the schema") };
        let body = item.split("\n}").next().unwrap_or_default();
        for attribute in body.split("rename = \"@").skip(1) {
            let attribute = attribute.split('"').next().unwrap_or_default();
            assert!(
                attributes.iter().any(|a| a == attribute),
                "<{element} {attribute}> is not in the schema"
            );
            seen += 1;
        }
    }
    assert!(seen > 60, "{seen} attributes");
}

#[test]
fn the_schema_alone_accepts_the_example_and_rejects_structural_errors() {
    let schema = Schema::published();
    assert_eq!(schema.validate(EXAMPLE), vec![]);
    for (from, to) in [
        ("<zones>", "<zonen/><zones>"),
        ("most=\"5\"", "most=\"0\""),
        ("mode=\"push\"", "mode=\"pull\""),
        ("  <rules", "  <!-- --><list address=\"127.0.0.1:1\"/><rules"),
    ] {
        let text = edited(from, to);
        assert!(!schema.validate(&text).is_empty(), "{to}");
        assert!(Config::parse(&text).is_err(), "{to}");
    }
}

#[test]
fn unsupported_or_undefined_schema_constructs_are_rejected() {
    for text in [
        schema::TEXT.replacen("xs:sequence", "xs:choice", 2),
        schema::TEXT.replacen("xs:pattern", "xs:length", 1),
        schema::TEXT.replacen("type=\"router\"", "type=\"ruoter\"", 1),
    ] {
        assert!(Schema::parse(&text).is_err());
    }
}
