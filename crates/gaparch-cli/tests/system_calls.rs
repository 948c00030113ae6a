//! Tests of a platform router process whose system calls fail for a while.

mod common;

use common::{start, Environment, Site};
use gaparch_testbed::platform::{head_and_body, raw, read, until, Platform, LONG};
use gaparch_testbed::soak::{Shim, Steering};
use rustix::process::{getrlimit, prlimit, Resource, Rlimit, Signal};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Number of open file descriptors of a router.
fn open_descriptors(site: &Site) -> u64 {
    let folder = format!("/proc/{}/fd", site.router.id());
    std::fs::read_dir(folder).expect("the router runs").count() as u64
}

fn limit_descriptors(site: &Site, max: Option<u64>) {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit { current: max.or(maximum), maximum };
    prlimit(Some(site.pid()), Resource::Nofile, limit).expect("the limit is set");
}

/// Starts a router whose system calls can be made to fail.
fn with_faults() -> (Site, Steering) {
    let platform = Platform::new(|_| {});
    let folder = platform.file.parent().expect("a folder").to_owned();
    let shim = Shim::compile(&folder).expect("a C compiler");
    let steering = Steering::new(folder.join("faults")).expect("a file");
    let environment = shim.environment(&steering, 0, 7);
    (Site::on(platform, environment), steering)
}

/// If no descriptor is free for a moment, connecting to a worker fails without the worker being unhealthy.
/// The request must be served once there are descriptors again.
#[test]
fn running_out_of_descriptors_briefly_fails_no_request_and_marks_no_worker_unhealthy() {
    let site = Site::new();
    let mut client = TcpStream::connect(site.platform.listen).expect("the router listens");
    client.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").expect("the request is written");
    assert_eq!(read(&mut client, LONG).status, 200);
    limit_descriptors(&site, Some(open_descriptors(&site)));
    client.write_all(&head_and_body("txn-1", "{\"stream\":true}")).expect("the request is written");
    std::thread::sleep(Duration::from_millis(100));
    limit_descriptors(&site, None);
    assert_eq!(read(&mut client, LONG).status, 200);
    // Unhealthy workers would be probed.
    let seen = site.platform.worker_log.events();
    let probes =
        seen.iter().filter(|s| matches!(s, gaparch_testbed::platform::WorkerEvent::Probed { .. })).count();
    assert!(probes <= 4, "{seen:?}");
}

/// During a restart, the previous process may still hold the listen address for a moment.
#[test]
fn a_router_retries_a_listen_address_that_is_in_use() {
    let platform = Platform::new(|_| {});
    let previous = TcpListener::bind(platform.listen).expect("the address is free");
    let site = Site { router: start(&platform.file, Environment::new()), platform };
    std::thread::sleep(Duration::from_millis(400));
    drop(previous);
    until("the router is ready", || site.platform.health() == 200);
}

/// The reader of the log exits; the router must go on serving.
#[test]
fn a_closed_standard_error_does_not_end_the_router() {
    let mut site = Site::new();
    drop(site.router.stderr.take());
    // Within 10 s the router logs its summary, which can no longer be written.
    let request = head_and_body("txn-1", "{\"stream\":true}");
    std::thread::sleep(Duration::from_millis(10_500));
    assert_eq!(raw(site.platform.listen, &request, LONG).status, 200);
    assert!(site.router.try_wait().expect("the router was started").is_none(), "the router has exited");
}

/// Signals arrive repeatedly while the system calls that deliver them to the process fail.
#[test]
fn signals_during_failing_system_calls_are_handled_and_do_not_crash_the_router() {
    let (mut site, steering) = with_faults();
    steering.set(true).expect("the faults are set");
    for _ in 0..40 {
        site.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(site.router.try_wait().expect("the router was started").is_none(), "the router has exited");
    site.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(500));
    steering.set(false).expect("the faults are set");
    let status = site.wait_for_exit();
    assert!(status.success(), "{status}");
}

/// Most reads and writes are short or interrupted; no data may be left unsent or unread.
#[test]
fn requests_are_served_though_reads_and_writes_are_short_or_interrupted() {
    let (site, steering) = with_faults();
    steering.set_rates([0, 0, 0, 160, 160]).expect("the faults are set");
    for number in 0..5 {
        let request = head_and_body(&format!("txn-{number}"), "{\"stream\":true}");
        let answer = raw(site.platform.listen, &request, LONG);
        assert_eq!((answer.status, answer.is_complete), (200, true), "{number}: {}", answer.head);
    }
    steering.set(false).expect("the faults are set");
}
