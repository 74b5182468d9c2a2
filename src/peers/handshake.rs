//! Both ends of a new link prove that they have the deployment's shared key, and say who they are.

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

/// The version of the peer protocol.
const PROTOCOL_VERSION: u32 = 1;

/// Bytes of a nonce.
const NONCE_BYTES: usize = 16;

/// A link that carries frames.
pub type FramedLink = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// Why a link did not come about.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: std::io::Error,
    },
    /// The other end closed the connection.
    #[snafu(display("the other end closed the connection"))]
    Closed,
    /// The other end does not have the shared key, or speaks another version.
    #[snafu(display("the other end did not show the deployment's shared key"))]
    Unauthenticated,
    /// The other end sent something else than the handshake.
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

/// Puts frames on a connection.
pub fn frame_stream(stream: TcpStream) -> FramedLink {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec();
    Framed::new(stream.compat(), codec)
}

/// The bytes of a frame.
pub fn encode(frame: &PeerFrame) -> Bytes {
    frame.encode_to_vec().into()
}

/// The frame in some bytes.
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

fn draw_nonce() -> Vec<u8> {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    nonce.to_vec()
}

/// One end's proof: a code over its role, both nonces and its introduction.
fn prove(key: &SharedKey, role: &str, nonces: [&[u8]; 2], introduction: &IntroductionFrame) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
    let introduction = introduction.encode_to_vec();
    for part in [b"peer-link", role.as_bytes(), nonces[0], nonces[1], &introduction] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn check(
    key: &SharedKey,
    role: &str,
    nonces: [&[u8]; 2],
    introduction: &IntroductionFrame,
    proof: &[u8],
) -> Result<(), HandshakeError> {
    let mac = prove(key, role, nonces, introduction);
    mac.verify_slice(proof)
        .map_err(|_| HandshakeError::Unauthenticated)
}

/// Opens a link from the dialing end, and says who listens.
pub async fn greet(
    link: &mut FramedLink,
    own: &VmIntroduction,
    key: &SharedKey,
) -> Result<VmIntroduction, HandshakeError> {
    let own = IntroductionFrame::from(own);
    let nonce = draw_nonce();
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
    check(key, "listener", nonces, &other, &challenge.proof)?;
    let proof = prove(key, "dialer", nonces, &own)
        .finalize()
        .into_bytes()
        .to_vec();
    send(link, FrameBody::Proof(ProofFrame { proof })).await?;
    Ok(other.try_into()?)
}

/// Opens a link from the listening end, and says who dialed.
pub async fn welcome(
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
    let nonce = draw_nonce();
    let nonces = [&hello.nonce[..], &nonce];
    let challenge = ChallengeFrame {
        nonce: nonce.clone(),
        proof: prove(key, "listener", nonces, &own)
            .finalize()
            .into_bytes()
            .to_vec(),
        introduction: Some(own),
    };
    send(link, FrameBody::Challenge(challenge)).await?;
    let FrameBody::Proof(proof) = receive(link).await? else {
        return Err(HandshakeError::Unexpected);
    };
    check(key, "dialer", nonces, &other, &proof.proof)?;
    Ok(other.try_into()?)
}
