//! A fleet of nodes that follow one configuration, and probes of the version by which each serves callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use serde_json::{Value, json};
use stand_ins::proxy::ProxyRoute;

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// The time after its confirmed write within which a version must be in force.
pub const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// The time after the last disturbance from which a node counts as undisturbed.
pub const CALM_AFTER: Duration = Duration::from_millis(3_000);

/// The services of the moved route, before and after the change.
pub const OLD_SERVICE: &str = "desk";
pub const NEW_SERVICE: &str = "counter";

/// The replicas of the two services.
pub const OLD_REPLICA: &str = "i-old";
pub const NEW_REPLICA: &str = "i-new";

/// The key of the configuration in the store.
pub const CONFIG_KEY: &str = "op/config";

/// The version in force at the start of a test.
pub const FIRST_VERSION: u64 = 7;

/// The configuration of these tests, with the moved route leading to `service`.
pub fn draft(version: u64, service: &str) -> Value {
    let mut document = config_document(version);
    add_service(&mut document, NEW_SERVICE);
    add_route(&mut document, "moved", "/moved", service);
    document
}

pub fn add_service(document: &mut Value, name: &str) {
    let services = document["services"].as_array_mut().expect("a list");
    services.push(json!({ "name": name }));
}

pub fn add_route(document: &mut Value, name: &str, prefix: &str, service: &str) {
    let routes = document["routes"].as_array_mut().expect("a list");
    let mut route = routes[0].clone();
    route["name"] = name.into();
    route["pathPrefix"] = prefix.into();
    route["service"] = service.into();
    routes.push(route);
}

/// The moved route's entry in a configuration.
pub fn moved_route(document: &mut Value) -> &mut Value {
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.last_mut().expect("the moved route comes last")
}

/// Nodes that follow one store, each through its own proxy.
pub struct ConfigFleet {
    pub store: StandInStore,
    pub nodes: Vec<GatewayNode>,
    pub proxies: Vec<Arc<ProxyRoute>>,
    pub replicas: [StandInReplica; 2],
}

impl ConfigFleet {
    pub fn start(node_count: usize) -> Self {
        let store = StandInStore::start();
        let mut fleet = Self {
            replicas: [(OLD_REPLICA, OLD_SERVICE), (NEW_REPLICA, NEW_SERVICE)]
                .map(|(id, service)| StandInReplica::start(&store, id, service, None, ReplicaBehavior::Well)),
            store,
            nodes: Vec::new(),
            proxies: Vec::new(),
        };
        fleet.publish(&draft(FIRST_VERSION, OLD_SERVICE));
        (0..node_count).for_each(|_| fleet.add_node());
        fleet.nodes.iter().for_each(GatewayNode::wait_ready);
        wait_until("the nodes know each other", || {
            let knows_all = |node: &GatewayNode| node.metric("vms{", "state=\"live\"") >= node_count as f64;
            fleet.nodes.iter().all(knows_all)
        });
        fleet.wait_served_by(OLD_REPLICA);
        fleet
    }

    pub fn add_node(&mut self) {
        let target = self.store.address.to_string();
        let proxy = block_on(ProxyRoute::open("127.0.0.1:0", &target)).expect("a free port");
        let mut store = self.store.clone();
        store.address = proxy.address().parse().expect("an address");
        let name = format!("vm-{}", self.nodes.len() + 1);
        let seeds: Vec<&GatewayNode> = self.nodes.iter().take(3).collect();
        let node = GatewayNode::start(&store, &name, &seeds);
        self.nodes.push(node);
        self.proxies.push(proxy);
    }

    pub fn publish(&self, document: &Value) {
        self.write(&document.to_string());
    }

    /// Writes any text under the configuration's key.
    pub fn write(&self, text: &str) {
        self.store.put(CONFIG_KEY, text);
    }

    /// Waits until each node serves the moved route with a replica.
    pub fn wait_served_by(&self, replica: &str) {
        wait_until("the moved route is served", || {
            self.nodes.iter().all(|node| served_by(node) == replica)
        });
    }

    /// Sends requests to some nodes until a replica has answered through each of them. Returns how long the
    /// last one took; `None` if that exceeded the limit.
    pub fn measure_until_served(
        &self,
        indexes: &[usize],
        replica: &str,
        limit: Duration,
    ) -> Option<Duration> {
        let began = Instant::now();
        let mut waiting = indexes.to_vec();
        while began.elapsed() < limit {
            waiting.retain(|index| served_by(&self.nodes[*index]) != replica);
            if waiting.is_empty() {
                return Some(began.elapsed());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Sends requests to all nodes for a while. Returns the distinct results other than responses of a
    /// replica.
    pub fn answers_other_than(&self, replica: &str, span: Duration) -> Vec<String> {
        let began = Instant::now();
        let mut others = Vec::new();
        while began.elapsed() < span {
            let answers = self.nodes.iter().map(served_by);
            others.extend(answers.filter(|answer| answer != replica));
            std::thread::sleep(Duration::from_millis(20));
        }
        others.sort();
        others.dedup();
        others
    }
}

/// The replica that answers for the moved route, or the status of the failure.
pub fn served_by(node: &GatewayNode) -> String {
    answer_for(node, "shop.example", "/moved")
}

/// The replica that answers for a path, or the status of the failure.
pub fn answer_for(node: &GatewayNode, host: &str, path: &str) -> String {
    let text = request("GET", host, path, "q-1", "Connection: close\r\n", "");
    match exchange(node.callers(), &text) {
        None => "no answer".to_owned(),
        Some(answer) if answer.status() == 200 => answer.text().trim().to_owned(),
        Some(answer) => answer.status().to_string(),
    }
}
