//! Reads and checks what callers send.

use std::sync::Arc;

use async_std::future::timeout;
use futures::AsyncReadExt;
use http_types::Request;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::TrafficContext;
use crate::blackboard::{Fingerprint, hash_parts};
use crate::clock;
use crate::prelude::*;
use crate::runtime::Snapshot;

/// The most tokens that one request may generate.
const MAX_TOKENS_LIMIT: u32 = 100_000;

/// When to come back to a node that has no register yet, in milliseconds.
const NO_REGISTER_RETRY_MS: u64 = 500;

/// The body of a generation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateBody {
    /// The customer.
    pub workspace: String,
    /// The model.
    pub model: String,
    /// The class of work.
    pub class: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// When the answer must be whole, in milliseconds since the epoch.
    pub deadline_ms: Option<u64>,
    /// Makes sampling repeatable; greedy decoding where it is missing.
    pub seed: Option<u64>,
}

/// The body of a call to a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// The customer.
    pub workspace: String,
    /// The plain service.
    pub service: String,
    /// The operation.
    pub operation: String,
    /// What the service receives.
    pub payload: serde_json::Value,
    /// The idempotency key, for operations that must run only once.
    pub key: Option<String>,
    /// When the answer must be there, in milliseconds since the epoch.
    pub deadline_ms: Option<u64>,
}

/// The body of a request for an idempotency key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyBody {
    /// The customer.
    pub workspace: String,
    /// The plain service.
    pub service: String,
    /// The operation.
    pub operation: String,
    /// The caller's own name for the operation.
    pub name: Option<String>,
    /// When the call must have started, in milliseconds since the epoch.
    pub deadline_ms: Option<u64>,
}

/// The body of a revocation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevokeBody {
    /// The customer.
    pub workspace: String,
    /// The plain service.
    pub service: String,
    /// The operation.
    pub operation: String,
    /// The idempotency key.
    pub key: String,
}

/// The body of a cancellation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// The last event id that was received.
    pub token: String,
    /// The request as it was sent to /v1/generate.
    pub request: GenerateBody,
}

/// Reads a request's body into a checked value.
pub async fn read_json<T: DeserializeOwned>(
    context: &TrafficContext,
    request: &mut Request,
) -> Result<T, RefusalNotice> {
    let limit_bytes = context.settings.body_limit_bytes;
    let expected = request.len();
    if expected.is_some_and(|length| length > limit_bytes) {
        return Err(too_large(limit_bytes));
    }
    let body = request.take_body();
    let mut bytes = Vec::new();
    let limit = clock::now().remaining(clock::now().after_ms(context.settings.read_limit_ms));
    let mut limited = body.take(limit_bytes as u64 + 1);
    match timeout(limit, limited.read_to_end(&mut bytes)).await {
        Err(_) => return Err(RefusalNotice::new(ResultCode::BodyTooSlow, "")),
        Ok(Err(error)) => return Err(RefusalNotice::new(ResultCode::BodyBroken, error.to_string())),
        Ok(Ok(_)) => {}
    }
    if bytes.len() > limit_bytes {
        return Err(too_large(limit_bytes));
    }
    if expected.is_some_and(|length| length != bytes.len()) {
        return Err(RefusalNotice::new(
            ResultCode::BodyBroken,
            "the body is shorter than its stated length",
        ));
    }
    serde_json::from_slice(&bytes).map_err(|error| RefusalNotice::new(ResultCode::BadJson, error.to_string()))
}

fn too_large(limit_bytes: usize) -> RefusalNotice {
    RefusalNotice::new(
        ResultCode::BodyTooLarge,
        format!("the limit is {limit_bytes} bytes"),
    )
}

/// Turns a caller's deadline into one of this process's clock.
pub fn check_deadline(deadline_epoch_ms: Option<u64>) -> Result<(u64, Moment), RefusalNotice> {
    let Some(epoch_ms) = deadline_epoch_ms else {
        return Err(RefusalNotice::new(ResultCode::MissingDeadline, ""));
    };
    match clock::moment_from_epoch(epoch_ms) {
        Some(deadline) => Ok((epoch_ms, deadline)),
        None => Err(RefusalNotice::new(
            ResultCode::DeadlinePassed,
            format!("deadline_ms is {epoch_ms} and it is {}", clock::epoch_ms()),
        )),
    }
}

/// Checks that a workspace is known to a register that is there.
pub fn check_workspace(snapshot: &Snapshot, workspace: &str) -> Result<(), RefusalNotice> {
    if snapshot.revision == 0 {
        let notice = RefusalNotice::new(ResultCode::NoRegister, "");
        return Err(notice.retry_after_ms(NO_REGISTER_RETRY_MS));
    }
    if snapshot.register.has_workspace(workspace) {
        return Ok(());
    }
    Err(RefusalNotice::new(ResultCode::UnknownWorkspace, workspace))
}

/// A generation that was checked.
#[derive(Clone, Debug)]
pub struct GenerateWork {
    /// The customer.
    pub workspace: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The class of work.
    pub class: Arc<str>,
    /// Whether others go first while it waits.
    pub may_wait: bool,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Makes sampling repeatable on every engine.
    pub seed: u64,
    /// A hash of the content.
    pub fingerprint: Fingerprint,
    /// When the answer must be whole.
    pub deadline: Moment,
}

impl GenerateWork {
    /// Checks a generation against the register.
    pub fn check(body: GenerateBody, snapshot: &Snapshot) -> Result<Self, RefusalNotice> {
        check_workspace(snapshot, &body.workspace)?;
        let register = &snapshot.register;
        let class = register
            .class(&body.class)
            .ok_or_else(|| RefusalNotice::new(ResultCode::UnknownClass, body.class.clone()))?;
        if !register.has_model(&body.model) {
            return Err(RefusalNotice::new(ResultCode::UnknownModel, body.model));
        }
        if body.max_tokens == 0 || body.max_tokens > MAX_TOKENS_LIMIT {
            let detail = format!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}");
            return Err(RefusalNotice::new(ResultCode::BadJson, detail));
        }
        let (_, deadline) = check_deadline(body.deadline_ms)?;
        let fingerprint = fingerprint(&body);
        Ok(Self {
            workspace: body.workspace.into(),
            model: body.model.into(),
            class: body.class.into(),
            may_wait: class.may_wait,
            prompt_tokens: body.prompt.split_ascii_whitespace().count() as u32,
            prompt: body.prompt.into(),
            max_tokens: body.max_tokens,
            seed: body.seed.unwrap_or_default(),
            fingerprint,
            deadline,
        })
    }
}

fn fingerprint(body: &GenerateBody) -> Fingerprint {
    let seed = body.seed.unwrap_or_default().to_be_bytes();
    let max_tokens = body.max_tokens.to_be_bytes();
    hash_parts(&[
        body.workspace.as_bytes(),
        body.model.as_bytes(),
        &seed,
        &max_tokens,
        body.prompt.as_bytes(),
    ])
}
