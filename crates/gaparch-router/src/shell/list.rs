//! The connection to the list service.

use crate::core::ListUpdate;
use gaparch_config::ListConfig;
use gaparch_net::FrameReader;
use gaparch_protocol::frame::encode;
use gaparch_protocol::list::{ListFrame, VERSION};
use gaparch_protocol::DEFAULT_MAX_FRAME;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const CONNECT_WITHIN: Duration = Duration::from_secs(2);
const RETRY_FROM: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListCommand {
    Watch(bool),
    Fetch,
}

#[derive(Debug)]
pub(super) enum ListMessage {
    Up,
    Down(String),
    Update(ListUpdate),
}

/// Connects again and again until nobody listens any more.
pub(super) async fn run(
    settings: ListConfig,
    name: String,
    mut commands: mpsc::Receiver<ListCommand>,
    inbox: mpsc::Sender<ListMessage>,
) {
    let mut retry = RETRY_FROM;
    loop {
        let reason = match timeout(CONNECT_WITHIN, TcpStream::connect(settings.address)).await {
            Ok(Ok(socket)) => {
                retry = RETRY_FROM;
                match talk(socket, &name, &mut commands, &inbox).await {
                    Some(reason) => reason,
                    None => return,
                }
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        // What was asked for meanwhile has no answer: the router is told so, once.
        while commands.try_recv().is_ok() {}
        if inbox.send(ListMessage::Down(reason)).await.is_err() {
            return;
        }
        sleep(retry).await;
        retry = (retry * 2).min(RETRY_MOST);
    }
}

/// One connection; why it ended, or `None` if the router has.
async fn talk(
    socket: TcpStream,
    name: &str,
    commands: &mut mpsc::Receiver<ListCommand>,
    inbox: &mpsc::Sender<ListMessage>,
) -> Option<String> {
    let _ = socket.set_nodelay(true);
    let (read_half, mut writer) = socket.into_split();
    let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
    let mut bytes = bytes::BytesMut::new();
    encode(&ListFrame::Hello { version: VERSION, name: name.to_owned() }, &mut bytes);
    if let Err(error) = writer.write_all(&bytes).await {
        return Some(error.to_string());
    }
    match timeout(CONNECT_WITHIN, reader.read_one()).await {
        Ok(Ok(ListFrame::Hello { version: VERSION, .. })) => {}
        Ok(Ok(_)) => return Some("its first frame is no hello of this version".to_owned()),
        Ok(Err(error)) => return Some(error.to_string()),
        Err(_) => return Some("it does not say hello".to_owned()),
    }
    inbox.send(ListMessage::Up).await.ok()?;
    let mut frames = Vec::new();
    loop {
        tokio::select! {
            command = commands.recv() => {
                let frame = match command? {
                    ListCommand::Watch(on) => ListFrame::Watch(on),
                    ListCommand::Fetch => ListFrame::Fetch,
                };
                bytes.clear();
                encode(&frame, &mut bytes);
                if let Err(error) = writer.write_all(&bytes).await {
                    return Some(error.to_string());
                }
            }
            read = reader.read(&mut frames) => {
                for frame in frames.drain(..) {
                    let message = match frame {
                        ListFrame::Update { scope, version, entries } => {
                            ListMessage::Update(ListUpdate {
                                scope,
                                version,
                                after: version.saturating_sub(1),
                                entries,
                            })
                        }
                        ListFrame::Failed { reason } => ListMessage::Down(reason),
                        ListFrame::Bye { reason } => return Some(reason),
                        _ => return Some("a frame that a list service does not send".to_owned()),
                    };
                    inbox.send(message).await.ok()?;
                }
                if let Err(error) = read {
                    return Some(error.to_string());
                }
            }
        }
    }
}
