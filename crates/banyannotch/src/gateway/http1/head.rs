//! Parsing of request and response heads.

use bytes::{Buf, BytesMut};

use super::body::Framing;
use super::{HttpError, Result};

/// Maximum number of headers in a head.
const HEADER_COUNT_LIMIT: usize = 64;
/// Status codes that HTTP has. RFC 9110, section 15, calls all other values invalid and lets a client treat them as server errors.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// Header names and values in the order in which they were received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a header. Names are compared case-insensitively.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(header, _)| header.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the names and values of all headers.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns whether the comma-separated list in a header contains the given item, compared
    /// case-insensitively.
    pub fn list_contains(&self, name: &str, item: &str) -> bool {
        self.iter()
            .filter(|(header, _)| header.eq_ignore_ascii_case(name))
            .flat_map(|(_, value)| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(item))
    }

    fn parse(parsed: &[httparse::Header<'_>]) -> Result<Self> {
        let mut headers = Vec::with_capacity(parsed.len());
        for header in parsed {
            let value = std::str::from_utf8(header.value)
                .map_err(|_| HttpError::Malformed("a header value is not UTF-8"))?;
            headers.push((header.name.to_owned(), value.trim().to_owned()));
        }
        Ok(Self(headers))
    }

    /// Returns the framing that the headers specify, or `None` when they specify none.
    fn framing(&self) -> Result<Option<Framing>> {
        let mut lengths = self.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length = lengths.next().map(|(_, value)| value);
        if lengths.next().is_some() {
            return Err(HttpError::Malformed("more than one content-length"));
        }
        if let Some(coding) = self.get("transfer-encoding") {
            if length.is_some() || !coding.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::Malformed("unusable transfer-encoding"));
            }
            return Ok(Some(Framing::Chunked));
        }
        let Some(length) = length else { return Ok(None) };
        if length.is_empty() || !length.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(HttpError::Malformed("content-length is no number"));
        }
        let length = length.parse().map_err(|_| HttpError::Malformed("content-length is no number"))?;
        Ok(Some(Framing::Length(length)))
    }
}

/// Head of an HTTP request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Whether the version is HTTP/1.1, in which a connection stays open unless a header says otherwise.
    pub persistent: bool,
    /// Headers.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns whether the sender wants to keep the connection open after the response.
    pub fn keeps_alive(&self) -> bool {
        self.persistent && !self.headers.list_contains("connection", "close")
    }

    /// Returns the framing of the body. A request without framing headers has no body.
    ///
    /// # Errors
    /// Returns [`HttpError::Malformed`] when the framing headers are invalid or contradict each other.
    pub fn framing(&self) -> Result<Framing> {
        Ok(self.headers.framing()?.unwrap_or(Framing::Length(0)))
    }
}

/// Head of an HTTP response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Whether the version is HTTP/1.1, in which a connection stays open unless a header says otherwise.
    pub persistent: bool,
    /// Headers.
    pub headers: Headers,
}

impl ResponseHead {
    /// Returns whether the server keeps the connection open after the response.
    pub fn keeps_alive(&self) -> bool {
        self.persistent && !self.headers.list_contains("connection", "close")
    }

    /// Returns the framing of the body. Responses with status 1xx, 204 or 304 have no body.
    ///
    /// # Errors
    /// Returns [`HttpError::Malformed`] when the framing headers are invalid or contradict each other.
    pub fn framing(&self) -> Result<Framing> {
        if matches!(self.status, 100..200 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self.headers.framing()?.unwrap_or(Framing::UntilClose))
    }

    /// Returns the idle timeout that the server announces in a `Keep-Alive` header, in milliseconds.
    pub fn keep_alive_timeout_ms(&self) -> Option<u64> {
        let value = self.headers.get("keep-alive")?;
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        Some(seconds.parse::<u64>().ok()?.saturating_mul(1_000))
    }
}

/// Removes a request head from the front of the buffer. Returns `None` while it is incomplete.
///
/// # Errors
/// Returns [`HttpError::Malformed`] when the bytes are not a request head, and [`HttpError::HeadTooLarge`]
/// when it is larger than `limit_bytes` or has too many headers.
pub fn parse_request(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<RequestHead>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_COUNT_LIMIT];
    let mut request = httparse::Request::new(&mut headers);
    let (head, size) = match request.parse(buffer) {
        Ok(httparse::Status::Partial) if buffer.len() > limit_bytes => {
            return Err(HttpError::HeadTooLarge(limit_bytes));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(size)) if size > limit_bytes => {
            return Err(HttpError::HeadTooLarge(limit_bytes));
        }
        Ok(httparse::Status::Complete(size)) => {
            let head = RequestHead {
                method: request.method.unwrap_or_default().to_owned(),
                target: request.path.unwrap_or_default().to_owned(),
                persistent: request.version == Some(1),
                headers: Headers::parse(request.headers)?,
            };
            (head, size)
        }
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge(limit_bytes)),
        Err(_) => return Err(HttpError::Malformed("request head")),
    };
    buffer.advance(size);
    Ok(Some(head))
}

/// Removes a response head from the front of the buffer. Returns `None` while it is incomplete.
///
/// The size is checked only while the head is incomplete; a complete head in the buffer may exceed
/// `limit_bytes`.
///
/// # Errors
/// Returns [`HttpError::Malformed`] when the bytes are not a response head or there are too many headers, and
/// [`HttpError::HeadTooLarge`] when more than `limit_bytes` are buffered without its end.
pub fn parse_response(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<ResponseHead>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_COUNT_LIMIT];
    let mut response = httparse::Response::new(&mut headers);
    let (head, size) = match response.parse(buffer) {
        Ok(httparse::Status::Partial) if buffer.len() > limit_bytes => {
            return Err(HttpError::HeadTooLarge(limit_bytes));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(size)) => {
            let status = response.code.filter(|status| STATUSES.contains(status));
            let head = ResponseHead {
                status: status.ok_or(HttpError::Malformed("status that HTTP does not have"))?,
                reason: response.reason.unwrap_or_default().to_owned(),
                persistent: response.version == Some(1),
                headers: Headers::parse(response.headers)?,
            };
            (head, size)
        }
        Err(_) => return Err(HttpError::Malformed("answer head")),
    };
    buffer.advance(size);
    Ok(Some(head))
}

/// Writes one chunk of a chunked body. `data` must not be empty, since an empty chunk would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    write_chunk_size(data.len(), out);
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the line before a chunk of a chunked body, whose data and empty line follow.
pub fn write_chunk_size(size_bytes: usize, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("{size_bytes:x}\r\n").as_bytes());
}
