//! A router in service as a process whose system calls fail for a while.

mod common;

use common::{start, Environment, Site};
use gaparch_testbed::platform::{head_and_body, raw, read, until, Platform, LONG};
use gaparch_testbed::soak::{Shim, Steering};
use rustix::process::{getrlimit, prlimit, Resource, Rlimit, Signal};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Descriptors that a router has open.
fn descriptors(site: &Site) -> u64 {
    let folder = format!("/proc/{}/fd", site.router.id());
    std::fs::read_dir(folder).expect("it runs").count() as u64
}

fn limit_descriptors(site: &Site, most: Option<u64>) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit { current: most.or(maximum), maximum };
    prlimit(Some(site.pid()), Resource::Nofile, limit).expect("its limit is set");
}

/// A router whose system calls can be made to fail.
fn with_faults() -> (Site, Steering) {
    let platform = Platform::new(|_| {});
    let folder = platform.file.parent().expect("a folder").to_owned();
    let shim = Shim::compile(&folder).expect("a C compiler");
    let steering = Steering::new(folder.join("faults")).expect("a file");
    let environment = shim.environment(&steering, 0, 7);
    (Site::on(platform, environment), steering)
}

/// No socket is to be had for a moment. That says nothing of the workers, and the request is served once there are some.
#[test]
fn a_moment_without_descriptors_costs_no_request_and_makes_no_worker_look_dead() {
    let site = Site::new();
    let mut client = TcpStream::connect(site.platform.listen).expect("it listens");
    client.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
    assert_eq!(read(&mut client, LONG).status, 200);
    limit_descriptors(&site, Some(descriptors(&site)));
    client.write_all(&head_and_body("txn-1", "{\"stream\":true}")).expect("written");
    std::thread::sleep(Duration::from_millis(100));
    limit_descriptors(&site, None);
    assert_eq!(read(&mut client, LONG).status, 200);
    // Nobody was probed: nobody looked dead.
    let seen = site.platform.floor.seen();
    let probes = seen.iter().filter(|s| matches!(s, gaparch_testbed::platform::Seen::Probed { .. })).count();
    assert!(probes <= 4, "{seen:?}");
}

/// The process before it still has the address for a moment.
#[test]
fn an_address_that_is_taken_as_a_router_starts_is_listened_at_once_it_is_free() {
    let platform = Platform::new(|_| {});
    let taken = TcpListener::bind(platform.listen).expect("it is free");
    let site = Site { router: start(&platform.file, Environment::new()), platform };
    std::thread::sleep(Duration::from_millis(400));
    drop(taken);
    until("the router is ready", || site.platform.health() == 200);
}

/// Whoever reads the log ends: the router goes on, and serves.
#[test]
fn a_log_that_nobody_reads_any_more_ends_no_router() {
    let mut site = Site::new();
    drop(site.router.stderr.take());
    // The line on the drain that begins is the first that can't be written; the summary follows within 10 s.
    let request = head_and_body("txn-1", "{\"stream\":true}");
    std::thread::sleep(Duration::from_millis(10_500));
    assert_eq!(raw(site.platform.listen, &request, LONG).status, 200);
    assert!(site.router.try_wait().expect("it was started").is_none(), "it has ended");
}

/// Signals come in series while the calls by which a process hears of them fail: none ends the router, none is lost.
#[test]
fn signals_that_come_while_calls_fail_end_no_router_and_are_heard() {
    let (mut site, steering) = with_faults();
    steering.set(true).expect("set");
    for _ in 0..40 {
        site.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(site.router.try_wait().expect("it was started").is_none(), "it has ended");
    site.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(500));
    steering.set(false).expect("set");
    let status = site.ended();
    assert!(status.success(), "{status}");
}

/// Reads and writes take less than there is, or are interrupted, each time: nothing is left lying, and requests are served.
#[test]
fn reads_and_writes_that_take_a_byte_at_a_time_leave_nothing_lying() {
    let (site, steering) = with_faults();
    steering.set_rates([0, 0, 0, 160, 160]).expect("set");
    for number in 0..5 {
        let request = head_and_body(&format!("txn-{number}"), "{\"stream\":true}");
        let answer = raw(site.platform.listen, &request, LONG);
        assert_eq!((answer.status, answer.whole), (200, true), "{number}: {}", answer.head);
    }
    steering.set(false).expect("set");
}
