//! A minimal HTTP server and client for the stand-ins and their tests.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use futures::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use serde_json::Value;

/// A client's timeout for the head of a response, and again for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and passes their requests to a handler, until the process exits.
pub async fn serve<S, F, Fut>(listener: TcpListener, state: Arc<S>, handler: F)
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let state = state.clone();
        let handler = handler.clone();
        async_std::task::spawn(async move {
            // TCP_NODELAY: small writes, such as single tokens, are sent at once.
            let _ = stream.set_nodelay(true);
            let served = async_h1::accept(stream, |request| {
                let answer = handler(state.clone(), request);
                async move { Ok(answer.await) }
            });
            // Errors are ignored: callers may disconnect at any time.
            let _ = served.await;
        });
    }
}

/// A response with a JSON body; an invalid status becomes 500.
pub fn json(status: u16, value: &Value) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(value.to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// Reads a request's body as JSON; null if it is invalid.
pub async fn read_json(request: &mut Request) -> Value {
    let bytes = request.body_bytes().await.unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

/// A number in a request's query string; zero if it is absent or invalid.
pub fn query_number(request: &Request, name: &str) -> u64 {
    let pairs = request.url().query_pairs();
    let mut values = pairs
        .filter(|(key, _)| key == name)
        .map(|(_, value)| value.parse().unwrap_or(0));
    values.next().unwrap_or(0)
}

/// A response that a client has read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body: parsed if it is valid JSON, a JSON string otherwise.
    pub body: Value,
    /// The number in the Retry-After header, in seconds; `None` if it is absent or no number.
    pub retry_after: Option<u64>,
}

/// Opens a connection and sends a request; returns the response with its body unread.
pub async fn open(address: &str, request: Request) -> Option<Response> {
    let stream = timeout(Duration::from_secs(2), TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let answered = async_h1::connect(stream, request);
    timeout(RESPONSE_TIMEOUT, answered).await.ok()?.ok()
}

/// A POST request with a JSON body, on a connection of its own.
pub fn post_request(address: &str, path: &str, body: &Value) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("stand-in addresses are valid");
    let mut request = Request::new(Method::Post, url);
    request.set_body(body.to_string());
    request.insert_header("connection", "close");
    request
}

/// A GET request on a connection of its own.
pub fn get_request(address: &str, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("stand-in addresses are valid");
    let mut request = Request::new(Method::Get, url);
    request.insert_header("connection", "close");
    request
}

async fn finish(response: Option<Response>) -> Option<Answer> {
    let mut response = response?;
    let retry_after = response
        .header("retry-after")
        .and_then(|values| values.last().as_str().parse().ok());
    let length = response.len();
    let is_framed = ["content-length", "transfer-encoding"]
        .iter()
        .any(|name| response.header(*name).is_some());
    let mut bytes = Vec::new();
    let read = timeout(RESPONSE_TIMEOUT, response.take_body().read_to_end(&mut bytes)).await;
    read.ok()?.ok()?;
    let is_whole = is_framed && length.is_none_or(|length| length == bytes.len());
    if !is_whole {
        return None;
    }
    let body = serde_json::from_slice(&bytes)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()));
    Some(Answer {
        status: u16::from(response.status()),
        body,
        retry_after,
    })
}

/// Posts JSON and reads the complete response; `None` on a connection error, a timeout or a truncated body.
pub async fn post(address: &str, path: &str, body: &Value) -> Option<Answer> {
    finish(open(address, post_request(address, path, body)).await).await
}

/// Sends a GET request and reads the complete response; `None` on a connection error, a timeout or a truncated
/// body.
pub async fn get(address: &str, path: &str) -> Option<Answer> {
    finish(open(address, get_request(address, path)).await).await
}
