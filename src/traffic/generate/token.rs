//! The resume token, which names the engine that holds a stream and the tokens that the caller has. It is the
//! id of every event sent to a caller.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::controllers::slots::RequestId;
use crate::settings::SharedKey;
use crate::traffic::request::GenerateWork;

/// The first field of a token; identifies the format.
const FORMAT: &str = "r1";

/// Separates the fields of a token.
const SEPARATOR: char = '|';

/// Length of the truncated MAC at the end of a token, in bytes.
const CODE_BYTES: usize = 12;

/// The position at which a stream can be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// The name of the decode engine that holds the stream.
    pub engine: Arc<str>,
    /// The id of the attempt that the engine runs.
    pub request: RequestId,
    /// The index of the first token that the caller does not have.
    pub next_offset: u32,
}

/// Encodes the resume tokens of one attempt; their shared part is encoded and hashed once.
pub struct TokenEncoder {
    head: String,
    mac: Hmac<Sha256>,
}

impl TokenEncoder {
    /// Creates an encoder for the resume tokens of one attempt.
    pub fn new(engine: &str, request: &str, work: &GenerateWork, secret: &SharedKey) -> Self {
        let head = format!("{FORMAT}{SEPARATOR}{engine}{SEPARATOR}{request}{SEPARATOR}");
        let mut mac = token_mac(work, secret);
        mac.update(head.as_bytes());
        Self { head, mac }
    }

    /// The resume token for a caller that has the first `next_offset` tokens.
    pub fn encode(&self, next_offset: u32) -> String {
        let mut mac = self.mac.clone();
        let offset = next_offset.to_string();
        mac.update(offset.as_bytes());
        let code = mac.finalize().into_bytes();
        format!(
            "{}{offset}{SEPARATOR}{}",
            self.head,
            hex::encode(&code[..CODE_BYTES])
        )
    }
}

/// The MAC of a token, keyed by the shared key and bound to the request's workspace and content.
fn token_mac(work: &GenerateWork, secret: &SharedKey) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(b"resume-token");
    mac.update(&(work.workspace.len() as u64).to_be_bytes());
    mac.update(work.workspace.as_bytes());
    mac.update(&work.features.content().to_be_bytes());
    mac
}

impl ResumeToken {
    /// Decodes a token; `None` if it was not issued for this request by this deployment.
    pub fn decode(text: &str, work: &GenerateWork, secret: &SharedKey) -> Option<Self> {
        let (fields, code) = text.rsplit_once(SEPARATOR)?;
        let code = hex::decode(code).ok().filter(|code| code.len() == CODE_BYTES)?;
        let mut mac = token_mac(work, secret);
        mac.update(fields.as_bytes());
        mac.verify_truncated_left(&code).ok()?;
        let mut parts = fields.split(SEPARATOR);
        if parts.next()? != FORMAT {
            return None;
        }
        let token = Self {
            engine: parts.next()?.into(),
            request: parts.next()?.into(),
            next_offset: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(token)
    }
}
