//! The bytes of each frame of the list protocol, and the JSON of an entry.

mod common;

use common::{assert_frame, assert_json, assert_record};
use gaparch_protocol::list::{ListEntry, ListFrame, Scope, ServerState};

fn entry(state: ServerState) -> ListEntry {
    ListEntry {
        engine: "w0".to_owned(),
        address: "10.0.0.2:7000".to_owned(),
        kind: "writer".to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state,
        weight: Some(1.5),
        started_at: Some(1_700_000_000_000_000_000),
    }
}

fn entry_without_optional_fields(state: ServerState) -> ListEntry {
    ListEntry { weight: None, started_at: None, ..entry(state) }
}

#[test]
fn each_frame_keeps_its_bytes() {
    let name = || "router-1".to_owned();
    assert_frame(
        &ListFrame::Hello { version: 1, name: name(), epoch: 0 },
        "0000000d0100010008726f757465722d31",
    );
    assert_frame(
        &ListFrame::Hello { version: 2, name: name(), epoch: 77 },
        "000000150100020008726f757465722d31000000000000004d",
    );
    assert_frame(&ListFrame::Watch(true), "000000020201");
    assert_frame(&ListFrame::Watch(false), "000000020200");
    assert_frame(&ListFrame::Fetch, "0000000103");
    let entries = vec![entry(ServerState::Ready), entry_without_optional_fields(ServerState::Draining)];
    assert_frame(
        &ListFrame::Update { scope: Scope::Full, version: 12, entries },
        "0000006e0401000000000000000c000200027730000d31302e302e302e323a37303030000677726974657200056e\
         6f72746800026e3100013ff80000000000000117979cfe362a000000027730000d31302e302e302e323a37303030\
         000677726974657200056e6f72746800026e31010000",
    );
    let entries = vec![entry_without_optional_fields(ServerState::Removed)];
    assert_frame(
        &ListFrame::Update { scope: Scope::Delta, version: 13, entries },
        "000000350400000000000000000d000100027730000d31302e302e302e323a37303030000677726974657200056e\
         6f72746800026e31020000",
    );
    assert_frame(&ListFrame::Failed { reason: "no list".to_owned() }, "0000000a0500076e6f206c697374");
    assert_frame(&ListFrame::Bye { reason: "stopping".to_owned() }, "0000000b3f000873746f7070696e67");
}

#[test]
fn an_entry_keeps_its_bytes_and_its_json() {
    assert_record(
        &entry(ServerState::Ready),
        "00027730000d31302e302e302e323a37303030000677726974657200056e6f72746800026e3100013ff800000000\
         00000117979cfe362a0000",
    );
    assert_record(
        &entry_without_optional_fields(ServerState::Draining),
        "00027730000d31302e302e302e323a37303030000677726974657200056e6f72746800026e31010000",
    );
    assert_record(
        &entry_without_optional_fields(ServerState::Removed),
        "00027730000d31302e302e302e323a37303030000677726974657200056e6f72746800026e31020000",
    );
    assert_json(
        &entry(ServerState::Ready),
        r#"{"engine":"w0","address":"10.0.0.2:7000","kind":"writer","zone":"north","rack":"n1","state":"ready","weight":1.5,"started_at":1700000000000000000}"#,
    );
    assert_json(
        &entry_without_optional_fields(ServerState::Draining),
        r#"{"engine":"w0","address":"10.0.0.2:7000","kind":"writer","zone":"north","rack":"n1","state":"draining","weight":null,"started_at":null}"#,
    );
    assert_json(
        &entry_without_optional_fields(ServerState::Removed),
        r#"{"engine":"w0","address":"10.0.0.2:7000","kind":"writer","zone":"north","rack":"n1","state":"gone","weight":null,"started_at":null}"#,
    );
}
