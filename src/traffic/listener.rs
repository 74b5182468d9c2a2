//! Accepts callers' connections and serves the requests on them.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::net::{TcpListener, TcpStream};
use futures::future::{Either, select};

use super::TrafficContext;
use super::routes::answer_request;
use crate::prelude::*;
use crate::transport::configure_socket;

/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The head of the response to a malformed request, without the content length.
const MALFORMED_HEAD_RESPONSE: &str =
    "HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\nconnection: close\r\n";

/// Accepts and serves callers for as long as the process runs.
pub async fn listen_for_callers(context: Arc<TrafficContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                async_std::task::spawn(async move { serve_connection(&context, stream).await });
            }
            Err(error) => {
                spdlog::warn!("event=accept_failed reason=\"{error}\"");
                async_std::task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(context: &Arc<TrafficContext>, stream: TcpStream) {
    configure_socket(&stream);
    let has_head = Arc::new(AtomicBool::new(false));
    let mut server = Server::new(stream.clone(), |request| {
        has_head.store(true, Ordering::Relaxed);
        let context = context.clone();
        let socket = stream.clone();
        async move { Ok(answer_request(&context, &socket, request).await) }
    });
    loop {
        has_head.store(false, Ordering::Relaxed);
        let serving = std::pin::pin!(server.accept_one());
        let limiting = std::pin::pin!(wait_for_head_timeout(context, &has_head));
        match select(serving, limiting).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            Either::Left((Ok(ConnectionStatus::Close), _)) | Either::Right(_) => return,
            Either::Left((Err(error), _)) => {
                if !is_disconnect(&error) {
                    refuse_malformed_head(stream.clone(), &error.to_string()).await;
                }
                return;
            }
        }
    }
}

/// Returns if the head of the next request has not arrived within the read limit; never returns otherwise.
async fn wait_for_head_timeout(context: &TrafficContext, has_head: &AtomicBool) {
    async_std::task::sleep(Duration::from_millis(context.settings.read_limit_ms)).await;
    if has_head.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

fn is_disconnect(error: &http_types::Error) -> bool {
    error.downcast_ref::<std::io::Error>().is_some_and(|cause| {
        matches!(
            cause.kind(),
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
        )
    })
}

async fn refuse_malformed_head(mut stream: TcpStream, reason: &str) {
    use futures::AsyncWriteExt;
    let notice = RefusalNotice::new(ResultCode::BadRequestLine, reason);
    let body = notice.to_json().to_string();
    let answer = format!(
        "{MALFORMED_HEAD_RESPONSE}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    // Errors are ignored: the caller may have disconnected already.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.close().await;
}
