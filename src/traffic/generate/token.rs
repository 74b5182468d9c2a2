//! The resume token: which engine holds the stream, and how far the caller has it.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::controllers::slots::RequestId;
use crate::settings::SharedKey;
use crate::traffic::request::GenerateWork;

/// The first field of a token; a later format gets another.
const FORMAT: &str = "r1";

/// Between the fields of a token.
const SEPARATOR: char = '|';

/// Bytes of the authentication code that a token carries.
const CODE_BYTES: usize = 12;

/// Where a stream can be taken up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// The decode engine.
    pub engine: Arc<str>,
    /// The attempt.
    pub request: RequestId,
    /// The first token that the caller does not have.
    pub next_offset: u32,
}

/// Makes the tokens of one attempt without repeating the part that they share.
pub struct TokenMaker {
    head: String,
    mac: Hmac<Sha256>,
}

impl TokenMaker {
    /// A maker for the tokens of one attempt.
    pub fn new(engine: &str, request: &str, work: &GenerateWork, secret: &SharedKey) -> Self {
        let head = format!("{FORMAT}{SEPARATOR}{engine}{SEPARATOR}{request}{SEPARATOR}");
        let mut mac = verifier(work, secret);
        mac.update(head.as_bytes());
        Self { head, mac }
    }

    /// The token of one offset.
    pub fn make(&self, next_offset: u32) -> String {
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

/// A code that holds for one workspace and one content.
fn verifier(work: &GenerateWork, secret: &SharedKey) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(b"resume-token");
    mac.update(&(work.workspace.len() as u64).to_be_bytes());
    mac.update(work.workspace.as_bytes());
    mac.update(&work.fingerprint.to_be_bytes());
    mac
}

impl ResumeToken {
    /// Reads a token, or gives `None` for one that was not made for this request by this deployment.
    pub fn decode(text: &str, work: &GenerateWork, secret: &SharedKey) -> Option<Self> {
        let (fields, code) = text.rsplit_once(SEPARATOR)?;
        let code = hex::decode(code).ok().filter(|code| code.len() == CODE_BYTES)?;
        let mut mac = verifier(work, secret);
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
