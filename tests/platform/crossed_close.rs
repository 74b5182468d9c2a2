//! Requests that arrive as their connections are closed in favor of others.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::node::{GatewayNode, NodeResources, publish_config};
use crate::replica::{ReplicaBehavior, StandInReplica};
use crate::store::StandInStore;
use crate::wire::{read_answer, request};

/// Descriptors of the node, of which callers have 60.
const MAX_FDS: usize = 300;

/// Callers that keep a connection each, in groups that send in turn. They take all places.
const KEEPERS: usize = 60;
const GROUPS: usize = 10;

/// Callers that open new connections together, as a group of the others sends, and leave before the next time.
const NEWCOMERS: usize = 6;
const BURST_STEPS: usize = GROUPS + 1;

/// Time between two moments at which callers send.
const STEP: Duration = Duration::from_millis(25);

/// How long callers send.
const SPAN: Duration = Duration::from_secs(6);

/// Time that a call takes, in milliseconds.
const CALL_MS: u64 = 8;

/// How a request ended at its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestEnd {
    Answered(u16),
    /// The connection was closed without an answer.
    Closed,
}

/// A request that was sent, and its end.
struct SentRequest {
    id: String,
    end: RequestEnd,
}

fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).expect("a connection")
}

/// Whether the node has closed a connection, as far as its caller can know before it sends.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("an open socket");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("an open socket");
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Sends a booking over a connection; also returns whether the connection can be used again.
fn send(stream: &mut TcpStream, id: String) -> (SentRequest, bool) {
    let text = request("POST", "shop.example", "/book", &id, "", "x");
    // A write to a connection that was closed meanwhile shows when the answer is read.
    let _ = stream.write_all(text.as_bytes());
    let answer = read_answer(stream).filter(|answer| answer.is_whole);
    let end = answer
        .as_ref()
        .map_or(RequestEnd::Closed, |answer| RequestEnd::Answered(answer.status()));
    let is_kept = answer.is_some_and(|answer| answer.header("Connection") != Some("close"));
    (SentRequest { id, end }, is_kept)
}

// Guards against review/6: a request that a replica runs and whose connection is closed without an answer, since the
// connection was taken for closing as the request arrived.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_is_answered_or_not_run() {
    let store = StandInStore::start();
    publish_config(&store, 1);
    let replicas = ["i-1", "i-2", "i-3"]
        .map(|id| StandInReplica::start(&store, id, "desk", None, ReplicaBehavior::PacedCalls(CALL_MS)));
    let resources = NodeResources::default().max_fds(MAX_FDS);
    let node = GatewayNode::start_with_resources(&store, "vm-1", &[], resources);
    node.wait_ready();
    let address = node.callers();
    let sent: Arc<Mutex<Vec<SentRequest>>> = Arc::default();
    let begin = Instant::now();
    let record = |request: SentRequest| sent.lock().expect("no holder panics").push(request);
    let wait_for = |step: usize| {
        let at = begin + STEP * u32::try_from(step).expect("few steps");
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        at < begin + SPAN
    };
    std::thread::scope(|scope| {
        for keeper in 0..KEEPERS {
            let (record, wait_for) = (&record, &wait_for);
            scope.spawn(move || {
                let mut stream = connect(address);
                for turn in 0.. {
                    if !wait_for(keeper % GROUPS + GROUPS * turn) {
                        return;
                    }
                    if is_closed(&stream) {
                        stream = connect(address);
                    }
                    let (request, is_kept) = send(&mut stream, format!("k-{keeper}-{turn}"));
                    record(request);
                    if !is_kept {
                        stream = connect(address);
                    }
                }
            });
        }
        for newcomer in 0..NEWCOMERS {
            let (record, wait_for) = (&record, &wait_for);
            scope.spawn(move || {
                for burst in 1.. {
                    if !wait_for(burst * BURST_STEPS) {
                        return;
                    }
                    let mut stream = connect(address);
                    record(send(&mut stream, format!("n-{newcomer}-{burst}")).0);
                    wait_for(burst * BURST_STEPS + GROUPS / 2);
                }
            });
        }
    });
    let sent = sent.lock().expect("no holder panics");
    let count = |end: RequestEnd| sent.iter().filter(|request| request.end == end).count();
    let was_run = |request: &&SentRequest| replicas.iter().any(|replica| replica.runs(&request.id) > 0);
    let closed = sent.iter().filter(|request| request.end == RequestEnd::Closed);
    let lost: Vec<&str> = closed.filter(was_run).map(|request| &*request.id).collect();
    let refused = sent
        .iter()
        .filter(|request| request.end == RequestEnd::Answered(503));
    let refused_and_run = refused.filter(was_run).count();
    println!(
        "{} requests: {} served, {} refused, {} closed, {} closed and run; {} connections were closed for others",
        sent.len(),
        count(RequestEnd::Answered(200)),
        count(RequestEnd::Answered(503)),
        count(RequestEnd::Closed),
        lost.len(),
        node.metric("closed_callers", "longest_idle"),
    );
    assert!(lost.is_empty(), "{} were run and lost: {lost:?}", lost.len());
    assert_eq!(refused_and_run, 0, "refused requests were run");
    assert!(
        node.metric("closed_callers", "longest_idle") > 100.0,
        "connections have to be closed for others"
    );
    assert!(count(RequestEnd::Answered(200)) > sent.len() / 2);
}
