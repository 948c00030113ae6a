//! Heads of HTTP/1.1 messages, in both directions.

use crate::body::Framing;
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Bytes of a head: the platform's own take a few hundred.
pub const MOST_HEAD: usize = 8 * 1024;
/// Lines of a head.
const MOST_HEADERS: usize = 64;

/// Why a head can't be used. Whoever sent it is cut off: where its message ends is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    #[error("no HTTP/1.1 head")]
    Unreadable,
    #[error("a head of more than {MOST_HEAD} bytes")]
    TooLong,
    #[error("a length that can't be told")]
    Length,
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    pub framing: Framing,
    /// The sender closes after this message.
    pub close: bool,
    headers: Headers,
}

/// An answer's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    pub status: u16,
    pub framing: Framing,
    pub close: bool,
    headers: Headers,
}

/// Header lines, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Headers(Vec<(String, String)>);

/// The one value of a header, if there is just one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum One<'h> {
    None,
    One(&'h str),
    Many,
}

impl Headers {
    fn take(lines: &[httparse::Header<'_>]) -> Result<Headers, HeadError> {
        let text = |h: &httparse::Header<'_>| {
            // Bytes beyond text are nobody's header value here.
            let value = std::str::from_utf8(h.value).map_err(|_| HeadError::Unreadable)?;
            Ok((h.name.to_owned(), value.trim().to_owned()))
        };
        lines.iter().map(text).collect::<Result<Vec<_>, _>>().map(Headers)
    }

    fn all<'h>(&'h self, name: &'h str) -> impl Iterator<Item = &'h str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    fn one<'h>(&'h self, name: &'h str) -> One<'h> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (None, _) => One::None,
            (Some(value), None) => One::One(value),
            _ => One::Many,
        }
    }

    fn closes(&self) -> bool {
        let words = self.all("connection").flat_map(|value| value.split(','));
        words.map(str::trim).any(|word| word.eq_ignore_ascii_case("close"))
    }

    /// How the body ends, if the head says so. Both ways at once may hide a second message in the first.
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        match (self.one("content-length"), self.one("transfer-encoding")) {
            (One::None, One::None) => Ok(None),
            (One::One(digits), One::None) => {
                let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
                let length = digits.parse().ok().filter(|_| plain).ok_or(HeadError::Length)?;
                Ok(Some(Framing::Length(length)))
            }
            (One::None, One::One(coding)) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(HeadError::Length),
        }
    }
}

impl RequestHead {
    pub fn one<'h>(&'h self, name: &'h str) -> One<'h> {
        self.headers.one(name)
    }
}

impl AnswerHead {
    /// Another head follows for the same request.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// The first value of a header.
    pub fn first<'h>(&'h self, name: &'h str) -> Option<&'h str> {
        self.headers.all(name).next()
    }
}

/// Length of a head, by what was seen of it; `None` while it is not whole.
fn head_length(
    seen: httparse::Result<usize>,
    there: usize,
    version: Option<u8>,
) -> Result<Option<usize>, HeadError> {
    match seen {
        Ok(httparse::Status::Complete(length)) if version == Some(1) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if there < MOST_HEAD => Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLong),
        Ok(httparse::Status::Complete(_)) | Err(_) => Err(HeadError::Unreadable),
    }
}

/// Takes a request's head off the front of what has come; `None` while it is not whole.
///
/// # Errors
/// When no more bytes can make it a head that is understood.
pub fn take_request(bytes: &mut BytesMut) -> Result<Option<RequestHead>, HeadError> {
    skip_blank_lines(bytes);
    let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let seen = parsed.parse(&bytes[..bytes.len().min(MOST_HEAD)]);
    let Some(length) = head_length(seen, bytes.len(), parsed.version)? else { return Ok(None) };
    let headers = Headers::take(parsed.headers)?;
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        framing: headers.framing()?.unwrap_or(Framing::Length(0)),
        close: headers.closes(),
        headers,
    };
    bytes.advance(length);
    Ok(Some(head))
}

/// Takes an answer's head off the front of what has come; `None` while it is not whole.
///
/// # Errors
/// As for [`take_request`].
pub fn take_answer(bytes: &mut BytesMut) -> Result<Option<AnswerHead>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    // A load report that can't be read says nothing; the answer that it came with stands.
    let mut lenient = httparse::ParserConfig::default();
    lenient.ignore_invalid_headers_in_responses(true);
    let seen = lenient.parse_response(&mut parsed, &bytes[..bytes.len().min(MOST_HEAD)]);
    let Some(length) = head_length(seen, bytes.len(), parsed.version)? else { return Ok(None) };
    let status = parsed.code.unwrap_or_default();
    let text =
        |h: &httparse::Header<'_>| (h.name.to_owned(), String::from_utf8_lossy(h.value).trim().to_owned());
    let headers = Headers(parsed.headers.iter().map(text).collect());
    let bodiless = status < 200 || status == 204 || status == 304;
    let framing = match headers.framing()? {
        _ if bodiless => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let close = headers.closes() || framing == Framing::UntilClose;
    bytes.advance(length);
    Ok(Some(AnswerHead { status, framing, close, headers }))
}

/// Some clients end a body with a line too many.
fn skip_blank_lines(bytes: &mut BytesMut) {
    while bytes.starts_with(b"\r\n") {
        bytes.advance(2);
    }
}

/// A whole answer with a short text.
pub fn answer(status: u16, extra: &[(&str, String)], text: &str, close: bool) -> Bytes {
    let mut out = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
        reason(status),
        text.len()
    );
    extra.iter().for_each(|(name, value)| out.push_str(&format!("{name}: {value}\r\n")));
    out.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
    out.push_str(text);
    Bytes::from(out)
}

/// The head of a stream of events in chunks.
pub fn stream_head(close: bool) -> &'static [u8] {
    match close {
        false => b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        true => {
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        }
    }
}

fn reason(status: u16) -> &'static str {
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
