//! Assembles a gateway and runs it until its drain is complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use rand::Rng;

use super::node::{NodeError, OutputTargets, listen, start_control};
use super::signals::handle_signals;
use crate::blackboard::{OwnIdentity, SeedFacts};
use crate::clock;
use crate::controllers::ControlCore;
use crate::controllers::discovery::DiscoveryController;
use crate::controllers::drain::DrainController;
use crate::controllers::member_count::MemberCountController;
use crate::controllers::membership::MembershipController;
use crate::controllers::proof::ProofController;
use crate::controllers::quarantine::QuarantineController;
use crate::controllers::quotas::{QuotaController, QuotaTolerance};
use crate::controllers::rate_limits::RateLimitController;
use crate::controllers::rebalance::RebalanceController;
use crate::controllers::revision::RevisionController;
use crate::controllers::service_slots::ServiceSlotController;
use crate::controllers::slots::{PlacementPolicy, SlotController};
use crate::controllers::store_era::EraController;
use crate::gateway::{
    GatewayContext, GatewayMetrics, WireProtocol, answer_directory, answer_metrics, answer_readiness,
    listen_for_callers, serve_plain,
};
use crate::peers::{self, PeerHub};
use crate::prelude::*;
use crate::register::RegisterParser;
use crate::settings::{GatewaySettings, SharedKey};

/// Factor of the resolve lifetime for which a draining gateway keeps accepting requests: callers may use an
/// answer of the directory three times as long as it says, and their last requests arrive a fraction of a
/// second later.
const LINGER_FACTOR: u64 = 3;

/// A draining process exits this long before the platform would kill it, in milliseconds.
const EXIT_MARGIN_MS: u64 = 900;

/// A draining process stops accepting requests this long before its exit, in milliseconds: enough for a plain
/// call and one retry.
const LAST_REQUEST_MARGIN_MS: u64 = 1_000;

/// How long the first configuration that is read is delayed, in milliseconds; zero, since the platform's
/// store never returns stale data.
const FIRST_OFFER_DELAY_MS: u64 = 0;

/// The most engines that one owner schedules: as many as a small VM can handle at a few grants per second for
/// each.
pub const MAX_GROUP_ENGINES: usize = 96;

/// Time between two checks of the settings file. A VM that is no longer the first seed may give orders to engines for
/// so long, which is less than a restarted process takes to give its first.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Reads a gateway's settings, or returns the reason why they can't be used.
pub type SettingsReader = fn() -> Result<GatewaySettings, String>;

/// Reads the published configuration and the list of replicas for as long as the process lives.
pub trait ConfigSource: Send + Sync {
    /// Follows changed settings from now on.
    fn apply_settings(&self, settings: &GatewaySettings);
}

/// The platform-specific parts of a gateway, besides its settings.
pub struct GatewayAdapter {
    /// Reads and writes the messages exchanged with callers and replicas.
    pub protocol: Arc<dyn WireProtocol>,
    /// Reads the settings again on SIGHUP and in the periodic check.
    pub read_settings: SettingsReader,
    /// Parses the published configuration.
    pub parse_register: RegisterParser,
    /// Starts the tasks that watch the configuration and the list of replicas.
    pub start_sources: fn(&GatewaySettings, &super::ControlHandle) -> Arc<dyn ConfigSource>,
}

/// Runs a gateway; returns once its drain is complete.
pub fn run_gateway(settings: GatewaySettings, adapter: GatewayAdapter) -> Result<(), NodeError> {
    async_std::task::block_on(serve(settings, adapter))
}

fn identify(settings: &GatewaySettings) -> OwnIdentity {
    OwnIdentity {
        name: settings.name.as_str().into(),
        zone: settings.zone.as_str().into(),
        caller_address: settings.addresses.callers.to_string().into(),
        peer_address: settings.addresses.peers.to_string().into(),
        incarnation: rand::rng().random(),
        started_epoch_ms: clock::epoch_ms(),
        millicores: settings.capacity.millicores,
    }
}

fn build_core(own: OwnIdentity, parse: RegisterParser, settings: &GatewaySettings) -> ControlCore {
    let quota_tolerance = QuotaTolerance {
        overshoot: settings.contract.quota_overshoot,
        slack: settings.contract.quota_slack,
    };
    let controllers: Vec<Box<dyn Controller>> = vec![
        Box::new(MembershipController::default()),
        Box::new(MemberCountController::default()),
        Box::new(RevisionController::new(parse, FIRST_OFFER_DELAY_MS)),
        Box::new(EraController),
        Box::new(ProofController::new(
            settings.contract.revoke_ms,
            own.incarnation as u64,
        )),
        Box::new(DiscoveryController::default()),
        Box::new(DrainController::default()),
        Box::new(QuarantineController::default()),
        Box::new(RateLimitController::new(MAX_GROUP_ENGINES)),
        Box::new(QuotaController::new(quota_tolerance, settings.is_first_start)),
        Box::new(ServiceSlotController::default()),
        Box::new(RebalanceController::default()),
        Box::new(
            SlotController::new(PlacementPolicy::Owner, MAX_GROUP_ENGINES, own.incarnation as u64)
                .cutting_runs_on_exit(),
        ),
    ];
    let mut board = Blackboard::new(own);
    let seeds = seed_facts(settings);
    board.is_rebalancer = seeds.is_rebalancer;
    board.is_seed = seeds.is_seed;
    board.other_seed_count = seeds.other_seed_count;
    board.register.proved_until = settings.contract.revoke_ms.map(|_| Moment::default());
    ControlCore::new(board, controllers)
}

fn seed_facts(settings: &GatewaySettings) -> SeedFacts {
    SeedFacts {
        is_rebalancer: settings.is_rebalancer(),
        is_seed: settings.is_seed(),
        other_seed_count: settings.other_seed_count(),
    }
}

/// The sockets that a gateway listens on.
struct GatewayListeners {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    peers: TcpListener,
}

impl GatewayListeners {
    async fn open(settings: &GatewaySettings) -> Result<Self, NodeError> {
        let addresses = &settings.addresses;
        Ok(Self {
            callers: listen(addresses.callers).await?,
            readiness: listen(addresses.readiness).await?,
            directory: listen(addresses.directory).await?,
            metrics: listen(addresses.metrics).await?,
            peers: listen(addresses.peers).await?,
        })
    }
}

async fn serve(settings: GatewaySettings, adapter: GatewayAdapter) -> Result<(), NodeError> {
    let listeners = GatewayListeners::open(&settings).await?;
    let own = identify(&settings);
    let core = build_core(own.clone(), adapter.parse_register, &settings);
    let (control, targets) = start_control(core)?;
    let hub = PeerHub::new(SharedKey::for_closed_network(), control.clone());
    let context = GatewayContext::new(
        settings,
        own,
        control.clone(),
        adapter.protocol,
        GatewayMetrics::new()?,
    );
    let (exit, exited) = async_std::channel::bounded(1);
    targets.set(OutputTargets {
        hub: hub.clone(),
        traffic: None,
        gateway: Some(context.clone()),
        exit,
    });
    let contract = context.settings().contract;
    let linger_ms = contract.resolve_keep_ms * LINGER_FACTOR;
    let exit_ms = contract.shutdown_grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let (reload_context, read_settings) = (context.clone(), adapter.read_settings);
    let accept_ms = linger_ms.min(exit_ms.saturating_sub(LAST_REQUEST_MARGIN_MS));
    let source = (adapter.start_sources)(&context.settings(), &control);
    let reload_source = source.clone();
    handle_signals(control.clone(), accept_ms, exit_ms, move || {
        reload_settings(&reload_context, &*reload_source, read_settings, true);
    })?;
    async_std::task::spawn(watch_settings(context.clone(), source, read_settings));
    log_start(&context);
    async_std::task::spawn(peers::listen_for_peers(hub.clone(), listeners.peers));
    async_std::task::spawn(contact_seeds(hub, context.clone()));
    async_std::task::spawn(serve_plain(
        context.clone(),
        listeners.readiness,
        answer_readiness,
    ));
    async_std::task::spawn(serve_plain(
        context.clone(),
        listeners.directory,
        answer_directory,
    ));
    async_std::task::spawn(serve_plain(context.clone(), listeners.metrics, answer_metrics));
    async_std::task::spawn(sweep_pool(context.clone()));
    async_std::task::spawn(listen_for_callers(context, listeners.callers));
    // The sender lives as long as the process, so receiving can't fail.
    let _ = exited.recv().await;
    Ok(())
}

/// Contacts the seeds that are not among the live VMs: often while no other VM is known, and less often
/// later, since a process that starts during a partition would otherwise never contact the other side.
async fn contact_seeds(hub: Arc<PeerHub>, context: Arc<GatewayContext>) {
    /// Time between two rounds over the seeds while no other VM is known.
    const NO_PEER_INTERVAL: Duration = Duration::from_millis(250);
    /// Time between two rounds over the unknown seeds while other VMs are known.
    const UNKNOWN_SEED_INTERVAL: Duration = Duration::from_secs(2);
    let own = context.settings().addresses.peers;
    loop {
        let seeds = context.settings().seeds.clone();
        let live_vms = context.snapshot().live_vms.clone();
        let is_known = |seed: &SocketAddr| {
            let address = seed.to_string();
            live_vms.iter().any(|vm| *vm.peer_address == *address)
        };
        for seed in seeds.iter().filter(|seed| **seed != own && !is_known(seed)) {
            async_std::task::spawn(peers::dial_seed(hub.clone(), *seed));
        }
        let is_alone = live_vms.len() <= 1;
        async_std::task::sleep(if is_alone {
            NO_PEER_INTERVAL
        } else {
            UNKNOWN_SEED_INTERVAL
        })
        .await;
    }
}

/// Checks the settings file periodically, since it may change without a signal.
async fn watch_settings(context: Arc<GatewayContext>, source: Arc<dyn ConfigSource>, read: SettingsReader) {
    loop {
        async_std::task::sleep(SETTINGS_CHECK_INTERVAL).await;
        reload_settings(&context, &*source, read, false);
    }
}

/// Applies changed settings. Listen addresses stay as they were at the start. The outcome is logged if the
/// settings changed, are invalid, or the reload came from a signal.
fn reload_settings(
    context: &GatewayContext,
    source: &dyn ConfigSource,
    read: SettingsReader,
    is_requested: bool,
) {
    let outcome = match read() {
        Ok(settings) if settings == *context.settings() => "unchanged",
        Ok(settings) => {
            let seeds = seed_facts(&settings);
            let has_new_seeds = seeds != seed_facts(&context.settings());
            source.apply_settings(&settings);
            context.replace_settings(settings);
            if has_new_seeds {
                context.control.send_event(Event::SeedsChanged { seeds });
            }
            "changed"
        }
        Err(reason) => {
            spdlog::warn!("event=reload outcome=\"{reason}\"");
            return;
        }
    };
    if is_requested || outcome == "changed" {
        spdlog::warn!("event=reload outcome={outcome}");
    }
}

async fn sweep_pool(context: Arc<GatewayContext>) {
    loop {
        async_std::task::sleep(SWEEP_INTERVAL).await;
        context.pool.sweep();
    }
}

fn log_start(context: &GatewayContext) {
    let settings = context.settings();
    let addresses = &settings.addresses;
    spdlog::info!(
        "event=started vm={} zone={} callers={} directory={} peers={} store={} incarnation={:032x} version={}",
        context.own.name,
        context.own.zone,
        addresses.callers,
        addresses.directory,
        addresses.peers,
        settings.store,
        context.own.incarnation,
        env!("CARGO_PKG_VERSION")
    );
}
