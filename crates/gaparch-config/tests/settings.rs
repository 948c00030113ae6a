//! Settings: the example is sound, every mistake is named with its line, schema and reader agree.

use gaparch_config::schema::{self, Schema};
use gaparch_config::{server_id, Config, EXAMPLE};
use gaparch_scheduler::api::{DeduplicationScope, Idempotency, ServerState};

fn problems(text: &str) -> Vec<String> {
    Config::parse(text).err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

/// The example with one text put in place of another, which must be there.
fn edited(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "{from}");
    EXAMPLE.replacen(from, to, 1)
}

#[test]
fn the_example_is_sound_and_says_what_it_says() {
    let config = Config::parse(EXAMPLE).expect("sound");
    assert_eq!(config.router, "north-1");
    assert_eq!(config.listeners.len(), 3);
    assert_eq!(config.listeners[2].dialect.name(), "house");
    assert_eq!(config.module.classes[1].idempotency, Idempotency::WithKey);
    assert_eq!(config.module.classes[1].deduplication_scope, DeduplicationScope::Cell);
    assert_eq!(config.module.classes[0].latency_objective_per_prompt_token, 60_000.0);
    assert_eq!(config.module.kv_release_within, 500_000_000);
    assert_eq!(config.engines[3].state, ServerState::Ready);
    assert_eq!(config.keys.len(), 2);
    assert_ne!(server_id("read-1"), server_id("read-2"));
}

#[test]
fn a_fleet_has_defaults_and_its_key_file_counts_from_the_settings_folder() {
    let text = edited(" address=\"127.0.0.1:7400\" key-file", " key-file")
        .replace(" period=\"200ms\" hold=\"60s\" confirm=\"3s\" refined=\"true\"", "");
    let fleet = Config::parse(&text).expect("sound").fleet.expect("there is one");
    assert_eq!((fleet.address, fleet.period, fleet.hold), (fleet.listen, 200_000_000, 60_000_000_000));
    assert!(fleet.refined);
    let example = Config::parse(EXAMPLE).expect("sound").fleet.expect("there is one");
    assert_eq!(
        (fleet.confirm, example.confirm),
        (None, Some(3_000_000_000)),
        "nothing is followed unless it is wanted"
    );
    assert_eq!(gaparch_config::Fleet { confirm: None, ..example.clone() }, fleet);
    assert_eq!(example.at("/etc/gaparch".as_ref()).key_file.to_str(), Some("/etc/gaparch/fleet.key"));
}

#[test]
fn a_fleet_that_cannot_be_says_why() {
    for (from, to, wanted) in [
        (" key-file=\"fleet.key\"", "", "<fleet>: attribute 'key-file' is missing"),
        (
            "period=\"200ms\"",
            "period=\"10ms\"",
            "<fleet period>: at less than 80ms a router would have to send more",
        ),
        ("period=\"200ms\"", "period=\"1m\"", "<fleet period>: at more than 10s"),
        ("hold=\"60s\"", "hold=\"1s\"", "<fleet hold>: 6000 ms at least: the longest deadline"),
        (
            "address=\"127.0.0.1:7400\" key",
            "address=\"0.0.0.0:7400\" key",
            "<fleet address>: the others can't send to that",
        ),
        (
            "<fleet listen=\"127.0.0.1:7400\" address=\"127.0.0.1:7400\"",
            "<fleet listen=\"127.0.0.1:0\"",
            "<fleet listen>: the others can't",
        ),
        ("<seed address=\"127.0.0.1:7401\"/>", "<seed address=\"127.0.0.1:99999\"/>", "<seed address>"),
    ] {
        let found = problems(&edited(from, to));
        assert!(found.iter().any(|p| p.contains(wanted)), "{wanted}: {found:?}");
    }
    let (before, rest) = EXAMPLE.split_once("<operations ").expect("it has one");
    let (_, after) = rest.split_once("</operations>").expect("it ends");
    let found = problems(&format!("{before}{after}"));
    assert!(found.iter().any(|p| p.contains("<fleet listen>: wants <operations>")), "{found:?}");
    let (before, rest) = EXAMPLE.split_once("<seed ").expect("it has one");
    let (_, after) = rest.split_once("</fleet>").expect("it ends");
    let found = problems(&format!("{before}</fleet>{after}"));
    assert!(found.iter().any(|p| p.contains("<fleet listen>: <seed> is wanted")), "{found:?}");
}

#[test]
fn each_mistake_is_named_with_line_and_element() {
    for (from, to, wanted) in [
        ("<zone id=\"south\"/>", "<zone id=\"north\"/>", "<zone id>: 'north' stands in line 11 already"),
        (
            "kind=\"reader\" zone=\"south\"",
            "kind=\"raeder\" zone=\"south\"",
            "<engine kind>: there is no kind 'raeder'",
        ),
        ("zone=\"north\" rack", "zone=\"west\" rack", "<engine zone>: there is no zone 'west'"),
        ("aim=\"1s\"", "aim=\"9s\"", "<class aim>: must be above 0"),
        (" window=\"5s\"", "", "<class window>: a keyed class needs"),
        ("deadline=\"5s\"", "", "<class>: attribute 'deadline' is missing"),
        ("deadline=\"5s\"", "deadline=\"5\"", "<class deadline>: '5' is no time"),
        ("release-within=\"500ms\"", "release-within=\"5ms\"", "<rules release-within>: 5ms can't be kept"),
        ("<zones>", "<zonen/><zones>", "<zonen>: unknown element 'zonen'"),
        ("mode=\"push\"", "mode=\"pull\"", "<list mode>: 'pull' is no mode: one of push, ask"),
        ("most=\"5\"", "most=\"0\"", "<attempts most>: '0' is no count: at least 1"),
        ("weight=\"1\"", "weight=\"1e300\"", "<engine weight>"),
        ("weight=\"1\"", "weight=\"NaN\"", "<engine weight>"),
        ("weight=\"1\"", "weihgt=\"1\"", "<engine>: unknown attribute 'weihgt'"),
        ("value=\"change-me-web\"", "value=\"change-me-app\"", "<key value>: the same key"),
        ("share=\"0.6\"", "share=\"0.7\"", "<tenants share>: the shares add up"),
        ("dialect=\"house\"", "dialect=\"cottage\"", "<listen dialect>: there is no dialect 'cottage'"),
        ("spelt=\"busy\"", "spelt=\"api_error\"", "<dialect>: two labels are spelt 'api_error'"),
        ("name=\"tick\"", "name=\"error\"", "<dialect>: events 'failed' and 'keep-alive' have the same name"),
        ("number=\"0\"", "number=\"2\"", "<router number>"),
        ("127.0.0.1:7101", "127.0.0.1:99999", "<engine address>: '127.0.0.1:99999' is no address"),
        ("127.0.0.1:8090", "10.1.2.3:8090", "<operations address>: 10.1.2.3 is not on loopback"),
        (" key=\"change-me-wall\"", "", "<operator key-file>: one of key-file and key"),
        ("name=\"wall\"", "name=\"office\"", "<operator name>: 'office' stands in line"),
        ("role=\"watch\"", "role=\"root\"", "<operator role>: 'root' is no operator-role"),
        ("history=\"64MiB\"", "history=\"64\"", "<operations history>: 1MiB at least"),
        ("version=\"1\">", "version=\"2\">", "<gaparch version>: version 1 is wanted"),
    ] {
        let found = problems(&edited(from, to));
        let named = found.iter().any(|p| p.starts_with("line ") && p.contains(wanted));
        assert!(named, "{from} -> {to}: {found:?}");
    }
}

#[test]
fn all_mistakes_come_at_once_in_the_order_of_their_lines() {
    let text = edited("aim=\"1s\"", "aim=\"9s\"").replacen("kind=\"writer\"", "kind=\"w\"", 2);
    let found = problems(&text);
    assert_eq!(found.len(), 3, "{found:?}");
    let lines: Vec<usize> =
        found.iter().filter_map(|p| p.strip_prefix("line ")?.split(':').next()?.parse().ok()).collect();
    assert!(lines.windows(2).all(|w| w[0] <= w[1]), "{found:?}");
}

#[test]
fn a_text_that_is_no_xml_is_one_problem_with_its_line() {
    for text in ["", "<gaparch>", "<gaparch version='1'>\n<router></gaparch>", "hello", "<a/><b/>"] {
        let found = problems(text);
        assert_eq!(found.len(), 1, "{text}: {found:?}");
    }
    assert!(problems("<!DOCTYPE x [<!ENTITY a \"b\">]><gaparch/>")[0].contains("document type"));
    let deep = "<a>".repeat(100_000);
    assert!(problems(&deep)[0].contains("too deep"));
}

/// Each element and attribute of the schema is known to the reader: the example uses every one of them, the
/// reader takes the example, and it takes nothing that the schema does not name (`deny_unknown_fields`).
#[test]
fn schema_and_reader_know_the_same_words() {
    for (element, attributes) in Schema::published().vocabulary() {
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

/// And the other way round: what the reader's structs name, the schema names too.
#[test]
fn what_the_reader_names_is_in_the_schema() {
    let vocabulary = Schema::published().vocabulary();
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
fn the_schema_alone_judges_shapes_as_the_reader_does() {
    let schema = Schema::published();
    assert_eq!(schema.judge(EXAMPLE), vec![]);
    for (from, to) in [
        ("<zones>", "<zonen/><zones>"),
        ("most=\"5\"", "most=\"0\""),
        ("mode=\"push\"", "mode=\"pull\""),
        ("  <rules", "  <!-- --><list address=\"127.0.0.1:1\"/><rules"),
    ] {
        let text = edited(from, to);
        assert!(!schema.judge(&text).is_empty(), "{to}");
        assert!(Config::parse(&text).is_err(), "{to}");
    }
}

#[test]
fn a_schema_in_words_that_are_not_known_is_refused() {
    for text in [
        schema::TEXT.replacen("xs:sequence", "xs:choice", 2),
        schema::TEXT.replacen("xs:pattern", "xs:length", 1),
        schema::TEXT.replacen("type=\"router\"", "type=\"ruoter\"", 1),
    ] {
        assert!(Schema::parse(&text).is_err());
    }
}
