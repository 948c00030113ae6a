//! Fault scenarios on fleets of router processes, with `gaparch lab fleet`.

use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gaparch"))
        .args(["lab", "fleet"])
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// Held while a group of scenarios runs: a group has dozens of router processes, so groups run one at a time.
static GROUP_LOCK: Mutex<()> = Mutex::new(());

fn run_group(name: &str) -> Output {
    let _guard = GROUP_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    lab(&[name, "--small"])
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn membership_scenarios_pass() {
    let output = run_group("membership");
    let printed = text(&output.stdout);
    assert!(output.status.success(), "{printed}{}", text(&output.stderr));
    assert!(printed.ends_with("fleet: 14 scenarios passed\n"), "{printed}");
}

#[test]
fn link_fault_scenarios_pass() {
    let output = run_group("links");
    let printed = text(&output.stdout);
    assert!(output.status.success(), "{printed}{}", text(&output.stderr));
    assert!(printed.ends_with("fleet: 3 scenarios passed\n"), "{printed}");
}

/// Child processes of a process that have not exited.
fn children(of: u32) -> Vec<u32> {
    let state_and_parent = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let mut fields = stat.rsplit(')').next()?.split_whitespace();
        let state = fields.next()?.to_owned();
        Some((state, fields.next()?.parse::<u32>().ok()?))
    };
    let all = std::fs::read_dir("/proc").expect("/proc is readable").flatten();
    let pids = all.filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter(|pid| state_and_parent(*pid).is_some_and(|(state, parent)| parent == of && state != "Z"))
        .collect()
}

#[test]
fn routers_exit_when_the_lab_process_is_killed() {
    let mut lab_process = Command::new(env!("CARGO_BIN_EXE_gaparch"))
        .args(["lab", "fleet", "forged"])
        .stdout(std::process::Stdio::null())
        .spawn()
        .expect("the program runs");
    let until = Instant::now() + Duration::from_secs(20);
    let mut routers = Vec::new();
    while routers.len() < 3 && Instant::now() < until {
        routers = children(lab_process.id());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(routers.len() >= 3, "the lab process starts routers");
    // Time for all routers to start and to request the signal on the death of their parent.
    std::thread::sleep(Duration::from_millis(500));
    let routers = children(lab_process.id());
    lab_process.kill().expect("the lab process is killed");
    lab_process.wait().expect("exit status");
    let is_running = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        stat.contains("gaparch") && !stat.contains(") Z ")
    };
    while routers.iter().any(is_running) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(!routers.iter().any(is_running), "routers outlived the lab process");
}

/// Scenarios that must fail without the refinements, and the verification of damaged audit logs. They run
/// concurrently, but not together with a group of scenarios.
#[test]
fn scenarios_fail_without_the_refinements_and_damaged_audit_logs_are_detected() {
    let _guard = GROUP_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    std::thread::scope(|scope| {
        scope.spawn(plain_swim_does_not_detect_a_link_cut_in_one_direction);
        scope.spawn(without_peer_lists_a_stalled_link_keeps_an_old_list_in_force);
        scope.spawn(a_damaged_audit_log_is_detected);
    });
}

/// The scenario passes with the refinements of SWIM; without them it must fail.
fn plain_swim_does_not_detect_a_link_cut_in_one_direction() {
    let output = lab(&["one-way", "--plain"]);
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{printed}{}", text(&output.stderr));
    assert!(printed.contains("edges: router") && printed.contains("never saw it"), "{printed}");
}

#[test]
fn an_invalid_scenario_is_rejected_with_an_error_that_names_the_problem() {
    let output = lab(&["no-such-day"]);
    assert!(!output.status.success());
    let printed = text(&output.stderr);
    assert!(
        printed.contains(
            "built-in scenarios and groups: membership, links, audit, membership-more, audit-more, \
             membership-long, killed"
        ),
        "{printed}"
    );
    let file = std::env::temp_dir().join(format!("gaparch-day-{}.xml", std::process::id()));
    let scenario = |inner: &str| format!(r#"<day name="x" says="x" routers="3" lasts="5s">{inner}</day>"#);
    for (inner, problem) in [
        (r#"<do at="1s" what="explode"/>"#, "explode"),
        (r#"<do at="9s" what="kill" routers="1"/>"#, "comes after the day's end"),
        (r#"<do at="1s" what="kill" routers="7"/>"#, "router 7 is named, there are 3"),
        (r#"<do at="1s" what="fault" engine="read-0" fault="explode"/>"#, "<do fault>: 'explode'"),
        (r#"<do at="1s" what="disk" routers="1"/>"#, "<do disk>: goes with"),
        (r#"<do at="1s" what="clock" routers="1"/>"#, "<do ahead>: goes with"),
        (r#"<do at="1s" what="stall" from="list" to="clients"/>"#, "of which a router is an end"),
        (r#"<want at="4s" within="3s" what="whole"/>"#, "could be seen after the day's end only"),
        (r#"<want at="1s" within="1s" what="dead"/>"#, "must name routers"),
    ] {
        std::fs::write(&file, scenario(inner)).expect("file written");
        let output = lab(&[&file.display().to_string()]);
        let printed = text(&output.stderr);
        assert!(!output.status.success() && printed.contains(problem), "{inner}: {printed}");
    }
    let _ = std::fs::remove_file(file);
}

#[test]
fn audit_scenarios_pass() {
    let output = run_group("audit");
    let printed = text(&output.stdout);
    assert!(output.status.success(), "{printed}{}", text(&output.stderr));
    assert!(printed.ends_with("fleet: 6 scenarios passed\n"), "{printed}");
}

/// Without the lists of its peers, a router whose link to the list service stalls sends to drained engines.
fn without_peer_lists_a_stalled_link_keeps_an_old_list_in_force() {
    let output = lab(&["stalled-list", "--plain"]);
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{printed}{}", text(&output.stderr));
    assert!(printed.contains("came to drained engines later than"), "{printed}");
}

/// An audit log is verified as it was written, then with a flipped bit and with its end cut off.
fn a_damaged_audit_log_is_detected() {
    let folder = std::env::temp_dir().join(format!("gaparch-record-{}", std::process::id()));
    let file = folder.join("scenario.xml");
    std::fs::create_dir_all(&folder).expect("directory created");
    let scenario = r#"<day name="short" says="x" routers="2" lasts="9s" rate="40" confirm="2s">
        <do at="7s" what="leave" routers="1"/><want at="0s" within="6s" what="whole"/></day>"#;
    std::fs::write(&file, scenario).expect("file written");
    let state = folder.join("state");
    let output = lab(&[&file.display().to_string(), "--keep", &state.display().to_string()]);
    assert!(output.status.success(), "{}", text(&output.stdout));
    let verify = |folder: &std::path::Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_gaparch"))
            .args(["audit", "verify", &folder.display().to_string()])
            .output()
            .expect("the program runs");
        (output.status.code(), text(&output.stdout))
    };
    // Router 1 left the fleet gracefully.
    let (code, printed) = verify(&state.join("router-1"));
    assert_eq!(code, Some(0), "{printed}");
    assert!(printed.ends_with("no gaps\n"), "{printed}");
    let part = state.join("router-1").join("audit.1.part");
    let intact = std::fs::read(&part).expect("an audit segment");
    let mut flipped = intact.clone();
    let middle = flipped.len() / 2;
    flipped[middle] ^= 1;
    for (damaged, message) in [(flipped, "gap: "), (intact[..intact.len() * 2 / 3].to_vec(), "was written")] {
        std::fs::write(&part, damaged).expect("file written");
        let (code, printed) = verify(&state.join("router-1"));
        assert_eq!(code, Some(1), "{printed}");
        assert!(printed.contains(message) && printed.ends_with("INCOMPLETE\n"), "{printed}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
