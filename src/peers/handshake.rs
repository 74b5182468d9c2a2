//! The handshake of a new link: both ends prove that they have the deployment's shared key and introduce
//! themselves.

use async_std::net::TcpStream;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use prost::Message;
use rand::Rng;
use sha2::Sha256;
use snafu::Snafu;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use super::FRAME_LIMIT_BYTES;
use super::convert::InvalidFrame;
use super::wire::{ChallengeFrame, FrameBody, HelloFrame, IntroductionFrame, PeerFrame, ProofFrame};
use crate::controllers::message::VmIntroduction;
use crate::settings::SharedKey;

/// Version of the peer protocol; links between different versions are refused.
const PROTOCOL_VERSION: u32 = 1;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;

/// A connection that carries length-prefixed frames.
pub type FramedLink = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// Why a handshake failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The connection could not be opened, or broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The error of the operating system or the codec.
        source: std::io::Error,
    },
    /// The other end closed the connection.
    #[snafu(display("the other end closed the connection"))]
    Closed,
    /// The peer does not have the shared key, or uses another version of the protocol.
    #[snafu(display("the other end did not show the deployment's shared key"))]
    Unauthenticated,
    /// The peer sent a frame that is not the next one of the handshake, or could not be decoded.
    #[snafu(display("the other end sent an unexpected frame"))]
    Unexpected,
}

impl From<std::io::Error> for HandshakeError {
    fn from(source: std::io::Error) -> Self {
        Self::Broken { source }
    }
}

impl From<InvalidFrame> for HandshakeError {
    fn from(_: InvalidFrame) -> Self {
        Self::Unexpected
    }
}

impl From<prost::DecodeError> for HandshakeError {
    fn from(_: prost::DecodeError) -> Self {
        Self::Unexpected
    }
}

/// Wraps a connection in the codec for frames of up to [`FRAME_LIMIT_BYTES`].
pub fn frame_stream(stream: TcpStream) -> FramedLink {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec();
    Framed::new(stream.compat(), codec)
}

/// Encodes a frame, without its length prefix.
pub fn encode(frame: &PeerFrame) -> Bytes {
    frame.encode_to_vec().into()
}

/// Decodes a frame from bytes without a length prefix.
pub fn decode(bytes: &BytesMut) -> Result<PeerFrame, prost::DecodeError> {
    PeerFrame::decode(&bytes[..])
}

async fn send(link: &mut FramedLink, body: FrameBody) -> Result<(), HandshakeError> {
    let frame = PeerFrame { body: Some(body) };
    link.send(encode(&frame)).await?;
    Ok(())
}

async fn receive(link: &mut FramedLink) -> Result<FrameBody, HandshakeError> {
    let bytes = link.next().await.ok_or(HandshakeError::Closed)??;
    decode(&bytes)?.body.ok_or(HandshakeError::Unexpected)
}

fn random_nonce() -> Vec<u8> {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    nonce.to_vec()
}

/// The MAC by which one end proves its identity, over its role, both nonces and its introduction.
fn proof_mac(
    key: &SharedKey,
    role: &str,
    nonces: [&[u8]; 2],
    introduction: &IntroductionFrame,
) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
    let introduction = introduction.encode_to_vec();
    for part in [b"peer-link", role.as_bytes(), nonces[0], nonces[1], &introduction] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn verify_proof(
    key: &SharedKey,
    role: &str,
    nonces: [&[u8]; 2],
    introduction: &IntroductionFrame,
    proof: &[u8],
) -> Result<(), HandshakeError> {
    let mac = proof_mac(key, role, nonces, introduction);
    mac.verify_slice(proof)
        .map_err(|_| HandshakeError::Unauthenticated)
}

/// Runs the handshake on the dialing end; returns the listener's introduction.
pub async fn handshake_as_dialer(
    link: &mut FramedLink,
    own: &VmIntroduction,
    key: &SharedKey,
) -> Result<VmIntroduction, HandshakeError> {
    let own = IntroductionFrame::from(own);
    let nonce = random_nonce();
    let hello = HelloFrame {
        version: PROTOCOL_VERSION,
        nonce: nonce.clone(),
        introduction: Some(own.clone()),
    };
    send(link, FrameBody::Hello(hello)).await?;
    let FrameBody::Challenge(challenge) = receive(link).await? else {
        return Err(HandshakeError::Unexpected);
    };
    let other = challenge.introduction.ok_or(HandshakeError::Unexpected)?;
    let nonces = [&nonce[..], &challenge.nonce];
    verify_proof(key, "listener", nonces, &other, &challenge.proof)?;
    let proof = proof_mac(key, "dialer", nonces, &own)
        .finalize()
        .into_bytes()
        .to_vec();
    send(link, FrameBody::Proof(ProofFrame { proof })).await?;
    Ok(other.try_into()?)
}

/// Runs the handshake on the listening end; returns the dialer's introduction.
pub async fn handshake_as_listener(
    link: &mut FramedLink,
    own: &VmIntroduction,
    key: &SharedKey,
) -> Result<VmIntroduction, HandshakeError> {
    let FrameBody::Hello(hello) = receive(link).await? else {
        return Err(HandshakeError::Unexpected);
    };
    if hello.version != PROTOCOL_VERSION {
        return Err(HandshakeError::Unauthenticated);
    }
    let other = hello.introduction.ok_or(HandshakeError::Unexpected)?;
    let own = IntroductionFrame::from(own);
    let nonce = random_nonce();
    let nonces = [&hello.nonce[..], &nonce];
    let challenge = ChallengeFrame {
        nonce: nonce.clone(),
        proof: proof_mac(key, "listener", nonces, &own)
            .finalize()
            .into_bytes()
            .to_vec(),
        introduction: Some(own),
    };
    send(link, FrameBody::Challenge(challenge)).await?;
    let FrameBody::Proof(proof) = receive(link).await? else {
        return Err(HandshakeError::Unexpected);
    };
    verify_proof(key, "dialer", nonces, &other, &proof.proof)?;
    Ok(other.try_into()?)
}
