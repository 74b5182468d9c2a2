//! Stand-ins of replicas: plain ones, and engines that keep prefilled prompts under handles.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::bounded::{Occupancy, SlotBounds};
use crate::faults::{AnswerForm, EndlessBytes, TruncatedBody, send_endless, send_truncated};
use crate::life::ReplicaProcess;
use crate::prompt_parts::has_deadly_part;
use crate::store::StandInStore;
use crate::wire::{Message, read_request, write_answer};

/// How a replica responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaBehavior {
    /// It answers correctly.
    Well,
    /// It refuses each request and states that it did not run it.
    NotRun,
    /// It answers without a signature.
    Unsigned,
    /// It answers with the id of another request.
    OtherId,
    /// It answers 421, as if the request were meant for another replica.
    Misdirected,
    /// It reads the request and closes the connection.
    Breaks,
    /// It sends two events of a stream and closes the connection.
    BreaksStream,
    /// It sends one event every 150 milliseconds, and takes [`SLOW_CALL`] for a plain call.
    Slow,
    /// It runs the request and never answers.
    Silent,
    /// It answers, and announces that it is about to leave.
    Leaving,
    /// It refuses requests with a `Retry-After` of [`RETRY_AFTER_S`].
    RequestsBackoff,
    /// It answers, and sends the same response again a little later.
    AnswersTwice,
    /// It sends events with long pauses that the route still allows.
    SlowEvents,
    /// It sends three events with such pauses and closes the connection.
    BreaksSlowStream,
    /// It takes this many microseconds per token to prefill a prompt.
    PacedPrompts(u64),
    /// It sends one event of a stream every so many milliseconds.
    PacedEvents(u64),
    /// It takes so many milliseconds for a plain call.
    PacedCalls(u64),
    /// It runs and queues calls up to these bounds and rejects the others; it reports its load.
    Bounded(SlotBounds),
    /// It sends bytes endlessly.
    Endless(EndlessBytes),
    /// It truncates its responses.
    Truncates(TruncatedBody),
    /// It sends so many bytes of its response and closes the connection.
    StopsAfter(usize, AnswerForm),
    /// It sends this body and ends its response in order.
    Sends {
        body: &'static [u8],
        form: AnswerForm,
        has_type: bool,
    },
    /// It begins a response that ends with its connection and crashes.
    CrashesInUnframed(&'static [u8]),
    /// From the second request of a connection on, it repeats an earlier refusal before the response, and
    /// runs the request.
    RepeatsRefusal(RefusalCopy),
    /// It breaks streams off after two events, and resumes the streams of other replicas with a malformed
    /// response.
    BreaksAndResumes(MalformedRest),
}

/// What a health check gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthAnswer {
    /// A success that names the replica.
    Named,
    /// The same after [`LATE_HEALTH`], as if it had waited for a slot.
    Late,
    /// A failure that names the replica.
    Failing,
    /// A refusal of a replica whose slots are taken.
    Rejected,
    /// An error of a proxy that has no process behind it.
    OfProxy,
    /// A success that names another replica.
    OfOther,
    /// The refusal of another replica that the check was not meant for.
    Misdirected,
}

/// How long a late answer to a health check takes.
const LATE_HEALTH: Duration = Duration::from_millis(600);

/// The malformed response that a replica sends when it is asked to resume a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedRest {
    /// An error with this status and a JSON body.
    Status(u16),
    /// A 503 that states that the request was not run.
    Refusal,
    /// A success with a JSON body.
    Json,
    /// A success with a text body and no content type.
    UntypedText,
    /// A JSON body with the content type of an event stream.
    TextAsStream,
    /// An event without an id.
    ErrorEvent,
    /// The head of an error response in the body of a stream.
    HeadInBody,
    /// The complete stream from its first event.
    FromTheStart,
    /// The rest of the stream without its first event.
    WithGap,
}

impl MalformedRest {
    fn write(self, stream: &mut TcpStream, id: &str, next: u64) -> bool {
        const ERROR: &[u8] = b"{\"error\":\"out of memory\"}";
        let signed = [("X-Request-Id", id), ("X-Response-Signature", "s")];
        let typed = |kind| [signed[0], signed[1], ("Content-Type", kind)];
        let events = "text/event-stream";
        let rest_from = |first: u64| -> String {
            let numbers = first..=STREAM_EVENTS;
            numbers
                .map(|number| format!("id: {number}\ndata: token\n\n"))
                .collect()
        };
        match self {
            Self::Status(status) => write_answer(stream, status, &typed("application/json"), ERROR),
            Self::Refusal => write_answer(stream, 503, &[("X-Request-Id", id), ("X-Not-Executed", "1")], b""),
            Self::Json => write_answer(stream, 200, &typed("application/json"), ERROR),
            Self::UntypedText => write_answer(stream, 200, &signed, b"out of memory"),
            Self::TextAsStream => write_answer(stream, 200, &typed(events), ERROR),
            Self::ErrorEvent => {
                let event = [b"data: ", ERROR, b"\n\n"].concat();
                write_answer(stream, 200, &typed(events), &event)
            }
            Self::HeadInBody => {
                let head = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
                write_answer(stream, 200, &typed(events), head)
            }
            Self::FromTheStart => write_answer(stream, 200, &typed(events), rest_from(1).as_bytes()),
            Self::WithGap => write_answer(stream, 200, &typed(events), rest_from(next + 1).as_bytes()),
        }
    }
}

/// The form in which an earlier refusal is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCopy {
    /// With the id of the request that was refused.
    EarlierId,
    /// Without an id.
    NoId,
    /// As a 421 with the id of the request that was refused.
    MisdirectedEarlierId,
    /// As a 421 without an id.
    MisdirectedNoId,
    /// Without an id, and without a response to the current request after it.
    NoIdAlone,
}

impl RefusalCopy {
    fn write(self, stream: &mut TcpStream) -> bool {
        let id = ("X-Request-Id", "refused-before");
        let not_run = ("X-Not-Executed", "1");
        match self {
            Self::EarlierId => write_answer(stream, 503, &[id, not_run], b""),
            Self::NoId | Self::NoIdAlone => write_answer(stream, 503, &[not_run], b""),
            Self::MisdirectedEarlierId => write_answer(stream, 421, &[id], b""),
            Self::MisdirectedNoId => write_answer(stream, 421, &[], b""),
        }
    }
}

/// The header in which a replica states how many requests per second it accepts from all VMs together.
pub const LIMIT_HEADER: &str = "Server-Limit";

/// The `Retry-After` of a replica that requests backoff, in seconds.
pub const RETRY_AFTER_S: u64 = 3;

/// How long a slow replica takes for a plain call.
pub const SLOW_CALL: Duration = Duration::from_millis(400);

/// The delay of the second copy of a response.
const SECOND_COPY_AFTER: Duration = Duration::from_millis(60);

/// The prefill time of a slow prompt, in microseconds per token.
pub const SLOW_TOKEN_US: u64 = 200;

/// The pause between slow events; the test route allows two seconds.
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(900);

/// A body with this word crashes each replica that runs it.
pub const CRASH_MARKER: &str = "ends-replicas";

/// A body with this word crashes the replica as soon as it is read; it contains [`CRASH_MARKER`].
pub const INSTANT_CRASH_MARKER: &str = "ends-replicas-at-once";

/// How long a replica runs a body with [`CRASH_MARKER`] before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Events of a complete stream.
pub const STREAM_EVENTS: u64 = 5;

/// A caller's request that arrived at a replica.
pub struct Arrival {
    pub id: String,
    /// Whether it was a prefill request that the replica ran.
    pub is_accepted_prefill: bool,
}

/// A replica that listens on loopback.
#[derive(Clone)]
pub struct StandInReplica {
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The address in its entry: its own, or that of a proxy in front of it.
    listed_address: Arc<Mutex<SocketAddr>>,
    behavior: Arc<Mutex<ReplicaBehavior>>,
    requests: Arc<Mutex<Vec<Message>>>,
    /// The id of each run, in order.
    runs: Arc<Mutex<Vec<String>>>,
    /// Arrival times of requests whose body contains [`CRASH_MARKER`].
    crashing_arrivals: Arc<Mutex<Vec<Instant>>>,
    /// Arrival times and ids of requests with a deadly part in their prompts.
    deadly_part_arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    /// Arrival times of all requests, and the workspaces that they name.
    arrived_at: Arc<Mutex<Vec<(Instant, String)>>>,
    /// The rate limit that it reports in its responses, and when it first did.
    limit: Arc<Mutex<NamedLimit>>,
    /// Whether its responses have an attribute header that the product does not know.
    has_unknown_attribute: Arc<Mutex<bool>>,
    /// The value of its load header.
    load: Arc<Mutex<String>>,
    /// How often it repeated an earlier refusal.
    refusal_copies: Arc<AtomicUsize>,
    health: Arc<Mutex<HealthAnswer>>,
    /// The calls that it runs and queues, where it is bounded.
    occupancy: Arc<Occupancy>,
    pub process: Arc<ReplicaProcess>,
}

/// The rate limit that a replica reports.
#[derive(Clone, Debug, Default)]
struct NamedLimit {
    text: Option<String>,
    named_at: Option<Instant>,
}

impl StandInReplica {
    /// Starts a replica on loopback and writes its entry to the store.
    pub fn start(
        store: &StandInStore,
        id: &str,
        service: &str,
        phase: Option<&str>,
        behavior: ReplicaBehavior,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica = Self {
            id: id.to_owned(),
            address,
            listed_address: Arc::new(Mutex::new(address)),
            behavior: Arc::new(Mutex::new(behavior)),
            requests: Arc::default(),
            runs: Arc::default(),
            crashing_arrivals: Arc::default(),
            deadly_part_arrivals: Arc::default(),
            arrived_at: Arc::default(),
            limit: Arc::default(),
            has_unknown_attribute: Arc::default(),
            load: Arc::new(Mutex::new("1,0,4".to_owned())),
            refusal_copies: Arc::default(),
            health: Arc::new(Mutex::new(HealthAnswer::Named)),
            occupancy: Arc::default(),
            process: Arc::new(ReplicaProcess::new(address)),
        };
        replica.publish(store, service, phase, "ready");
        let (served, store) = (replica.clone(), store.clone());
        let (service, phase) = (service.to_owned(), phase.map(str::to_owned));
        std::thread::spawn(move || {
            let mut listener = listener;
            loop {
                let open = served.process.accept_until_crash(listener, |mut stream, number| {
                    let replica = served.clone();
                    std::thread::spawn(move || {
                        replica.serve(&mut stream);
                        replica.process.remove_connection(number);
                    });
                });
                listener = served.process.restart(open);
                let start = served.process.start_number();
                served.publish_start(&store, &service, phase.as_deref(), start);
            }
        });
        replica
    }

    /// Writes the replica's entry to the store; `state` is `ready` or `draining`.
    pub fn publish(&self, store: &StandInStore, service: &str, phase: Option<&str>, state: &str) {
        self.write_entry(store, service, phase, state, self.process.start_number());
    }

    /// The address in the replica's entry.
    pub fn listed_address(&self) -> SocketAddr {
        *self.listed_address.lock().expect("no holder panics")
    }

    /// Sets the address in later entries, such as that of a proxy in front of the replica.
    pub fn list_at(&self, address: SocketAddr) {
        *self.listed_address.lock().expect("no holder panics") = address;
    }

    /// Writes the entry of a later start of the replica, under the same id.
    pub fn publish_start(&self, store: &StandInStore, service: &str, phase: Option<&str>, born: u64) {
        self.write_entry(store, service, phase, "ready", born);
    }

    /// Writes the entry of a plain replica with the time for which it stays slow after its start, in
    /// milliseconds.
    pub fn publish_cold(&self, store: &StandInStore, service: &str, remaining_ms: u64) {
        let entry = json!({
            "service": service, "address": self.listed_address(), "zone": "a", "slots": 4, "state": "ready",
            "born": self.process.start_number(), "coldRemainingMs": remaining_ms,
        });
        store.put(&format!("servers/{}", self.id), &entry.to_string());
    }

    fn write_entry(&self, store: &StandInStore, service: &str, phase: Option<&str>, state: &str, born: u64) {
        let address = self.listed_address();
        let slots = match *self.behavior.lock().expect("no holder panics") {
            ReplicaBehavior::Bounded(bounds) => bounds.slots,
            _ => 4,
        };
        let mut entry = json!({
            "service": service, "address": address, "zone": "a", "slots": slots, "state": state, "born": born,
        });
        if let Some(phase) = phase {
            entry["phase"] = phase.into();
        }
        store.put(&format!("servers/{}", self.id), &entry.to_string());
    }

    pub fn set_behavior(&self, behavior: ReplicaBehavior) {
        *self.behavior.lock().expect("no holder panics") = behavior;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Message>> {
        self.requests.lock().expect("no holder panics")
    }

    /// All requests with an id that arrived so far.
    pub fn seen(&self, id: &str) -> Vec<Message> {
        let requests = self.lock();
        requests
            .iter()
            .filter(|request| request.header("X-Request-Id") == Some(id))
            .cloned()
            .collect()
    }

    /// All callers' requests that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let requests = self.lock();
        let callers = requests
            .iter()
            .filter(|request| request.header("X-Request-Id").is_some());
        let arrivals = callers.map(|request| {
            let id = request.header("X-Request-Id").unwrap_or_default();
            Arrival {
                id: id.to_owned(),
                is_accepted_prefill: request.header("X-Serving-Phase") == Some("prefill")
                    && self.runs(id) > 0,
            }
        });
        arrivals.collect()
    }

    /// How often the replica ran the request with an id.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.runs.lock().expect("no holder panics");
        runs.iter().filter(|run| *run == id).count()
    }

    /// The number of all requests that arrived so far.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// The number of requests so far whose start line begins with `begin`.
    pub fn count_starting_with(&self, begin: &str) -> usize {
        let requests = self.lock();
        let matching = requests.iter().filter(|request| request.start.starts_with(begin));
        matching.count()
    }

    /// Arrival times of requests whose body contains [`CRASH_MARKER`].
    pub fn crashing_arrivals(&self) -> Vec<Instant> {
        self.crashing_arrivals.lock().expect("no holder panics").clone()
    }

    /// Arrival times and ids of requests with a deadly part in their prompts.
    pub fn deadly_part_arrivals(&self) -> Vec<(Instant, String)> {
        self.deadly_part_arrivals
            .lock()
            .expect("no holder panics")
            .clone()
    }

    /// Adds an attribute header that the product does not know to later responses, or removes it.
    pub fn set_unknown_attribute(&self, has_one: bool) {
        *self.has_unknown_attribute.lock().expect("no holder panics") = has_one;
    }

    /// Sets what later health checks get.
    pub fn set_health(&self, answer: HealthAnswer) {
        *self.health.lock().expect("no holder panics") = answer;
    }

    /// How many calls it rejected for lack of room in its queue.
    pub fn rejections(&self) -> usize {
        self.occupancy.rejections()
    }

    /// How often it repeated an earlier refusal.
    pub fn refusal_copies(&self) -> usize {
        self.refusal_copies.load(Ordering::Relaxed)
    }

    /// Sets the value of the load header in later responses.
    pub fn set_load(&self, text: &str) {
        *self.load.lock().expect("no holder panics") = text.to_owned();
    }

    /// Sets the rate limit that later responses report, in requests per second; `None` reports none.
    pub fn set_limit(&self, text: Option<&str>) {
        self.lock_limit().text = text.map(str::to_owned);
    }

    fn lock_limit(&self) -> MutexGuard<'_, NamedLimit> {
        self.limit.lock().expect("no holder panics")
    }

    /// When the replica first reported a limit.
    pub fn named_at(&self) -> Option<Instant> {
        self.lock_limit().named_at
    }

    /// The limit that the replica reports now, as text.
    pub fn limit_text(&self) -> Option<String> {
        self.lock_limit().text.clone()
    }

    /// Arrival times of all requests.
    pub fn arrived_at(&self) -> Vec<Instant> {
        let arrived_at = self.arrived_at.lock().expect("no holder panics");
        arrived_at.iter().map(|(at, _)| *at).collect()
    }

    /// Arrival times of a workspace's requests.
    pub fn arrived_from(&self, workspace: &str) -> Vec<Instant> {
        let arrived_at = self.arrived_at.lock().expect("no holder panics");
        let own = arrived_at.iter().filter(|(_, name)| name == workspace);
        own.map(|(at, _)| *at).collect()
    }

    /// The value of the limit header, if any; records the time of the first call that returns one.
    fn limit_line(&self) -> Option<String> {
        let mut limit = self.lock_limit();
        if limit.text.is_some() {
            limit.named_at.get_or_insert_with(Instant::now);
        }
        limit.text.clone()
    }

    fn serve(&self, stream: &mut TcpStream) {
        let mut requests = 0;
        while let Some(request) = read_request(stream) {
            requests += 1;
            self.lock().push(request.clone());
            let workspace = request.header("X-Tenant-Id").unwrap_or_default();
            self.arrived_at
                .lock()
                .expect("no holder panics")
                .push((Instant::now(), workspace.to_owned()));
            if request.text().contains(CRASH_MARKER) {
                let mut arrivals = self.crashing_arrivals.lock().expect("no holder panics");
                arrivals.push(Instant::now());
                drop(arrivals);
                let id = request.header("X-Request-Id").unwrap_or_default();
                self.runs.lock().expect("no holder panics").push(id.to_owned());
                if !request.text().contains(INSTANT_CRASH_MARKER) {
                    std::thread::sleep(CRASH_DELAY);
                }
                self.process.crash();
                return;
            }
            if has_deadly_part(&request) && self.crash_as_answer_begins(stream, &request) {
                return;
            }
            if requests > 1 && !self.repeat_refusal(stream) {
                return;
            }
            if !self.answer(stream, &request, requests > 1) {
                return;
            }
        }
    }

    /// Crashes as it begins to answer a request with a deadly part; false for a prompt, which it only runs.
    fn crash_as_answer_begins(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("X-Request-Id").unwrap_or_default();
        let mut arrivals = self.deadly_part_arrivals.lock().expect("no holder panics");
        arrivals.push((Instant::now(), id.to_owned()));
        drop(arrivals);
        if request.header("X-Serving-Phase") == Some("prefill") {
            return false;
        }
        self.runs.lock().expect("no holder panics").push(id.to_owned());
        if request.path().starts_with("/stream") {
            // The caller is gone if the write fails, which does not save the replica.
            let _ = stream.write_all(stream_head(id, "").as_bytes());
        }
        std::thread::sleep(CRASH_DELAY);
        self.process.crash();
        true
    }

    /// Repeats an earlier refusal if that is its behavior. Returns whether the connection is still usable.
    fn repeat_refusal(&self, stream: &mut TcpStream) -> bool {
        let behavior = *self.behavior.lock().expect("no holder panics");
        let ReplicaBehavior::RepeatsRefusal(copy) = behavior else {
            return true;
        };
        self.refusal_copies.fetch_add(1, Ordering::Relaxed);
        copy.write(stream)
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message, is_repeated: bool) -> bool {
        let behavior = *self.behavior.lock().expect("no holder panics");
        let id = request.header("X-Request-Id").unwrap_or_default();
        let mut bounded_load = None;
        if let ReplicaBehavior::Bounded(bounds) = behavior
            && request.path() != "/health"
        {
            bounded_load = self.occupancy.run(bounds);
            if bounded_load.is_none() {
                return write_answer(stream, 503, &[("X-Request-Id", id), ("X-Not-Executed", "1")], b"");
            }
        }
        if !matches!(
            behavior,
            ReplicaBehavior::NotRun | ReplicaBehavior::Misdirected | ReplicaBehavior::RequestsBackoff
        ) {
            self.runs.lock().expect("no holder panics").push(id.to_owned());
        }
        // A slow response reports the limit in force when it was started.
        let limit = self.limit_line();
        let mut own_lines: Vec<(&str, &str)> = Vec::new();
        own_lines.extend(limit.iter().map(|text| (LIMIT_HEADER, text.as_str())));
        if *self.has_unknown_attribute.lock().expect("no holder panics") {
            own_lines.push(("Server-Mood", "fair"));
        }
        let load = bounded_load.unwrap_or_else(|| self.load.lock().expect("no holder panics").clone());
        let signed = [
            &[
                ("X-Request-Id", id),
                ("X-Response-Signature", "s"),
                ("X-Server-Load", load.as_str()),
            ],
            &own_lines[..],
        ]
        .concat();
        if request.path() == "/health" {
            let named = [&[("X-Instance-Id", self.id.as_str())], &own_lines[..]].concat();
            return match *self.health.lock().expect("no holder panics") {
                HealthAnswer::Named => write_answer(stream, 200, &named, b""),
                HealthAnswer::Late => {
                    std::thread::sleep(LATE_HEALTH);
                    write_answer(stream, 200, &named, b"")
                }
                HealthAnswer::Failing => write_answer(stream, 503, &named, b""),
                HealthAnswer::Rejected => write_answer(stream, 503, &[("X-Not-Executed", "1")], b""),
                HealthAnswer::OfProxy => write_answer(stream, 502, &[], b"no process"),
                HealthAnswer::OfOther => write_answer(stream, 200, &[("X-Instance-Id", "i-other")], b""),
                HealthAnswer::Misdirected => write_answer(stream, 421, &[], b""),
            };
        }
        match behavior {
            ReplicaBehavior::NotRun => {
                let lines = [("X-Request-Id", id), ("X-Not-Executed", "1")];
                write_answer(stream, 503, &[&lines[..], &own_lines].concat(), b"")
            }
            ReplicaBehavior::Misdirected => {
                let lines = [("X-Request-Id", id)];
                write_answer(stream, 421, &[&lines[..], &own_lines].concat(), b"")
            }
            ReplicaBehavior::Unsigned => write_answer(stream, 200, &[("X-Request-Id", id)], b"whose words?"),
            ReplicaBehavior::OtherId => write_answer(
                stream,
                200,
                &[("X-Request-Id", "other"), ("X-Response-Signature", "s")],
                b"for another",
            ),
            ReplicaBehavior::Breaks => false,
            ReplicaBehavior::RepeatsRefusal(RefusalCopy::NoIdAlone) if is_repeated => true,
            ReplicaBehavior::RequestsBackoff => {
                let span_s = RETRY_AFTER_S.to_string();
                let lines = [
                    ("X-Request-Id", id),
                    ("X-Not-Executed", "1"),
                    ("Retry-After", &span_s),
                ];
                write_answer(stream, 503, &lines, b"")
            }
            ReplicaBehavior::Endless(kind) => send_endless(stream, id, kind),
            ReplicaBehavior::Truncates(kind) => send_truncated(stream, id, kind),
            ReplicaBehavior::StopsAfter(count, form) if is_answered(request) => {
                let bytes = form.answer(id);
                let is_sent = stream.write_all(&bytes[..count.min(bytes.len())]).is_ok();
                is_sent && count >= bytes.len() && form != AnswerForm::UntilClose
            }
            ReplicaBehavior::Sends { body, form, has_type } if is_answered(request) => {
                let is_sent = stream.write_all(&form.answer_with(id, body, has_type)).is_ok();
                is_sent && form != AnswerForm::UntilClose
            }
            ReplicaBehavior::CrashesInUnframed(body) if is_answered(request) => {
                let bytes = [&AnswerForm::UntilClose.head(id), body].concat();
                // The gateway is gone if the write fails, which does not save the replica.
                let _ = stream.write_all(&bytes);
                std::thread::sleep(CRASH_DELAY);
                self.process.crash();
                // The crash closes this connection, after the port.
                std::thread::sleep(CRASH_DELAY);
                false
            }
            ReplicaBehavior::Silent => {
                std::thread::sleep(crate::wire::LIMIT);
                false
            }
            _ if request.header("X-Serving-Phase") == Some("prefill") => {
                if let ReplicaBehavior::PacedPrompts(token_us) = behavior {
                    std::thread::sleep(prompt_time(request, token_us));
                }
                let body = json!({ "kvHandle": format!("h-{id}") }).to_string();
                let lines = [&signed[..], leaving_line(behavior)].concat();
                write_answer(stream, 200, &lines, body.as_bytes())
            }
            _ if request.header("X-Kv-Source").is_some() || request.path().starts_with("/stream") => {
                let sent_before = request.header("Last-Event-Id");
                let first = sent_before.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) + 1;
                if let (ReplicaBehavior::BreaksAndResumes(rest), true) = (behavior, first > 1) {
                    return rest.write(stream, id, first);
                }
                send_stream(stream, id, behavior, first, limit.as_deref())
            }
            _ => {
                match behavior {
                    ReplicaBehavior::Slow => std::thread::sleep(SLOW_CALL),
                    ReplicaBehavior::PacedCalls(span_ms) => {
                        std::thread::sleep(Duration::from_millis(span_ms))
                    }
                    _ => {}
                }
                let body = [self.id.as_bytes(), b" ", &request.body].concat();
                let lines = [&signed[..], leaving_line(behavior)].concat();
                if behavior == ReplicaBehavior::AnswersTwice {
                    let is_sent = write_answer(stream, 200, &lines, &body);
                    std::thread::sleep(SECOND_COPY_AFTER);
                    return is_sent && write_answer(stream, 200, &lines, &body);
                }
                write_answer(stream, 200, &lines, &body)
            }
        }
    }
}

/// Whether a request is for an answer to its caller, not only for its prompt.
fn is_answered(request: &Message) -> bool {
    request.header("X-Serving-Phase") != Some("prefill")
}

fn prompt_time(request: &Message, token_us: u64) -> Duration {
    let counts = request.header("X-Token-Count").unwrap_or_default();
    let tokens = counts
        .split(',')
        .next()
        .and_then(|count| count.parse::<u64>().ok());
    Duration::from_micros(tokens.unwrap_or_default() * token_us)
}

fn leaving_line(behavior: ReplicaBehavior) -> &'static [(&'static str, &'static str)] {
    match behavior {
        ReplicaBehavior::Leaving => &[("Server-Leaving", "1")],
        _ => &[],
    }
}

/// Formats the head of a stream in chunks; `lines` are additional header lines, each ended by CRLF.
fn stream_head(id: &str, lines: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Response-Signature: s\r\n{lines}Transfer-Encoding: chunked\r\n\r\n"
    )
}

fn send_stream(
    stream: &mut TcpStream,
    id: &str,
    behavior: ReplicaBehavior,
    first: u64,
    limit: Option<&str>,
) -> bool {
    let leaving = match behavior {
        ReplicaBehavior::Leaving => "Server-Leaving: 1\r\n",
        _ => "",
    };
    let limit = limit.map_or_else(String::new, |text| format!("{LIMIT_HEADER}: {text}\r\n"));
    let head = stream_head(id, &format!("{leaving}{limit}"));
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    for number in first..=STREAM_EVENTS {
        let breaks = matches!(
            behavior,
            ReplicaBehavior::BreaksStream | ReplicaBehavior::BreaksAndResumes(_)
        );
        if breaks && number > 2 {
            return false;
        }
        if behavior == ReplicaBehavior::Slow {
            std::thread::sleep(Duration::from_millis(150));
        }
        if let ReplicaBehavior::PacedEvents(pause_ms) = behavior {
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
        if behavior == ReplicaBehavior::BreaksSlowStream && number > 3 {
            return false;
        }
        if matches!(
            behavior,
            ReplicaBehavior::SlowEvents | ReplicaBehavior::BreaksSlowStream
        ) {
            std::thread::sleep(SLOW_EVENT_PAUSE);
        }
        let event = format!("id: {number}\ndata: token\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_sent &= stream.write_all(chunk.as_bytes()).is_ok();
    }
    is_sent && stream.write_all(b"0\r\n\r\n").is_ok()
}
