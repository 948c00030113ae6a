//! An engine that breaks the protocol on purpose: it answers each read as it is told to, and probes as it should.

use gaparch_engine::EngineSpec;
use gaparch_net::FrameReader;
use gaparch_protocol::engine::{EngineFrame, Job, Peer, VERSION};
use gaparch_protocol::frame::encode;
use gaparch_protocol::DEFAULT_MAX_FRAME;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// What such an engine sends for a read.
pub type Script = fn(&Job) -> Vec<EngineFrame>;

/// A running scripted engine. It ends when this is dropped.
#[derive(Debug)]
pub struct ScriptedEngine {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Drop for ScriptedEngine {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ScriptedEngine {
    /// Starts one that says it is `spec`. `after_hello` is written right after the hello, whatever it is.
    ///
    /// # Errors
    /// When no socket can be had.
    pub async fn start(spec: EngineSpec, after_hello: &'static [u8], script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn(serve(socket, spec.clone(), after_hello, script));
            }
        });
        Ok(ScriptedEngine { address, accepting })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(socket: TcpStream, spec: EngineSpec, after_hello: &[u8], script: Script) -> io::Result<()> {
    let (read_half, mut writer) = socket.into_split();
    let mut bytes = bytes::BytesMut::new();
    encode(&EngineFrame::Hello { version: VERSION, peer: Peer::Engine(spec.facts(1)) }, &mut bytes);
    bytes.extend_from_slice(after_hello);
    writer.write_all(&bytes).await?;
    let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
    let mut frames = Vec::new();
    while reader.read(&mut frames).await.is_ok() {
        for frame in frames.drain(..) {
            let answers = match frame {
                EngineFrame::Prefill(job) => script(&job),
                // It looks well: that is what makes it a trap.
                EngineFrame::Probe { nonce } => vec![EngineFrame::Probed { nonce, report: None }],
                _ => continue,
            };
            bytes.clear();
            answers.iter().for_each(|answer| encode(answer, &mut bytes));
            writer.write_all(&bytes).await?;
        }
    }
    Ok(())
}
