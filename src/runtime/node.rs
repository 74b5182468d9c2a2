//! Assembles a node and runs it until its drain is complete.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use async_std::net::TcpListener;
use rand::Rng;
use snafu::Snafu;

use super::signals::handle_signals;
use super::{ControlHandle, ControlOutput, Snapshot};
use crate::blackboard::OwnIdentity;
use crate::clock;
use crate::controllers::ControlCore;
use crate::gateway::{GatewayContext, check_health, send_role_order};
use crate::peers::{self, PeerHub};
use crate::prelude::*;
use crate::reports::{MetricError, MetricSet};
use crate::settings::EntrySettings;
use crate::source::{HttpPlatform, PlatformSource, watch_register, watch_vms};
use crate::traffic::{TrafficContext, listen_for_callers, reap_orphans, run_forwarded};

/// Reason why a node could not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// A listener can't be bound to an address.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread or a signal handler can't be set up.
    #[snafu(display("can't set the process up: {source}"), context(false))]
    Setup {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The error of the metrics exporter.
        source: MetricError,
    },
}

/// Receivers of the control thread's outputs.
pub(super) struct OutputTargets {
    /// Sends messages to peers.
    pub hub: Arc<PeerHub>,
    /// Runs calls that peers forward; `None` in a gateway, which forwards none.
    pub traffic: Option<Arc<TrafficContext>>,
    /// Sends role orders and health checks to replicas; `None` in a node of the entry interface.
    pub gateway: Option<Arc<GatewayContext>>,
    /// Ends the process when it receives a value.
    pub exit: async_std::channel::Sender<()>,
}

/// Holds the targets, which are created after the control thread has started.
#[derive(Clone, Default)]
pub(super) struct TargetSlot(Arc<OnceLock<OutputTargets>>);

impl TargetSlot {
    /// Sets the targets; called once.
    pub fn set(&self, targets: OutputTargets) {
        let installed = self.0.set(targets);
        debug_assert!(installed.is_ok());
    }
}

/// Starts the control thread. Outputs go to the targets, and are dropped until those are set.
pub(super) fn start_control(core: ControlCore) -> Result<(ControlHandle, TargetSlot), NodeError> {
    let slot = TargetSlot::default();
    let outputs = slot.clone();
    let control = ControlHandle::start(core, move |output| {
        if let Some(targets) = outputs.0.get() {
            execute(targets, output);
        }
    })?;
    Ok((control, slot))
}

/// Runs a node; returns once its drain is complete.
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
        started_epoch_ms: clock::epoch_ms(),
        millicores: 0,
    }
}

fn build_core(settings: &EntrySettings, own: OwnIdentity) -> ControlCore {
    let seed = own.incarnation as u64;
    ControlCore::with_all_controllers(Blackboard::new(own), settings.policy, settings.group_size, seed)
}

pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NodeError::Listen { address, source })
}

async fn serve(settings: EntrySettings) -> Result<(), NodeError> {
    let callers = listen(settings.listen).await?;
    let peer_listener = listen(settings.peer_listen).await?;
    let own = identify(&settings);
    let metrics = MetricSet::new()?;
    let (control, targets) = start_control(build_core(&settings, own.clone()))?;
    let hub = PeerHub::new(settings.shared_key.clone(), control.clone());
    let context = TrafficContext::new(settings, own, control.clone(), metrics, hub.clone());
    let (exit, exited) = async_std::channel::bounded(1);
    targets.set(OutputTargets {
        hub: hub.clone(),
        traffic: Some(context.clone()),
        gateway: None,
        exit,
    });
    let settings = &context.settings;
    handle_signals(
        control.clone(),
        settings.resolve_keep_ms,
        settings.drain_limit_ms,
        // Flags and the environment can't change while the process runs.
        || spdlog::warn!("event=reload outcome=nothing_to_read"),
    )?;
    start_tasks(&context, &hub, callers, peer_listener);
    log_start(&context, &control.snapshot());
    // The sender lives as long as the process, so receiving can't fail.
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
        async_std::task::spawn(peers::dial_seed(hub.clone(), *address));
    }
    async_std::task::spawn(reap_orphans(context.clone()));
    async_std::task::spawn(listen_for_callers(context.clone(), callers));
}

fn log_start(context: &TrafficContext, snapshot: &Snapshot) {
    spdlog::info!(
        "event=started vm={} zone={} callers={} peers={} incarnation={:032x} revision={}",
        context.own.name,
        context.own.zone,
        context.settings.listen,
        context.settings.peer_listen,
        context.own.incarnation,
        snapshot.revision
    );
}

fn execute(targets: &OutputTargets, output: ControlOutput) {
    match output {
        ControlOutput::Send { to, address, message } => targets.hub.send(&to, &address, message),
        ControlOutput::ResetLink { vm } => targets.hub.reset_link(&vm),
        ControlOutput::RunForwarded { from, call } => {
            if let Some(traffic) = &targets.traffic {
                async_std::task::spawn(run_forwarded(traffic.clone(), from, call));
            }
        }
        ControlOutput::OrderRole(order) => {
            if let Some(gateway) = &targets.gateway {
                async_std::task::spawn(send_role_order(gateway.clone(), order));
            }
        }
        ControlOutput::CheckHealth { replica } => {
            if let Some(gateway) = &targets.gateway {
                async_std::task::spawn(check_health(gateway.clone(), replica));
            }
        }
        ControlOutput::Exit => {
            // The channel is full if the exit was requested before, which changes nothing.
            let _ = targets.exit.try_send(());
        }
    }
}
