//! Measures of one run, from the callers' outcomes, the engines' journals, and `/proc`.

use std::collections::HashSet;

use super::load::RequestOutcome;
use super::overhead::{resident_bytes, stat_seconds};
use super::workload::{Arrival, ArrivalKind};
use crate::fleet::Fleet;

/// Target for the time to the first token, in microseconds.
const FIRST_TOKEN_US: u64 = 520_000;

/// Target for the mean time between a stream's tokens, in microseconds.
const TOKEN_GAP_US: u64 = 33_000;

/// Interval at which the backlog of `bound` is reduced, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Measures of one run; each field is a column of the result table.
#[derive(Clone, Debug, Default)]
pub struct RunMeasures {
    /// Streams offered per second.
    pub offered: f64,
    /// Complete streams that met both targets, in percent of all streams.
    pub goodput: f64,
    /// Upper bound of goodput for any scheduler, in percent.
    pub bound: f64,
    /// Goodput of the streams that arrived in peak phases, in percent.
    pub crest: f64,
    /// Prefilled tokens of requests that were never answered completely, in percent of all prefilled tokens.
    pub wasted: f64,
    /// Prompt tokens found in prefix caches, in percent of all prompt tokens.
    pub cached: f64,
    /// Median time to the first token, in milliseconds.
    pub first_p50: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_p99: f64,
    /// 99th percentile of the mean time between a stream's tokens, in milliseconds.
    pub gap_p99: f64,
    /// Median time of lookups, in milliseconds; an unanswered one counts as infinite.
    pub lookup_p50: f64,
    /// 99th percentile of the time of lookups, in milliseconds; an unanswered one counts as infinite.
    pub lookup_p99: f64,
    /// Refused streams, in percent of all streams.
    pub refused: f64,
    /// Number of requests with neither a complete answer nor a refusal.
    pub lost: f64,
    /// Mean cost of control per entry.
    pub control: ControlCost,
}

/// Cost of control per entry, as a mean over all entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Processor time of the control thread, in percent of one core.
    pub core_percent: f64,
    /// Peer traffic sent and received, in kilobytes per second.
    pub peer_kilobytes: f64,
    /// Resident memory of the process, in megabytes.
    pub resident_megabytes: f64,
}

impl ControlCost {
    /// Reads the totals of all entries and divides them by `seconds`, the duration of the load.
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

/// Processor time of the thread named `control` of a process, in seconds.
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

/// Computes the measures of one run.
pub fn compute_measures(
    fleet: &Fleet,
    decode_rate: u64,
    arrivals: &[Arrival],
    outcomes: &[RequestOutcome],
    control: ControlCost,
) -> RunMeasures {
    let pairs = || arrivals.iter().zip(outcomes);
    let is_stream = |arrival: &Arrival| matches!(arrival.kind, ArrivalKind::Stream { .. });
    let streams: Vec<(&Arrival, &RequestOutcome)> =
        pairs().filter(|(arrival, _)| is_stream(arrival)).collect();
    let peaks: Vec<_> = streams
        .iter()
        .copied()
        .filter(|(arrival, _)| arrival.is_peak)
        .collect();
    let lookups: Vec<u64> = pairs()
        .filter(|(arrival, _)| matches!(arrival.kind, ArrivalKind::Lookup))
        .map(|(_, outcome)| {
            if outcome.is_complete {
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
        .filter(|(_, outcome)| !outcome.is_complete && outcome.refused == 0)
        .count();
    let (wasted, cached) = prefill_shares(fleet);
    let span_ms = arrivals.last().map_or(1, |arrival| arrival.at_ms.max(1));
    RunMeasures {
        offered: streams.len() as f64 * 1_000.0 / span_ms as f64,
        goodput: share_good(&streams),
        bound: bound(&streams, decode_rate),
        crest: share_good(&peaks),
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

fn is_good(outcome: &RequestOutcome) -> bool {
    outcome.is_complete && outcome.first_us <= FIRST_TOKEN_US && outcome.gap_us <= TOKEN_GAP_US
}

fn share_good(streams: &[(&Arrival, &RequestOutcome)]) -> f64 {
    let good = streams.iter().filter(|(_, outcome)| is_good(outcome)).count();
    good as f64 * 100.0 / streams.len().max(1) as f64
}

/// Upper bound of goodput, in percent: the engines' capacity limits how many streams can start in time.
///
/// Accepted streams add their tokens to a backlog, which the engines reduce in each window. A stream is good
/// if the backlog with it stays within the work of one first-token target and of full slots. Other streams
/// add no work.
fn bound(streams: &[(&Arrival, &RequestOutcome)], decode_rate: u64) -> f64 {
    let capacity = decode_rate as f64 * WINDOW_MS as f64 / 1_000.0;
    let slack = decode_rate as f64 * FIRST_TOKEN_US as f64 / 1_000_000.0;
    let mut backlog = 0.0_f64;
    let mut window = 0;
    let mut good = 0;
    // One answer's work for each slot is served at once, without waiting: it counts as capacity, not as
    // backlog.
    let in_service = streams
        .iter()
        .map(|(arrival, _)| answer_tokens(arrival))
        .sum::<f64>()
        / streams.len().max(1) as f64;
    // A step with full batches takes 30 ms, so that each slot generates a token in this time.
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

/// Wasted prefill tokens and cached prompt tokens, both in percent.
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
