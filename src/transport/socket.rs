//! Socket options: no delay for small writes, detection of half-open connections, and how a connection is closed.

use std::io;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::FutureExt;
use socket2::{SockRef, TcpKeepalive};

/// How long sent bytes may stay unacknowledged before the connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection may be idle before the first keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Sets the options. One that can't be set is only logged: the connection still works, but small writes or
/// the detection of failures may be slower.
pub fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let outcomes = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in outcomes.into_iter().filter_map(Result::err) {
        spdlog::debug!("event=socket_option_failed reason=\"{error}\"");
    }
}

/// Limits what the system holds for a connection. It takes up to twice as many bytes of memory for each direction,
/// and without a limit some megabytes. A failure is only logged.
pub fn limit_buffers(stream: &TcpStream, send_bytes: Option<usize>, receive_bytes: Option<usize>) {
    let socket = SockRef::from(stream);
    let outcomes = [
        send_bytes.map(|bytes| socket.set_send_buffer_size(bytes)),
        receive_bytes.map(|bytes| socket.set_recv_buffer_size(bytes)),
    ];
    for error in outcomes.into_iter().flatten().filter_map(Result::err) {
        spdlog::debug!("event=socket_option_failed reason=\"{error}\"");
    }
}

/// How the system closes a connection, also one whose process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// The peer reads all that was sent, and then the end of the stream.
    Orderly,
    /// The peer gets a reset.
    Reset,
}

/// Sets how a connection will be closed. A failure is only logged.
pub fn set_close_mode(stream: &TcpStream, mode: CloseMode) {
    let linger = match mode {
        CloseMode::Orderly => None,
        CloseMode::Reset => Some(Duration::ZERO),
    };
    if let Err(error) = SockRef::from(stream).set_linger(linger) {
        spdlog::debug!("event=socket_option_failed reason=\"{error}\"");
    }
}

/// Whether a connection has received bytes that were not read yet.
pub fn has_input(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = stream.peek(&mut byte).now_or_never();
    matches!(peeked, Some(Ok(1..)))
}

/// Takes the error that the system holds for a connection, such as a reset that came after the peer's last byte. No
/// later call returns it again.
pub fn take_error(stream: &TcpStream) -> Option<io::Error> {
    SockRef::from(stream).take_error().unwrap_or_else(Some)
}
