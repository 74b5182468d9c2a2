//! Requests to upstreams and the platform. Each uses a new connection, since a kept-alive one may be
//! half-open and lose the request.

use std::io;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::AsyncReadExt;
use http_types::{Request, Response};
use snafu::Snafu;

use crate::clock;
use crate::prelude::*;
use crate::transport::configure_socket;

/// Timeout for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Why an exchange with an upstream failed.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The connection could not be opened, so no byte of the request was sent.
    #[snafu(display("can't connect to {address}"))]
    Connect {
        /// The upstream's address.
        address: String,
    },
    /// The connection broke after bytes of the request may have been sent.
    #[snafu(display("the connection to {address} broke"))]
    Broken {
        /// The upstream's address.
        address: String,
    },
    /// The deadline passed after bytes of the request may have been sent.
    #[snafu(display("{address} did not answer in time"))]
    Deadline {
        /// The upstream's address.
        address: String,
    },
}

impl UpstreamError {
    /// Whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Opens a connection to an upstream, within one second and before the deadline.
pub async fn connect(address: &str, deadline: Moment) -> Result<TcpStream, UpstreamError> {
    let now = clock::now();
    let limit = now.remaining(deadline.min(now.after_ms(CONNECT_TIMEOUT_MS)));
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            configure_socket(&stream);
            Ok(stream)
        }
        _ => Err(UpstreamError::Connect {
            address: address.to_owned(),
        }),
    }
}

/// Sends a request over a new connection and waits for the head of the response.
pub async fn send(
    stream: TcpStream,
    address: &str,
    request: Request,
    deadline: Moment,
) -> Result<Response, UpstreamError> {
    let limit = clock::now().remaining(deadline);
    match timeout(limit, async_h1::connect(stream, request)).await {
        // async-h1 takes an interim response, or one that switches protocols, for the final one.
        Ok(Ok(response)) if !response.status().is_informational() => Ok(response),
        Ok(Ok(_) | Err(_)) => Err(UpstreamError::Broken {
            address: address.to_owned(),
        }),
        Err(_) => Err(UpstreamError::Deadline {
            address: address.to_owned(),
        }),
    }
}

/// Connects, sends a request and waits for the head of the response.
pub async fn exchange(
    address: &str,
    mut request: Request,
    deadline: Moment,
) -> Result<Response, UpstreamError> {
    request.insert_header("connection", "close");
    let stream = connect(address, deadline).await?;
    send(stream, address, request, deadline).await
}

/// Reads a complete body; `None` if it is truncated, longer than the limit, or has neither a length nor chunks.
pub async fn read_body(response: &mut Response, limit_bytes: usize) -> Option<Vec<u8>> {
    let is_framed = ["content-length", "transfer-encoding"]
        .iter()
        .any(|name| response.header(*name).is_some());
    if !is_framed {
        // async-h1 does not read such a body and takes it for an empty one.
        return None;
    }
    let expected = response.len();
    let body = response.take_body();
    let mut bytes = Vec::new();
    let read: io::Result<usize> = body.take(limit_bytes as u64 + 1).read_to_end(&mut bytes).await;
    let is_complete = expected.is_none_or(|expected| expected == bytes.len());
    (read.is_ok() && bytes.len() <= limit_bytes && is_complete).then_some(bytes)
}

/// Builds a POST request with a JSON body; `None` if the address is invalid.
pub fn post_json(address: &str, path: &str, body: &impl serde::Serialize) -> Option<Request> {
    let url = http_types::Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(http_types::Method::Post, url);
    request.set_body(serde_json::to_vec(body).ok()?);
    request.insert_header("content-type", "application/json");
    Some(request)
}

/// Builds a GET request; `None` if the address is invalid.
pub fn get(address: &str, path: &str) -> Option<Request> {
    let url = http_types::Url::parse(&format!("http://{address}{path}")).ok()?;
    Some(Request::new(http_types::Method::Get, url))
}
