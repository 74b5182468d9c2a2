//! Notices that a caller is gone while nothing is being written to it.

use std::time::Duration;

use async_std::net::TcpStream;

/// How often a connection with unread bytes is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Ends when the caller closes its connection or the connection breaks.
pub async fn caller_gone(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // The caller sent its next request early; it is still there.
            Ok(_) => async_std::task::sleep(LOOK_AGAIN).await,
        }
    }
}
