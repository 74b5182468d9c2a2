//! A complete system of real processes on loopback addresses.

mod plan;
mod process;

pub use plan::{FleetPlan, register_text};
pub use process::{Process, free_address};

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http;
use crate::journal::{JournalLine, now_ms, read_journal};

/// Timeout for every condition that a fleet waits for.
pub const FLEET_TIMEOUT: Duration = Duration::from_secs(30);

/// Shared key of the entries of all fleets.
pub const SHARED_KEY: &str = "a secret for loopback only";

/// An engine or a service of a fleet.
pub struct FleetUpstream {
    /// Name in the register and in journals, such as `decode-0`.
    pub name: String,
    /// Address on which the upstream listens.
    pub address: String,
    /// Address to which entries connect: the proxy's, or `address` in a direct fleet.
    pub routed: String,
    /// Path of the journal file.
    pub journal: String,
    /// Its process.
    pub process: Process,
}

/// An entry of a fleet, that is a VM that runs the daemon.
pub struct FleetEntry {
    /// Name of the VM, such as `entry-0`.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which the entry listens for callers.
    pub address: String,
    /// Address to which callers connect: the proxy's, or `address` in a direct fleet.
    pub routed: String,
    /// Address on which the entry listens for peers.
    pub peer_address: String,
    /// Address to which peers connect: the proxy's, or `peer_address` in a direct fleet.
    pub peer_routed: String,
    /// Its process.
    pub process: Process,
}

/// A running system; dropping it kills its processes.
pub struct Fleet {
    /// The plan from which the fleet was started.
    pub plan: FleetPlan,
    /// Folder of journals and logs; kept after a panic, removed otherwise.
    pub folder: PathBuf,
    /// Address on which the platform listens.
    pub platform: String,
    /// Address to which entries connect for the platform: the proxy's, or the platform's own in a direct
    /// fleet.
    pub platform_routed: String,
    /// Control address of the proxy.
    pub proxy: String,
    /// The prefill engines, `prefill-0` first.
    pub prefills: Vec<FleetUpstream>,
    /// The decode engines, `decode-0` first.
    pub decodes: Vec<FleetUpstream>,
    /// The replicas of the booking desk, `desk-0` first.
    pub services: Vec<FleetUpstream>,
    /// The entries, spare ones last.
    pub entries: Vec<FleetEntry>,
    /// The register text that was published last; empty before the first.
    pub register: String,
    infrastructure: Vec<Process>,
}

/// Polls a condition until it holds; panics with `what` after the timeout.
pub async fn wait_for<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let until_ms = now_ms() + FLEET_TIMEOUT.as_millis() as u64;
    while !condition().await {
        assert!(
            now_ms() < until_ms,
            "condition not met within {FLEET_TIMEOUT:?}: {what}"
        );
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}

impl Fleet {
    /// Starts a system and waits until every entry has applied the register and sees all others as live.
    pub async fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_upstreams(plan).await;
        for index in 0..fleet.plan.entries {
            fleet.start_entry(index);
        }
        fleet.publish_register().await;
        fleet.publish_vms(&[]).await;
        fleet.wait_ready().await;
        fleet
    }

    async fn start_upstreams(plan: FleetPlan) -> Self {
        let folder = process::make_folder();
        let platform = free_address();
        let platform_routed = if plan.is_direct {
            platform.clone()
        } else {
            free_address()
        };
        let proxy = free_address();
        let mut fleet = Self {
            platform_routed,
            proxy,
            prefills: Vec::new(),
            decodes: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            register: String::new(),
            infrastructure: vec![Process::stand_in(
                &folder,
                "platform",
                &["platform", "--listen", &platform],
            )],
            platform,
            folder,
            plan,
        };
        for index in 0..fleet.plan.prefills {
            let upstream = fleet.start_engine(&format!("prefill-{index}"));
            fleet.prefills.push(upstream);
        }
        for index in 0..fleet.plan.decodes {
            let upstream = fleet.start_engine(&format!("decode-{index}"));
            fleet.decodes.push(upstream);
        }
        for index in 0..fleet.plan.services {
            let upstream = fleet.start_service(&format!("desk-{index}"));
            fleet.services.push(upstream);
        }
        fleet.start_proxy();
        fleet.wait_upstreams().await;
        fleet
    }

    fn start_engine(&self, name: &str) -> FleetUpstream {
        let address = free_address();
        let process = self.engine_process(name, &address);
        self.make_upstream(name, address, process)
    }

    fn engine_process(&self, name: &str, address: &str) -> Process {
        let journal = self.journal_path(name);
        let mut arguments = vec![
            "engine",
            "--listen",
            address,
            "--name",
            name,
            "--journal",
            &journal,
        ];
        arguments.extend(self.plan.engine_arguments.iter().map(String::as_str));
        Process::stand_in(&self.folder, name, &arguments)
    }

    fn service_process(&self, name: &str, address: &str) -> Process {
        let journal = self.journal_path(name);
        let mut arguments = vec![
            "service",
            "--listen",
            address,
            "--name",
            name,
            "--journal",
            &journal,
        ];
        if self.plan.services_check_keys {
            arguments.push("--checks-keys");
        }
        arguments.extend(self.plan.service_arguments.iter().map(String::as_str));
        Process::stand_in(&self.folder, name, &arguments)
    }

    fn start_service(&self, name: &str) -> FleetUpstream {
        let address = free_address();
        let process = self.service_process(name, &address);
        self.make_upstream(name, address, process)
    }

    fn make_upstream(&self, name: &str, address: String, process: Process) -> FleetUpstream {
        FleetUpstream {
            name: name.to_owned(),
            routed: self.choose_routed_address(&address),
            address,
            journal: self.journal_path(name),
            process,
        }
    }

    /// The address by which others connect to this one: a new one for the proxy, or itself in a direct fleet.
    fn choose_routed_address(&self, address: &str) -> String {
        if self.plan.is_direct {
            address.to_owned()
        } else {
            free_address()
        }
    }

    fn journal_path(&self, name: &str) -> String {
        self.folder.join(format!("{name}.journal")).display().to_string()
    }

    /// Starts the proxy, with a route for every address that entries and callers connect to.
    fn start_proxy(&mut self) {
        let mut routes = vec![format!("{}={}", self.platform_routed, self.platform)];
        for upstream in self.prefills.iter().chain(&self.decodes).chain(&self.services) {
            routes.push(format!("{}={}", upstream.routed, upstream.address));
        }
        for index in 0..self.plan.entries + self.plan.spare_entries {
            let entry = self.plan_entry(index);
            routes.push(format!("{}={}", entry.routed, entry.address));
            routes.push(format!("{}={}", entry.peer_routed, entry.peer_address));
            self.entries.push(entry);
        }
        if self.plan.is_direct {
            return;
        }
        let mut arguments = vec!["proxy", "--control", &self.proxy];
        for route in &routes {
            arguments.extend(["--route", route]);
        }
        let process = Process::stand_in(&self.folder, "proxy", &arguments);
        self.infrastructure.push(process);
    }

    fn plan_entry(&self, index: usize) -> FleetEntry {
        let (address, peer_address) = (free_address(), free_address());
        FleetEntry {
            name: format!("entry-{index}"),
            zone: self.plan.zones[index % self.plan.zones.len()].clone(),
            routed: self.choose_routed_address(&address),
            address,
            peer_routed: self.choose_routed_address(&peer_address),
            peer_address,
            process: Process::none(),
        }
    }

    /// Starts or restarts one entry.
    pub fn start_entry(&mut self, index: usize) {
        let seeds: Vec<String> = self
            .entries
            .iter()
            .map(|entry| entry.peer_routed.clone())
            .collect();
        let seeds = seeds.join(",");
        let entry = &self.entries[index];
        let mut arguments = vec![
            "entry",
            "--name",
            &entry.name,
            "--zone",
            &entry.zone,
            "--listen",
            &entry.address,
            "--advertise",
            &entry.routed,
            "--peer-listen",
            &entry.peer_address,
            "--peer-advertise",
            &entry.peer_routed,
            "--platform",
            &self.platform_routed,
            "--seeds",
            &seeds,
        ];
        arguments.extend(self.plan.entry_arguments.iter().map(String::as_str));
        let process = Process::entry(&self.folder, &entry.name, &arguments, SHARED_KEY);
        self.entries[index].process = process;
    }

    /// Restarts an engine or a service at its old address, and waits until it answers.
    pub async fn restart_upstream(&mut self, name: &str) {
        let is_service = self.services.iter().any(|upstream| upstream.name == name);
        let address = self.upstream(name).address.clone();
        let process = if is_service {
            self.service_process(name, &address)
        } else {
            self.engine_process(name, &address)
        };
        let all = self
            .prefills
            .iter_mut()
            .chain(&mut self.decodes)
            .chain(&mut self.services);
        if let Some(upstream) = all.into_iter().find(|upstream| upstream.name == name) {
            upstream.process = process;
        }
        let address = &address;
        wait_for("the restarted upstream answers", || async move {
            http::get(address, "/health").await.is_some()
        })
        .await;
    }

    async fn wait_upstreams(&self) {
        let all = self.prefills.iter().chain(&self.decodes).chain(&self.services);
        for upstream in all {
            let address = &upstream.routed;
            wait_for("an upstream is healthy", || async move {
                http::get(address, "/health")
                    .await
                    .is_some_and(|answer| answer.status == 200)
            })
            .await;
        }
        let address = &self.platform_routed;
        wait_for("the platform answers", || async move {
            http::get(address, "/admin/reads").await.is_some()
        })
        .await;
    }

    /// The upstream with this name; panics if there is none.
    pub fn upstream(&self, name: &str) -> &FleetUpstream {
        let mut all = self.prefills.iter().chain(&self.decodes).chain(&self.services);
        all.find(|upstream| upstream.name == name)
            .expect("a fleet has this upstream")
    }

    /// Publishes the register of this fleet, with no upstream leaving, and returns its revision.
    pub async fn publish_register(&mut self) -> u64 {
        let text = register_text(self, &[]);
        self.publish_text(&text).await
    }

    /// Publishes a register text, and returns its revision.
    pub async fn publish_text(&mut self, text: &str) -> u64 {
        self.register = text.to_owned();
        let answer = http::post(&self.platform, "/admin/register", &json!({ "text": text })).await;
        answer
            .and_then(|answer| answer.body["revision"].as_u64())
            .expect("the platform accepts a register")
    }

    /// Publishes a list of the started VMs; the entries with these indexes are marked as leaving.
    pub async fn publish_vms(&self, leaving: &[usize]) {
        let started = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.process.is_started());
        let vms: Vec<Value> = started
            .map(|(index, entry)| {
                json!({
                    "name": entry.name,
                    "zone": entry.zone,
                    "caller_address": entry.routed,
                    "peer_address": entry.peer_routed,
                    "leaving": leaving.contains(&index),
                })
            })
            .collect();
        let answer = http::post(&self.platform, "/admin/vms", &json!({ "vms": vms })).await;
        answer.expect("the platform accepts a VM list");
    }

    /// Injects a fault into the platform; an empty object clears it.
    pub async fn platform_fault(&self, fault: Value) {
        http::post(&self.platform, "/admin/fault", &fault)
            .await
            .expect("the platform accepts a fault");
    }

    /// Sets the mode of the proxy route with this listening address, or of all routes if it is empty.
    pub async fn route(&self, listen: &str, mode: &str) {
        let order = json!({ "listen": listen, "mode": mode });
        http::post(&self.proxy, "/mode", &order)
            .await
            .expect("the proxy accepts a mode");
    }

    /// The status report of an entry; `None` if it doesn't answer with 200.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let answer = http::get(&self.entries[index].address, "/v1/status").await?;
        (answer.status == 200).then_some(answer.body)
    }

    /// Waits until every started entry has applied a register and sees all others as live.
    pub async fn wait_ready(&self) {
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|index| self.entries[*index].process.is_started())
            .collect();
        for index in &running {
            wait_for("an entry has a register and sees all others", || async {
                let Some(status) = self.status(*index).await else {
                    return false;
                };
                status["revision"].as_u64() > Some(0)
                    && status["live_vms"].as_u64() == Some(running.len() as u64)
            })
            .await;
        }
    }

    /// Waits until an entry has applied this revision or a newer one.
    pub async fn wait_revision(&self, index: usize, revision: u64) {
        wait_for("an entry has applied the revision", || async {
            self.status(index)
                .await
                .is_some_and(|status| status["revision"].as_u64() >= Some(revision))
        })
        .await;
    }

    /// Addresses to which callers connect, of all entries.
    pub fn entry_addresses(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.routed.clone()).collect()
    }

    /// Journal lines of one upstream, oldest first.
    pub fn journal(&self, name: &str) -> Vec<JournalLine> {
        read_journal(&self.journal_path(name))
    }

    /// Journal lines of all upstreams, one upstream after another.
    pub fn journals(&self) -> Vec<JournalLine> {
        let all = self.prefills.iter().chain(&self.decodes).chain(&self.services);
        all.flat_map(|upstream| read_journal(&upstream.journal)).collect()
    }

    /// How many times all services together ran the booking with this id.
    pub fn booking_run_count(&self, id: &str) -> usize {
        let is_run = |line: &&JournalLine| line.event == "ran" && line.detail["operation"] == "book";
        self.journals()
            .iter()
            .filter(is_run)
            .filter(|line| line.subject == id)
            .count()
    }

    /// Number of decode requests and exported KV caches that the engines report.
    pub async fn held(&self) -> usize {
        let mut count = 0;
        for engine in self.prefills.iter().chain(&self.decodes) {
            if let Some(answer) = http::get(&engine.address, "/held").await {
                count += answer.body["held"].as_array().map_or(0, Vec::len);
                count += answer.body["exported"].as_u64().unwrap_or(0) as usize;
            }
        }
        count
    }

    /// Kills all processes.
    pub fn end(&mut self) {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for upstream in self
            .prefills
            .iter_mut()
            .chain(&mut self.decodes)
            .chain(&mut self.services)
        {
            upstream.process.kill();
        }
        for process in &mut self.infrastructure {
            process.kill();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
        if !std::thread::panicking() {
            // A folder that can't be removed doesn't fail the test.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
