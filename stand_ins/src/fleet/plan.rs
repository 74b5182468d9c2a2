//! What a fleet is made of, and the register that describes it.

use std::fmt::Write;

use super::{Fleet, FleetUpstream};

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Entries.
    pub entries: usize,
    /// Entries that have routes and can be started later.
    pub spare_entries: usize,
    /// Prefill engines.
    pub prefills: usize,
    /// Decode engines.
    pub decodes: usize,
    /// Replicas of the booking desk.
    pub services: usize,
    /// Availability zones.
    pub zones: Vec<String>,
    /// The model.
    pub model: String,
    /// Customers.
    pub workspaces: Vec<String>,
    /// Whether the booking desk recognises repeated keys.
    pub services_check_keys: bool,
    /// More arguments for entries.
    pub entry_arguments: Vec<String>,
    /// More arguments for engines.
    pub engine_arguments: Vec<String>,
    /// Slots of a decode engine.
    pub slots: u32,
    /// Whether everything connects without the proxy between.
    pub is_direct: bool,
    /// More arguments for services.
    pub service_arguments: Vec<String>,
}

impl FleetPlan {
    /// Three entries, two engines of each kind, two desks.
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

    /// The same plan with more arguments for its entries.
    pub fn with_entry_arguments(mut self, arguments: &[&str]) -> Self {
        self.entry_arguments
            .extend(arguments.iter().map(|argument| (*argument).to_owned()));
        self
    }

    /// The same plan with more arguments for its engines.
    pub fn with_engine_arguments(mut self, arguments: &[&str]) -> Self {
        self.engine_arguments
            .extend(arguments.iter().map(|argument| (*argument).to_owned()));
        self
    }
}

/// The register of a fleet, with some upstreams marked as leaving.
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
