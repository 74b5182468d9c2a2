//! Connections that carry HTTP/1.1, deadlines, and the socket options of all connections.

mod deadline;
mod http_stream;
mod socket;

pub use deadline::until;
pub use http_stream::{HttpStream, StreamError};
pub use socket::{CloseMode, configure_socket, set_close_mode};
