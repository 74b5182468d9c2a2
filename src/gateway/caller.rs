//! One caller's connection: reads one request after the other, and notices a caller that leaves.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::future::{Either, select};
use socket2::SockRef;

use super::GatewayContext;
use super::answer::AfterAnswer;
use super::body::{ReadFailure, read_body, read_head};
use super::context::CallerGuard;
use super::exchange::{AnswerEnd, refuse_unrouted, serve_request};
use crate::clock;
use crate::http::RequestHead;
use crate::transport::HttpStream;

/// Bytes that a caller may send ahead while its request is served; enough for another request's head.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// How often a caller that has sent more than that is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Serves the requests of one connection until it ends.
pub async fn serve_caller(context: Arc<GatewayContext>, stream: TcpStream, _guard: CallerGuard) {
    let mut stream = HttpStream::new(stream);
    loop {
        let limits = context.snapshot().register.limits;
        let idle_until = clock::now().after_ms(limits.idle_timeout_ms);
        let request = match read_head(&mut stream, &limits, idle_until).await {
            Ok(head) => {
                let body = read_body(&mut stream, &head, &limits).await;
                body.map(|body| (head, body))
            }
            Err(failure) => Err(failure),
        };
        match request {
            Ok((head, body)) => {
                if serve_one(&context, &mut stream, head, body).await != AfterAnswer::Keep {
                    return;
                }
            }
            Err(ReadFailure::Gone) => return,
            Err(ReadFailure::Refused(notice)) => {
                let revision = context.snapshot().revision;
                refuse_unrouted(stream.socket(), &notice, AfterAnswer::Close, "-", revision).await;
                return;
            }
        }
        stream.shrink();
    }
}

/// Serves one request for as long as its caller stays.
async fn serve_one(
    context: &Arc<GatewayContext>,
    stream: &mut HttpStream,
    head: RequestHead,
    body: Option<Vec<u8>>,
) -> AfterAnswer {
    let socket = stream.socket().clone();
    let facts = context.protocol.read_request(&head);
    let request_id = facts.id.clone();
    let active = context.control.track_request();
    let serving = std::pin::pin!(serve_request(context, &socket, head, facts, body));
    let watching = std::pin::pin!(caller_gone(stream));
    let end = match select(serving, watching).await {
        Either::Left((end, _)) => end,
        Either::Right(((), _)) => {
            spdlog::info!("event=caller_gone request={request_id}");
            AnswerEnd::Cut
        }
    };
    drop(active);
    match end {
        AnswerEnd::Whole(after) => after,
        AnswerEnd::Cut => AfterAnswer::Close,
        AnswerEnd::CutUnframed => {
            reset_on_close(&socket);
            AfterAnswer::Close
        }
    }
}

/// Lets the connection end with a reset, so that an answer without a length does not look whole.
fn reset_on_close(socket: &TcpStream) {
    if let Err(error) = SockRef::from(socket).set_linger(Some(Duration::ZERO)) {
        spdlog::debug!("event=socket_option_failed reason=\"{error}\"");
    }
}

/// Ends when the caller closes its connection or the connection breaks.
async fn caller_gone(stream: &mut HttpStream) {
    loop {
        if stream.buffered().len() >= READ_AHEAD_BYTES {
            async_std::task::sleep(LOOK_AGAIN).await;
            continue;
        }
        match stream.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
