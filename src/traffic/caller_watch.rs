//! Detects that a caller has disconnected while nothing is being written to it.

use std::time::Duration;

use async_std::net::TcpStream;

/// Interval at which a connection with unread bytes is checked.
const PEEK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns when the caller closes its connection or the connection breaks.
pub async fn wait_for_disconnect(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // The caller sent its next request early (pipelining) and is still connected.
            Ok(_) => async_std::task::sleep(PEEK_INTERVAL).await,
        }
    }
}
