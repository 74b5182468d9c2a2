//! The configuration applied to a request: the one in force at its VM, and later ones at other VMs.

use super::LogLine;

/// Names of the events about configurations.
pub const CONFIGURATION_EVENTS: [&str; 6] = [
    "register_accepted",
    "register_refused",
    "register_passed_over",
    "register_unreadable",
    "config_source_lost",
    "config_source_regained",
];

/// How long after a refused request lines about configurations are included, in seconds.
const LINES_AFTER_S: f64 = 6.0;

/// Lines about configurations around a request that a VM refused.
#[derive(Debug, Default)]
pub struct ConfigurationTimeline<'a> {
    /// Lines of that VM, from its acceptance of the configuration in force to shortly after the request.
    pub own: Vec<&'a LogLine>,
    /// The first line in which another VM accepted a later configuration before the request; `None` if none
    /// did.
    pub later: Option<&'a LogLine>,
}

impl<'a> ConfigurationTimeline<'a> {
    /// Selects the relevant lines from all lines about configurations.
    pub fn from_lines(refused: &LogLine, lines: impl Iterator<Item = &'a LogLine>) -> Self {
        let mut lines: Vec<&LogLine> = lines
            .filter(|line| line.time <= refused.time + LINES_AFTER_S)
            .collect();
        lines.sort_by(|left, right| left.time.total_cmp(&right.time));
        let in_force = refused.number("revision");
        let is_acceptance = |line: &LogLine| line.event == "register_accepted";
        let own: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.vm == refused.vm)
            .copied()
            .collect();
        let from = own
            .iter()
            .rposition(|line| is_acceptance(line) && line.time <= refused.time)
            .unwrap_or_default();
        let mut others = lines
            .iter()
            .filter(|line| line.vm != refused.vm && line.time <= refused.time);
        let later = others.find(|line| is_acceptance(line) && line.number("revision") > in_force);
        Self {
            own: own[from..].to_vec(),
            later: later.copied(),
        }
    }

    /// Describes the lines in one or more sentences.
    pub fn describe(&self, refused: &LogLine) -> String {
        let in_force = refused.number("revision");
        let mut explanation = match self
            .own
            .first()
            .filter(|line| line.number("revision") == in_force)
        {
            Some(line) => format!(
                "Configuration {in_force} was in force there since {:.3}.",
                line.time
            ),
            None => format!("Configuration {in_force} was in force there."),
        };
        if let Some(later) = self.later {
            explanation.push_str(&format!(
                " {} had accepted {} at {:.3}, {:.3} s before.",
                later.vm,
                later.number("revision"),
                later.time,
                refused.time - later.time
            ));
        }
        let refusals = self.own.iter().filter(|line| line.event == "register_refused");
        for line in refusals.filter(|line| line.time <= refused.time) {
            explanation.push_str(&format!(
                " {} had refused {} at {:.3}: {}.",
                refused.vm,
                line.number("revision"),
                line.time,
                line.field("first")
            ));
        }
        explanation
    }
}
