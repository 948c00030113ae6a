//! Tests which workers may receive requests after each endpoint list.

use super::ReadyWorkers;
use gaparch_config::server_id;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::ServerState;

fn entry(name: &str, state: ServerState) -> ListEntry {
    ListEntry {
        engine: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        kind: "prefill".to_owned(),
        zone: "a".to_owned(),
        rack: "1".to_owned(),
        state,
        weight: None,
        started_at: None,
    }
}

#[test]
fn only_ready_workers_receive_requests_once_a_list_is_known() {
    let ready = ReadyWorkers::default();
    let may_receive = |name: &str| ready.may_receive_requests(server_id(name));
    // Before the first full list all workers may receive requests, and a delta is ignored.
    ready.update(Scope::Delta, &[entry("a", ServerState::Draining)]);
    assert!(may_receive("a") && may_receive("b"));
    let listed =
        [entry("a", ServerState::Ready), entry("b", ServerState::Ready), entry("c", ServerState::Draining)];
    ready.update(Scope::Full, &listed);
    assert_eq!(
        (may_receive("a"), may_receive("b"), may_receive("c"), may_receive("d")),
        (true, true, false, false)
    );
    ready.update(Scope::Delta, &[entry("a", ServerState::Draining), entry("d", ServerState::Ready)]);
    assert_eq!((may_receive("a"), may_receive("b"), may_receive("d")), (false, true, true));
    ready.update(Scope::Delta, &[entry("a", ServerState::Ready), entry("b", ServerState::Removed)]);
    assert_eq!((may_receive("a"), may_receive("b")), (true, false));
    // A full list removes workers that it does not name.
    ready.update(Scope::Full, &[entry("b", ServerState::Ready)]);
    assert_eq!((may_receive("a"), may_receive("b"), may_receive("d")), (false, true, false));
}
