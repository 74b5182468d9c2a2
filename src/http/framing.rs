//! Determines from a message's head how its body is delimited.

use super::{HeaderList, HttpError, RequestHead, ResponseHead};

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed in an orderly way.
    UntilClose,
}

impl BodyFraming {
    /// Returns the word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunks",
            Self::UntilClose => "close",
        }
    }
}

/// The framing of a request's body.
///
/// Ambiguous framing is rejected to prevent request smuggling: the next server could take the rest of the
/// body for another request.
pub fn frame_request(head: &RequestHead) -> Result<BodyFraming, HttpError> {
    let length = content_length(&head.headers)?;
    match (is_chunked(&head.headers)?, length) {
        (true, None) if head.is_http11 => Ok(BodyFraming::Chunked),
        (true, _) => Err(HttpError::Framing),
        (false, None | Some(0)) => Ok(BodyFraming::Empty),
        (false, Some(length)) => Ok(BodyFraming::Length(length)),
    }
}

/// Whether a response with this status to a request with this method may have a body.
pub fn has_body(method: &str, status: u16) -> bool {
    method != "HEAD" && !matches!(status, 100..200 | 204 | 304)
}

/// The framing of the body of a response to a request with the given method.
pub fn frame_response(head: &ResponseHead, method: &str) -> Result<BodyFraming, HttpError> {
    if !has_body(method, head.status) {
        return Ok(BodyFraming::Empty);
    }
    let length = content_length(&head.headers)?;
    match (is_chunked(&head.headers)?, length) {
        (true, None) => Ok(BodyFraming::Chunked),
        (true, Some(_)) => Err(HttpError::Framing),
        (false, Some(0)) => Ok(BodyFraming::Empty),
        (false, Some(length)) => Ok(BodyFraming::Length(length)),
        (false, None) => Ok(BodyFraming::UntilClose),
    }
}

fn content_length(headers: &HeaderList) -> Result<Option<u64>, HttpError> {
    let mut values = headers.all("content-length");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::Framing);
    }
    let text = std::str::from_utf8(value).map_err(|_| HttpError::Framing)?;
    text.parse().map(Some).map_err(|_| HttpError::Framing)
}

fn is_chunked(headers: &HeaderList) -> Result<bool, HttpError> {
    let mut values = headers.all("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_only_chunked = value.eq_ignore_ascii_case(b"chunked") && values.next().is_none();
    if is_only_chunked {
        Ok(true)
    } else {
        Err(HttpError::Framing)
    }
}
