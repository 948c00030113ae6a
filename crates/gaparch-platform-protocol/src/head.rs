//! Heads of HTTP/1.1 messages: decoding and encoding.

use crate::body::Framing;
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of a head in bytes; those of the platform have a few hundred.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// A line without text.
const BLANK_LINE: &[u8] = b"\r\n";
/// Maximum number of header lines in a head.
const MAX_HEADERS: usize = 64;

/// Why a head can't be decoded. The end of its message is unknown, so the connection can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes are not an HTTP/1.1 head.
    #[error("no HTTP/1.1 head")]
    Malformed,
    /// The head has too many bytes or lines.
    #[error("a head of more than {MAX_HEAD_BYTES} bytes")]
    TooLong,
    /// The framing of the body is repeated, malformed or stated in two ways.
    #[error("a length that can't be told")]
    Framing,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method as sent.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// How the end of the body is recognized.
    pub framing: Framing,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
    headers: Headers,
}

/// What is needed of a request's head while the request is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequestHead {
    /// Path and query as sent.
    pub target: String,
    /// How the end of the body is recognized.
    pub framing: Framing,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// How the end of the body is recognized.
    pub framing: Framing,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
    headers: Headers,
}

/// A header line.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Header {
    name: String,
    value: String,
}

/// Header lines in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Headers(Vec<Header>);

/// The value of a header that may occur once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderValue<'h> {
    /// The header does not occur.
    Absent,
    /// The header occurs once, with this value.
    Single(&'h str),
    /// The header occurs more than once.
    Repeated,
}

impl Headers {
    /// Converts the headers of a request, whose values must be valid UTF-8.
    fn strict(lines: &[httparse::Header<'_>]) -> Result<Headers, HeadError> {
        let mut headers = Vec::with_capacity(lines.len());
        for line in lines {
            let value = std::str::from_utf8(line.value).map_err(|_| HeadError::Malformed)?;
            headers.push(Header { name: line.name.to_owned(), value: value.trim().to_owned() });
        }
        Ok(Headers(headers))
    }

    /// Converts the headers of a response, and replaces invalid UTF-8 in their values.
    fn lenient(lines: &[httparse::Header<'_>]) -> Headers {
        let header = |line: &httparse::Header<'_>| Header {
            name: line.name.to_owned(),
            value: String::from_utf8_lossy(line.value).trim().to_owned(),
        };
        Headers(lines.iter().map(header).collect())
    }

    fn values<'h>(&'h self, name: &'h str) -> impl Iterator<Item = &'h str> {
        let named = self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_str())
    }

    fn value<'h>(&'h self, name: &'h str) -> HeaderValue<'h> {
        let mut values = self.values(name);
        match (values.next(), values.next()) {
            (None, _) => HeaderValue::Absent,
            (Some(value), None) => HeaderValue::Single(value),
            (Some(_), Some(_)) => HeaderValue::Repeated,
        }
    }

    fn closes_connection(&self) -> bool {
        let options = self.values("connection").flat_map(|value| value.split(','));
        options.map(str::trim).any(|option| option.eq_ignore_ascii_case("close"))
    }

    /// Returns how the end of the body is recognized, if the headers state it. Stating it in two ways is an
    /// error, since a second message could be hidden in the body (request smuggling).
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        match (self.value("content-length"), self.value("transfer-encoding")) {
            (HeaderValue::Absent, HeaderValue::Absent) => Ok(None),
            (HeaderValue::Single(digits), HeaderValue::Absent) => {
                let length = parse_content_length(digits)?;
                Ok(Some(Framing::Length(length)))
            }
            (HeaderValue::Absent, HeaderValue::Single(coding)) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(HeadError::Framing),
        }
    }
}

fn parse_content_length(digits: &str) -> Result<u64, HeadError> {
    // `parse` would also accept a sign.
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::Framing);
    }
    digits.parse().map_err(|_| HeadError::Framing)
}

impl RequestHead {
    /// Frees the header lines, which need more memory than the head had bytes.
    pub fn without_headers(self) -> OpenRequestHead {
        OpenRequestHead { target: self.target, framing: self.framing, close: self.close }
    }

    /// Returns the value of a header that may occur once. `name` is case-insensitive.
    pub fn header<'h>(&'h self, name: &'h str) -> HeaderValue<'h> {
        self.headers.value(name)
    }
}

impl ResponseHead {
    /// Whether this is an interim response (1xx): another head follows for the same request.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns the first value of a header. `name` is case-insensitive.
    pub fn first_value<'h>(&'h self, name: &'h str) -> Option<&'h str> {
        self.headers.values(name).next()
    }
}

/// Converts the parser's result into the length of the head; `None` while the head is incomplete.
fn head_length(
    parsed: httparse::Result<usize>,
    available: usize,
    version: Option<u8>,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if version == Some(1) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if available < MAX_HEAD_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLong),
        Ok(httparse::Status::Complete(_)) | Err(_) => Err(HeadError::Malformed),
    }
}

/// Removes the head of a request from the front of `buffer`. Returns `None` while it is incomplete.
///
/// # Errors
/// Returns an error if the head is invalid, whatever bytes follow.
pub fn decode_request(buffer: &mut BytesMut) -> Result<Option<RequestHead>, HeadError> {
    skip_blank_lines(buffer);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let parsed = request.parse(&buffer[..buffer.len().min(MAX_HEAD_BYTES)]);
    let Some(length) = head_length(parsed, buffer.len(), request.version)? else { return Ok(None) };
    let headers = Headers::strict(request.headers)?;
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        framing: headers.framing()?.unwrap_or(Framing::Length(0)),
        close: headers.closes_connection(),
        headers,
    };
    buffer.advance(length);
    Ok(Some(head))
}

/// Removes the head of a response from the front of `buffer`. Returns `None` while it is incomplete.
///
/// # Errors
/// As for [`decode_request`].
pub fn decode_response(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    // A malformed load report is ignored, and must not invalidate the response that contains it.
    let mut parser = httparse::ParserConfig::default();
    parser.ignore_invalid_headers_in_responses(true);
    let parsed = parser.parse_response(&mut response, &buffer[..buffer.len().min(MAX_HEAD_BYTES)]);
    let Some(length) = head_length(parsed, buffer.len(), response.version)? else { return Ok(None) };
    let status = response.code.unwrap_or_default();
    let headers = Headers::lenient(response.headers);
    let stated_framing = headers.framing()?;
    let framing = match stated_framing {
        _ if has_no_body(status) => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let close = headers.closes_connection() || framing == Framing::UntilClose;
    buffer.advance(length);
    Ok(Some(ResponseHead { status, framing, close, headers }))
}

/// Whether a response with this status never has a body, whatever its head states.
fn has_no_body(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// Skips blank lines before a request: some clients send an extra line terminator after a body.
fn skip_blank_lines(buffer: &mut BytesMut) {
    let blank_lines = buffer.chunks_exact(BLANK_LINE.len()).take_while(|line| *line == BLANK_LINE).count();
    buffer.advance(blank_lines * BLANK_LINE.len());
}

/// Encodes a complete response with a short text as its body, and with `headers` besides the framing ones.
pub fn encode_response(status: u16, headers: &[(&str, String)], text: &str, close: bool) -> Bytes {
    let mut out = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
        reason_phrase(status),
        text.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    out.push_str(text);
    Bytes::from(out)
}

/// Returns the head of a response that streams events as chunks.
pub fn event_stream_head(close: bool) -> &'static [u8] {
    if close {
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    } else {
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}
