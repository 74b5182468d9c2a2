//! Requests to upstreams and the platform, each on a connection of its own, so that none is sent into a silent one.

use std::io;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::AsyncReadExt;
use http_types::{Request, Response};
use snafu::Snafu;

use crate::clock;
use crate::prelude::*;
use crate::transport::configure_socket;

/// How long connecting may take, in milliseconds.
const CONNECT_LIMIT_MS: u64 = 1_000;

/// Why an exchange with an upstream failed.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// There is no connection, so no byte of the request left.
    #[snafu(display("can't connect to {address}"))]
    Connect {
        /// Where to.
        address: String,
    },
    /// The connection broke after bytes of the request may have left.
    #[snafu(display("the connection to {address} broke"))]
    Broken {
        /// Where to.
        address: String,
    },
    /// The deadline came after bytes of the request may have left.
    #[snafu(display("{address} did not answer in time"))]
    Deadline {
        /// Where to.
        address: String,
    },
}

impl UpstreamError {
    /// Whether it is certain that no byte of the request left.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Opens a connection to an upstream.
pub async fn connect(address: &str, deadline: Moment) -> Result<TcpStream, UpstreamError> {
    let now = clock::now();
    let limit = now.remaining(deadline.min(now.after_ms(CONNECT_LIMIT_MS)));
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

/// Sends a request over a fresh connection and waits for the answer's head.
pub async fn send(
    stream: TcpStream,
    address: &str,
    request: Request,
    deadline: Moment,
) -> Result<Response, UpstreamError> {
    let limit = clock::now().remaining(deadline);
    match timeout(limit, async_h1::connect(stream, request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => Err(UpstreamError::Broken {
            address: address.to_owned(),
        }),
        Err(_) => Err(UpstreamError::Deadline {
            address: address.to_owned(),
        }),
    }
}

/// Connects, sends a request and waits for the answer's head.
pub async fn exchange(
    address: &str,
    mut request: Request,
    deadline: Moment,
) -> Result<Response, UpstreamError> {
    request.insert_header("connection", "close");
    let stream = connect(address, deadline).await?;
    send(stream, address, request, deadline).await
}

/// Reads a whole body, or `None` when it breaks off or is longer than the limit.
pub async fn read_body(response: &mut Response, limit_bytes: usize) -> Option<Vec<u8>> {
    let expected = response.len();
    let body = response.take_body();
    let mut bytes = Vec::new();
    let read: io::Result<usize> = body.take(limit_bytes as u64 + 1).read_to_end(&mut bytes).await;
    let is_whole = expected.is_none_or(|expected| expected == bytes.len());
    (read.is_ok() && bytes.len() <= limit_bytes && is_whole).then_some(bytes)
}

/// A POST request with a JSON body.
pub fn post_json(address: &str, path: &str, body: &impl serde::Serialize) -> Option<Request> {
    let url = http_types::Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(http_types::Method::Post, url);
    request.set_body(serde_json::to_vec(body).ok()?);
    request.insert_header("content-type", "application/json");
    Some(request)
}

/// A GET request.
pub fn get(address: &str, path: &str) -> Option<Request> {
    let url = http_types::Url::parse(&format!("http://{address}{path}")).ok()?;
    Some(Request::new(http_types::Method::Get, url))
}
