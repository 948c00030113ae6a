//! Tests that a router that shuts down follows a new configuration: it still sends open requests to workers, and has to
//! know which of them drain.

mod common;

use common::{ms, put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{ask, until, DiscoveryService, Platform, Response, Step};
use serde_json::{json, Value};
use std::thread::JoinHandle;
use std::time::Duration;

const REQUESTS: usize = 8;
/// Long enough for the new list to be received before the prefills end.
const PREFILL_TIME: Duration = Duration::from_millis(1500);

/// Starts requests whose prefills take [`PREFILL_TIME`], and waits until all prefills have begun.
fn start_requests(router: &RunningRouter) -> Vec<JoinHandle<Response>> {
    let prefilled = put("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}");
    for _ in 0..REQUESTS {
        router.prefill_workers[0].reply_once(vec![Step::Wait(PREFILL_TIME), prefilled.clone()]);
    }
    let listen = router.listen;
    let start = |number| std::thread::spawn(move || ask(listen, &format!("open-{number}")));
    let clients = (0..REQUESTS).map(start).collect();
    until("all prefills have begun", || router.worker_log.requests().len() == REQUESTS);
    clients
}

/// A discovery service that knows that the first decode worker drains.
fn new_discovery(router: &RunningRouter) -> DiscoveryService {
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    list[2]["lifecycle"] = json!("draining");
    DiscoveryService::start(list)
}

/// Returns the router's configuration with another discovery service.
fn config_with(router: &RunningRouter, discovery: &DiscoveryService) -> Value {
    let mut config = router.config.clone();
    config["discovery"] = json!(discovery.address.to_string());
    config
}

fn write_config(router: &RunningRouter, discovery: &DiscoveryService) {
    std::fs::write(&router.file, config_with(router, discovery).to_string()).expect("written");
}

/// Asserts that all requests are served, none of them by the draining worker, and that the router then ends.
fn assert_drain_is_kept(router: RunningRouter, clients: Vec<JoinHandle<Response>>, what: &str) {
    for client in clients {
        let response = client.join().expect("no panic");
        assert_eq!((response.status, response.is_complete), (200, true), "{what}");
    }
    let workers = router.worker_log.requests().into_iter().map(|(worker, _)| worker);
    let decodes: Vec<String> = workers.filter(|worker| worker.starts_with("w-")).collect();
    assert_eq!(decodes, vec!["w-2"; REQUESTS], "{what}");
    router.wait_for_shutdown();
}

/// Guards against a router that ignores a new configuration once it was told to end, or drops one that it has just
/// been told of.
#[test]
fn a_reload_around_a_shutdown_command_is_followed_in_either_order() {
    for commands in [[Command::Shutdown, Command::Reload], [Command::Reload, Command::Shutdown]] {
        let router = RunningRouter::with(|_| {});
        let clients = start_requests(&router);
        let discovery = new_discovery(&router);
        write_config(&router, &discovery);
        for command in commands {
            router.send(command);
        }
        assert_drain_is_kept(router, clients, &format!("{commands:?}"));
    }
}

/// Guards against a shutdown that follows only the first of several new configurations.
#[test]
fn each_of_several_reloads_during_a_shutdown_is_followed() {
    let router = RunningRouter::with(|_| {});
    let clients = start_requests(&router);
    router.send(Command::Shutdown);
    for _ in 0..6 {
        let stale = DiscoveryService::start(Platform::list(&router.prefill_workers, &router.decode_workers));
        write_config(&router, &stale);
        router.send(Command::Reload);
        until("the list of this service is received", || stale.responses() > 0);
    }
    let discovery = new_discovery(&router);
    write_config(&router, &discovery);
    router.send(Command::Reload);
    router.send(Command::Reload);
    assert_drain_is_kept(router, clients, "several");
}

/// Guards against a shutdown that drops a reload whose file is still being written.
#[test]
fn a_reload_that_is_still_tried_is_carried_out_during_a_shutdown() {
    let router = RunningRouter::with(|_| {});
    let clients = start_requests(&router);
    let discovery = new_discovery(&router);
    std::fs::write(&router.file, "{\"name\":").expect("written");
    router.send(Command::Reload);
    std::thread::sleep(ms(300));
    router.send(Command::Shutdown);
    std::thread::sleep(ms(300));
    write_config(&router, &discovery);
    assert_drain_is_kept(router, clients, "still tried");
}
