//! Accepts callers' connections.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};

use super::GatewayContext;
use super::caller::serve_caller;
use crate::clock;
use crate::transport::until;

/// Pause after a failed `accept`, when the system takes no more connections.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between two checks whether this VM still accepts connections, in milliseconds.
const DRAIN_CHECK_INTERVAL_MS: u64 = 250;

/// Reason under which failures of `accept` are logged once a second.
pub const ACCEPT_FAILED: &str = "accept_failed";

/// Accepts connections until this VM is leaving and accepts no more requests. Later connections are refused
/// before the caller has sent anything, so the caller can go to another VM.
pub async fn listen_for_callers(context: Arc<GatewayContext>, listener: TcpListener) {
    loop {
        let accept_until = context.snapshot().accept_until;
        let now = clock::now();
        if accept_until.is_some_and(|until| now.reached(until)) {
            return;
        }
        match until(now.after_ms(DRAIN_CHECK_INTERVAL_MS), listener.accept()).await {
            Some(Ok((stream, _))) => admit(&context, stream),
            Some(Err(error)) => {
                if context.crowd_log.record(ACCEPT_FAILED, clock::now()).is_some() {
                    spdlog::warn!("event=accept_failed reason=\"{error}\"");
                }
                async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
            }
            None => {}
        }
    }
}

fn admit(context: &Arc<GatewayContext>, stream: TcpStream) {
    match context.admit_caller(&stream) {
        Some(guard) => {
            async_std::task::spawn(serve_caller(context.clone(), stream, guard));
        }
        None => context.record_closed("too_many_connections"),
    }
}
