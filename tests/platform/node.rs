//! A gateway as the platform starts it: a process with a settings file, on a loopback address of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::store::StandInStore;
use crate::wire::{LIMIT, Message, exchange};

/// Number of the next node's address, so that each node has its own.
static NODES: AtomicU32 = AtomicU32::new(1);

/// How long a draining node may take, in seconds.
const GRACE_S: u32 = 4;

/// Ratio of extra sends to requests of a service that the retry budget in the settings allows.
pub const RETRY_BUDGET_RATIO: f64 = 0.2;

/// Budget slack in the settings: extra sends allowed beyond the ratio, for all nodes together.
pub const BUDGET_SLACK: f64 = 10.0;

/// The share by which a quota may be exceeded in a window, in the settings.
pub const QUOTA_OVERSHOOT: f64 = 0.25;

/// Tokens by which a quota may be exceeded in a window beyond that share, in the settings.
pub const QUOTA_SLACK: f64 = 3_000.0;

/// The setting with which the platform starts a deployment for the first time.
const FIRST_START: &str = "bootstrap = true";

/// Resources of a VM in the settings of a node; a builder with the values of most tests.
#[derive(Clone, Copy, Debug)]
pub struct NodeResources {
    memory_mb: u64,
    max_fds: usize,
}

impl Default for NodeResources {
    fn default() -> Self {
        Self {
            memory_mb: 64,
            max_fds: 1_024,
        }
    }
}

// The tests of untrusted callers set these.
#[allow(dead_code)]
impl NodeResources {
    /// Sets the memory, in megabytes.
    pub fn memory_mb(mut self, memory_mb: u64) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Sets the maximum number of open files and sockets.
    pub fn max_fds(mut self, max_fds: usize) -> Self {
        self.max_fds = max_fds;
        self
    }
}

/// A gateway process with its settings and log; killed on drop.
pub struct GatewayNode {
    pub name: String,
    pub ip: Ipv4Addr,
    folder: PathBuf,
    child: Option<Child>,
}

impl GatewayNode {
    /// Starts a node with these nodes as its seeds.
    pub fn start(store: &StandInStore, name: &str, seeds: &[&GatewayNode]) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|node| node.peer_address().to_string()).collect();
        Self::start_with_seeds(store, name, &seeds)
    }

    /// Starts a node with the nodes at these addresses as its seeds.
    pub fn start_with_seeds(store: &StandInStore, name: &str, seeds: &[String]) -> Self {
        Self::start_with_resources(store, name, seeds, NodeResources::default())
    }

    /// Starts a node on a VM with these resources.
    pub fn start_with_resources(
        store: &StandInStore,
        name: &str,
        seeds: &[String],
        resources: NodeResources,
    ) -> Self {
        let process = std::process::id();
        let number = NODES.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(
            127,
            (10 + process % 200) as u8,
            ((process / 200 + number / 250) % 250) as u8,
            (number % 250 + 1) as u8,
        );
        let folder = std::env::temp_dir().join(format!("dotterelspan-node-{process}-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        let seeds: Vec<String> = seeds.iter().map(|address| format!("\"{address}\"")).collect();
        let settings = format!(
            "nodeName = \"{name}\"\nzone = \"a\"\nseeds = [{seeds}]\n{FIRST_START}\n\n[listen]\nfrontend = \"{ip}:8720\"\nready = \"{ip}:8722\"\n\
             control = \"{ip}:8724\"\ndirectory = \"{ip}:8728\"\n\n[limits]\ncpuShare = 1.0\nmemoryMb = {memory_mb}\nmaxFds = {max_fds}\n\n\
             [contractParams]\ngraceS = {GRACE_S}\nretryBudgetRatio = {RETRY_BUDGET_RATIO}\nretryWindowS = 10\nbudgetSlack = {BUDGET_SLACK}\nttl_max_s = 5\nrevokeStrict = true\nrevokeMs = 5000\n\
             quotaWindowS = 8\nquotaOvershoot = {QUOTA_OVERSHOOT}\nquotaSlack = {QUOTA_SLACK}\n\n\
             [platform]\naddress = \"{}\"\n",
            store.address,
            seeds = seeds.join(", "),
            memory_mb = resources.memory_mb,
            max_fds = resources.max_fds,
        );
        std::fs::write(folder.join("settings.toml"), settings).expect("a file can be written");
        let mut node = Self {
            name: name.to_owned(),
            ip,
            folder,
            child: None,
        };
        node.start_process();
        node
    }

    /// Starts the process again, with the settings that the platform writes for a restart.
    pub fn spawn(&mut self) {
        let path = self.folder.join("settings.toml");
        let settings = std::fs::read_to_string(&path).expect("the settings are there");
        let settings = settings.replace(FIRST_START, "bootstrap = false");
        std::fs::write(&path, settings).expect("a file can be written");
        self.start_process();
    }

    /// Restarts a node without seeds as its own first seed, which sends the role orders to engines.
    pub fn respawn_as_first_seed(&mut self) {
        self.kill();
        let path = self.folder.join("settings.toml");
        let settings = std::fs::read_to_string(&path).expect("the settings are there");
        let seeds = format!("seeds = [\"{}\"]", self.peer_address());
        std::fs::write(&path, settings.replace("seeds = []", &seeds)).expect("a file can be written");
        self.spawn();
        self.wait_ready();
    }

    /// Replaces a text in the settings file, which the process is not told of.
    // The tests of untrusted callers change no settings.
    #[allow(dead_code)]
    pub fn change_settings(&self, from: &str, to: &str) {
        let path = self.folder.join("settings.toml");
        let settings = std::fs::read_to_string(&path).expect("the settings are there");
        assert!(settings.contains(from), "{settings}");
        std::fs::write(&path, settings.replace(from, to)).expect("a file can be written");
    }

    fn start_process(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_path());
        let child = Command::new(env!("CARGO_BIN_EXE_dotterelspan"))
            .arg("gateway")
            .env("DOTTERELSPAN_SETTINGS", self.folder.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log.expect("a log can be opened"))
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program of this build can be started"));
    }

    /// Address on which the node listens for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8720))
    }

    /// Address on which the node listens for peers; the settings call it `control`.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8724))
    }

    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8722))
    }

    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8728))
    }

    /// Id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().map(Child::id).expect("a running node")
    }

    /// Whether the process is running; asked by the tests of untrusted callers.
    #[allow(dead_code)]
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut().expect("a started node");
        child.try_wait().expect("a child of ours").is_none()
    }

    /// The process's peak resident memory, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let id = self.process_id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let text = line
            .and_then(|line| line.trim().strip_suffix("kB"))
            .expect("a figure");
        text.trim().parse().expect("a number")
    }

    /// HTTP status of the readiness check; zero if it does not answer.
    pub fn readiness(&self) -> u16 {
        let answer = exchange(self.readiness_address(), &get_request("/readiness"));
        answer.map_or(0, |answer| answer.status())
    }

    /// The metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let answer = exchange(SocketAddr::from((self.ip, 9464)), &get_request("/metrics"));
        answer.map_or_else(String::new, |answer| answer.text())
    }

    /// The sum of a metric's values over the lines that contain a text.
    pub fn metric(&self, name: &str, holds: &str) -> f64 {
        let text = self.metrics();
        let lines = text
            .lines()
            .filter(|line| line.starts_with(name) && line.contains(holds));
        let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
        values.sum()
    }

    /// The directory's answer to a resolve request.
    pub fn directory(&self) -> String {
        let answer = exchange(self.directory_address(), &get_request("/resolve?name=a&zone=a"));
        answer.map_or_else(String::new, |answer| answer.text())
    }

    pub fn wait_ready(&self) {
        wait_until("the node is ready", || self.readiness() == 200);
    }

    pub fn ask(&self, request: &str) -> Message {
        exchange(self.callers(), request).expect("an answer")
    }

    /// The text that the node has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().map(Child::id).expect("a running node");
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id.to_string())
            .status();
        assert!(status.expect("kill can be run").success());
    }

    /// Whether the process has exited by itself without an error.
    pub fn has_left(&mut self) -> bool {
        let child = self.child.as_mut().expect("a running node");
        child
            .try_wait()
            .expect("a child of ours")
            .is_some_and(|status| status.success())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Killing fails if the process has exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for GatewayNode {
    fn drop(&mut self) {
        self.kill();
        let keeps_logs = std::env::var_os("KEEP_NODE_LOGS").is_some();
        if !std::thread::panicking() && !keeps_logs {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn get_request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
}

/// Waits until a condition holds; panics with `what` after a time limit.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// How long an engine takes to change pools where it may, in seconds.
const POOL_SWITCH_S: f64 = 2.0;

/// Publishes the tests' configuration in the store.
pub fn publish_config(store: &StandInStore, version: u32) {
    store.put("op/config", &config_document(version.into()).to_string());
}

/// Publishes the tests' configuration with engines that may change pools.
pub fn publish_moving_config(store: &StandInStore, version: u32) {
    let mut document = config_document(version.into());
    document["services"][2]["engine"]["stageSwitchS"] = POOL_SWITCH_S.into();
    store.put("op/config", &document.to_string());
}

/// The tests' configuration as a JSON document.
pub fn config_document(version: u64) -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "hostname": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 6000,
            "targetLatencyMs": 1000, "attempts": 3, "priority": 1, "service": service,
        })
    };
    let mut stream = route("talk", "/stream", "streaming", "llm");
    stream["targetGapMs"] = 2000.into();
    let mut single = route("single", "/stream/single", "streaming", "llm");
    single["targetGapMs"] = 2000.into();
    single["attempts"] = 1.into();
    let mut resumable = route("resume", "/stream/resume", "streaming", "llm");
    resumable["targetGapMs"] = 100.into();
    resumable["targetLatencyMs"] = 300.into();
    resumable["resumable"] = true.into();
    json!({
        "version": version,
        "routes": [
            route("read", "/read", "safe", "desk"),
            route("book", "/book", "once", "desk"),
            route("empty", "/empty", "safe", "nobody"),
            stream,
            single,
            resumable,
        ],
        "services": [
            { "name": "desk", "healthCheck": "/health" }, { "name": "nobody" },
            { "name": "llm", "healthCheck": "/health", "engine": { "kvTokens": 40000, "kvTtlS": 10.0, "stride": 1 } },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 2000, "idleTimeoutMs": 5000 },
    })
}
