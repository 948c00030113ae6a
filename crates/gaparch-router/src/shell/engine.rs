//! The task of one connection to an engine.

use crate::core::ConnectionNumber;
use gaparch_net::{write_frames, FrameReader, ReadError};
use gaparch_protocol::engine::{EngineFacts, EngineFrame, Peer, RouterRun, VERSION};
use gaparch_protocol::frame::encode;
use gaparch_scheduler::api::{Nanos, ServerId};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Where and how to connect to an engine.
pub(super) struct ConnectionParams {
    pub engine: ServerId,
    pub conn: ConnectionNumber,
    pub name: String,
    pub address: String,
    pub run: RouterRun,
    pub router: String,
    pub connect_timeout: Duration,
    pub write_timeout: Duration,
    pub max_frame: usize,
}

/// A message of a connection's task to the owner.
#[derive(Debug)]
pub(super) enum EngineMessage {
    Connected { engine: ServerId, conn: ConnectionNumber, facts: EngineFacts },
    Disconnected { engine: ServerId, conn: ConnectionNumber, reason: String },
    Frames { engine: ServerId, conn: ConnectionNumber, frames: Vec<EngineFrame> },
}

/// How long the write of a batch of frames to an engine may take before its connection is closed.
///
/// Half the drain grace period, but at least 100 ms and at most 5 s: if a drain becomes known while a frame
/// waits to be written, the frame must not reach the engine after the grace period of the drain.
pub(super) fn write_timeout(drain_grace: Nanos) -> Duration {
    Duration::from_nanos(drain_grace / 2).clamp(Duration::from_millis(100), Duration::from_secs(5))
}

/// Connects, exchanges hello frames and passes frames in both directions until the connection ends.
pub(super) async fn run(
    params: ConnectionParams,
    mut frames: mpsc::Receiver<EngineFrame>,
    inbox: mpsc::Sender<EngineMessage>,
) {
    let (engine, conn) = (params.engine, params.conn);
    let reason = match timeout(params.connect_timeout, connect(&params)).await {
        Err(_) => "connect timed out".to_owned(),
        Ok(Err(reason)) => reason,
        Ok(Ok((reader, mut writer, facts))) => {
            if inbox.send(EngineMessage::Connected { engine, conn, facts }).await.is_err() {
                return;
            }
            tokio::select! {
                reason = read(engine, conn, reader, &inbox) => reason,
                reason = write(&mut writer, &mut frames, params.write_timeout) => reason,
            }
        }
    };
    // Fails only if the owner has ended.
    let _ = inbox.send(EngineMessage::Disconnected { engine, conn, reason }).await;
}

async fn connect(
    params: &ConnectionParams,
) -> Result<(FrameReader<OwnedReadHalf>, OwnedWriteHalf, EngineFacts), String> {
    let socket = TcpStream::connect(&params.address).await.map_err(|e| e.to_string())?;
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let (read_half, mut writer) = socket.into_split();
    let peer = Peer::Router { run: params.run, name: params.router.clone() };
    let mut bytes = bytes::BytesMut::new();
    encode(&EngineFrame::Hello { version: VERSION, peer }, &mut bytes);
    writer.write_all(&bytes).await.map_err(|e| e.to_string())?;
    let mut reader = FrameReader::new(read_half, params.max_frame);
    match reader.read_one().await.map_err(|e| e.to_string())? {
        EngineFrame::Hello { version: VERSION, peer: Peer::Engine(facts) } if facts.name == params.name => {
            Ok((reader, writer, facts))
        }
        EngineFrame::Hello { version, .. } if version != VERSION => {
            Err(format!("the engine uses protocol version {version}, expected {VERSION}"))
        }
        EngineFrame::Bye { reason } => Err(format!("the engine closed the connection: {reason}")),
        _ => Err("expected a hello frame of this engine".to_owned()),
    }
}

async fn read(
    engine: ServerId,
    conn: ConnectionNumber,
    mut reader: FrameReader<OwnedReadHalf>,
    inbox: &mpsc::Sender<EngineMessage>,
) -> String {
    loop {
        let mut frames = Vec::new();
        let read = reader.read(&mut frames).await;
        if !frames.is_empty() {
            let message = EngineMessage::Frames { engine, conn, frames };
            if inbox.send(message).await.is_err() {
                return "the router has shut down".to_owned();
            }
        }
        match read {
            Ok(()) => {}
            Err(ReadError::Closed) => return "closed by the engine".to_owned(),
            Err(error) => return error.to_string(),
        }
    }
}

async fn write(
    writer: &mut OwnedWriteHalf,
    frames: &mut mpsc::Receiver<EngineFrame>,
    write_timeout: Duration,
) -> String {
    match write_frames(writer, frames, write_timeout).await {
        Ok(()) => "closed by the router".to_owned(),
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => "write timed out".to_owned(),
        Err(error) => error.to_string(),
    }
}
