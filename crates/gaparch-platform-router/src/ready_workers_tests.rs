//! Which workers may be sent to, list by list.

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
fn draining_removed_and_unlisted_workers_are_not_sent_to_and_all_are_before_the_first_list() {
    let ready = ReadyWorkers::default();
    let may = |name: &str| ready.may_receive_requests(server_id(name));
    // A change without a list to change says nothing.
    ready.update(Scope::Delta, &[entry("a", ServerState::Draining)]);
    assert!(may("a") && may("b"));
    let listed =
        [entry("a", ServerState::Ready), entry("b", ServerState::Ready), entry("c", ServerState::Draining)];
    ready.update(Scope::Full, &listed);
    assert_eq!((may("a"), may("b"), may("c"), may("d")), (true, true, false, false));
    ready.update(Scope::Delta, &[entry("a", ServerState::Draining), entry("d", ServerState::Ready)]);
    assert_eq!((may("a"), may("b"), may("d")), (false, true, true));
    ready.update(Scope::Delta, &[entry("a", ServerState::Ready), entry("b", ServerState::Removed)]);
    assert_eq!((may("a"), may("b")), (true, false));
    // A whole list forgets what it does not name.
    ready.update(Scope::Full, &[entry("b", ServerState::Ready)]);
    assert_eq!((may("a"), may("b"), may("d")), (false, true, false));
}
