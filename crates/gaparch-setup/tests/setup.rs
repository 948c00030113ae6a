//! First start and doctor, from values alone.

use gaparch_config::{Config, EXAMPLE};
use gaparch_scheduler::api::Role;
use gaparch_setup::doctor::{judge, EngineSeen, FileSeen, Finding, Level, PortSeen, Seen, StateSeen};
use gaparch_setup::init::{files, Answers, Place, Secrets};

fn answers(engines: &[&str]) -> Answers {
    Answers {
        name: "night-box".to_owned(),
        listen: "127.0.0.1:8080".parse().expect("an address"),
        engines: engines.iter().map(|e| e.parse().expect("an engine")).collect(),
        list: None,
        memory: (200_000, 130_000),
        aim_ms: 1500,
        deadline_ms: 8000,
        operations: None,
    }
}

fn secrets() -> Secrets {
    let secret = |c: char| c.to_string().repeat(32);
    Secrets { tenant: secret('t'), office: secret('o'), wall: secret('w') }
}

fn place() -> Place {
    Place {
        program: "/usr/bin/gaparch".to_owned(),
        folder: "/srv/gaparch".to_owned(),
        user: "gaparch".to_owned(),
    }
}

const SITE: [&str; 4] = [
    "r1=read@10.0.0.1:7101",
    "r2=read@10.0.0.2:7101/b",
    "w1=write@10.0.0.3:7201",
    "w2=write@10.0.0.4:7201/b",
];

#[test]
fn the_first_files_are_sound_and_secrets_are_secret() {
    let files = files(&answers(&SITE), &secrets(), &place()).expect("sound");
    let config = Config::parse(&files[0].content).expect("sound");
    assert_eq!((config.engines.len(), config.engines[1].rack.as_str()), (4, "b"));
    assert_eq!(config.engines[2].address.to_string(), "10.0.0.3:7201");
    for file in &files {
        let has_secret = ["tttt", "oooo", "wwww"].iter().any(|s| file.content.contains(s));
        assert_eq!(file.secret, has_secret, "{}", file.name);
    }
    let findings = judge(&config, &Seen::default());
    assert!(findings.iter().all(|f| f.level == Level::Fine), "{findings:?}");
}

#[test]
fn answers_that_make_no_sound_settings_are_refused_by_field() {
    let aim = Answers { aim_ms: 9000, ..answers(&SITE) };
    let problems = files(&aim, &secrets(), &place()).expect_err("refused");
    assert!(problems[0].to_string().contains("<class aim>"), "{problems:?}");
    let twice = files(&answers(&["r=read@10.0.0.1:1", "r=read@10.0.0.2:1"]), &secrets(), &place());
    let twice = twice.expect_err("refused");
    assert!(twice.iter().any(|p| p.to_string().contains("'r' is already used in line")), "{twice:?}");
    let quote = Answers { name: "a\" b".to_owned(), ..answers(&SITE) };
    assert!(files(&quote, &secrets(), &place()).is_err(), "no way out of the attribute");
    for (text, word) in
        [("x", "'='"), ("x=read", "'@'"), ("x=both@moon", "address"), ("x=sing@1.1.1.1:1", "role")]
    {
        let error = text.parse::<gaparch_setup::init::Engine>().expect_err("refused").to_string();
        assert!(error.contains(word), "{error}");
    }
}

fn wrong(config: &Config, seen: Seen) -> Vec<Finding> {
    judge(config, &seen).into_iter().filter(|f| f.level == Level::Trouble).collect()
}

#[test]
fn each_trouble_is_found_and_says_what_to_do() {
    let config = Config::parse(EXAMPLE).expect("sound");
    let one = |seen: Seen, word: &str| {
        let all = wrong(&config, seen);
        let found = all.iter().find(|f| f.what.contains(word)).unwrap_or_else(|| panic!("{word}: {all:?}"));
        assert!(!found.to_do.is_empty(), "{found}");
    };
    let base = || Seen { now: 1_800_000_000_000_000_000, ..Seen::default() };
    let advice = judge(&config, &base());
    assert!(advice.iter().any(|f| f.what.contains("repeats are dropped for a shorter time")), "{advice:?}");
    one(Seen { keys: vec![("night.key".to_owned(), FileSeen::Missing)], ..base() }, "no key file night.key");
    one(Seen { keys: vec![("night.key".to_owned(), FileSeen::Open(0o644))], ..base() }, "mode 644");
    one(
        Seen { ports: vec![("127.0.0.1:8080".to_owned(), PortSeen::Taken)], ..base() },
        "taken by something else",
    );
    let engine = |seen| Seen { engines: vec![("read-1".to_owned(), seen)], ..base() };
    one(engine(EngineSeen::Silent("refused".to_owned())), "read-1 at 127.0.0.1:7101 does not answer");
    let says = |name: &str, role, started_at| EngineSeen::Answers { name: name.to_owned(), role, started_at };
    one(engine(says("read-7", Role::Prefill, 0)), "says it is read-7");
    one(engine(says("read-1", Role::Decode, 0)), "the settings say otherwise");
    one(engine(says("read-1", Role::Prefill, u64::MAX)), "began in the future");
    one(Seen { list: Some(Err("refused".to_owned())), ..base() }, "list service does not answer");
    one(Seen { room: Some(1 << 20), ..base() }, "1 MiB are free");
    let sound = |damaged, last_event_at| StateSeen::Sound { orders: 2, damaged, last_event_at };
    one(Seen { state: Some(sound(3, 0)), ..base() }, "3 records");
    one(Seen { state: Some(sound(0, 1_900_000_000_000_000_000)), ..base() }, "the clock has gone back");
    one(Seen { state: Some(StateSeen::Wrong("read-only".to_owned())), ..base() }, "can't be used: read-only");
}

#[test]
fn a_router_that_runs_has_its_own_ports() {
    let config = Config::parse(EXAMPLE).expect("sound");
    let ports = vec![("127.0.0.1:8080".to_owned(), PortSeen::Taken)];
    let seen = Seen { ports, state: Some(StateSeen::InUse("17".to_owned())), ..Seen::default() };
    assert!(wrong(&config, seen).iter().all(|f| !f.what.contains("8080")));
}
