//! The connection to the list service.

use crate::core::ListUpdate;
use gaparch_config::ListConfig;
use gaparch_net::FrameReader;
use gaparch_protocol::frame::encode;
use gaparch_protocol::list::{ListFrame, VERSION, VERSION_EPOCHS};
use gaparch_protocol::DEFAULT_MAX_FRAME;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// For a few bytes to be taken.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
const RETRY_FROM: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListCommand {
    Watch(bool),
    Fetch,
}

#[derive(Debug)]
pub(super) enum ListMessage {
    /// Connected, to that run of the service; 0 where it does not say.
    Up(u64),
    Down(String),
    Update(ListUpdate),
}

/// Connections closed in place of a hello, after which the first version is tried once.
const CLOSED: u32 = 3;
/// A service that is silent is asked so many times before it counts as gone.
const ASKED: u32 = 3;

/// Connects again and again until nobody listens any more. With `confirm` a service that says nothing is asked, and left
/// after so long: silence alone tells nothing, and a link that is held looks as one on which nothing changes.
pub(super) async fn run(
    settings: ListConfig,
    name: String,
    confirm: Option<Duration>,
    mut commands: mpsc::Receiver<ListCommand>,
    inbox: mpsc::Sender<ListMessage>,
) {
    let mut retry = RETRY_FROM;
    // A service of the first version knows no other, and closes: after some tries it is spoken to in that. Not for a
    // link that is silent or breaks once, or a service that tells its epoch would be taken for one that does not.
    let mut closed = 0;
    loop {
        let version = if confirm.is_some() && closed < CLOSED { VERSION_EPOCHS } else { VERSION };
        let reason = match timeout(CONNECT_WITHIN, TcpStream::connect(settings.address)).await {
            Ok(Ok(socket)) => {
                retry = RETRY_FROM;
                match talk(socket, (&name, version), confirm, &mut commands, &inbox).await {
                    Some(Ended { reason, closed: at_once }) => {
                        closed = if at_once && closed < CLOSED { closed + 1 } else { 0 };
                        reason
                    }
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

/// How a connection ended; `closed`: by the service, in place of a hello.
struct Ended {
    reason: String,
    closed: bool,
}

/// One connection; why it ended, or `None` if the router has.
async fn talk(
    socket: TcpStream,
    (name, version): (&str, u16),
    confirm: Option<Duration>,
    commands: &mut mpsc::Receiver<ListCommand>,
    inbox: &mpsc::Sender<ListMessage>,
) -> Option<Ended> {
    let _ = socket.set_nodelay(true);
    let (read_half, mut writer) = socket.into_split();
    let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
    let mut bytes = bytes::BytesMut::new();
    let ended = |reason: String, closed| Some(Ended { reason, closed });
    encode(&ListFrame::Hello { version, name: name.to_owned(), epoch: 0 }, &mut bytes);
    if let Err(error) = writer.write_all(&bytes).await {
        return ended(error.to_string(), false);
    }
    let epoch = match timeout(CONNECT_WITHIN, reader.read_one()).await {
        Ok(Ok(ListFrame::Hello { version: theirs, epoch, .. })) if theirs == version => epoch,
        Ok(Ok(_)) => return ended("its first frame is no hello of this version".to_owned(), true),
        Ok(Err(error)) => return ended(error.to_string(), true),
        Err(_) => return ended("it does not say hello".to_owned(), false),
    };
    inbox.send(ListMessage::Up(epoch)).await.ok()?;
    let mut frames = Vec::new();
    let mut silent_from = Instant::now();
    let mut asked = 0;
    loop {
        let ask_at = confirm.map(|within| silent_from + within * (asked + 1) / ASKED);
        let frame = tokio::select! {
            command = commands.recv() => match command? {
                ListCommand::Watch(on) => ListFrame::Watch(on),
                ListCommand::Fetch => ListFrame::Fetch,
            },
            () = sleep_until(ask_at.unwrap_or(silent_from)), if ask_at.is_some() => {
                asked += 1;
                if asked >= ASKED {
                    return ended("it has said nothing for too long, though it was asked".to_owned(), false);
                }
                ListFrame::Fetch
            }
            read = reader.read(&mut frames) => {
                (silent_from, asked) = (Instant::now(), 0);
                for frame in frames.drain(..) {
                    let message = match frame {
                        ListFrame::Update { scope, version, entries } => {
                            ListMessage::Update(ListUpdate {
                                scope,
                                version,
                                base_version: version.saturating_sub(1),
                                entries,
                            })
                        }
                        ListFrame::Failed { reason } => ListMessage::Down(reason),
                        ListFrame::Bye { reason } => return ended(reason, false),
                        _ => return ended("a frame that a list service does not send".to_owned(), false),
                    };
                    inbox.send(message).await.ok()?;
                }
                if let Err(error) = read {
                    return ended(error.to_string(), false);
                }
                continue;
            }
        };
        bytes.clear();
        encode(&frame, &mut bytes);
        // One that takes no bytes is as good as gone.
        let within = confirm.unwrap_or(WRITE_WITHIN);
        match timeout(within, writer.write_all(&bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return ended(error.to_string(), false),
            Err(_) => return ended("it takes no bytes".to_owned(), false),
        }
    }
}
