//! Links between the system's own processes: framed, authenticated, made on demand and closed when idle.

mod convert;
mod handshake;
mod hub;
mod link;
mod wire;

pub use convert::{InvalidFrame, to_frame, to_message};
pub use handshake::HandshakeError;
pub use hub::{PeerHub, PeerTraffic};
pub use link::{listen_for_peers, seed};
pub use wire::PeerFrame;

/// The longest frame, in bytes: a register of the largest size and some room.
pub const FRAME_LIMIT_BYTES: usize = 1_200_000;
