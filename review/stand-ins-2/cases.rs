//! The cases. Each returns whether its rule was broken.

use crate::client::{ask, ask_with_body};
use crate::memory;
use crate::discovery::Discovery;
use crate::router::{Configuration, Router, SIGHUP, SIGKILL, SIGTERM};
use crate::site::{Record, Site};
use crate::worker::{Role, Worker};
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::{Duration, Instant};

pub fn run(case: &str, with_trouble: bool, record: &Record) -> bool {
    match case {
        "restart-in-outage" => restart_in_outage(with_trouble, record),
        "reload-while-ending" => reload_while_ending(with_trouble, record),
        "worker-replacement" => memory::worker_replacement(with_trouble, record),
        "memory-wait" => memory_wait(with_trouble, record),
        "long-stream" => long_stream(with_trouble, record),
        _ => panic!("no such case"),
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The settings of a small deployment with one class that is safe to repeat.
pub fn settings(deadline_ms: u64) -> String {
    format!(
        r#"{{"me":0,"replicasOfMe":1,"stepNs":2000000,"zone":"a","zones":["a"],"flavors":["prefill","decode"],
"discovery":"push","serviceType":"twostage","tier":0,"tiers":["models"],"weightSource":"nominal","worthBy":"work",
"overShareWorth":0.2,"callers":{{"marksRetry":true}},
"services":[{{"name":"chat","idempotency":"free","dedupScope":"all","dedupWindowNs":5000000000,"aimNs":{aim},
"aimStretch":0,"deadlineNs":{deadline},"lateShare":0.3,"streamed":true,"worth":3.0}}],
"tenants":[{{"name":"acme","fraction":1.0,"quotaPerS":100.0}}],
"caps":{{"cancel":true,"connectTimeoutNs":250000000,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"idleCloseNs":30000000000,
"maxAttempts":5,"maxOpen":20000,"maxRetryAfterNs":1000000000,"mayDuplicate":false,"multiplex":100,"peers":false,
"probes":true,"retryAfter":false}},
"rules":{{"answerSlackNs":8000000,"askEveryNs":10000000000,"coldFrom":0.28,"overloadFactor":2.5,
"overloadForNs":2000000000,"rampTimeNs":14000000000,"stopSendingWithinNs":500000000}},
"familyInfo":{{"ahead":false,"aimUsPer1000PromptTokens":[40000.0],"moveFee":0.04,"releaseWithinNs":500000000,
"resume":false,"roleByKind":["read","write"],"selfPrefill":false,"tokenAimNs":[70000000],"tokensByKind":[240000,180000]}},
"report":{{"fields":[],"source":"silent"}},
"fees":{{"connection":0.0,"crossZone":0.03,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,
"peer":0.003,"probe":0.0028,"waste":0.23}},
"scoreParts":{{"whole":0.45,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.25}}}}"#,
        aim = deadline_ms * 1_000_000 / 3,
        deadline = deadline_ms * 1_000_000,
    )
}

fn entries(workers: &[(&Worker, &str)]) -> Vec<(String, String)> {
    workers.iter().map(|(worker, state)| (worker.name.clone(), worker.entry(state))).collect()
}

/// Records the attempts that arrived at these workers after the time up to which that was allowed.
fn sends_after(site: &Site, workers: &[&Worker], allowed_to: Instant) -> bool {
    let mut is_broken = false;
    for arrival in site.arrivals.lock().unwrap().iter() {
        if workers.iter().any(|worker| worker.name == arrival.worker) && arrival.first_byte > allowed_to {
            let late = arrival.first_byte.duration_since(allowed_to).as_millis();
            let Some(worker) = workers.iter().find(|worker| worker.name == arrival.worker) else { continue };
            let text = format!("BROKEN drain: {} sent to {}, {late} ms too late", arrival.id, worker.name);
            site.record.line_at(arrival.first_byte, &text);
            is_broken = true;
        }
    }
    is_broken
}

/// Sends requests one after the other, each in a thread, until the time.
fn load(
    record: &Record,
    router: std::net::SocketAddr,
    prefix: &'static str,
    until: Instant,
    every: Duration,
) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let mut number = 0;
        let mut open = Vec::new();
        while Instant::now() < until {
            number += 1;
            let (record, id) = (record.clone(), format!("{prefix}{number:07x}"));
            open.push(thread::spawn(move || ask(&record, router, &id, ms(4800), 400, ms(8000))));
            thread::sleep(every);
        }
        for client in open {
            let _ = client.join();
        }
    })
}

/// A router is killed. Workers begin to drain, and then discovery goes down. The router starts again meanwhile.
fn restart_in_outage(with_trouble: bool, record: &Record) -> bool {
    let site = Site::new(record);
    let readers = [Worker::start(&site, "r1", Role::Reader), Worker::start(&site, "r2", Role::Reader)];
    let writers = [Worker::start(&site, "w1", Role::Writer), Worker::start(&site, "w2", Role::Writer)];
    let ([r1, r2], [w1, w2]) = (&readers, &writers);
    let all = entries(&[(r1, "ready"), (r2, "ready"), (w1, "ready"), (w2, "ready")]);
    let discovery = Discovery::start(record, "discovery", all);
    let configuration = Configuration::new(settings(5000), discovery.whole_list());
    let router = Router::start(&configuration, discovery.address);
    let listen = router.listen;
    let clients = load(record, listen, "a", Instant::now() + ms(2000), ms(150));
    let _ = clients.join();
    record.line("the router is killed");
    router.signal(SIGKILL);
    router.end(record);
    discovery.change(entries(&[(r1, "draining"), (w1, "draining")]));
    for worker in [r1, w1] {
        worker.behaviour.is_draining.store(true, SeqCst);
    }
    thread::sleep(ms(500));
    if with_trouble {
        discovery.set_silent(true);
    }
    let outage_ends = Instant::now() + ms(8000);
    thread::sleep(ms(500));
    record.line("the router starts again, with the list that it last held");
    // Told from the first moment of the new process; then the grace of the settings and 50 ms on sockets.
    let allowed_to = Instant::now() + ms(500) + ms(50);
    let router = Router::start_at(listen, &configuration, discovery.address);
    record.line("the router is ready");
    let clients = load(record, listen, "b", outage_ends + ms(2000), ms(150));
    thread::sleep(outage_ends.saturating_duration_since(Instant::now()));
    if with_trouble {
        discovery.set_silent(false);
    }
    let _ = clients.join();
    router.end(record);
    sends_after(&site, &[r1, w1], allowed_to)
}

/// While a router that was told to end finishes a request, a new configuration moves discovery, and the writers of
/// the old list begin to drain.
fn reload_while_ending(with_trouble: bool, record: &Record) -> bool {
    let site = Site::new(record);
    let reader = Worker::start(&site, "r1", Role::Reader);
    let old = [Worker::start(&site, "w1", Role::Writer), Worker::start(&site, "w2", Role::Writer)];
    let new = [Worker::start(&site, "w3", Role::Writer), Worker::start(&site, "w4", Role::Writer)];
    let ([w1, w2], [w3, w4]) = (&old, &new);
    let all = || entries(&[(&reader, "ready"), (w1, "ready"), (w2, "ready"), (w3, "ready"), (w4, "ready")]);
    let (first, second) = (Discovery::start(record, "discovery", all()), Discovery::start(record, "new discovery", all()));
    let configuration = Configuration::new(settings(10_000), first.whole_list());
    let mut router = Router::start(&configuration, first.address);
    thread::sleep(ms(1500));
    let warm = ask(record, router.listen, "warm0001", ms(4800), 400, ms(8000));
    assert!(warm.status == 200, "the router serves");
    // A long prompt at a slow reader.
    reader.behaviour.read_ms.store(6500, SeqCst);
    let (client_record, listen) = (record.clone(), router.listen);
    let client = thread::spawn(move || ask(&client_record, listen, "long0001", ms(9800), 20_000, ms(12_000)));
    thread::sleep(ms(200));
    record.line("SIGTERM");
    router.signal(SIGTERM);
    thread::sleep(ms(100));
    let told_by = if with_trouble { &second } else { &first };
    if with_trouble {
        configuration.write(&router.folder, router.listen, second.address);
        record.line("SIGHUP: the file names the new discovery");
        router.signal(SIGHUP);
        first.retire();
    }
    let hangup = Instant::now();
    thread::sleep(ms(500));
    told_by.change(entries(&[(w1, "draining"), (w2, "draining"), (w3, "draining")]));
    for worker in [w1, w2, w3] {
        worker.behaviour.is_draining.store(true, SeqCst);
    }
    // Told 4 s after SIGHUP, then the grace of the settings and the 50 ms of the rules on sockets.
    let allowed_to = hangup + ms(4000) + ms(500) + ms(50);
    let _ = client.join();
    let until = Instant::now() + ms(3000);
    while !router.has_ended() && Instant::now() < until {
        thread::sleep(ms(50));
    }
    router.end(record);
    sends_after(&site, &[w1, w2, w3], allowed_to)
}

/// A planned restart while a long answer streams. Without the disruption it streams as long, and nothing restarts.
fn long_stream(with_trouble: bool, record: &Record) -> bool {
    let site = Site::new(record);
    let reader = Worker::start(&site, "r1", Role::Reader);
    let writer = Worker::start(&site, "w1", Role::Writer);
    writer.behaviour.events.store(100, SeqCst);
    writer.behaviour.event_ms.store(1000, SeqCst);
    let all = entries(&[(&reader, "ready"), (&writer, "ready")]);
    let discovery = Discovery::start(record, "discovery", all);
    let configuration = Configuration::new(settings(5000), discovery.whole_list());
    let mut router = Router::start(&configuration, discovery.address);
    let (client_record, listen) = (record.clone(), router.listen);
    let client = thread::spawn(move || ask(&client_record, listen, "long0001", ms(4800), 400, ms(110_000)));
    thread::sleep(ms(2000));
    if with_trouble {
        record.line("SIGTERM");
        router.signal(SIGTERM);
    }
    let answer = client.join().expect("a client");
    if router.has_ended() {
        record.line("the router has ended by itself");
    }
    thread::sleep(ms(1500));
    router.end(record);
    let is_lost = !(answer.status == 200 && answer.is_complete);
    if is_lost {
        record.line("BROKEN lost: the stream of long0001 was cut off while its events still arrived");
    }
    is_lost
}

/// Most writers hang. Requests with long prompts wait meanwhile, and others arrive with little time left.
fn memory_wait(with_trouble: bool, record: &Record) -> bool {
    let site = Site::new(record);
    let readers: Vec<Worker> = (1..=5).map(|n| Worker::start(&site, &format!("r{n}"), Role::Reader)).collect();
    let writers: Vec<Worker> = (1..=5).map(|n| Worker::start(&site, &format!("w{n}"), Role::Writer)).collect();
    let workers: Vec<(&Worker, &str)> = readers.iter().chain(&writers).map(|worker| (worker, "ready")).collect();
    let discovery = Discovery::start_recorded(record, "discovery", entries(&workers), false);
    let mut configuration = Configuration::new(settings(5000), discovery.whole_list());
    (configuration.memory_mb, configuration.sockets) = (32, 1024);
    let router = Router::start(&configuration, discovery.address);
    let until = Instant::now() + ms(20_000);
    let mut clients = Vec::new();
    for number in 0..300 {
        let (record, listen) = (record.clone(), router.listen);
        clients.push(thread::spawn(move || {
            let mut asked = 0;
            thread::sleep(ms(number * 10));
            while Instant::now() < until {
                asked += 1;
                let id = format!("long{number:03}-{asked}");
                ask_with_body(&record, listen, &id, ms(4800), 10_000, ms(8000), 40_000);
                thread::sleep(ms(1500));
            }
        }));
    }
    let (short_record, listen) = (record.clone(), router.listen);
    let short = thread::spawn(move || {
        let mut open = Vec::new();
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let (record, id) = (short_record.clone(), format!("short{number:04}"));
            open.push(thread::spawn(move || {
                let answer = ask_with_body(&record, listen, &id, ms(400), 1000, ms(4000), 4000);
                (id, answer)
            }));
            thread::sleep(ms(100));
        }
        open.into_iter().map(|client| client.join().expect("a client")).collect::<Vec<_>>()
    });
    thread::sleep(ms(6000));
    let hang = |hangs: bool| {
        for writer in &writers[..4] {
            writer.behaviour.hangs.store(hangs && with_trouble, SeqCst);
        }
    };
    if with_trouble {
        record.line("four of five writers hang");
    }
    hang(true);
    thread::sleep(ms(6000));
    if with_trouble {
        record.line("they go on");
    }
    hang(false);
    let answers = short.join().expect("clients");
    for client in clients {
        let _ = client.join();
    }
    router.end(record);
    let mut is_broken = false;
    for (id, answer) in answers {
        // Half a second after its time it only earns nothing; 50 ms more on sockets.
        let took = answer.last_byte.duration_since(answer.asked);
        let is_late = answer.status != 200 && took > ms(400 + 500 + 50);
        if is_late || answer.status == 0 {
            let text = format!("BROKEN lost: {id} with 400 ms left got {} after {} ms", answer.status, took.as_millis());
            record.line_at(answer.last_byte, &text);
            is_broken = true;
        }
    }
    is_broken
}
