//! ONE: an order with a lower epoch number after a higher one.

use std::time::Duration;

use crate::engine::Engine;
use crate::http;
use crate::note;
use crate::stage::{HOST, Stage, sleep_ms, start_store};

const SERVICE: &str = "ash-reader";

/// Engines of the service, all in the decode phase at first.
const ENGINES: u32 = 8;

/// Events of each stream, four a second: a stream takes 13 s.
const EVENTS: u32 = 52;

/// All processes are killed at the same moment and start again.
pub fn killed_holder(has_trouble: bool) -> Option<Vec<String>> {
    let stage = Stage::new();
    let store = start_store(&stage);
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"note\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/note/\",\
         \"kind\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"attempts\":2,\"sessionAffinity\":true,\"resumable\":false,\"targetGapMs\":300}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthCheck\":\"/health\",\"maxConnections\":420,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":16,\"kvTokens\":38007,\"kvTokenBytes\":131072,\"linkMbps\":740000.0,\
         \"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\"kvTtlS\":0.5,\"stageSwitchS\":6.0,\"pinMs\":4000.0,\
         \"holdMs\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &config)?;
    let start = |number: u32| {
        let address = format!("{}:8080", stage.ip(100 + number));
        Engine::start(&store, SERVICE, &format!("reader-{number}"), &address, EVENTS)
    };
    let engines: Vec<_> = (1..=ENGINES).map(start).collect();
    let mut nodes = stage.start_nodes(&[store.address; 3]);
    if !nodes.iter().all(|node| node.wait_ready()) {
        return None;
    }
    // Long streams keep all engines at work.
    let frontends: Vec<_> = nodes.iter().map(|node| node.frontend()).collect();
    let callers: Vec<_> = (0..2 * ENGINES)
        .map(|number| {
            let address = frontends[number as usize % frontends.len()];
            std::thread::spawn(move || {
                let id = format!("note-{number}");
                let request = format!(
                    "POST /note/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model-Name: m\r\n\
                     X-Token-Count: 100,{EVENTS}\r\nX-Prompt-Prefix: aa01:60,{:x}:40\r\nX-Deadline-Ms: 14000\r\n\
                     Content-Length: 4\r\nConnection: close\r\n\r\nnote",
                    0xb000 + number
                );
                note!("caller: sends {id} to {address}");
                let answer = http::ask(address, &request, Duration::from_secs(14));
                let status = answer.ok().map(|answer| answer.status());
                note!("caller: {id} got {status:?}");
            })
        })
        .collect();
    // Until orders were given again, since the engines let their work run to completion first.
    sleep_ms(11_000);
    if has_trouble {
        note!("all processes are killed");
        nodes.iter_mut().for_each(|node| node.kill());
        sleep_ms(300);
        nodes.iter_mut().for_each(|node| node.launch());
    }
    sleep_ms(8_000);
    callers
        .into_iter()
        .for_each(|caller| caller.join().expect("no caller panics"));
    let mut broken = Vec::new();
    let mut given = 0;
    for engine in &engines {
        let orders = engine.orders.lock().expect("no holder panics").clone();
        given += orders.len();
        for pair in orders.windows(2) {
            let [before, after] = pair else { continue };
            if after.token < before.token {
                broken.push(format!(
                    "ONE: {} got an order with epoch number {} from {} (answered {}) after one with {} from {} (answered {})",
                    engine.id, after.token, after.holder, after.status, before.token, before.holder, before.status
                ));
            }
        }
    }
    if given == 0 {
        note!("no order was given");
        return None;
    }
    Some(broken)
}
