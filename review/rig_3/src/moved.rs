//! CONFIG: the settings name another address of the store, and a version that is written there is not applied.

use crate::desk::Desk;
use crate::node::Node;
use crate::note;
use crate::record;
use crate::stage::{Stage, book, sleep_ms, write_routed_config};
use crate::store::Store;

/// `configApplyMs` of the settings.
const CONFIG_APPLY_MS: u64 = 2_000;

/// The operator moves the store to another address and changes the settings files.
pub fn moved_store(has_trouble: bool) -> Option<Vec<String>> {
    let stage = Stage::new();
    let store = Store::start(&format!("{}:8142", stage.ip(1)));
    write_routed_config(&store, 1, "desk-old");
    let start = |service: &str, number: u32| {
        let address = format!("{}:8080", stage.ip(100 + number));
        Desk::start(&store, service, &format!("desk-{number}"), &address, 100)
    };
    let (old, new) = (start("desk-old", 1), start("desk-new", 2));
    let nodes = stage.start_nodes(&[store.address; 3]);
    let frontends: Vec<_> = nodes.iter().map(Node::frontend).collect();
    if !nodes.iter().all(Node::wait_ready)
        || !book("calm", &frontends)
            .iter()
            .all(|answer| answer.status == Some(200))
    {
        return None;
    }
    sleep_ms(2_000);
    if has_trouble {
        // Both addresses serve the same content, the first one for some more seconds.
        store.listen_also(&format!("{}:8142", stage.ip(2)));
        nodes
            .iter()
            .for_each(|node| node.change_store(&stage.ip(1), &stage.ip(2)));
        sleep_ms(10_000);
        store.close_first();
    }
    // Longer than `stableWindowMs` in calm.
    sleep_ms(8_000);
    write_routed_config(&store, 2, "desk-new");
    let acknowledged_ms = record::now_ms();
    sleep_ms(CONFIG_APPLY_MS + 1_000);
    let answers = book("moved", &[&frontends[..], &frontends[..]].concat());
    let runs = old.runs.lock().expect("no holder panics").clone();
    let stale = runs.iter().filter(|run| run.id.starts_with("moved"));
    let broken: Vec<String> = stale
        .map(|run| {
            let sent_ms = answers
                .iter()
                .find(|answer| answer.id == run.id)
                .map_or(0, |answer| answer.sent_ms);
            format!(
                "CONFIG: {}, sent {} ms after the ack of version 2, was run by the old service",
                run.id,
                sent_ms.saturating_sub(acknowledged_ms)
            )
        })
        .collect();
    note!(
        "{} of {} requests were answered 200",
        answers.iter().filter(|answer| answer.status == Some(200)).count(),
        answers.len()
    );
    old.end();
    new.end();
    Some(broken)
}
