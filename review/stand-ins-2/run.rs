//! Runs a case: it writes the file that `RECORD_FILE` names and exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. `TROUBLE=0` leaves out the disruption.

use crate::{cases, router, site};
use std::env;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Shorter than the 120 s that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Ends a case that can't go on.
fn give_up(record: &site::Record, reason: &str) -> ! {
    router::kill_all();
    eprintln!("the case could not run: {reason}");
    record.line(&format!("the case could not run: {reason}"));
    record.save();
    exit(2);
}

pub fn run(case: &str) {
    let file = env::var_os("RECORD_FILE").map_or_else(|| PathBuf::from("record.txt"), PathBuf::from);
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = site::Record::new(file);
    router::end_with_signal();
    let panicked = record.clone();
    std::panic::set_hook(Box::new(move |panic| give_up(&panicked, &panic.to_string())));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        give_up(&late, "it took too long");
    });
    record.line(&format!("{case}, with the disruption: {with_trouble}"));
    let broken = cases::run(case, with_trouble, &record);
    router::kill_all();
    record.line(if broken { "result: the rule was broken" } else { "result: the rule held" });
    record.save();
    exit(i32::from(broken));
}
