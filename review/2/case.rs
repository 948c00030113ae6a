//! A stream is spoilt after its third event by a chunk size that can't be read and does not end.

#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::thread;
use std::time::Duration;

/// How long a client may be left waiting after the last event of a running worker, and after its stream was spoilt.
const MOST_WAIT: Duration = Duration::from_millis(5000);
/// For the way of the bytes and for a busy machine, on top of the bound.
const ALLOWANCE: Duration = Duration::from_millis(500);
/// How long the clients wait at most.
const PATIENCE: Duration = Duration::from_secs(25);

fn main() {
    let case = Case::begin();
    std::process::exit(run(&case));
}

fn run(case: &Case) -> i32 {
    let (_, workers) = workers(&case.record, 2, 3, 8);
    let discovery = Discovery::start(&case.record, &workers);
    let limits = Limits { memory_mb: 192, sockets: 1024 };
    let Some(router) = Router::start(&case.record, &discovery, &limits, &case.folder) else {
        return case.end(NOT_RUN, "the router did not start");
    };
    for number in 0..10 {
        let got = ask(router.listen, 4800, PATIENCE);
        case.record.say(&format!("client {number}: {}", got.summary()));
        if !(got.status == 200 && got.whole) {
            return case.end(NOT_RUN, "a request before the disruption was not served");
        }
    }
    if case.trouble {
        case.record.say("streams of s-write-0 are spoilt after their third event from now on");
        *lock(&workers[2].stream) = Stream::SizeWithoutEnd;
    }
    let mut clients = Vec::new();
    for _ in 0..24 {
        let to = router.listen;
        clients.push(thread::spawn(move || ask(to, 4800, PATIENCE)));
        thread::sleep(ms(100));
    }
    let answers: Vec<Got> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let (mut left_waiting, mut cut, mut served) = (0, 0, 0);
    for got in &answers {
        case.record.say(&format!("client {}", got.summary()));
        served += u32::from(got.whole && got.status == 200);
        let Some(last_event_at) = got.last_event_at.filter(|_| !got.whole) else { continue };
        let waited = got.ended_at.duration_since(last_event_at);
        if waited > MOST_WAIT + ALLOWANCE {
            left_waiting += 1;
            let end = if got.closed { "then the connection ended" } else { "and then it left" };
            case.record.say(&format!(
                "BREACH {}: its client waited {} ms after the last event, {end}",
                got.txn,
                waited.as_millis()
            ));
        } else {
            cut += 1;
        }
    }
    let text =
        format!("{left_waiting} clients left waiting over 5 s, {cut} streams ended in time, {served} served");
    if case.trouble && left_waiting + cut == 0 {
        return case.end(NOT_RUN, &format!("no stream was spoilt: {text}"));
    }
    if !case.trouble && served < 24 {
        return case.end(NOT_RUN, &format!("not all were served: {text}"));
    }
    case.end(if left_waiting == 0 { HELD } else { BROKEN }, &text)
}
