//! One connection to one engine.

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

pub(super) struct Plan {
    pub engine: ServerId,
    pub conn: ConnectionNumber,
    pub name: String,
    pub address: String,
    pub run: RouterRun,
    pub router: String,
    pub connect_within: Duration,
    pub write_within: Duration,
    pub max_frame: usize,
}

#[derive(Debug)]
pub(super) enum EngineMessage {
    Up { engine: ServerId, conn: ConnectionNumber, facts: EngineFacts },
    Down { engine: ServerId, conn: ConnectionNumber, reason: String },
    Frames { engine: ServerId, conn: ConnectionNumber, frames: Vec<EngineFrame> },
}

/// An engine that takes no bytes for so long loses its connection: what waits to be written must not reach
/// it later than the grace after a drain that is learnt of meanwhile.
pub(super) fn write_within(drain_grace: Nanos) -> Duration {
    Duration::from_nanos(drain_grace / 2).clamp(Duration::from_millis(100), Duration::from_secs(5))
}

/// Connects, says who we are, and carries frames until the connection ends.
pub(super) async fn run(
    plan: Plan,
    mut frames: mpsc::Receiver<EngineFrame>,
    inbox: mpsc::Sender<EngineMessage>,
) {
    let (engine, conn) = (plan.engine, plan.conn);
    let reason = match timeout(plan.connect_within, open(&plan)).await {
        Err(_) => "no connection in time".to_owned(),
        Ok(Err(reason)) => reason,
        Ok(Ok((reader, mut writer, facts))) => {
            if inbox.send(EngineMessage::Up { engine, conn, facts }).await.is_err() {
                return;
            }
            tokio::select! {
                reason = read(engine, conn, reader, &inbox) => reason,
                reason = write(&mut writer, &mut frames, plan.write_within) => reason,
            }
        }
    };
    // The owner may have ended: then nobody has to know.
    let _ = inbox.send(EngineMessage::Down { engine, conn, reason }).await;
}

async fn open(plan: &Plan) -> Result<(FrameReader<OwnedReadHalf>, OwnedWriteHalf, EngineFacts), String> {
    let socket = TcpStream::connect(&plan.address).await.map_err(|e| e.to_string())?;
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let (read_half, mut writer) = socket.into_split();
    let peer = Peer::Router { run: plan.run, name: plan.router.clone() };
    let mut bytes = bytes::BytesMut::new();
    encode(&EngineFrame::Hello { version: VERSION, peer }, &mut bytes);
    writer.write_all(&bytes).await.map_err(|e| e.to_string())?;
    let mut reader = FrameReader::new(read_half, plan.max_frame);
    match reader.read_one().await.map_err(|e| e.to_string())? {
        EngineFrame::Hello { version: VERSION, peer: Peer::Engine(facts) } if facts.name == plan.name => {
            Ok((reader, writer, facts))
        }
        EngineFrame::Hello { version, .. } if version != VERSION => {
            Err(format!("it speaks version {version}"))
        }
        EngineFrame::Bye { reason } => Err(format!("it says: {reason}")),
        _ => Err("its first frame is no hello of that engine".to_owned()),
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
                return "the router has ended".to_owned();
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
    within: Duration,
) -> String {
    match write_frames(writer, frames, within).await {
        Ok(()) => "closed by the router".to_owned(),
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => "it takes no bytes".to_owned(),
        Err(error) => error.to_string(),
    }
}
