//! The four measures of one run, from callers' outcomes and the engines' journals.

use std::collections::HashSet;

use super::load::Outcome;
use super::overhead::{resident_bytes, stat_seconds};
use super::workload::{Arrival, ArrivalKind};
use crate::fleet::Fleet;

/// The target for the first token, in microseconds.
const FIRST_TOKEN_US: u64 = 520_000;

/// The target for the time between tokens, in microseconds.
const TOKEN_GAP_US: u64 = 33_000;

/// The width of the windows of the bound, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// One run.
#[derive(Clone, Debug, Default)]
pub struct RunMeasures {
    /// Streams offered a second.
    pub offered: f64,
    /// Streams that met both targets, as a share of all, in percent.
    pub goodput: f64,
    /// The share that no scheduler can exceed, in percent.
    pub bound: f64,
    /// The share at crests, in percent.
    pub crest: f64,
    /// Prefill work in vain, in percent.
    pub wasted: f64,
    /// Prompt tokens that the caches saved, in percent.
    pub cached: f64,
    /// The median time to the first token, in milliseconds.
    pub first_p50: f64,
    /// The 99th percentile of the time to the first token, in milliseconds.
    pub first_p99: f64,
    /// The 99th percentile of the mean time between a stream's tokens, in milliseconds.
    pub gap_p99: f64,
    /// The 50th percentile of lookups, in milliseconds.
    pub lookup_p50: f64,
    /// The 99th percentile of lookups, in milliseconds.
    pub lookup_p99: f64,
    /// Streams refused, in percent.
    pub refused: f64,
    /// Requests without any word, in number.
    pub lost: f64,
    /// What control costs a node.
    pub control: ControlCost,
}

/// What control costs the mean node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Processor time of the control thread, in percent of a core.
    pub core_percent: f64,
    /// Bytes of peer frames sent and received, in kilobytes a second.
    pub peer_kilobytes: f64,
    /// Resident memory of the process, in megabytes.
    pub resident_megabytes: f64,
}

impl ControlCost {
    /// Reads what all entries have spent since they began, so many seconds ago.
    pub async fn read(fleet: &Fleet, seconds: f64) -> Self {
        let mut cost = Self::default();
        for (index, entry) in fleet.entries.iter().enumerate() {
            let id = entry.process.id();
            let status = fleet.status(index).await.unwrap_or_default();
            let bytes = |name: &str| status[name].as_f64().unwrap_or(0.0);
            cost.core_percent += control_seconds(id) * 100.0 / seconds;
            cost.peer_kilobytes +=
                (bytes("peer_bytes_sent") + bytes("peer_bytes_received")) / 1_000.0 / seconds;
            cost.resident_megabytes += resident_bytes(id) as f64 / 1_000_000.0;
        }
        let nodes = fleet.entries.len() as f64;
        Self {
            core_percent: cost.core_percent / nodes,
            peer_kilobytes: cost.peer_kilobytes / nodes,
            resident_megabytes: cost.resident_megabytes / nodes,
        }
    }
}

/// Processor time of a process's control thread, in seconds.
fn control_seconds(id: u32) -> f64 {
    let folder = format!("/proc/{id}/task");
    let threads = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let is_control = |path: &std::path::Path| {
        std::fs::read_to_string(path.join("comm")).is_ok_and(|name| name.trim() == "control")
    };
    let mut paths = threads.map(|thread| thread.path());
    paths
        .find(|path| is_control(path))
        .map_or(0.0, |path| stat_seconds(&path.join("stat")))
}

/// Judges one run.
pub fn judge(
    fleet: &Fleet,
    decode_rate: u64,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
    control: ControlCost,
) -> RunMeasures {
    let pairs = || arrivals.iter().zip(outcomes);
    let is_stream = |arrival: &Arrival| matches!(arrival.kind, ArrivalKind::Stream { .. });
    let streams: Vec<(&Arrival, &Outcome)> = pairs().filter(|(arrival, _)| is_stream(arrival)).collect();
    let crests: Vec<_> = streams
        .iter()
        .copied()
        .filter(|(arrival, _)| arrival.is_crest)
        .collect();
    let lookups: Vec<u64> = pairs()
        .filter(|(arrival, _)| matches!(arrival.kind, ArrivalKind::Lookup))
        .map(|(_, outcome)| {
            if outcome.is_whole {
                outcome.first_us
            } else {
                u64::MAX / 2
            }
        })
        .collect();
    let firsts: Vec<u64> = streams
        .iter()
        .map(|(_, outcome)| outcome.first_us)
        .filter(|first| *first > 10_000)
        .collect();
    let gaps: Vec<u64> = streams
        .iter()
        .map(|(_, outcome)| outcome.gap_us)
        .filter(|gap| *gap > 0)
        .collect();
    let refused = streams.iter().filter(|(_, outcome)| outcome.refused > 0).count();
    let lost = pairs()
        .filter(|(_, outcome)| !outcome.is_whole && outcome.refused == 0)
        .count();
    let (wasted, cached) = prefill_shares(fleet);
    let span_ms = arrivals.last().map_or(1, |arrival| arrival.at_ms.max(1));
    RunMeasures {
        offered: streams.len() as f64 * 1_000.0 / span_ms as f64,
        goodput: share_good(&streams),
        bound: bound(&streams, decode_rate),
        crest: share_good(&crests),
        wasted,
        cached,
        first_p50: percentile_ms(firsts.clone(), 50),
        first_p99: percentile_ms(firsts, 99),
        gap_p99: percentile_ms(gaps, 99),
        lookup_p50: percentile_ms(lookups.clone(), 50),
        lookup_p99: percentile_ms(lookups, 99),
        refused: refused as f64 * 100.0 / streams.len().max(1) as f64,
        lost: lost as f64,
        control,
    }
}

fn is_good(outcome: &Outcome) -> bool {
    outcome.is_whole && outcome.first_us <= FIRST_TOKEN_US && outcome.gap_us <= TOKEN_GAP_US
}

fn share_good(streams: &[(&Arrival, &Outcome)]) -> f64 {
    let good = streams.iter().filter(|(_, outcome)| is_good(outcome)).count();
    good as f64 * 100.0 / streams.len().max(1) as f64
}

/// What no scheduler can exceed: tokens of streams begun in good time can't outrun the engines.
///
/// In each window the work that is offered joins what is left of the windows before; a stream that finds more
/// than its first token's target of work ahead can't be good. What is turned away leaves no work.
fn bound(streams: &[(&Arrival, &Outcome)], decode_rate: u64) -> f64 {
    let capacity = decode_rate as f64 * WINDOW_MS as f64 / 1_000.0;
    let slack = decode_rate as f64 * FIRST_TOKEN_US as f64 / 1_000_000.0;
    let mut backlog = 0.0_f64;
    let mut window = 0;
    let mut good = 0;
    // An idle engine begins with all its slots free: one answer's work for each slot is not yet backlog.
    let in_service = streams
        .iter()
        .map(|(arrival, _)| answer_tokens(arrival))
        .sum::<f64>()
        / streams.len().max(1) as f64;
    let slots = decode_rate as f64 * 0.03;
    let room = slack + slots * in_service;
    for (arrival, _) in streams {
        while window < arrival.at_ms / WINDOW_MS {
            backlog = (backlog - capacity).max(0.0);
            window += 1;
        }
        let tokens = answer_tokens(arrival);
        if backlog + tokens <= room {
            backlog += tokens;
            good += 1;
        }
    }
    good as f64 * 100.0 / streams.len().max(1) as f64
}

fn answer_tokens(arrival: &Arrival) -> f64 {
    match arrival.kind {
        ArrivalKind::Stream { answer_tokens, .. } => answer_tokens as f64,
        ArrivalKind::Lookup | ArrivalKind::Booking => 0.0,
    }
}

/// Prefill work in vain, and prompt tokens that caches saved, both in percent.
fn prefill_shares(fleet: &Fleet) -> (f64, f64) {
    let journals = fleet.journals();
    let answered: HashSet<&str> = journals
        .iter()
        .filter(|line| line.event == "answered")
        .map(|line| line.subject.as_str())
        .collect();
    let number = |line: &crate::journal::JournalLine, name: &str| line.detail[name].as_f64().unwrap_or(0.0);
    let (mut all, mut wasted, mut tokens) = (0.0, 0.0, 0.0);
    for line in journals.iter().filter(|line| line.event == "prefill_began") {
        let uncached = number(line, "uncached");
        all += uncached;
        tokens += number(line, "tokens");
        if !answered.contains(line.subject.as_str()) {
            wasted += uncached;
        }
    }
    (
        wasted * 100.0 / f64::max(all, 1.0),
        (tokens - all) * 100.0 / f64::max(tokens, 1.0),
    )
}

fn percentile_ms(mut values: Vec<u64>, percent: usize) -> f64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).max(1) - 1;
    values.get(rank).map_or(0.0, |value| *value as f64 / 1_000.0)
}
