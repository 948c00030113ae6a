//! Short runs of the soak test, with a different deployment for each seed: router and worker processes,
//! overlapping faults, clients that send until a router is killed, bursts of clients, and a check of all
//! rules. The time limits are wide, since the machine may be busy; `gaparch lab soak` does long runs with
//! narrow limits.

use std::process::Command;

#[test]
fn a_short_soak_run_breaks_no_rule() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gaparch"));
    let arguments =
        "lab soak --seed 20 --runs 4 --seconds 12 --routers 4 --workers 6 --rate 4 --slack-ms 1500";
    command.args(arguments.split_whitespace());
    let output = command.output().expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success() && text.contains("4 of 4 runs passed"), "{text}{error}");
}
