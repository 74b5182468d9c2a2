//! Nodes that follow one configuration, and what their callers see of it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use serde_json::{Value, json};
use stand_ins::proxy::ProxyRoute;

use crate::node::{GatewayNode, config_document, wait_until};
use crate::replica::{ReplicaMood, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{exchange, request};

/// By when after its confirmation a version has to be in force.
pub const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);

/// After which span without trouble a node counts as undisturbed.
pub const CALM_AFTER: Duration = Duration::from_millis(3_000);

/// Where the moved route leads before and after it is moved.
pub const OLD_SERVICE: &str = "desk";
pub const NEW_SERVICE: &str = "counter";

/// The replicas of these services.
pub const OLD_REPLICA: &str = "i-old";
pub const NEW_REPLICA: &str = "i-new";

/// Where the configuration stands.
pub const CONFIG_KEY: &str = "op/config";

/// The version that is in force as a test begins.
pub const FIRST_VERSION: u64 = 7;

/// The configuration of these tests, in which one route leads to a service.
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

/// The moved route in a configuration.
pub fn moved_route(document: &mut Value) -> &mut Value {
    let routes = document["routes"].as_array_mut().expect("a list");
    routes.last_mut().expect("the moved route comes last")
}

/// Nodes that follow one store, each over a way of its own.
pub struct ConfigFleet {
    pub store: StandInStore,
    pub nodes: Vec<GatewayNode>,
    pub ways: Vec<Arc<ProxyRoute>>,
    pub replicas: [StandInReplica; 2],
}

impl ConfigFleet {
    pub fn start(node_count: usize) -> Self {
        let store = StandInStore::start();
        let mut fleet = Self {
            replicas: [(OLD_REPLICA, OLD_SERVICE), (NEW_REPLICA, NEW_SERVICE)]
                .map(|(id, service)| StandInReplica::start(&store, id, service, None, ReplicaMood::Well)),
            store,
            nodes: Vec::new(),
            ways: Vec::new(),
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
        let way = block_on(ProxyRoute::open("127.0.0.1:0", &target)).expect("a free port");
        let mut store = self.store.clone();
        store.address = way.address().parse().expect("an address");
        let name = format!("vm-{}", self.nodes.len() + 1);
        let seeds: Vec<&GatewayNode> = self.nodes.iter().take(3).collect();
        let node = GatewayNode::start(&store, &name, &seeds);
        self.nodes.push(node);
        self.ways.push(way);
    }

    pub fn publish(&self, document: &Value) {
        self.write(&document.to_string());
    }

    /// Writes any text where the configuration stands.
    pub fn write(&self, text: &str) {
        self.store.put(CONFIG_KEY, text);
    }

    /// Waits until each node has read the replicas and serves the moved route.
    pub fn wait_served_by(&self, replica: &str) {
        wait_until("the moved route is served", || {
            self.nodes.iter().all(|node| served_by(node) == replica)
        });
    }

    /// Asks some nodes until all of them are served by a replica; how long the last of them took, where it is within a limit.
    pub fn time_until(&self, indexes: &[usize], replica: &str, limit: Duration) -> Option<Duration> {
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

    /// Asks all nodes for a while; what callers got beside answers of a replica.
    pub fn others_than(&self, replica: &str, span: Duration) -> Vec<String> {
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

/// Which replica answers for the moved route; the status where none does.
pub fn served_by(node: &GatewayNode) -> String {
    answer_for(node, "shop.example", "/moved")
}

/// Which replica answers for a path; the status where none does.
pub fn answer_for(node: &GatewayNode, host: &str, path: &str) -> String {
    let text = request("GET", host, path, "q-1", "Connection: close\r\n", "");
    match exchange(node.callers(), &text) {
        None => "no answer".to_owned(),
        Some(answer) if answer.status() == 200 => answer.text().trim().to_owned(),
        Some(answer) => answer.status().to_string(),
    }
}
