//! A connection to the discovery service.

use super::error::DiscoveryError;
use super::CONNECT_TIMEOUT;
use crate::buffered_socket::{BufferMemory, BufferedSocket};
use crate::transient_errors::write_all;
use gaparch_platform_protocol::body::{BodyDecoder, BodyPart};
use gaparch_platform_protocol::endpoint_list::{EndpointList, EndpointListParser, ListLimits};
use gaparch_platform_protocol::head::ResponseHead;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

const STATUS_OK: u16 = 200;
/// Bytes of a list that are parsed before yielding to other tasks.
const YIELD_AFTER_BYTES: usize = 64 * 1024;

/// A connection that carries one request at a time.
pub(super) struct DiscoveryConnection {
    socket: BufferedSocket,
}

impl DiscoveryConnection {
    /// Connects to the service.
    ///
    /// # Errors
    /// Returns an error if no connection is established within [`CONNECT_TIMEOUT`].
    pub async fn open(
        service: SocketAddr,
        buffer_memory: BufferMemory,
    ) -> Result<DiscoveryConnection, DiscoveryError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(service)).await;
        let stream =
            connecting.map_err(|_| DiscoveryError::ConnectTimeout)?.map_err(DiscoveryError::Connect)?;
        Ok(DiscoveryConnection { socket: BufferedSocket::new(stream, buffer_memory) })
    }

    /// Sends a request and reads the list in its response.
    ///
    /// # Errors
    /// Returns an error if the connection breaks, or the response is not a list within the limits.
    pub async fn request(
        &mut self,
        request: &str,
        limits: ListLimits,
    ) -> Result<EndpointList, DiscoveryError> {
        write_all(&self.socket.stream, &mut request.as_bytes()).await.map_err(DiscoveryError::Write)?;
        let head = self.socket.read_response_head().await?;
        if head.status != STATUS_OK {
            return Err(DiscoveryError::Status(head.status));
        }
        self.read_list(&head, limits).await
    }

    /// Parses a list as its bytes arrive, without buffering the whole text.
    async fn read_list(
        &mut self,
        head: &ResponseHead,
        limits: ListLimits,
    ) -> Result<EndpointList, DiscoveryError> {
        let mut decoder = BodyDecoder::with_max_chunk(head.framing, limits.bytes);
        let mut parser = EndpointListParser::new(limits);
        let mut bytes_since_yield = 0;
        loop {
            match decoder.decode(&mut self.socket.buffer)? {
                BodyPart::Data(data) => {
                    parser.push(&data)?;
                    bytes_since_yield += data.len();
                }
                BodyPart::End => break,
                BodyPart::Incomplete if self.socket.read_more().await => {}
                BodyPart::Incomplete if decoder.ends_with_connection() => break,
                BodyPart::Incomplete => return Err(DiscoveryError::ListCutOff),
            }
            if bytes_since_yield >= YIELD_AFTER_BYTES {
                bytes_since_yield = 0;
                tokio::task::yield_now().await;
            }
        }
        self.socket.shrink_buffer();
        Ok(parser.finish()?)
    }
}
