//! Connections that carry HTTP/1.1, deadlines, and the socket options of all connections.

mod deadline;
mod http_stream;
mod socket;

pub use deadline::until;
pub use http_stream::{ConnectionPermit, HttpStream, StreamError};
pub use socket::{CloseMode, configure_socket, has_input, limit_buffers, set_close_mode, take_error};
