//! A sans-IO codec for HTTP/1.1 that preserves heads and bodies byte for byte.
//!
//! Paths, queries and bodies must reach upstreams exactly as callers sent them, and a body that ends with its
//! connection must be distinguished from a truncated one. `httparse` parses the heads; this module adds the
//! checks that it lacks.

mod body;
mod error;
mod framing;
mod head;
mod header;
mod writer;

pub use body::{BodyDecoder, BodyStep};
pub use error::HttpError;
pub use framing::{BodyFraming, frame_request, frame_response, has_body};
pub use head::{HeadLimits, RequestHead, ResponseHead, parse_request, parse_response};
pub use header::{HeaderList, is_hop_by_hop};
pub use writer::{CONTINUE_RESPONSE, HeadWriter, LAST_CHUNK, write_chunk};
