//! MIXED: bytes that are no answer in the protocol, after the answer to a `HEAD` request.

use std::net::TcpStream;
use std::time::Duration;

use crate::desk::Desk;
use crate::http::{Connection, Message};
use crate::node::Node;
use crate::note;
use crate::stage::{HOST, SERVICE, Stage, sleep_ms, start_store, write_safe_config};

/// How a status line begins.
const STATUS_LINE: &str = "HTTP/1.1 ";

/// A caller that keeps its channel.
struct Caller {
    connection: Connection,
}

impl Caller {
    fn send(&mut self, method: &str, id: &str) -> bool {
        let request = format!(
            "{method} /look/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\r\n"
        );
        note!("caller: sends {method} {id}");
        self.connection.write(request.as_bytes()).is_ok()
    }

    fn read(&mut self, method: &str, id: &str) -> Option<Message> {
        let answer = match method {
            "HEAD" => self.connection.read_head(),
            _ => self.connection.read_message(true),
        };
        let answer = answer.ok();
        note!(
            "caller: {id} is answered {:?}",
            answer.as_ref().map(|answer| &answer.line)
        );
        answer
    }

    fn ask(&mut self, method: &str, id: &str) -> Option<u16> {
        let is_sent = self.send(method, id);
        self.read(method, id)
            .filter(|_| is_sent)
            .map(|answer| answer.status())
    }
}

/// All replicas of a service are down for some seconds; a caller asks with `HEAD` meanwhile.
pub fn head_request(has_trouble: bool) -> Option<Vec<String>> {
    let stage = Stage::new();
    let store = start_store(&stage);
    write_safe_config(&store, SERVICE);
    let start = |number: u32| {
        let address = format!("{}:8080", stage.ip(100 + number));
        Desk::start(&store, SERVICE, &format!("desk-{number}"), &address, 50)
    };
    let desks = [start(1), start(2)];
    let nodes = stage.start_nodes(&[store.address; 3]);
    if !nodes.iter().all(Node::wait_ready) {
        return None;
    }
    let mut broken = Vec::new();
    for node in &nodes {
        let stream = TcpStream::connect(node.frontend()).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let mut caller = Caller {
            connection: Connection::new(stream),
        };
        let name = &node.name;
        // In calm the channel carries answers to both methods.
        let calm = [
            ("HEAD", "one"),
            ("GET", "two"),
            ("HEAD", "three"),
            ("GET", "four"),
        ];
        for (method, number) in calm {
            if caller.ask(method, &format!("{name}-{number}")) != Some(200) {
                return None;
            }
        }
        broken.push((caller, name.clone()));
    }
    let mut callers = std::mem::take(&mut broken);
    if has_trouble {
        desks.iter().for_each(|desk| desk.crash());
        sleep_ms(300);
    }
    for (caller, name) in &mut callers {
        let status = caller.ask("HEAD", &format!("{name}-five"))?;
        note!("{name}: HEAD is answered {status}");
    }
    let after = has_trouble.then(|| [start(3), start(4)]);
    sleep_ms(4_000);
    let mut found = Vec::new();
    for (caller, name) in &mut callers {
        let id = format!("{name}-six");
        if !caller.send("GET", &id) {
            note!("{name}: the channel is closed");
            continue;
        }
        let first = caller.connection.peek(STATUS_LINE.len());
        if first.is_empty() {
            note!("{name}: the channel is closed");
        } else if first == STATUS_LINE {
            caller.read("GET", &id);
        } else {
            note!(
                "{name}: the answer to {id} begins with {:?}",
                caller.connection.peek(60)
            );
            found.push(format!(
                "MIXED: after the answer to HEAD, {name} sent bytes that are no answer; what was read for {id} begins with {first:?}"
            ));
        }
    }
    desks
        .iter()
        .chain(after.iter().flatten())
        .for_each(|desk| desk.end());
    Some(found)
}
