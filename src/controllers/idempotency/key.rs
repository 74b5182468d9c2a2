//! Idempotency keys. A key names the only process that may run a call and the latest time at which the call
//! may start. It is authenticated, together with its scope, with the deployment's secret.

use std::sync::Arc;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::blackboard::Incarnation;
use crate::prelude::*;
use crate::settings::SharedKey;

/// The first field of a key, which names its format.
const FORMAT: &str = "k1";

/// Separates the fields of a key.
const SEPARATOR: char = '~';

/// The length of a key's truncated authentication code, in bytes.
const CODE_BYTES: usize = 16;

/// The calls that a key is valid for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyScope {
    /// The customer's workspace.
    pub workspace: Arc<str>,
    /// The name of the plain service.
    pub service: Arc<str>,
    /// The name of the service's operation.
    pub operation: Arc<str>,
}

/// An idempotency key's fields, without the scope and the authentication code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The VM of the process that issued the key.
    pub owner: VmName,
    /// The address on which that process listens for peers.
    pub owner_address: Arc<str>,
    /// The incarnation of that process; no other one may run the call.
    pub incarnation: Incarnation,
    /// The key's number among those of its process, from zero.
    pub serial: u64,
    /// The wall-clock instant after which the call must not start, in milliseconds since the epoch.
    pub deadline_epoch_ms: u64,
}

impl IdempotencyKey {
    /// The key as text, with its authentication code.
    pub fn encode(&self, scope: &KeyScope, secret: &SharedKey) -> String {
        let fields = self.fields();
        let code = authenticate(&fields, scope, secret);
        format!("{fields}{SEPARATOR}{}", hex::encode(code))
    }

    fn fields(&self) -> String {
        format!(
            "{FORMAT}{SEPARATOR}{}{SEPARATOR}{}{SEPARATOR}{:032x}{SEPARATOR}{}{SEPARATOR}{}",
            self.owner, self.owner_address, self.incarnation, self.serial, self.deadline_epoch_ms
        )
    }

    /// Parses a key; `None` if it was not issued for this scope by this deployment.
    pub fn decode(text: &str, scope: &KeyScope, secret: &SharedKey) -> Option<Self> {
        let (fields, code) = text.rsplit_once(SEPARATOR)?;
        let code = hex::decode(code).ok()?;
        build_mac(fields, scope, secret)
            .verify_truncated_left(&code)
            .ok()?;
        if code.len() != CODE_BYTES {
            return None;
        }
        let mut parts = fields.split(SEPARATOR);
        if parts.next()? != FORMAT {
            return None;
        }
        let key = Self {
            owner: parts.next()?.into(),
            owner_address: parts.next()?.into(),
            incarnation: Incarnation::from_str_radix(parts.next()?, 16).ok()?,
            serial: parts.next()?.parse().ok()?,
            deadline_epoch_ms: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(key)
    }
}

fn build_mac(fields: &str, scope: &KeyScope, secret: &SharedKey) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    for part in [
        "idempotency-key",
        fields,
        &scope.workspace,
        &scope.service,
        &scope.operation,
    ] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part.as_bytes());
    }
    mac
}

fn authenticate(fields: &str, scope: &KeyScope, secret: &SharedKey) -> [u8; CODE_BYTES] {
    let full = build_mac(fields, scope, secret).finalize().into_bytes();
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&full[..CODE_BYTES]);
    code
}
