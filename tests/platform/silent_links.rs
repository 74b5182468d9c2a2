//! Links between nodes that carry nothing any more while both nodes run.

use std::time::Duration;

use async_std::task::block_on;
use stand_ins::proxy::ProxyRoute;

use crate::node::{GatewayNode, publish_config, wait_until};
use crate::store::StandInStore;

/// How long the nodes are watched after their links fell silent: twice the time after which a silent node is
/// suspected.
const WATCH_SPAN: Duration = Duration::from_secs(4);

#[test]
fn nodes_whose_links_fall_silent_open_new_ones_and_suspect_nobody() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let seed = GatewayNode::start(&store, "vm-1", &[]);
    seed.wait_ready();
    let routes: Vec<_> = (0..3)
        .map(|_| {
            let target = seed.peer_address().to_string();
            block_on(ProxyRoute::open("127.0.0.1:0", &target)).expect("a free port")
        })
        .collect();
    let mut nodes: Vec<GatewayNode> = routes
        .iter()
        .zip(2..)
        .map(|(route, number)| {
            let seeds = [route.address().to_owned()];
            GatewayNode::start_with_seeds(&store, &format!("vm-{number}"), &seeds)
        })
        .collect();
    nodes.push(seed);
    let knows_all = |node: &GatewayNode| node.metric("vms{", "state=\"live\"") >= nodes.len() as f64;
    wait_until("all nodes know each other", || nodes.iter().all(knows_all));
    std::thread::sleep(Duration::from_millis(500));
    routes.iter().for_each(|route| route.silence());
    std::thread::sleep(WATCH_SPAN);
    for node in &nodes {
        let log = node.log();
        assert!(!log.contains("event=vm_suspected"), "{log}");
    }
}
