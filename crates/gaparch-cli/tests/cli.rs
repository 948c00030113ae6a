//! The program as a person runs it: exit codes, messages, and a router of its own process that is told to stop.

use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};

fn gaparch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gaparch")).args(arguments).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file in a folder of its own; a router keeps its state beside its settings.
fn file(name: &str, content: &str) -> String {
    let folder = std::env::temp_dir().join(format!("gaparch-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("made");
    let path = folder.join(name);
    std::fs::write(&path, content).expect("written");
    path.display().to_string()
}

#[test]
fn try_answers_a_question_through_a_reader_and_a_writer() {
    for dialect in ["own", "messages"] {
        let output = gaparch(&["try", "--dialect", dialect]);
        let said = text(&output.stdout);
        assert!(output.status.success(), "{said}");
        assert!(
            said.contains("status 200; it was read by read-") && said.contains("written by write-"),
            "{said}"
        );
    }
}

#[test]
fn check_names_file_line_and_element_of_every_mistake() {
    let sound = file("sound.xml", gaparch_config::EXAMPLE);
    assert!(gaparch(&["check", &sound]).status.success());
    let wrong = gaparch_config::EXAMPLE.replacen("aim=\"1s\"", "aim=\"9s\"", 1).replacen(
        "\"reader\" zone",
        "\"r\" zone",
        1,
    );
    let wrong = file("wrong.xml", &wrong);
    let output = gaparch(&["check", &wrong]);
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(said.lines().filter(|l| l.starts_with(&format!("{wrong}: line "))).count(), 2, "{said}");
    let output = gaparch(&["check", "/nowhere.xml"]);
    assert!(text(&output.stderr).contains("/nowhere.xml") && output.status.code() == Some(1));
}

#[test]
fn what_is_not_understood_is_said_with_exit_code_two() {
    for arguments in [&["serv"][..], &["try", "--tokens", "0"], &["badday", "--seconds", "x"], &[]] {
        assert_eq!(gaparch(arguments).status.code(), Some(2), "{arguments:?}");
    }
    let script = file("script", "1s slow 4\n2s sleep\n");
    let output = gaparch(&["engine", "--name", "e", "--role", "read", "--script", &script]);
    assert!(text(&output.stderr).contains("line 2"), "{}", text(&output.stderr));
}

#[test]
fn a_router_that_is_terminated_ends_in_good_order() {
    let settings = gaparch_config::EXAMPLE.replace("127.0.0.1:8080", "127.0.0.1:0");
    let settings = settings.replace("127.0.0.1:8081", "127.0.0.2:0").replace("127.0.0.1:8082", "127.0.0.3:0");
    let settings = settings.replace("127.0.0.1:8090", "127.0.0.1:0");
    let settings = file("serve.xml", &settings);
    let mut router = Command::new(env!("CARGO_BIN_EXE_gaparch"))
        .args(["serve", &settings])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it runs");
    let mut lines = BufReader::new(router.stdout.take().expect("piped")).lines();
    for _ in 0..3 {
        let line = lines.next().expect("a line").expect("text");
        assert!(line.contains("north-1 listens at http://127.0.0."), "{line}");
    }
    for _ in 0..2 {
        let line = lines.next().expect("a line").expect("text");
        assert!(line.contains("north-1 is operated at "), "{line}");
    }
    let killed = Command::new("kill").args(["-TERM", &router.id().to_string()]).status();
    assert!(killed.is_ok_and(|s| s.success()));
    let last = lines.next().expect("a line").expect("text");
    assert!(last.contains("terminated; 0 requests"), "{last}");
    assert!(router.wait().expect("ended").success());
}

#[test]
fn init_writes_what_serve_takes_and_doctor_says_what_is_wrong() {
    let folder = std::env::temp_dir().join(format!("gaparch-{}-init", std::process::id()));
    let there = folder.display().to_string();
    let init = || {
        let engines = ["r=read@127.0.0.1:1", "w=write@127.0.0.1:1/b"].map(|e| ["--engine", e]).concat();
        let listen = ["init", there.as_str(), "--no-questions", "--listen", "127.0.0.1:0"];
        gaparch(&[&listen[..], &engines].concat())
    };
    let output = init();
    // Two engines at one address make no sound settings: nothing is written.
    assert!(text(&output.stderr).contains("<engine address>"), "{}", text(&output.stderr));
    assert!(!folder.join("gaparch.xml").exists());
    let engines = ["--engine", "r=read@127.0.0.1:1", "--engine", "w=write@127.0.0.1:2"];
    let good =
        [&["init", there.as_str(), "--no-questions", "--listen", "127.0.0.1:0"][..], &engines].concat();
    assert!(gaparch(&good).status.success());
    let mode = |name: &str| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::metadata(folder.join(name)).expect("there").permissions().mode() & 0o777
    };
    assert_eq!(["gaparch.xml", "office.key", "gaparch.service"].map(mode), [0o600, 0o600, 0o644]);
    let again = gaparch(&good);
    assert!(text(&again.stderr).contains("is there already; nothing was written"));
    let settings = folder.join("gaparch.xml").display().to_string();
    let doctor = gaparch(&["doctor", &settings]);
    let said = text(&doctor.stdout);
    assert_eq!(doctor.status.code(), Some(1));
    for words in ["engine r at 127.0.0.1:1 does not answer", "ok      the state folder", "2 things are wrong"]
    {
        assert!(said.contains(words), "{words}: {said}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
