//! A caller: resolves, generates, resumes and calls as the callers' page says.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::BufReadExt;
use http_types::Body;
use serde_json::{Value, json};

use crate::http::{self, Answer};
use crate::journal::now_ms;

/// An event of a stream, as a caller receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerEvent {
    /// The event's kind: `token`, `complete` or `refused`.
    pub kind: String,
    /// The resume token.
    pub id: String,
    /// The data.
    pub data: Value,
}

/// An open stream.
pub struct CallerStream {
    body: Body,
}

/// How opening a stream went.
pub enum Opened {
    /// Events follow.
    Stream(CallerStream),
    /// The request was refused.
    Refused(Answer),
    /// There was no answer.
    Nothing,
}

/// The body of a generation.
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

/// Opens a stream, from the event after `last_event_id` where one is given.
pub async fn open_stream(address: &str, body: &Value, last_event_id: Option<&str>) -> Opened {
    let mut request = http::post_request(address, "/v1/generate", body);
    if let Some(id) = last_event_id {
        request.insert_header("last-event-id", id);
    }
    let Some(mut response) = http::open(address, request).await else {
        return Opened::Nothing;
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
    /// The stream in an answer.
    pub fn new(mut response: http_types::Response) -> Self {
        Self {
            body: response.take_body(),
        }
    }

    /// The next event; `None` when the stream ended, broke, or was silent for longer than the limit.
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

/// What a caller has of one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gathered {
    /// The tokens, in order.
    pub tokens: Vec<String>,
    /// Whether the last event said that the answer is whole.
    pub is_whole: bool,
    /// The refusal's code, if there was one.
    pub refused: Option<u64>,
    /// The last event's resume token.
    pub last_id: String,
    /// Whether an event came out of order or twice.
    pub is_garbled: bool,
    /// When the first token came, in milliseconds since the epoch.
    pub first_token_at_ms: Option<u64>,
    /// How often the caller took the stream up again.
    pub resumes: u32,
}

impl Gathered {
    fn take(&mut self, event: CallerEvent) {
        match event.kind.as_str() {
            "complete" => {
                self.is_garbled |= self.is_whole || event.data["tokens"] != self.tokens.len();
                self.is_whole = true;
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

    /// Reads a stream to its end, and shows its progress.
    pub async fn read(&mut self, stream: &mut CallerStream, silence: Duration, progress: &AtomicUsize) {
        while let Some(event) = stream.next(silence).await {
            self.take(event);
            progress.store(self.tokens.len(), Ordering::Relaxed);
            if self.is_whole || self.refused.is_some() {
                return;
            }
        }
    }
}

/// A caller that goes from entry to entry until its answer is whole.
#[derive(Clone, Debug)]
pub struct StreamCaller {
    /// The entries that it may use, the first one first.
    pub entries: Vec<String>,
    /// The request.
    pub body: Value,
    /// How long a stream may be silent before the next entry is asked.
    pub silence: Duration,
    /// Tokens received so far, for others to see.
    pub progress: Arc<AtomicUsize>,
}

impl StreamCaller {
    /// A caller with the usual patience.
    pub fn new(entries: Vec<String>, body: Value) -> Self {
        Self {
            entries,
            body,
            silence: Duration::from_secs(3),
            progress: Arc::default(),
        }
    }

    /// Asks until the answer is whole, refused for good, or the time is over.
    pub async fn run(&self, within: Duration) -> Gathered {
        let until_ms = now_ms() + within.as_millis() as u64;
        let mut gathered = Gathered::default();
        for turn in 0.. {
            if now_ms() >= until_ms {
                break;
            }
            let entry = &self.entries[turn % self.entries.len()];
            if self.ask(entry, &mut gathered).await {
                break;
            }
        }
        gathered
    }

    /// Asks one entry; whether there is nothing more to ask for.
    async fn ask(&self, entry: &str, gathered: &mut Gathered) -> bool {
        let last_id = (!gathered.last_id.is_empty()).then(|| gathered.last_id.clone());
        gathered.resumes += u32::from(last_id.is_some());
        match open_stream(entry, &self.body, last_id.as_deref()).await {
            Opened::Stream(mut stream) => {
                gathered.refused = None;
                gathered.read(&mut stream, self.silence, &self.progress).await;
                gathered.is_whole || gathered.refused.is_some()
            }
            Opened::Refused(answer) => {
                gathered.refused = answer.body["code"].as_u64();
                let is_final = answer.retry_after.is_none() || answer.status != 503;
                if !is_final {
                    async_std::task::sleep(Duration::from_millis(100)).await;
                }
                is_final
            }
            Opened::Nothing => {
                async_std::task::sleep(Duration::from_millis(50)).await;
                false
            }
        }
    }
}

/// Asks for an idempotency key.
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

/// The body of a call.
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
