//! The log lines of one request in order, with the state of VMs and replicas that affected it.

use super::configuration::CONFIGURATION_EVENTS;
use super::{ConfigurationTimeline, LogLine};
use crate::prelude::*;

/// Lines about VMs and replicas are included from this long before a request's first line to this long after
/// its last one, in seconds: within this time a replica's entry expires, and a suspicion spreads to all VMs.
const CONTEXT_SPAN_S: f64 = 6.0;

/// Names of the events about rate limits of replicas.
const LIMIT_EVENTS: [&str; 2] = ["limit_named", "limit_ended"];

/// The parsed logs of one or more VMs.
#[derive(Debug, Default)]
pub struct LogSet {
    lines: Vec<LogLine>,
    by_request: FastMap<String, Vec<usize>>,
    by_placement: FastMap<String, Vec<usize>>,
    /// Indexes of lines by the hash of a content or of a part of prompts.
    by_feature: FastMap<String, Vec<usize>>,
    /// Indexes of the lines about rate limits of replicas.
    limits: Vec<usize>,
    /// Indexes of the lines about configurations.
    configurations: Vec<usize>,
}

impl LogSet {
    /// Adds a log file's text. Lines without a VM's name belong to `default_vm`.
    pub fn add(&mut self, text: &str, default_vm: &str) {
        for line in text.lines().filter_map(|line| LogLine::parse(line, default_vm)) {
            let index = self.lines.len();
            for (names, map) in [
                (&["request"][..], &mut self.by_request),
                (&["place"], &mut self.by_placement),
                (&["fingerprint", "parts"], &mut self.by_feature),
            ] {
                let keys = names.iter().flat_map(|name| line.field(name).split(','));
                for key in keys.filter(|key| !key.is_empty() && *key != "-") {
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

    /// Number of parsed lines.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no line was parsed.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The ids of all requests that occur in a line, in no order.
    pub fn requests(&self) -> impl Iterator<Item = &str> {
        self.by_request.keys().map(String::as_str)
    }

    /// Collects the lines about one request.
    pub fn timeline(&self, request: &str) -> RequestTimeline<'_> {
        let mut indexes = self.by_request.get(request).cloned().unwrap_or_default();
        let places: Vec<String> = indexes
            .iter()
            .map(|index| self.lines[*index].field("place").to_owned())
            .filter(|place| !place.is_empty())
            .collect();
        for place in places {
            indexes.extend(self.by_placement.get(&place).into_iter().flatten());
        }
        indexes.sort_unstable();
        indexes.dedup();
        let mut steps: Vec<&LogLine> = indexes.iter().map(|index| &self.lines[*index]).collect();
        steps.sort_by(|left, right| left.time.total_cmp(&right.time));
        let beliefs = self.beliefs_around(&steps);
        let suspicion = self.suspicion_of(&steps);
        let limits = self.limits_of(&steps);
        let configuration = self.configuration_of(&steps);
        RequestTimeline {
            steps,
            beliefs,
            suspicion,
            limits,
            configuration,
        }
    }

    /// Lines about the configuration that had no route for a request; empty unless it was refused for that.
    fn configuration_of(&self, steps: &[&LogLine]) -> ConfigurationTimeline<'_> {
        let refused = steps.iter().rev().find(|step| step.event == "refused");
        match refused.filter(|refused| refused.field("reason") == "no_route") {
            Some(refused) => {
                let lines = self.configurations.iter().map(|index| &self.lines[*index]);
                ConfigurationTimeline::from_lines(refused, lines)
            }
            None => ConfigurationTimeline::default(),
        }
    }

    /// The rate limits of a service's replicas that a VM knew when it refused a request to the service.
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

    /// Lines about requests with the feature for which a request was refused, or else with the same content, at
    /// any time: the reason for a quarantine may lie hours back.
    fn suspicion_of(&self, steps: &[&LogLine]) -> Vec<&LogLine> {
        let mut fingerprints = steps.iter().map(|step| step.field("fingerprint"));
        let Some(fingerprint) = fingerprints.find(|fingerprint| !fingerprint.is_empty()) else {
            return Vec::new();
        };
        let feature = quarantined_feature(steps).filter(|feature| self.by_feature.contains_key(*feature));
        let feature = feature.unwrap_or(fingerprint);
        let indexes = self.by_feature.get(feature).into_iter().flatten();
        let lines = indexes.map(|index| &self.lines[*index]);
        let mut lines: Vec<&LogLine> = lines.filter(|line| line.field("request").is_empty()).collect();
        lines.sort_by(|left, right| left.time.total_cmp(&right.time));
        lines
    }

    /// Lines about the state of the VMs and replicas involved in a request, around its time.
    fn beliefs_around(&self, steps: &[&LogLine]) -> Vec<&LogLine> {
        let (Some(first), Some(last)) = (steps.first(), steps.last()) else {
            return Vec::new();
        };
        let span = first.time - CONTEXT_SPAN_S..=last.time + CONTEXT_SPAN_S;
        let fields = ["replica", "decode", "prefill", "granted_by"];
        let involved: FastSet<&str> = steps
            .iter()
            .flat_map(|step| fields.iter().map(|field| step.field(field)))
            .filter(|name| !name.is_empty() && *name != "-")
            .collect();
        let vms: FastSet<&str> = steps.iter().map(|step| step.vm.as_str()).collect();
        let is_about_process = |line: &LogLine| {
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
        let is_about_involved = |line: &LogLine| {
            line.field("request").is_empty()
                && line.field("place").is_empty()
                && involved.iter().any(|name| line.has_value(name))
                && (vms.contains(line.vm.as_str()) || involved.contains(line.vm.as_str()))
        };
        let mut beliefs: Vec<&LogLine> = self
            .lines
            .iter()
            .filter(|line| span.contains(&line.time) && (is_about_process(line) || is_about_involved(line)))
            .collect();
        beliefs.sort_by(|left, right| left.time.total_cmp(&right.time));
        beliefs
    }

    /// Time of the first start of a VM's process after `after`, in seconds since the Unix epoch; `None` if
    /// no log shows one.
    pub fn next_start_time(&self, vm: &str, after: f64) -> Option<f64> {
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

    /// Time of a VM's last line, in seconds since the Unix epoch; zero if it has none.
    pub fn last_line_time(&self, vm: &str) -> f64 {
        let times = self
            .lines
            .iter()
            .filter(|line| line.vm == vm)
            .map(|line| line.time);
        times.fold(0.0, f64::max)
    }
}

/// The log lines about one request, each list in order of time.
#[derive(Debug)]
pub struct RequestTimeline<'a> {
    /// Lines of the request itself, and of its placements.
    pub steps: Vec<&'a LogLine>,
    /// Lines about the state of the VMs and replicas involved.
    pub beliefs: Vec<&'a LogLine>,
    /// Lines about suspicions against requests of the same content.
    pub suspicion: Vec<&'a LogLine>,
    /// Rate limits of its service's replicas that were in force when it was refused.
    pub limits: Vec<&'a LogLine>,
    /// The configuration that had no route for it; empty unless it was refused for that.
    pub configuration: ConfigurationTimeline<'a>,
}

impl RequestTimeline<'_> {
    /// The last line of the request's own lines with this event.
    pub fn last(&self, event: &str) -> Option<&LogLine> {
        self.steps.iter().rev().find(|step| step.event == event).copied()
    }
}

/// The hash of the feature for which a request was refused; `None` unless it was quarantined.
fn quarantined_feature<'a>(steps: &[&'a LogLine]) -> Option<&'a str> {
    let refused = steps.iter().rev().find(|step| step.event == "refused")?;
    let detail = refused.field("detail");
    (refused.field("reason") == "quarantined").then(|| detail.rsplit(' ').next().unwrap_or(detail))
}
