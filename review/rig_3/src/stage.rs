//! What the cases share: a folder, addresses, the operator's configuration and callers.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::node::{FRONTEND_PORT, Node, NodeSettings};
use crate::store::Store;
use crate::{note, record};

pub const HOST: &str = "desk.example";
pub const SERVICE: &str = "yard-desk";

/// How long a caller waits for its answer, in milliseconds.
const WAIT_MS: u64 = 4_000;

/// A temporary folder and a block of loopback addresses, both of this run alone.
pub struct Stage {
    pub folder: PathBuf,
    block: String,
}

impl Stage {
    pub fn new() -> Self {
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("rig-3-{number}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let blocks = (number..).map(|number| format!("127.{}.{}", 16 + number / 250 % 200, number % 250));
        let block = blocks
            .into_iter()
            .find(|block| is_free(block))
            .expect("a free block of addresses");
        Self { folder, block }
    }

    pub fn ip(&self, number: u32) -> String {
        format!("{}.{number}", self.block)
    }

    /// Starts a node for each store address, all with the first one as their seed.
    pub fn start_nodes(&self, stores: &[SocketAddr]) -> Vec<Node> {
        let seeds = [self.ip(11)];
        let start = |(number, store): (u32, &SocketAddr)| {
            Node::start(&NodeSettings {
                folder: &self.folder,
                name: &format!("front-z1-{number}"),
                ip: &self.ip(10 + number),
                seeds: &seeds,
                store: *store,
            })
        };
        (1..).zip(stores).map(start).collect()
    }
}

/// Whether nothing listens on the ports of the store and of the first node.
fn is_free(block: &str) -> bool {
    let addresses = [
        format!("{block}.1:8142"),
        format!("{block}.11:{FRONTEND_PORT}"),
        format!("{block}.11:9464"),
    ];
    addresses.iter().all(|address| TcpListener::bind(address).is_ok())
}

impl Drop for Stage {
    fn drop(&mut self) {
        remove(&self.folder);
    }
}

fn remove(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Writes a version of the configuration: one route for bookings, and as many idle routes as the version says.
pub fn write_config(store: &Store, version: u32) {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"unsafe\",\
             \"timeoutMs\":4000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2}}"
        )
    };
    let mut routes = vec![route("book", "/book/")];
    routes.extend((2..=version).map(|number| route(&format!("idle-{number}"), &format!("/idle-{number}/"))));
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthCheck\":\"/health\",\
         \"maxConnections\":257,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    );
    while store.put("op/config", &text).is_none() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Writes a configuration whose only route leads safe requests to a service.
pub fn write_safe_config(store: &Store, service: &str) {
    let text = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"look\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/look/\",\
         \"kind\":\"safe\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{service}\",\
         \"attempts\":2}}],\"services\":[{{\"name\":\"{service}\",\"healthCheck\":\"/health\",\"maxConnections\":257}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &text);
}

/// Writes a version of the configuration whose only route leads to a service.
pub fn write_routed_config(store: &Store, version: u32, service: &str) {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/book/\",\
         \"kind\":\"unsafe\",\"timeoutMs\":4000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":2}}],\"services\":[{{\"name\":\"desk-old\",\"healthCheck\":\"/health\",\"maxConnections\":257}},\
         {{\"name\":\"desk-new\",\"healthCheck\":\"/health\",\"maxConnections\":257}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op/config", &text);
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    /// When the caller sent its request, in milliseconds since the start of the script.
    pub sent_ms: u64,
    /// The status; `None` without a complete answer.
    pub status: Option<u16>,
}

/// Sends one booking to each of these addresses at the same time, and waits for all answers.
pub fn book(name: &str, addresses: &[SocketAddr]) -> Vec<Answer> {
    let callers: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| {
            let (id, address) = (format!("{name}-{number}"), *address);
            std::thread::spawn(move || book_one(id, address))
        })
        .collect();
    callers
        .into_iter()
        .map(|caller| caller.join().expect("no caller panics"))
        .collect()
}

fn book_one(id: String, address: SocketAddr) -> Answer {
    let request = format!(
        "POST /book/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {WAIT_MS}\r\n\
         Content-Length: 4\r\nConnection: close\r\n\r\nbook"
    );
    let sent_ms = record::now_ms();
    note!("caller: sends {id} to {address}");
    let answer = http::ask(address, &request, Duration::from_millis(WAIT_MS));
    let status = answer.ok().map(|answer| answer.status());
    note!(
        "caller: {id} is answered {}",
        status.map_or_else(|| "not at all".to_owned(), |status| status.to_string())
    );
    Answer { id, sent_ms, status }
}

pub fn sleep_ms(span_ms: u64) {
    std::thread::sleep(Duration::from_millis(span_ms));
}

pub fn start_store(stage: &Stage) -> Arc<Store> {
    Store::start(&format!("{}:8142", stage.ip(1)))
}
