//! The judge of known reds, on made logs.

use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

const LOG: &str = "running 3 tests\ntest a::one ... ok\ntest a::two ... FAILED\ntest three ... FAILED\n";

/// Whether it passes, and what it says.
fn judged(list: Option<&str>, log: &str, status: i32) -> (bool, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("gaparch-red-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("made");
    let (list_at, log_at) = (folder.join("KNOWN-RED.txt"), folder.join("log"));
    list.into_iter().for_each(|text| std::fs::write(&list_at, text).expect("written"));
    std::fs::write(&log_at, log).expect("written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/known_red.sh");
    let mut command = Command::new("bash");
    let output =
        command.arg(script).args([&list_at, &log_at]).arg(status.to_string()).output().expect("it runs");
    std::fs::remove_dir_all(&folder).expect("removed");
    (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn just_the_listed_reds_pass_and_are_printed() {
    let (passes, said) = judged(Some("a::two | it is late | 33\nthree | torn | 34\n"), LOG, 101);
    assert!(passes, "{said}");
    assert!(
        said.contains("a::two is red: it is late (33)") && said.contains("three is red: torn (34)"),
        "{said}"
    );
    assert!(judged(None, "test one ... ok\n", 0).0);
    assert!(judged(Some(""), "test one ... ok\n", 0).0);
}

#[test]
fn whatever_else_fails() {
    let green = "test one ... ok\ntest two ... ok\ntest three ... ok\ntest four ... ok\n";
    let four = "one | c | 1\ntwo | c | 1\nthree | c | 1\nfour | c | 1\n";
    let all_red = green.replace("ok", "FAILED");
    let cases = [
        ("red, and not listed: three", Some("a::two | late | 33\n"), LOG, 101),
        ("red, and not listed: a::two", None, LOG, 101),
        ("passes, strike it", Some("one | late | 33\n"), green, 0),
        ("there is no test 'five'", Some("five | late | 33\n"), green, 0),
        ("line 1 is not", Some("one, late, 33\n"), green, 0),
        ("line 1 is not", Some("one | late\n"), green, 0),
        ("line 1 is not", Some("one |  | 33\n"), green, 0),
        ("4 lines, three at most", Some(four), &all_red, 101),
        ("none of them is red", None, "error: could not compile\n", 101),
    ];
    for (what, list, log, status) in cases {
        let (passes, said) = judged(list, log, status);
        assert!(!passes && said.contains(what), "{what}: {said}");
    }
}
