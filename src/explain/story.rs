//! The lines of one request, in order, with the beliefs that decided it.

use super::configuration::CONFIGURATION_EVENTS;
use super::{LogLine, MetConfiguration};
use crate::prelude::*;

/// How long before and after a request's lines a belief is told with them, in seconds: a replica's entry lapses, and a
/// suspicion is told around, within it.
const BELIEF_SPAN_S: f64 = 6.0;

/// The events on limits that replicas name.
const LIMIT_EVENTS: [&str; 2] = ["limit_named", "limit_ended"];

/// The logs of some VMs.
#[derive(Debug, Default)]
pub struct LogSet {
    lines: Vec<LogLine>,
    by_request: FastMap<String, Vec<usize>>,
    by_place: FastMap<String, Vec<usize>>,
    by_fingerprint: FastMap<String, Vec<usize>>,
    /// Lines on limits that replicas name.
    limits: Vec<usize>,
    /// Lines on configurations.
    configurations: Vec<usize>,
}

impl LogSet {
    /// Adds one VM's log, or that of several VMs.
    pub fn add(&mut self, text: &str, default_vm: &str) {
        for line in text.lines().filter_map(|line| LogLine::parse(line, default_vm)) {
            let index = self.lines.len();
            for (name, map) in [
                ("request", &mut self.by_request),
                ("place", &mut self.by_place),
                ("fingerprint", &mut self.by_fingerprint),
            ] {
                let key = line.field(name);
                if !key.is_empty() && key != "-" {
                    map.entry(key.to_owned()).or_default().push(index);
                }
            }
            if LIMIT_EVENTS.contains(&line.event.as_str()) {
                self.limits.push(index);
            }
            if CONFIGURATION_EVENTS.contains(&line.event.as_str()) {
                self.configurations.push(index);
            }
            self.lines.push(line);
        }
    }

    /// How many lines there are.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there is no line.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The requests that some line names.
    pub fn requests(&self) -> impl Iterator<Item = &str> {
        self.by_request.keys().map(String::as_str)
    }

    /// All that the logs say of one request.
    pub fn story(&self, request: &str) -> RequestStory<'_> {
        let mut indexes = self.by_request.get(request).cloned().unwrap_or_default();
        let places: Vec<String> = indexes
            .iter()
            .map(|index| self.lines[*index].field("place").to_owned())
            .filter(|place| !place.is_empty())
            .collect();
        for place in places {
            indexes.extend(self.by_place.get(&place).into_iter().flatten());
        }
        indexes.sort_unstable();
        indexes.dedup();
        let mut steps: Vec<&LogLine> = indexes.iter().map(|index| &self.lines[*index]).collect();
        steps.sort_by(|left, right| left.time.total_cmp(&right.time));
        let beliefs = self.beliefs_around(&steps);
        let suspicion = self.suspicion_of(&steps);
        let limits = self.limits_of(&steps);
        let configuration = self.configuration_of(&steps);
        RequestStory {
            steps,
            beliefs,
            suspicion,
            limits,
            configuration,
        }
    }

    /// The configuration by which a request got no route.
    fn configuration_of(&self, steps: &[&LogLine]) -> MetConfiguration<'_> {
        let refused = steps.iter().rev().find(|step| step.event == "refused");
        match refused.filter(|refused| refused.field("reason") == "no_route") {
            Some(refused) => {
                let lines = self.configurations.iter().map(|index| &self.lines[*index]);
                MetConfiguration::of(refused, lines)
            }
            None => MetConfiguration::default(),
        }
    }

    /// The limits of its service's replicas that were in force at the VM that refused a request, as that VM heard of them.
    fn limits_of(&self, steps: &[&LogLine]) -> Vec<&LogLine> {
        let refused = steps.iter().rev().find(|step| step.event == "refused");
        let routed = steps.iter().find(|step| step.event == "routed");
        let (Some(refused), Some(routed)) = (refused, routed) else {
            return Vec::new();
        };
        let lines = self.limits.iter().map(|index| &self.lines[*index]);
        let mut before: Vec<&LogLine> = lines
            .filter(|line| line.vm == refused.vm && line.time <= refused.time)
            .filter(|line| line.field("service") == routed.field("service"))
            .collect();
        before.sort_by(|left, right| left.time.total_cmp(&right.time));
        let is_latest = |index: usize, line: &LogLine| {
            let mut later = before[index + 1..].iter();
            !later.any(|later| later.field("replica") == line.field("replica"))
        };
        let latest = before
            .iter()
            .enumerate()
            .filter(|(index, line)| is_latest(*index, line));
        let in_force = latest.filter(|(_, line)| line.event == "limit_named");
        in_force.map(|(_, line)| *line).collect()
    }

    /// What was believed of requests of the same content, whenever it was: why one is held back may lie hours before.
    fn suspicion_of(&self, steps: &[&LogLine]) -> Vec<&LogLine> {
        let mut fingerprints = steps.iter().map(|step| step.field("fingerprint"));
        let Some(fingerprint) = fingerprints.find(|fingerprint| !fingerprint.is_empty()) else {
            return Vec::new();
        };
        let indexes = self.by_fingerprint.get(fingerprint).into_iter().flatten();
        let lines = indexes.map(|index| &self.lines[*index]);
        let mut lines: Vec<&LogLine> = lines.filter(|line| line.field("request").is_empty()).collect();
        lines.sort_by(|left, right| left.time.total_cmp(&right.time));
        lines
    }

    /// What was believed about the VMs and replicas that a request met, around its time.
    fn beliefs_around(&self, steps: &[&LogLine]) -> Vec<&LogLine> {
        let (Some(first), Some(last)) = (steps.first(), steps.last()) else {
            return Vec::new();
        };
        let span = first.time - BELIEF_SPAN_S..=last.time + BELIEF_SPAN_S;
        let fields = ["replica", "decode", "prefill", "granted_by"];
        let met: FastSet<&str> = steps
            .iter()
            .flat_map(|step| fields.iter().map(|field| step.field(field)))
            .filter(|name| !name.is_empty() && *name != "-")
            .collect();
        let vms: FastSet<&str> = steps.iter().map(|step| step.vm.as_str()).collect();
        let is_life = |line: &LogLine| {
            vms.contains(line.vm.as_str())
                && matches!(
                    line.event.as_str(),
                    "started"
                        | "drain_begun"
                        | "drain_ended"
                        | "dependency_lost"
                        | "dependency_regained"
                        | "woke_late"
                        | "clock_step"
                        | "register_accepted"
                )
        };
        let is_about = |line: &LogLine| {
            line.field("request").is_empty()
                && line.field("place").is_empty()
                && met.iter().any(|name| line.names(name))
                && (vms.contains(line.vm.as_str()) || met.contains(line.vm.as_str()))
        };
        let mut beliefs: Vec<&LogLine> = self
            .lines
            .iter()
            .filter(|line| span.contains(&line.time) && (is_life(line) || is_about(line)))
            .collect();
        beliefs.sort_by(|left, right| left.time.total_cmp(&right.time));
        beliefs
    }

    /// When a VM's process was started after a time.
    pub fn next_start(&self, vm: &str, after: f64) -> Option<f64> {
        let starts = self
            .lines
            .iter()
            .filter(|line| line.event == "started" && line.vm == vm);
        let mut times: Vec<f64> = starts
            .map(|line| line.time)
            .filter(|time| *time > after)
            .collect();
        times.sort_by(f64::total_cmp);
        times.first().copied()
    }

    /// The last time at which a VM wrote anything.
    pub fn last_word(&self, vm: &str) -> f64 {
        let times = self
            .lines
            .iter()
            .filter(|line| line.vm == vm)
            .map(|line| line.time);
        times.fold(0.0, f64::max)
    }
}

/// What the logs say of one request.
#[derive(Debug)]
pub struct RequestStory<'a> {
    /// Its lines.
    pub steps: Vec<&'a LogLine>,
    /// What was believed of what it met.
    pub beliefs: Vec<&'a LogLine>,
    /// What was believed of requests of its content.
    pub suspicion: Vec<&'a LogLine>,
    /// Limits of its service's replicas that were in force as it was refused.
    pub limits: Vec<&'a LogLine>,
    /// The configuration by which it got no route.
    pub configuration: MetConfiguration<'a>,
}

impl RequestStory<'_> {
    /// The last line of an event.
    pub fn last(&self, event: &str) -> Option<&LogLine> {
        self.steps.iter().rev().find(|step| step.event == event).copied()
    }
}
