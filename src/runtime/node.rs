//! Puts a node together and runs it until it has left.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use async_std::net::TcpListener;
use rand::Rng;
use signal_hook::consts::{SIGINT, SIGTERM};
use snafu::Snafu;

use super::{ControlHandle, ControlOutput, Snapshot};
use crate::blackboard::OwnIdentity;
use crate::clock;
use crate::controllers::ControlCore;
use crate::controllers::message::VmIntroduction;
use crate::peers::{self, PeerHub};
use crate::platform::{HttpPlatform, PlatformSource, watch_register, watch_vms};
use crate::prelude::*;
use crate::reports::{MetricError, MetricSet};
use crate::settings::EntrySettings;
use crate::traffic::{TrafficContext, listen_for_callers, reap_orphans, run_forwarded};

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Which.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A thread or a signal handler can't be set up.
    #[snafu(display("can't set the process up: {source}"))]
    Setup {
        /// What the system said.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// Why.
        source: MetricError,
    },
}

/// What the control thread's outputs go to, once both are there.
struct OutputTargets {
    hub: Arc<PeerHub>,
    context: Arc<TrafficContext>,
    exit: async_std::channel::Sender<()>,
}

/// Runs a node; returns once it has left in good order.
pub fn run_node(settings: EntrySettings) -> Result<(), NodeError> {
    async_std::task::block_on(serve(settings))
}

fn identify(settings: &EntrySettings) -> OwnIdentity {
    OwnIdentity {
        name: settings.name.as_str().into(),
        zone: settings.zone.as_str().into(),
        caller_address: settings.advertise.to_string().into(),
        peer_address: settings.peer_advertise.to_string().into(),
        incarnation: rand::rng().random(),
    }
}

fn build_core(settings: &EntrySettings, own: OwnIdentity) -> ControlCore {
    let seed = own.incarnation as u64;
    ControlCore::with_all_parts(Blackboard::new(own), settings.policy, settings.group_size, seed)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen { address, source })
}

async fn serve(settings: EntrySettings) -> Result<(), NodeError> {
    let callers = listen(settings.listen).await?;
    let peer_listener = listen(settings.peer_listen).await?;
    let own = identify(&settings);
    let metrics = MetricSet::new()?;
    let targets: Arc<OnceLock<OutputTargets>> = Arc::default();
    let outputs = targets.clone();
    let control = ControlHandle::start(build_core(&settings, own.clone()), move |output| {
        if let Some(targets) = outputs.get() {
            carry_out(targets, output);
        }
    })
    .map_err(|source| NodeError::Setup { source })?;
    let introduction = VmIntroduction {
        name: own.name.clone(),
        zone: own.zone.clone(),
        caller_address: own.caller_address.clone(),
        peer_address: own.peer_address.clone(),
        incarnation: own.incarnation,
        revision: 0,
        leaving: false,
    };
    let hub = PeerHub::new(introduction, settings.shared_key.clone(), control.clone());
    let context = TrafficContext::new(settings, own, control.clone(), metrics, hub.clone());
    let (exit, exited) = async_std::channel::bounded(1);
    let installed = targets.set(OutputTargets {
        hub: hub.clone(),
        context: context.clone(),
        exit,
    });
    debug_assert!(installed.is_ok());
    handle_signals(&context).map_err(|source| NodeError::Setup { source })?;
    start_tasks(&context, &hub, callers, peer_listener);
    log_start(&context, &control.snapshot());
    // The sender lives as long as the process, so an error can't come.
    let _ = exited.recv().await;
    Ok(())
}

fn start_tasks(
    context: &Arc<TrafficContext>,
    hub: &Arc<PeerHub>,
    callers: TcpListener,
    peer_listener: TcpListener,
) {
    let settings = &context.settings;
    let platform: Arc<dyn PlatformSource> = HttpPlatform::new(settings.platform);
    async_std::task::spawn(watch_register(platform.clone(), context.control.clone()));
    async_std::task::spawn(watch_vms(platform, context.control.clone()));
    async_std::task::spawn(peers::listen_for_peers(hub.clone(), peer_listener));
    for address in settings
        .seeds
        .iter()
        .filter(|address| **address != settings.peer_advertise)
    {
        async_std::task::spawn(peers::seed(hub.clone(), *address));
    }
    async_std::task::spawn(reap_orphans(context.clone()));
    async_std::task::spawn(listen_for_callers(context.clone(), callers));
}

fn log_start(context: &TrafficContext, snapshot: &Snapshot) {
    spdlog::info!(
        "event=started vm={} zone={} listen={} peer_listen={} incarnation={:032x} revision={}",
        context.own.name,
        context.own.zone,
        context.settings.listen,
        context.settings.peer_listen,
        context.own.incarnation,
        snapshot.revision
    );
}

fn carry_out(targets: &OutputTargets, output: ControlOutput) {
    match output {
        ControlOutput::Send { to, address, message } => targets.hub.send(&to, &address, message),
        ControlOutput::ResetLink { vm } => targets.hub.reset(&vm),
        ControlOutput::RunForwarded { from, call } => {
            async_std::task::spawn(run_forwarded(targets.context.clone(), from, call));
        }
        ControlOutput::Exit => {
            // A second order to end changes nothing.
            let _ = targets.exit.try_send(());
        }
    }
}

/// Lets SIGTERM and SIGINT begin the drain.
fn handle_signals(context: &Arc<TrafficContext>) -> std::io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])?;
    let context = context.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                let now = clock::now();
                context.control.tell(Event::LeaveOrdered {
                    accept_until: now.after_ms(context.settings.resolve_keep_ms),
                    exit_at: now.after_ms(context.settings.drain_limit_ms),
                });
            }
        })?;
    Ok(())
}
