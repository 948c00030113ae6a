//! The task that keeps a connection to the list service.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for writing one frame without `confirm`. A service that does not accept these few bytes in time
/// counts as unavailable.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A command of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListCommand {
    /// Starts or stops updates.
    Watch(bool),
    /// Requests the full list.
    Fetch,
}

/// A message to the owner.
#[derive(Debug)]
pub(super) enum ListMessage {
    /// Connected to a list service with this epoch, which identifies its run; 0 if it tells none.
    Connected(u64),
    /// The connection has failed, or the service reports an error; the reason.
    Unavailable(String),
    Update(ListUpdate),
}

/// Connections in a row on which the service rejects the hello, after which the first version of the protocol
/// is tried once.
const MAX_REJECTED_HELLOS: u32 = 3;
/// The time for which the service may be silent is split into this many intervals: it is sent a fetch after
/// each but the last, after which the connection is closed.
const SILENCE_INTERVALS: u32 = 3;

/// Keeps a connection until the owner has ended.
///
/// With `confirm` a silent service is sent fetch requests, and the connection is closed if nothing arrives
/// for that long: without them, a link that delivers nothing can't be told from a list that does not change.
pub(super) async fn run(
    settings: ListConfig,
    name: String,
    confirm: Option<Duration>,
    mut commands: mpsc::Receiver<ListCommand>,
    inbox: mpsc::Sender<ListMessage>,
) {
    let mut retry_delay = MIN_RETRY_DELAY;
    // A service that only knows the first version of the protocol closes the connection when it gets another
    // one, so after some attempts the first version is used. A timeout or a single failure is not enough: the
    // first version has no epoch, and a service that sends its epoch would be taken for one that has none.
    let mut rejected_hellos = 0;
    loop {
        let version =
            if confirm.is_some() && rejected_hellos < MAX_REJECTED_HELLOS { VERSION_EPOCHS } else { VERSION };
        let reason = match timeout(CONNECT_TIMEOUT, TcpStream::connect(settings.address)).await {
            Ok(Ok(socket)) => {
                retry_delay = MIN_RETRY_DELAY;
                match run_connection(socket, (&name, version), confirm, &mut commands, &inbox).await {
                    Some(ConnectionEnd { reason, hello_rejected }) => {
                        let count = hello_rejected && rejected_hellos < MAX_REJECTED_HELLOS;
                        rejected_hellos = if count { rejected_hellos + 1 } else { 0 };
                        reason
                    }
                    None => return,
                }
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "connect timed out".to_owned(),
        };
        // Commands received meanwhile are dropped: this message tells the owner that they have no answer.
        while commands.try_recv().is_ok() {}
        if inbox.send(ListMessage::Unavailable(reason)).await.is_err() {
            return;
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// How a connection ended.
struct ConnectionEnd {
    reason: String,
    /// The service closed the connection or sent another frame in place of its hello.
    hello_rejected: bool,
}

/// Runs one connection until it ends; `None` if the owner has ended.
async fn run_connection(
    socket: TcpStream,
    (name, version): (&str, u16),
    confirm: Option<Duration>,
    commands: &mut mpsc::Receiver<ListCommand>,
    inbox: &mpsc::Sender<ListMessage>,
) -> Option<ConnectionEnd> {
    let _ = socket.set_nodelay(true);
    let (read_half, mut writer) = socket.into_split();
    let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
    let mut bytes = bytes::BytesMut::new();
    let ended = |reason: String, hello_rejected| Some(ConnectionEnd { reason, hello_rejected });
    encode(&ListFrame::Hello { version, name: name.to_owned(), epoch: 0 }, &mut bytes);
    if let Err(error) = writer.write_all(&bytes).await {
        return ended(error.to_string(), false);
    }
    let epoch = match timeout(CONNECT_TIMEOUT, reader.read_one()).await {
        Ok(Ok(ListFrame::Hello { version: peer_version, epoch, .. })) if peer_version == version => epoch,
        Ok(Ok(_)) => return ended("expected a hello frame of this protocol version".to_owned(), true),
        Ok(Err(error)) => return ended(error.to_string(), true),
        Err(_) => return ended("no hello frame in time".to_owned(), false),
    };
    inbox.send(ListMessage::Connected(epoch)).await.ok()?;
    let mut frames = Vec::new();
    let mut silent_since = Instant::now();
    let mut fetches = 0;
    loop {
        let next_fetch_at = confirm.map(|limit| silent_since + limit * (fetches + 1) / SILENCE_INTERVALS);
        let frame = tokio::select! {
            command = commands.recv() => match command? {
                ListCommand::Watch(on) => ListFrame::Watch(on),
                ListCommand::Fetch => ListFrame::Fetch,
            },
            () = sleep_until(next_fetch_at.unwrap_or(silent_since)), if next_fetch_at.is_some() => {
                fetches += 1;
                if fetches >= SILENCE_INTERVALS {
                    return ended("the service did not answer in time".to_owned(), false);
                }
                ListFrame::Fetch
            }
            read = reader.read(&mut frames) => {
                (silent_since, fetches) = (Instant::now(), 0);
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
                        ListFrame::Failed { reason } => ListMessage::Unavailable(reason),
                        ListFrame::Bye { reason } => return ended(reason, false),
                        _ => return ended("unexpected frame".to_owned(), false),
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
        let write_timeout = confirm.unwrap_or(WRITE_TIMEOUT);
        match timeout(write_timeout, writer.write_all(&bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return ended(error.to_string(), false),
            Err(_) => return ended("write timed out".to_owned(), false),
        }
    }
}
