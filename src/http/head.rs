//! Heads of requests and responses.

use std::ops::RangeInclusive;

use httparse::{EMPTY_HEADER, Header, Status};

use super::{HeaderList, HttpError};

/// The most header lines of a head; more are rejected.
const MAX_LINES: usize = 128;

/// The statuses of HTTP.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The status that answers a request for an upgrade.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Limits of a message head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// The most bytes, including the empty line that ends the head.
    pub max_bytes: usize,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method, as sent.
    pub method: String,
    /// The path and query, as sent.
    pub target: String,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header lines, in their original order and spelling.
    pub headers: HeaderList,
}

impl RequestHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of the `Host` header, in lowercase and without a port.
    pub fn host(&self) -> Option<String> {
        let host = self.headers.text("host")?.trim();
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => host,
        };
        Some(name.to_ascii_lowercase())
    }

    /// Whether the client keeps the connection open after the response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.is_http11, &self.headers)
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header lines, in their original order and spelling.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Whether the server keeps the connection open for another request.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.is_http11, &self.headers)
    }

    /// Whether this is an interim (1xx) response, which is followed by another one.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

fn keeps_connection(is_http11: bool, headers: &HeaderList) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    is_http11 || headers.has_token("connection", "keep-alive")
}

/// Parses a request's head at the start of `bytes`. Returns the head and its length, or `None` while it is
/// incomplete.
pub fn parse_request(bytes: &[u8], limits: HeadLimits) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut lines = [EMPTY_HEADER; MAX_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let length = match request.parse(bytes).map_err(to_error)? {
        Status::Complete(length) => length,
        Status::Partial => return check_partial(bytes, limits),
    };
    check_head(&bytes[..length], limits)?;
    let target = request.path.ok_or(HttpError::Head)?;
    let head = RequestHead {
        method: request.method.ok_or(HttpError::Head)?.to_owned(),
        target: origin_form(target)?.to_owned(),
        is_http11: request.version == Some(1),
        headers: copy_headers(request.headers),
    };
    if head.headers.all("host").count() > 1 || (head.is_http11 && !head.headers.contains("host")) {
        return Err(HttpError::Head);
    }
    Ok(Some((head, length)))
}

/// Parses a response's head at the start of `bytes`. Returns the head and its length, or `None` while it is
/// incomplete.
///
/// # Errors
///
/// If the head is malformed or too large, or its status is not one of 100 to 599 (RFC 9110, section 15) or is 101, as no
/// request asks for an upgrade.
pub fn parse_response(bytes: &[u8], limits: HeadLimits) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut lines = [EMPTY_HEADER; MAX_LINES];
    let mut response = httparse::Response::new(&mut lines);
    let length = match response.parse(bytes).map_err(to_error)? {
        Status::Complete(length) => length,
        Status::Partial => return check_partial(bytes, limits),
    };
    check_head(&bytes[..length], limits)?;
    let status = response.code.ok_or(HttpError::Head)?;
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HttpError::Status);
    }
    let head = ResponseHead {
        status,
        is_http11: response.version == Some(1),
        headers: copy_headers(response.headers),
    };
    Ok(Some((head, length)))
}

/// The path and query of a request target, without the scheme and host of the absolute form that clients send
/// to proxies.
fn origin_form(target: &str) -> Result<&str, HttpError> {
    if target.starts_with('/') {
        return Ok(target);
    }
    let (_, rest) = target.split_once("://").ok_or(HttpError::Head)?;
    rest.find('/').map(|start| &rest[start..]).ok_or(HttpError::Head)
}

fn copy_headers(lines: &[Header<'_>]) -> HeaderList {
    let bytes = lines.iter().map(|line| line.name.len() + line.value.len()).sum();
    let mut headers = HeaderList::with_capacity(lines.len(), bytes);
    for line in lines {
        headers.push(line.name, line.value);
    }
    headers
}

fn check_partial<T>(bytes: &[u8], limits: HeadLimits) -> Result<Option<T>, HttpError> {
    check_head(bytes, limits)?;
    Ok(None)
}

/// Rejects heads that are too long or have a bare line feed.
///
/// `httparse` accepts a bare line feed as the end of a line. A proxy must not, since the next server may
/// split the message differently.
fn check_head(head: &[u8], limits: HeadLimits) -> Result<(), HttpError> {
    if head.len() > limits.max_bytes {
        return Err(HttpError::HeadTooLarge);
    }
    let has_bare_line_feed = head
        .iter()
        .enumerate()
        .any(|(at, byte)| *byte == b'\n' && (at == 0 || head[at - 1] != b'\r'));
    if has_bare_line_feed {
        Err(HttpError::Head)
    } else {
        Ok(())
    }
}

fn to_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        _ => HttpError::Head,
    }
}
