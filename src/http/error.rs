//! Errors of the HTTP/1.1 codec.

use snafu::Snafu;

/// Why a message's head or body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HttpError {
    /// The start line or a header line is malformed.
    #[snafu(display("malformed head"))]
    Head,
    /// The status of a response is none of HTTP.
    #[snafu(display("invalid status"))]
    Status,
    /// The head has more bytes or lines than allowed.
    #[snafu(display("head too large"))]
    HeadTooLarge,
    /// The headers don't determine the body's length, or contradict each other.
    #[snafu(display("ambiguous body length"))]
    Framing,
    /// A chunk is malformed.
    #[snafu(display("malformed chunk"))]
    Chunk,
    /// The body is longer than allowed.
    #[snafu(display("body too large"))]
    BodyTooLarge,
    /// The connection was closed before the message was complete.
    #[snafu(display("message broke off"))]
    Truncated,
}
