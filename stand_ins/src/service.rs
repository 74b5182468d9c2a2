//! Stand-in for a plain service: a booking desk that journals every call that it receives and runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_std::net::TcpListener;
use http_types::{Method, Request, Response};
use serde_json::{Value, json};

use crate::http::{self, read_json};
use crate::journal::Journal;

/// A call whose payload id contains this word crashes each service that receives it.
pub const SERVICE_CRASH_WORD: &str = "query-of-death-desk";

/// Injected faults; the default is none. Each `POST /fault` replaces them all.
#[derive(Clone, Debug, Default)]
struct ServiceFault {
    /// Delay before a call is run, in milliseconds.
    before_ms: u64,
    /// Delay between a call's run and its answer, in milliseconds.
    after_ms: u64,
    /// Crashes after a call was run and before it is answered.
    dies_after: bool,
    /// Crashes before a call is run.
    dies_before: bool,
    /// Answers with the id and the content of another request.
    crosses: bool,
}

/// Shared state of the service's handlers.
pub struct ServiceState {
    name: String,
    checks_keys: bool,
    latency: Duration,
    journal: Journal,
    fault: Mutex<ServiceFault>,
    answers: Mutex<HashMap<String, Value>>,
}

/// Serves the service on an address until the process exits; fails if the address can't be bound.
pub async fn run(
    listen: &str,
    name: &str,
    checks_keys: bool,
    latency_ms: u64,
    journal: &str,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let state = Arc::new(ServiceState {
        name: name.to_owned(),
        checks_keys,
        latency: Duration::from_millis(latency_ms),
        journal: Journal::open(journal),
        fault: Mutex::default(),
        answers: Mutex::default(),
    });
    http::serve(listener, state, answer).await;
    Ok(())
}

async fn answer(state: Arc<ServiceState>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.strip_prefix("/op/")) {
        (Method::Post, Some(operation)) => run_operation(&state, operation, request).await,
        (Method::Post, None) if path == "/fault" => {
            let body = read_json(&mut request).await;
            set_fault(&state, &body)
        }
        (Method::Get, None) if path == "/health" => http::json(200, &Value::Null),
        _ => http::json(404, &Value::Null),
    }
}

fn set_fault(state: &ServiceState, body: &Value) -> Response {
    *state.fault.lock().expect("no holder of this lock panics") = ServiceFault {
        before_ms: body["before_ms"].as_u64().unwrap_or(0),
        after_ms: body["after_ms"].as_u64().unwrap_or(0),
        dies_after: body["dies_after"].as_bool().unwrap_or(false),
        dies_before: body["dies_before"].as_bool().unwrap_or(false),
        crosses: body["crosses"].as_bool().unwrap_or(false),
    };
    http::json(200, &Value::Null)
}

async fn run_operation(state: &ServiceState, operation: &str, mut request: Request) -> Response {
    let header = |request: &Request, name: &str| {
        request
            .header(name)
            .map(|values| values.last().as_str().to_owned())
            .unwrap_or_default()
    };
    let request_id = header(&request, "x-request-id");
    let key = header(&request, "idempotency-key");
    let payload = read_json(&mut request).await;
    let fault = state.fault.lock().expect("no holder of this lock panics").clone();
    let subject = payload["id"].as_str().unwrap_or_default().to_owned();
    state.journal.record(
        "received",
        &subject,
        json!({ "operation": operation, "replica": state.name }),
    );
    async_std::task::sleep(state.latency + Duration::from_millis(fault.before_ms)).await;
    if fault.dies_before || subject.contains(SERVICE_CRASH_WORD) {
        std::process::exit(9);
    }
    let mut answer = run_or_repeat(state, operation, &subject, &key, &payload);
    if fault.crosses {
        answer["id"] = Value::from("somebody else's");
    }
    if fault.dies_after {
        std::process::exit(9);
    }
    async_std::task::sleep(Duration::from_millis(fault.after_ms)).await;
    let mut response = http::json(200, &answer);
    let answered_id = if fault.crosses {
        "another~request".to_owned()
    } else {
        request_id
    };
    response.insert_header("x-request-id", answered_id);
    response
}

/// Runs a call; a service that checks keys returns the stored answer to a repeated key instead.
fn run_or_repeat(state: &ServiceState, operation: &str, subject: &str, key: &str, payload: &Value) -> Value {
    let mut answers = state.answers.lock().expect("no holder of this lock panics");
    if state.checks_keys
        && let Some(answer) = answers.get(key)
    {
        return answer.clone();
    }
    state.journal.record(
        "ran",
        subject,
        json!({ "operation": operation, "replica": state.name, "key": key }),
    );
    let answer =
        json!({ "operation": operation, "id": subject, "echo": payload["echo"], "replica": state.name });
    if !key.is_empty() {
        answers.insert(key.to_owned(), answer.clone());
    }
    answer
}
