//! Links between the system's own processes: framed, authenticated, opened on demand and closed when idle.

mod convert;
mod handshake;
mod hub;
mod link;
mod wire;

pub use convert::{InvalidFrame, to_frame, to_message};
pub use handshake::HandshakeError;
pub use hub::{PeerHub, PeerTraffic};
pub use link::{dial_seed, listen_for_peers};
pub use wire::PeerFrame;

/// Limit for the length of a frame, in bytes: a register of the largest size plus a margin.
pub const FRAME_LIMIT_BYTES: usize = 1_200_000;
