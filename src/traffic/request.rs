//! Reads and validates the bodies of callers' requests.

use std::sync::Arc;

use async_std::future::timeout;
use futures::AsyncReadExt;
use http_types::Request;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::TrafficContext;
use crate::blackboard::{FeatureSet, RequestFeature, hash_parts};
use crate::clock;
use crate::controllers::slots::{BLOCK_TOKENS, hash_prefix};
use crate::prelude::*;
use crate::runtime::Snapshot;

/// Limit for the tokens that one request may generate.
const MAX_TOKENS_LIMIT: u32 = 100_000;

/// Retry-After of a node that has no register yet, in milliseconds.
const NO_REGISTER_RETRY_MS: u64 = 500;

/// The body of a request to `/v1/generate`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateBody {
    /// The workspace of the caller.
    pub workspace: String,
    /// The name of the model.
    pub model: String,
    /// The name of the register's class of work.
    pub class: String,
    /// The prompt; its words count as tokens.
    pub prompt: String,
    /// Limit for generated tokens.
    pub max_tokens: u32,
    /// When the answer must be complete, in milliseconds since the epoch; required.
    pub deadline_ms: Option<u64>,
    /// Seed for repeatable sampling; greedy decoding if missing.
    pub seed: Option<u64>,
}

/// The body of a request to `/v1/call`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// The workspace of the caller.
    pub workspace: String,
    /// The name of the plain service.
    pub service: String,
    /// The name of the service's operation.
    pub operation: String,
    /// The body that is sent to the service.
    pub payload: serde_json::Value,
    /// The idempotency key; required for operations that must run only once.
    pub key: Option<String>,
    /// When the answer must have arrived, in milliseconds since the epoch; required.
    pub deadline_ms: Option<u64>,
}

/// The body of a request to `/v1/keys`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyBody {
    /// The workspace of the caller.
    pub workspace: String,
    /// The name of the plain service.
    pub service: String,
    /// The name of the service's operation.
    pub operation: String,
    /// The caller's own name for the call; a repeated request with this name gets the same key.
    pub name: Option<String>,
    /// When the call must have started, in milliseconds since the epoch; required.
    pub deadline_ms: Option<u64>,
}

/// The body of a request to `/v1/keys/revoke`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RevokeBody {
    /// The workspace of the caller.
    pub workspace: String,
    /// The name of the plain service.
    pub service: String,
    /// The name of the service's operation.
    pub operation: String,
    /// The idempotency key as it was issued.
    pub key: String,
}

/// The body of a request to `/v1/cancel`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// The last event id that the caller received.
    pub token: String,
    /// The request as it was sent to /v1/generate.
    pub request: GenerateBody,
}

/// Reads a request's body as JSON, within the limits for its size and reading time.
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

/// Converts a caller's deadline to this process's clock; returns both. Refuses a missing or passed deadline.
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

/// Checks that a register has been received and that it contains the workspace.
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

/// A generation that was validated against the register.
#[derive(Clone, Debug)]
pub struct GenerateWork {
    /// The workspace of the caller.
    pub workspace: Arc<str>,
    /// The name of the model.
    pub model: Arc<str>,
    /// The name of the register's class of work.
    pub class: Arc<str>,
    /// Whether requests of classes that may not wait are served before it.
    pub may_wait: bool,
    /// The prompt's text.
    pub prompt: Arc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Limit for generated tokens.
    pub max_tokens: u32,
    /// Seed for sampling, which makes the answer the same on every engine; zero if the caller sent none.
    pub seed: u64,
    /// What other requests may have in common with this one: the content that determines the answer, without
    /// class and deadline, and the leading blocks of its prompt.
    pub features: FeatureSet,
    /// When the answer must be complete.
    pub deadline: Moment,
}

impl GenerateWork {
    /// Validates a generation against the register.
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
        let prompt_tokens = body.prompt.split_ascii_whitespace().count() as u32;
        let features = find_features(&body, prompt_tokens);
        Ok(Self {
            workspace: body.workspace.into(),
            model: body.model.into(),
            class: body.class.into(),
            may_wait: class.may_wait,
            features,
            prompt_tokens,
            prompt: body.prompt.into(),
            max_tokens: body.max_tokens,
            seed: body.seed.unwrap_or_default(),
            deadline,
        })
    }
}

fn find_features(body: &GenerateBody, prompt_tokens: u32) -> FeatureSet {
    let seed = body.seed.unwrap_or_default().to_be_bytes();
    let max_tokens = body.max_tokens.to_be_bytes();
    let content = hash_parts(&[
        body.workspace.as_bytes(),
        body.model.as_bytes(),
        &seed,
        &max_tokens,
        body.prompt.as_bytes(),
    ]);
    let mut blocks = hash_prefix(&body.prompt);
    if blocks.len() as u32 * BLOCK_TOKENS == prompt_tokens {
        // The last block covers the whole prompt, which belongs to this request.
        blocks.pop();
    }
    let parts = blocks.iter().map(|block| block.to_be_bytes());
    FeatureSet::new(
        content,
        parts.map(|block| RequestFeature::part(&body.model, &block)),
    )
}
