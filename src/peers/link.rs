//! A link to one peer: dialing, accepting, and reading and writing messages until it closes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use futures::future::Either;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};

use super::PeerHub;
use super::convert::{to_frame, to_message};
use super::handshake::{
    FramedLink, HandshakeError, decode, encode, frame_stream, handshake_as_dialer, handshake_as_listener,
};
use super::hub::LinkQueue;
use crate::blackboard::Incarnation;
use crate::clock;
use crate::controllers::message::{PeerMessage, VmIntroduction};
use crate::prelude::*;
use crate::transport::configure_socket;

/// Timeout for connecting to a peer, including the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without a message to send after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Opens a link to a VM and runs it; notifies the control thread if the VM can't be reached.
pub async fn dial(hub: Arc<PeerHub>, vm: VmName, address: String, queue: LinkQueue) {
    match timeout(DIAL_TIMEOUT, open(&hub, &address)).await {
        Ok(Ok((link, introduction))) if introduction.name == vm => {
            run_link(&hub, link, introduction, queue).await;
        }
        outcome => {
            let reason = match outcome {
                Ok(Ok((_, introduction))) => format!("answered_as_{}", introduction.name),
                Ok(Err(error)) => error.to_string().replace(' ', "_"),
                Err(_) => "timeout".to_owned(),
            };
            spdlog::debug!("event=peer_unreachable vm={vm} address={address} reason={reason}");
            hub.remove_link(&vm, queue.id);
            hub.control().send_event(Event::PeerUnreachable { vm });
        }
    }
}

async fn open(hub: &PeerHub, address: &str) -> Result<(FramedLink, VmIntroduction), HandshakeError> {
    let stream = TcpStream::connect(address).await?;
    configure_socket(&stream);
    let mut link = frame_stream(stream);
    let introduction = handshake_as_dialer(&mut link, &hub.introduction(), hub.key()).await?;
    Ok((link, introduction))
}

/// Opens a link to an address whose VM is not known yet, and runs it.
pub async fn dial_seed(hub: Arc<PeerHub>, address: SocketAddr) {
    if let Ok(Ok((link, introduction))) = timeout(DIAL_TIMEOUT, open(&hub, &address.to_string())).await {
        let queue = hub.add_link(&introduction.name);
        run_link(&hub, link, introduction, queue).await;
    }
}

/// Accepts links from peers for as long as the process runs.
pub async fn listen_for_peers(hub: Arc<PeerHub>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let hub = hub.clone();
                async_std::task::spawn(async move { accept(hub, stream, address).await });
            }
            Err(error) => {
                spdlog::warn!("event=peer_accept_failed reason=\"{error}\"");
                async_std::task::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn accept(hub: Arc<PeerHub>, stream: TcpStream, address: SocketAddr) {
    configure_socket(&stream);
    let mut link = frame_stream(stream);
    let own = hub.introduction();
    match timeout(DIAL_TIMEOUT, handshake_as_listener(&mut link, &own, hub.key())).await {
        Ok(Ok(introduction)) => {
            let queue = hub.add_link(&introduction.name);
            run_link(&hub, link, introduction, queue).await;
        }
        outcome => {
            let reason = match outcome {
                Ok(Err(error)) => error.to_string(),
                _ => "timeout".to_owned(),
            };
            let code = ResultCode::PeerUnauthenticated.number();
            spdlog::warn!("event=peer_refused code={code} address={address} reason=\"{reason}\"");
        }
    }
}

async fn run_link(hub: &Arc<PeerHub>, link: FramedLink, introduction: VmIntroduction, queue: LinkQueue) {
    let vm = introduction.name.clone();
    let incarnation = introduction.incarnation;
    hub.control().send_event(Event::PeerJoined { introduction });
    let (sink, stream) = link.split();
    let writing = std::pin::pin!(write_messages(hub, sink, queue.receiver.clone()));
    let reading = std::pin::pin!(read_messages(hub, &vm, incarnation, stream));
    let is_lost = match futures::future::select(writing, reading).await {
        Either::Left((is_idle, _)) => !is_idle,
        Either::Right(((), _)) => true,
    };
    queue.sender.close();
    // The end of a link that this process closed or replaced says nothing about the peer.
    if hub.remove_link(&vm, queue.id) && is_lost {
        hub.control().send_event(Event::LinkLost { vm: vm.clone() });
    }
}

/// Writes messages until the link is idle, closed by this process or broken; returns false if it broke.
async fn write_messages(
    hub: &PeerHub,
    mut sink: SplitSink<FramedLink, bytes::Bytes>,
    messages: Receiver<PeerMessage>,
) -> bool {
    loop {
        let message = match timeout(IDLE_TIMEOUT, messages.recv()).await {
            Ok(Ok(message)) => message,
            Ok(Err(_)) | Err(_) => return true,
        };
        let frame = encode(&to_frame(&message, clock::now()));
        hub.traffic()
            .sent_bytes
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
        if sink.send(frame).await.is_err() {
            return false;
        }
    }
}

async fn read_messages(
    hub: &Arc<PeerHub>,
    vm: &VmName,
    incarnation: Incarnation,
    mut stream: SplitStream<FramedLink>,
) {
    while let Some(Ok(bytes)) = stream.next().await {
        hub.traffic()
            .received_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let message = decode(&bytes)
            .ok()
            .and_then(|frame| to_message(frame, clock::now()).ok());
        let Some(message) = message else {
            let code = ResultCode::PeerFrameInvalid.number();
            spdlog::warn!(
                "event=peer_frame_invalid code={code} vm={vm} bytes={}",
                bytes.len()
            );
            return;
        };
        hub.control().send_event(Event::PeerMessage {
            from: vm.clone(),
            incarnation,
            message,
        });
    }
}
