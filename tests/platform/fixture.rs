//! Deployments of one node, and load beside them, that several tests use.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::node::{GatewayNode, publish_config};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;

/// Starts a node with two replicas of the plain service `desk`, and waits until the node is ready.
pub fn start_desk(behaviors: [ReplicaBehavior; 2]) -> (StandInStore, GatewayNode, [StandInReplica; 2]) {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let [first, second] = behaviors;
    let replicas = [
        StandInReplica::start(&store, "i-1", "desk", None, first),
        StandInReplica::start(&store, "i-2", "desk", None, second),
    ];
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    (store, node, replicas)
}

/// A node with two prefill engines and two decode engines.
pub struct Engines {
    pub store: StandInStore,
    pub node: GatewayNode,
    pub prefills: [StandInReplica; 2],
    pub decodes: [StandInReplica; 2],
}

impl Engines {
    pub fn start() -> Self {
        let store = StandInStore::start();
        publish_config(&store, 1);
        let engine = |id: &str, phase: &str| {
            StandInReplica::start(&store, id, "llm", Some(phase), ReplicaBehavior::Well)
        };
        let prefills = [engine("i-p1", "prefill"), engine("i-p2", "prefill")];
        let decodes = [engine("i-d1", "decode"), engine("i-d2", "decode")];
        let node = GatewayNode::start(&store, "vm-1", &[]);
        node.wait_ready();
        Self {
            store,
            node,
            prefills,
            decodes,
        }
    }

    pub fn all(&self) -> Vec<&StandInReplica> {
        self.prefills.iter().chain(&self.decodes).collect()
    }
}

/// Threads that keep processors busy until this is dropped.
pub struct BusyThreads {
    is_over: Arc<AtomicBool>,
}

impl BusyThreads {
    /// Starts somewhat more threads than there are processors.
    pub fn start() -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let processors = std::thread::available_parallelism().map_or(4, usize::from);
        for _ in 0..processors + 2 {
            let is_over = is_over.clone();
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        Self { is_over }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}
