//! Sizes and arguments of a fleet, and the register text that describes it.

use std::fmt::Write;

use super::{Fleet, FleetUpstream};

/// Which processes a fleet starts, and with which arguments.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Entries that are started with the fleet.
    pub entries: usize,
    /// Further entries, with proxy routes, that a test can start later.
    pub spare_entries: usize,
    /// Number of prefill engines.
    pub prefills: usize,
    /// Number of decode engines.
    pub decodes: usize,
    /// Number of replicas of the booking desk.
    pub services: usize,
    /// Availability zones, assigned to entries and upstreams in turn.
    pub zones: Vec<String>,
    /// The model that all engines serve.
    pub model: String,
    /// Workspaces that the register lists.
    pub workspaces: Vec<String>,
    /// Whether the booking desk answers a repeated idempotency key without a second run.
    pub services_check_keys: bool,
    /// Additional command-line arguments of entries.
    pub entry_arguments: Vec<String>,
    /// Additional command-line arguments of engines.
    pub engine_arguments: Vec<String>,
    /// Slots of each engine, as the register states them.
    pub slots: u32,
    /// Whether processes connect directly, without the fault proxy.
    pub is_direct: bool,
    /// Additional command-line arguments of services.
    pub service_arguments: Vec<String>,
}

impl FleetPlan {
    /// Three entries, two engines of each role, and two booking desks.
    pub fn small() -> Self {
        Self {
            entries: 3,
            spare_entries: 0,
            prefills: 2,
            decodes: 2,
            services: 2,
            zones: ["asahikawa", "furano", "nayoro"].map(str::to_owned).to_vec(),
            model: "ash-reader".to_owned(),
            workspaces: vec!["kitamura".to_owned(), "sadaf".to_owned()],
            services_check_keys: false,
            entry_arguments: Vec::new(),
            engine_arguments: Vec::new(),
            slots: 20,
            is_direct: false,
            service_arguments: Vec::new(),
        }
    }

    /// Adds command-line arguments of entries.
    pub fn with_entry_arguments(mut self, arguments: &[&str]) -> Self {
        self.entry_arguments
            .extend(arguments.iter().map(|argument| (*argument).to_owned()));
        self
    }

    /// Adds command-line arguments of engines.
    pub fn with_engine_arguments(mut self, arguments: &[&str]) -> Self {
        self.engine_arguments
            .extend(arguments.iter().map(|argument| (*argument).to_owned()));
        self
    }
}

/// The register text of a fleet; the named upstreams are marked as leaving.
pub fn register_text(fleet: &Fleet, leaving: &[&str]) -> String {
    let plan = &fleet.plan;
    let mut text = String::new();
    for workspace in &plan.workspaces {
        text.push_str(&format!("[[workspace]]\nname = \"{workspace}\"\n\n"));
    }
    for zone in &plan.zones {
        text.push_str(&format!("[[zone]]\nname = \"{zone}\"\n\n"));
    }
    text.push_str("[[class]]\nname = \"ledger\"\nmay_wait = true\n\n[[class]]\nname = \"urgent\"\n\n");
    if plan.services > 0 {
        let rule = if plan.services_check_keys {
            "by_key"
        } else {
            "never"
        };
        text.push_str("[[operation]]\nservice = \"desk\"\nname = \"lookup\"\nrepeat = \"safe\"\n\n");
        text.push_str(&format!(
            "[[operation]]\nservice = \"desk\"\nname = \"book\"\nrepeat = \"{rule}\"\n\n"
        ));
    }
    let engines = [("prefill", &fleet.prefills), ("decode", &fleet.decodes)];
    for (role, upstreams) in engines {
        for (index, upstream) in upstreams.iter().enumerate() {
            write_upstream(&mut text, fleet, upstream, index, leaving);
            let model = &plan.model;
            text.push_str(&format!(
                "kind = \"engine\"\nrole = \"{role}\"\nmodel = \"{model}\"\nslots = {}\n\n",
                plan.slots
            ));
        }
    }
    for (index, upstream) in fleet.services.iter().enumerate() {
        write_upstream(&mut text, fleet, upstream, index, leaving);
        text.push_str("kind = \"service\"\nservice = \"desk\"\n\n");
    }
    text
}

fn write_upstream(
    text: &mut String,
    fleet: &Fleet,
    upstream: &FleetUpstream,
    index: usize,
    leaving: &[&str],
) {
    let zones = &fleet.plan.zones;
    let zone = &zones[index % zones.len()];
    let is_leaving = leaving.contains(&upstream.name.as_str());
    let written = write!(
        text,
        "[[upstream]]\nname = \"{}\"\nzone = \"{zone}\"\naddress = \"{}\"\nleaving = {is_leaving}\n",
        upstream.name, upstream.routed
    );
    written.expect("a string can be written to");
}
