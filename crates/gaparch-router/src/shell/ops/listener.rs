//! Accepts operators' connections, over TCP and on the local socket, and runs a session on each.

use super::session::{Session, SessionContext};
use gaparch_net::FrameReader;
use gaparch_protocol::ops::MAX_QUERY_BYTES;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, UnixListener};
use tokio::time::sleep;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts operators over TCP until the task is aborted.
pub(super) async fn accept_tcp(listener: TcpListener, context: Arc<SessionContext>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.set_nodelay(true);
                let (reader, writer) = socket.into_split();
                spawn_session(reader, writer, false, &context);
            }
            Err(error) => on_accept_error(&error).await,
        }
    }
}

/// Accepts operators on the local socket until the task is aborted.
pub(super) async fn accept_unix(listener: UnixListener, context: Arc<SessionContext>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let (reader, writer) = socket.into_split();
                spawn_session(reader, writer, true, &context);
            }
            Err(error) => on_accept_error(&error).await,
        }
    }
}

async fn on_accept_error(error: &std::io::Error) {
    tracing::warn!(%error, "accepting an operator's connection failed");
    sleep(ACCEPT_RETRY_DELAY).await;
}

fn spawn_session<R, W>(reader: R, writer: W, local: bool, context: &Arc<SessionContext>)
where
    R: AsyncRead + Unpin + Send + 'static,
    W: AsyncWrite + Unpin + Send + 'static,
{
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let mut session = Session::new(writer);
        let Ok(_permit) = Arc::clone(&context.sessions).try_acquire_owned() else {
            return session.close("too many sessions are open").await;
        };
        session.run(FrameReader::new(reader, MAX_QUERY_BYTES), local, &context).await;
    });
}
