//! Client side of the callers' protocol: opens, reads and resumes streams, requests keys and builds calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::BufReadExt;
use http_types::Body;
use serde_json::{Value, json};

use crate::http::{self, Answer};
use crate::journal::now_ms;

/// A server-sent event as a caller receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerEvent {
    /// Kind of the event: `token` (also if none is named), `complete` or `refused`.
    pub kind: String,
    /// The resume token; empty if the event has none.
    pub id: String,
    /// The JSON data; null if it is invalid.
    pub data: Value,
}

/// The unread rest of an event stream.
pub struct CallerStream {
    body: Body,
}

/// Outcome of opening a stream.
pub enum Opened {
    /// The stream was accepted.
    Stream(CallerStream),
    /// The request was answered with an error status.
    Refused(Answer),
    /// The connection failed or the response timed out.
    NoAnswer,
}

/// The JSON body of a generate request whose deadline is `within_ms` from now.
pub fn generate_body(
    workspace: &str,
    model: &str,
    class: &str,
    prompt: &str,
    max_tokens: u32,
    within_ms: u64,
) -> Value {
    json!({
        "workspace": workspace,
        "model": model,
        "class": class,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "deadline_ms": now_ms() + within_ms,
    })
}

/// Opens a stream; with a `last_event_id` it resumes after that event.
pub async fn open_stream(address: &str, body: &Value, last_event_id: Option<&str>) -> Opened {
    let mut request = http::post_request(address, "/v1/generate", body);
    if let Some(id) = last_event_id {
        request.insert_header("last-event-id", id);
    }
    let Some(mut response) = http::open(address, request).await else {
        return Opened::NoAnswer;
    };
    if response.status().is_success() {
        return Opened::Stream(CallerStream::new(response));
    }
    let retry_after = response
        .header("retry-after")
        .and_then(|values| values.last().as_str().parse().ok());
    let body = response.body_json().await.unwrap_or(Value::Null);
    Opened::Refused(Answer {
        status: u16::from(response.status()),
        body,
        retry_after,
    })
}

impl CallerStream {
    /// Reads the body of a response as an event stream.
    pub fn new(mut response: http_types::Response) -> Self {
        Self {
            body: response.take_body(),
        }
    }

    /// The next event; `None` if the stream ended, failed, or brought no line within the limit.
    pub async fn next(&mut self, limit: Duration) -> Option<CallerEvent> {
        let mut event = CallerEvent {
            kind: "token".to_owned(),
            id: String::new(),
            data: Value::Null,
        };
        loop {
            let mut line = String::new();
            let read = timeout(limit, self.body.read_line(&mut line)).await.ok()?.ok()?;
            if read == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() && event.data != Value::Null {
                return Some(event);
            }
            match line.split_once(": ") {
                Some(("id", id)) => event.id = id.to_owned(),
                Some(("event", kind)) => event.kind = kind.to_owned(),
                Some(("data", data)) => event.data = serde_json::from_str(data).unwrap_or(Value::Null),
                _ => {}
            }
        }
    }
}

/// What a caller has received of one generation, over all its connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamTranscript {
    /// Tokens in the order of their arrival.
    pub tokens: Vec<String>,
    /// Whether the event `complete` was received.
    pub is_complete: bool,
    /// Code of the last refusal; `None` if there was none or a stream was opened since.
    pub refused: Option<u64>,
    /// Resume token of the last token event; empty before the first.
    pub last_id: String,
    /// Whether an event was out of order, repeated or missing.
    pub is_garbled: bool,
    /// When the first token was received, in milliseconds since the Unix epoch.
    pub first_token_at_ms: Option<u64>,
    /// Number of attempts to resume the stream.
    pub resume_count: u32,
}

impl StreamTranscript {
    fn record_event(&mut self, event: CallerEvent) {
        match event.kind.as_str() {
            "complete" => {
                self.is_garbled |= self.is_complete || event.data["tokens"] != self.tokens.len();
                self.is_complete = true;
            }
            "refused" => self.refused = event.data["code"].as_u64(),
            _ => {
                self.first_token_at_ms.get_or_insert_with(now_ms);
                self.is_garbled |= event.data["index"] != self.tokens.len();
                self.tokens
                    .push(event.data["token"].as_str().unwrap_or_default().to_owned());
                self.last_id = event.id;
            }
        }
    }

    /// Reads a stream until it is complete, refused, broken, or silent for too long; `progress` receives the
    /// token count.
    pub async fn read(&mut self, stream: &mut CallerStream, silence: Duration, progress: &AtomicUsize) {
        while let Some(event) = stream.next(silence).await {
            self.record_event(event);
            progress.store(self.tokens.len(), Ordering::Relaxed);
            if self.is_complete || self.refused.is_some() {
                return;
            }
        }
    }
}

/// A caller that tries its entries in turn until its answer is complete.
#[derive(Clone, Debug)]
pub struct StreamCaller {
    /// Addresses of the entries, in the order in which they are tried.
    pub entries: Vec<String>,
    /// The JSON body of the generate request.
    pub body: Value,
    /// How long a stream may be silent before the next entry is tried.
    pub silence: Duration,
    /// Number of tokens received so far, which other tasks may read.
    pub progress: Arc<AtomicUsize>,
}

impl StreamCaller {
    /// A caller that tolerates 3 seconds of silence.
    pub fn new(entries: Vec<String>, body: Value) -> Self {
        Self {
            entries,
            body,
            silence: Duration::from_secs(3),
            progress: Arc::default(),
        }
    }

    /// Tries entries until the answer is complete, the request is refused finally, or the time is over.
    pub async fn run(&self, within: Duration) -> StreamTranscript {
        let until_ms = now_ms() + within.as_millis() as u64;
        let mut transcript = StreamTranscript::default();
        for attempt in 0.. {
            if now_ms() >= until_ms {
                break;
            }
            let entry = &self.entries[attempt % self.entries.len()];
            if self.try_entry(entry, &mut transcript).await {
                break;
            }
        }
        transcript
    }

    /// Sends the request to one entry; returns whether the outcome is final.
    async fn try_entry(&self, entry: &str, transcript: &mut StreamTranscript) -> bool {
        let last_id = (!transcript.last_id.is_empty()).then(|| transcript.last_id.clone());
        transcript.resume_count += u32::from(last_id.is_some());
        match open_stream(entry, &self.body, last_id.as_deref()).await {
            Opened::Stream(mut stream) => {
                transcript.refused = None;
                transcript.read(&mut stream, self.silence, &self.progress).await;
                transcript.is_complete || transcript.refused.is_some()
            }
            Opened::Refused(answer) => {
                transcript.refused = answer.body["code"].as_u64();
                let is_final = answer.retry_after.is_none() || answer.status != 503;
                if !is_final {
                    async_std::task::sleep(Duration::from_millis(100)).await;
                }
                is_final
            }
            Opened::NoAnswer => {
                async_std::task::sleep(Duration::from_millis(50)).await;
                false
            }
        }
    }
}

/// Requests an idempotency key from an entry; `None` if it issues none.
pub async fn get_key(
    entry: &str,
    workspace: &str,
    service: &str,
    operation: &str,
    within_ms: u64,
) -> Option<String> {
    let body = json!({
        "workspace": workspace,
        "service": service,
        "operation": operation,
        "deadline_ms": now_ms() + within_ms,
    });
    let answer = http::post(entry, "/v1/keys", &body).await?;
    answer.body["key"].as_str().map(str::to_owned)
}

/// The JSON body of a call whose deadline is `within_ms` from now.
pub fn call_body(
    workspace: &str,
    service: &str,
    operation: &str,
    id: &str,
    key: Option<&str>,
    within_ms: u64,
) -> Value {
    json!({
        "workspace": workspace,
        "service": service,
        "operation": operation,
        "payload": { "id": id, "echo": id },
        "key": key,
        "deadline_ms": now_ms() + within_ms,
    })
}
