//! Stand-ins for clients, workers, discovery and the platform, and the cases that use them.
//!
//! `gaparch-review-2 CASE FOLDER` runs a case, writes `record.txt` into the folder and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod client;
mod discovery;
mod fleet;
mod http;
mod memory;
mod router;
mod site;
mod worker;

use std::env;
use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: gaparch-review-2 CASE FOLDER");
        exit(2);
    };
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    router::end_with_signal();
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}");
        router::kill_all();
        exit(2);
    }));
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_millis(118_500));
        eprintln!("the case could not run: it took too long");
        router::kill_all();
        exit(2);
    });
    let record = site::Record::new(PathBuf::from(folder).join("record.txt"));
    record.line(&format!("case {case}, with the disruption: {with_trouble}"));
    let broken = cases::run(case, with_trouble, &record);
    router::kill_all();
    record.line(if broken { "result: the rule was broken" } else { "result: the rule held" });
    record.save();
    exit(i32::from(broken));
}
