//! Tests of the stream relays.

use super::super::faults::Fault;
use super::*;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::ServerState;
use tokio::time::timeout;

const SOON: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_millis(150);

struct Wire {
    faults: Arc<Faults>,
    recorder: Recorder,
    near: TcpStream,
    far: TcpStream,
    _streams: Streams,
}

/// Opens a stream from router 0 to an end, through its relay.
async fn wire(end: LinkEnd) -> Wire {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let faults = Arc::new(Faults::default());
    let recorder = Recorder { clock: Clock::default(), record: Record::default() };
    let at = listener.local_addr().expect("an address");
    let ends =
        [(end.clone(), at), (LinkEnd::Engine("read-0".to_owned()), "10.0.0.1:1".parse().expect("one"))];
    let streams = Streams::start(&[at], &ends, &faults, &recorder).await.expect("started");
    let relay = streams.address(&end).expect("a relay");
    let mut near = TcpStream::connect(relay).await.expect("connected");
    let hello = ListFrame::Hello { version: 1, name: "router-0".to_owned(), epoch: 0 };
    let mut bytes = BytesMut::new();
    encode(&hello, &mut bytes);
    near.write_all(&bytes).await.expect("written");
    let (mut far, _) = timeout(SOON, listener.accept()).await.expect("in time").expect("accepted");
    comes(&mut far, &bytes).await;
    Wire { faults, recorder, near, far, _streams: streams }
}

async fn comes(socket: &mut TcpStream, bytes: &[u8]) {
    let mut got = vec![0; bytes.len()];
    timeout(SOON, socket.read_exact(&mut got)).await.expect("in time").expect("read");
    assert_eq!(got, bytes);
}

async fn is_silent(socket: &mut TcpStream) {
    assert!(timeout(SILENCE, socket.read_u8()).await.is_err(), "bytes arrived on a silent link");
}

#[tokio::test]
async fn a_stall_holds_one_direction_and_delivers_it_later() {
    let mut wire = wire(LinkEnd::List).await;
    let there = (LinkEnd::Router(0), LinkEnd::List);
    wire.faults.set(&[there], Fault { stall: true, ..Fault::default() });
    wire.near.write_all(b"held").await.expect("written");
    is_silent(&mut wire.far).await;
    wire.faults.heal();
    comes(&mut wire.far, b"held").await;
}

#[tokio::test]
async fn a_cut_loses_bytes_silently_and_breaks_the_stream_when_it_ends() {
    let mut wire = wire(LinkEnd::List).await;
    wire.faults.set(&[(LinkEnd::Router(0), LinkEnd::List)], Fault { cut: true, ..Fault::default() });
    wire.near.write_all(b"lost").await.expect("written");
    is_silent(&mut wire.far).await;
    is_silent(&mut wire.near).await;
    wire.faults.heal();
    let end = timeout(SOON, wire.far.read_u8()).await.expect("in time");
    assert!(end.is_err(), "bytes that follow lost ones must not be delivered");
}

#[tokio::test]
async fn a_reset_ends_the_stream_for_both() {
    let mut wire = wire(LinkEnd::List).await;
    wire.faults.reset(&[(LinkEnd::List, LinkEnd::Router(0))]);
    assert!(timeout(SOON, wire.far.read_u8()).await.expect("in time").is_err());
    assert!(timeout(SOON, wire.near.read_u8()).await.expect("in time").is_err());
}

#[tokio::test]
async fn a_list_is_recorded_on_delivery_and_has_the_relay_addresses() {
    let mut wire = wire(LinkEnd::List).await;
    let entry = ListEntry {
        engine: "read-0".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        kind: "read".to_owned(),
        zone: "north".to_owned(),
        rack: "n1".to_owned(),
        state: ServerState::Draining,
        weight: None,
        started_at: None,
    };
    let frame = ListFrame::Update { scope: Scope::Full, version: 7, entries: vec![entry] };
    let mut bytes = BytesMut::new();
    encode(&frame, &mut bytes);
    wire.faults.set(&[(LinkEnd::List, LinkEnd::Router(0))], Fault { stall: true, ..Fault::default() });
    wire.far.write_all(&bytes).await.expect("written");
    is_silent(&mut wire.near).await;
    assert!(
        wire.recorder.record.entries().is_empty(),
        "an entry that was not delivered must not be recorded"
    );
    wire.faults.heal();
    let mut decoder = FrameDecoder::default();
    let told = loop {
        wire.near.read_buf(decoder.buffer()).await.expect("read");
        if let Some(ListFrame::Update { entries, .. }) = decoder.next_frame().expect("a frame") {
            break entries;
        }
    };
    assert!(told[0].address.starts_with("127.0.0.1:"), "{told:?}");
    let listed =
        |e: &crate::record::Entry| matches!(&e.what, What::Listed { router, .. } if router == "router-0");
    while !wire.recorder.record.entries().iter().any(listed) {
        tokio::task::yield_now().await;
    }
}
