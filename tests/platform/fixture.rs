//! Whole deployments of one node, as several tests begin with them.

use crate::node::{GatewayNode, publish_config};
use crate::replica::{ReplicaMood, StandInReplica};
use crate::store::StandInStore;

/// A node with two replicas of one plain service.
pub fn start_desk(moods: [ReplicaMood; 2]) -> (StandInStore, GatewayNode, [StandInReplica; 2]) {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let [first, second] = moods;
    let replicas = [
        StandInReplica::start(&store, "i-1", "desk", None, first),
        StandInReplica::start(&store, "i-2", "desk", None, second),
    ];
    let node = GatewayNode::start(&store, "vm-1", &[]);
    node.wait_ready();
    (store, node, replicas)
}
