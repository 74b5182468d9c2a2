//! DRAIN: requests that reach a replica later than `drainMs` after the store has accepted that it drains.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::desk::Desk;
use crate::node::Node;
use crate::note;
use crate::proxy::Proxy;
use crate::stage::{SERVICE, Stage, book, sleep_ms, start_store, write_config};
use crate::store::Store;

/// `drainMs` of the settings.
const DRAIN_MS: u64 = 2_000;

/// How long a booking takes, in milliseconds.
const WORK_MS: u64 = 500;

fn start_desk(stage: &Stage, store: &Arc<Store>, number: u32) -> Arc<Desk> {
    let address = format!("{}:8080", stage.ip(100 + number));
    Desk::start(store, SERVICE, &format!("desk-{number}"), &address, WORK_MS)
}

fn frontends(nodes: &[Node], rounds: usize) -> Vec<SocketAddr> {
    let all = nodes.iter().map(Node::frontend);
    std::iter::repeat_n(all, rounds).flatten().collect()
}

/// Waits until all nodes are ready and serve; false if they don't.
fn is_serving(nodes: &[Node]) -> bool {
    nodes.iter().all(Node::wait_ready)
        && book("calm", &frontends(nodes, 2))
            .iter()
            .all(|answer| answer.status == Some(200))
}

/// Drains a replica, waits without traffic and then sends bookings to all nodes. Returns the requests that reached the
/// replica too late.
fn drain_and_book(desk: &Desk, nodes: &[Node], quiet_ms: u64) -> Vec<String> {
    let accepted_ms = desk.drain();
    sleep_ms(quiet_ms);
    let addresses = frontends(nodes, 4);
    // The replica exits a little later than `drainMs` after it has reported that it drains.
    let callers = std::thread::spawn(move || book("late", &addresses));
    sleep_ms(300);
    desk.end();
    let answers = callers.join().expect("no caller panics");
    let runs = desk.runs.lock().expect("no holder panics").clone();
    let late = runs.iter().filter(|run| run.at_ms > accepted_ms + DRAIN_MS);
    late.map(|run| {
        let answer = answers.iter().find(|answer| answer.id == run.id);
        let status = answer.and_then(|answer| answer.status);
        format!(
            "DRAIN: {} reached {} {} ms after the store had accepted that it drains; its caller sent it {} ms after \
             that and got {}",
            run.id,
            desk.id,
            run.at_ms - accepted_ms,
            answer.map_or(0, |answer| answer.sent_ms.saturating_sub(accepted_ms)),
            status.map_or_else(|| "no answer".to_owned(), |status| status.to_string())
        )
    })
    .collect()
}

/// The store comes back from a copy that is some seconds old.
pub fn store_copy(has_trouble: bool) -> Option<Vec<String>> {
    let stage = Stage::new();
    let store = start_store(&stage);
    write_config(&store, 1);
    let desks = [start_desk(&stage, &store, 1), start_desk(&stage, &store, 2)];
    let nodes = stage.start_nodes(&[store.address; 3]);
    if !is_serving(&nodes) {
        return None;
    }
    let copy = has_trouble.then(|| store.copy());
    // A series of changes of the configuration, and one more replica.
    for version in 2..=7 {
        write_config(&store, version);
        sleep_ms(330);
    }
    let third = start_desk(&stage, &store, 3);
    sleep_ms(600);
    if let Some(copy) = copy {
        store.leave();
        sleep_ms(1_000);
        store.come_back(Some(copy));
    }
    // What the operator and the replicas wrote is written again, the latter with their next check-ins.
    sleep_ms(200);
    write_config(&store, 7);
    sleep_ms(6_000);
    if !book("settled", &frontends(&nodes, 2))
        .iter()
        .all(|answer| answer.status == Some(200))
    {
        note!("the nodes don't serve in calm");
        return None;
    }
    sleep_ms(500);
    let broken = drain_and_book(&desks[0], &nodes, DRAIN_MS + 200);
    // Not judged: what callers get once the other replicas have been replaced, too.
    let fourth = start_desk(&stage, &store, 4);
    sleep_ms(3_000);
    for desk in [&desks[1], &third] {
        desk.drain();
        sleep_ms(DRAIN_MS + 500);
        desk.end();
    }
    sleep_ms(3_000);
    let answers = book("replaced", &frontends(&nodes, 2));
    let served = answers.iter().filter(|answer| answer.status == Some(200)).count();
    note!(
        "not judged: with desk-4 as the only replica, {served} of {} bookings were served",
        answers.len()
    );
    fourth.end();
    Some(broken)
}

/// All open connections to the store fall silent, while new ones work.
pub fn silent_store(has_trouble: bool) -> Option<Vec<String>> {
    /// `stableWindowMs` of the settings: for so long after the disruption no machine is in touch.
    const STABLE_WINDOW_MS: u64 = 3_000;
    let stage = Stage::new();
    let store = start_store(&stage);
    write_config(&store, 1);
    let desks = [start_desk(&stage, &store, 1), start_desk(&stage, &store, 2)];
    let start_proxy = |number| Proxy::start(&format!("{}:8142", stage.ip(number)), store.address);
    let proxies: Vec<Arc<Proxy>> = (2..5).map(start_proxy).collect();
    let addresses: Vec<SocketAddr> = proxies.iter().map(|proxy| proxy.address).collect();
    let nodes = stage.start_nodes(&addresses);
    if !is_serving(&nodes) {
        return None;
    }
    sleep_ms(4_000);
    // One more replica, of which all nodes hear.
    let third = start_desk(&stage, &store, 3);
    sleep_ms(600);
    if has_trouble {
        note!("all open connections to the store fall silent");
        proxies.iter().for_each(|proxy| proxy.silence());
    }
    sleep_ms(100);
    let broken = drain_and_book(&desks[0], &nodes, STABLE_WINDOW_MS + 200);
    desks[1].end();
    third.end();
    Some(broken)
}
