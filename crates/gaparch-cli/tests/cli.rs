//! Tests of the program from the command line: exit codes, messages and the shutdown of a router process.

use std::io::{BufRead, BufReader};
use std::process::{Command, Output, Stdio};

fn gaparch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gaparch")).args(arguments).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file to its own directory, since a router keeps its state next to its settings.
fn write_file(name: &str, content: &str) -> String {
    let folder = std::env::temp_dir().join(format!("gaparch-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("directory created");
    let path = folder.join(name);
    std::fs::write(&path, content).expect("file written");
    path.display().to_string()
}

#[test]
fn try_serves_a_request_through_a_read_engine_and_a_write_engine() {
    for dialect in ["own", "messages"] {
        let output = gaparch(&["try", "--dialect", dialect]);
        let printed = text(&output.stdout);
        assert!(output.status.success(), "{printed}");
        assert!(
            printed.contains("status 200; the request was read by read-")
                && printed.contains("written by write-"),
            "{printed}"
        );
    }
}

#[test]
fn check_reports_file_line_and_element_of_every_error() {
    let valid = write_file("valid.xml", gaparch_config::EXAMPLE);
    assert!(gaparch(&["check", &valid]).status.success());
    let invalid = gaparch_config::EXAMPLE.replacen("aim=\"1s\"", "aim=\"9s\"", 1).replacen(
        "\"reader\" zone",
        "\"r\" zone",
        1,
    );
    let invalid = write_file("invalid.xml", &invalid);
    let output = gaparch(&["check", &invalid]);
    let printed = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        printed.lines().filter(|l| l.starts_with(&format!("{invalid}: line "))).count(),
        2,
        "{printed}"
    );
    let output = gaparch(&["check", "/nowhere.xml"]);
    assert!(text(&output.stderr).contains("/nowhere.xml") && output.status.code() == Some(1));
}

#[test]
fn invalid_arguments_exit_with_code_two_and_an_invalid_script_names_its_line() {
    for arguments in [&["serv"][..], &["try", "--tokens", "0"], &["badday", "--seconds", "x"], &[]] {
        assert_eq!(gaparch(arguments).status.code(), Some(2), "{arguments:?}");
    }
    let script = write_file("script", "1s slow 4\n2s sleep\n");
    let output = gaparch(&["engine", "--name", "e", "--role", "read", "--script", &script]);
    assert!(text(&output.stderr).contains("line 2"), "{}", text(&output.stderr));
}

#[test]
fn a_terminated_router_shuts_down_gracefully() {
    let settings = gaparch_config::EXAMPLE.replace("127.0.0.1:8080", "127.0.0.1:0");
    let settings = settings.replace("127.0.0.1:8081", "127.0.0.2:0").replace("127.0.0.1:8082", "127.0.0.3:0");
    let settings = settings.replace("127.0.0.1:8090", "127.0.0.1:0");
    let settings = write_file("serve.xml", &settings);
    let mut router = Command::new(env!("CARGO_BIN_EXE_gaparch"))
        .args(["serve", &settings])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let mut lines = BufReader::new(router.stdout.take().expect("piped")).lines();
    for _ in 0..3 {
        let line = lines.next().expect("a line").expect("text");
        assert!(line.contains("north-1 listens on http://127.0.0."), "{line}");
    }
    for _ in 0..2 {
        let line = lines.next().expect("a line").expect("text");
        assert!(line.contains("north-1 accepts operators at "), "{line}");
    }
    let signalled = Command::new("kill").args(["-TERM", &router.id().to_string()]).status();
    assert!(signalled.is_ok_and(|s| s.success()));
    let last = lines.next().expect("a line").expect("text");
    assert!(last.contains("terminated; 0 requests"), "{last}");
    assert!(router.wait().expect("exit status").success());
}

#[test]
fn init_writes_valid_settings_and_doctor_reports_problems() {
    let folder = std::env::temp_dir().join(format!("gaparch-{}-init", std::process::id()));
    let path = folder.display().to_string();
    let init = || {
        let engines = ["r=read@127.0.0.1:1", "w=write@127.0.0.1:1/b"].map(|e| ["--engine", e]).concat();
        let listen = ["init", path.as_str(), "--no-questions", "--listen", "127.0.0.1:0"];
        gaparch(&[&listen[..], &engines].concat())
    };
    let output = init();
    // Two engines with the same address make the settings invalid, so that nothing is written.
    assert!(text(&output.stderr).contains("<engine address>"), "{}", text(&output.stderr));
    assert!(!folder.join("gaparch.xml").exists());
    let engines = ["--engine", "r=read@127.0.0.1:1", "--engine", "w=write@127.0.0.1:2"];
    let valid =
        [&["init", path.as_str(), "--no-questions", "--listen", "127.0.0.1:0"][..], &engines].concat();
    assert!(gaparch(&valid).status.success());
    let mode = |name: &str| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::metadata(folder.join(name)).expect("file metadata").permissions().mode() & 0o777
    };
    assert_eq!(["gaparch.xml", "office.key", "gaparch.service"].map(mode), [0o600, 0o600, 0o644]);
    let again = gaparch(&valid);
    assert!(text(&again.stderr).contains("already exists; no files were written"));
    let settings = folder.join("gaparch.xml").display().to_string();
    let doctor = gaparch(&["doctor", &settings]);
    let printed = text(&doctor.stdout);
    assert_eq!(doctor.status.code(), Some(1));
    for message in ["engine r at 127.0.0.1:1 does not answer", "ok      the state folder", "2 problems found"]
    {
        assert!(printed.contains(message), "{message}: {printed}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
