//! A whole system of real processes on loopback, started and ended by id.

mod plan;
mod process;

pub use plan::{FleetPlan, register_text};
pub use process::{Process, free_address};

use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http;
use crate::journal::{JournalLine, now_ms, read_journal};

/// How long anything in a fleet may take to come about.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The secret of test deployments.
pub const SHARED_KEY: &str = "a secret for loopback only";

/// An upstream of a fleet.
pub struct FleetUpstream {
    /// Its name.
    pub name: String,
    /// Where it listens itself.
    pub address: String,
    /// Where entries connect: the proxy's address.
    pub routed: String,
    /// Its journal.
    pub journal: String,
    /// Its process.
    pub process: Process,
}

/// An entry of a fleet.
pub struct FleetEntry {
    /// Its VM's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens for callers itself.
    pub address: String,
    /// Where callers connect: the proxy's address.
    pub routed: String,
    /// Where it listens for peers itself.
    pub peer_address: String,
    /// Where peers connect: the proxy's address.
    pub peer_routed: String,
    /// Its process.
    pub process: Process,
}

/// A running system.
pub struct Fleet {
    /// What it was made from.
    pub plan: FleetPlan,
    /// The folder of its journals and logs.
    pub folder: PathBuf,
    /// The configuration service.
    pub platform: String,
    /// The platform as entries reach it, through the proxy.
    pub platform_routed: String,
    /// The proxy's control address.
    pub proxy: String,
    /// Prefill engines.
    pub prefills: Vec<FleetUpstream>,
    /// Decode engines.
    pub decodes: Vec<FleetUpstream>,
    /// Plain services.
    pub services: Vec<FleetUpstream>,
    /// Entries.
    pub entries: Vec<FleetEntry>,
    /// The text of the register that was published last.
    pub register: String,
    infrastructure: Vec<Process>,
}

/// Waits until a condition holds; panics with `what` when it does not come about in time.
pub async fn wait_for<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let until_ms = now_ms() + PATIENCE.as_millis() as u64;
    while !condition().await {
        assert!(now_ms() < until_ms, "did not come about: {what}");
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
}

impl Fleet {
    /// Starts a system and waits until every entry serves its register and sees all others.
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
            routed: self.routed_before(&address),
            address,
            journal: self.journal_path(name),
            process,
        }
    }

    /// The address by which others reach one: the proxy's, or itself.
    fn routed_before(&self, address: &str) -> String {
        if self.plan.is_direct {
            address.to_owned()
        } else {
            free_address()
        }
    }

    fn journal_path(&self, name: &str) -> String {
        self.folder.join(format!("{name}.journal")).display().to_string()
    }

    /// Starts the proxy with a route before everything that entries and callers connect to.
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
            routed: self.routed_before(&address),
            address,
            peer_routed: self.routed_before(&peer_address),
            peer_address,
            process: Process::none(),
        }
    }

    /// Starts, or starts again, one entry.
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

    /// Starts an engine or a service again, at its old address.
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
        wait_for("the upstream is back", || async move {
            http::get(address, "/health").await.is_some()
        })
        .await;
    }

    async fn wait_upstreams(&self) {
        let all = self.prefills.iter().chain(&self.decodes).chain(&self.services);
        for upstream in all {
            let address = &upstream.routed;
            wait_for("an upstream is up", || async move {
                http::get(address, "/health")
                    .await
                    .is_some_and(|answer| answer.status == 200)
            })
            .await;
        }
        let address = &self.platform_routed;
        wait_for("the platform is up", || async move {
            http::get(address, "/admin/reads").await.is_some()
        })
        .await;
    }

    /// An upstream by name.
    pub fn upstream(&self, name: &str) -> &FleetUpstream {
        let mut all = self.prefills.iter().chain(&self.decodes).chain(&self.services);
        all.find(|upstream| upstream.name == name)
            .expect("a fleet has this upstream")
    }

    /// Publishes the plan's register, and gives its revision.
    pub async fn publish_register(&mut self) -> u64 {
        let text = register_text(self, &[]);
        self.publish_text(&text).await
    }

    /// Publishes a register text, and gives its revision.
    pub async fn publish_text(&mut self, text: &str) -> u64 {
        self.register = text.to_owned();
        let answer = http::post(&self.platform, "/admin/register", &json!({ "text": text })).await;
        answer
            .and_then(|answer| answer.body["revision"].as_u64())
            .expect("the platform takes a register")
    }

    /// Publishes the VM list, with some VMs marked as leaving.
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
        answer.expect("the platform takes a VM list");
    }

    /// Makes the platform misbehave, or behave again with an empty object.
    pub async fn platform_fault(&self, fault: Value) {
        http::post(&self.platform, "/admin/fault", &fault)
            .await
            .expect("the platform takes a fault");
    }

    /// Sets one proxy route's mode: pass, cut, partition or silence.
    pub async fn route(&self, listen: &str, mode: &str) {
        let order = json!({ "listen": listen, "mode": mode });
        http::post(&self.proxy, "/mode", &order)
            .await
            .expect("the proxy takes an order");
    }

    /// An entry's status.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let answer = http::get(&self.entries[index].address, "/v1/status").await?;
        (answer.status == 200).then_some(answer.body)
    }

    /// Waits until every running entry has the newest register and sees all others.
    pub async fn wait_ready(&self) {
        let running: Vec<usize> = (0..self.entries.len())
            .filter(|index| self.entries[*index].process.is_started())
            .collect();
        for index in &running {
            wait_for("an entry is ready", || async {
                let Some(status) = self.status(*index).await else {
                    return false;
                };
                status["revision"].as_u64() > Some(0)
                    && status["live_vms"].as_u64() == Some(running.len() as u64)
            })
            .await;
        }
    }

    /// Waits until an entry has a revision in force.
    pub async fn wait_revision(&self, index: usize, revision: u64) {
        wait_for("a revision is in force", || async {
            self.status(index)
                .await
                .is_some_and(|status| status["revision"].as_u64() >= Some(revision))
        })
        .await;
    }

    /// The routed addresses of all entries.
    pub fn entry_addresses(&self) -> Vec<String> {
        self.entries.iter().map(|entry| entry.routed.clone()).collect()
    }

    /// All journal lines of one upstream.
    pub fn journal(&self, name: &str) -> Vec<JournalLine> {
        read_journal(&self.journal_path(name))
    }

    /// All journal lines of all upstreams.
    pub fn journals(&self) -> Vec<JournalLine> {
        let all = self.prefills.iter().chain(&self.decodes).chain(&self.services);
        all.flat_map(|upstream| read_journal(&upstream.journal)).collect()
    }

    /// How often the booking with this id ran, over all services.
    pub fn runs_of(&self, id: &str) -> usize {
        let is_run = |line: &&JournalLine| line.event == "ran" && line.detail["operation"] == "book";
        self.journals()
            .iter()
            .filter(is_run)
            .filter(|line| line.subject == id)
            .count()
    }

    /// Requests that all engines hold, by their own word.
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

    /// Ends all processes.
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
            // What is left of the folder does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
