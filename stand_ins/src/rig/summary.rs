//! The result table: means over seeds, with the half width of the 95 % confidence interval.

use super::measure::RunMeasures;
use super::workload::UserProfile;
use super::{RigParams, decode_rate};

/// Two-sided 95 % quantiles of Student's t-distribution, for 1 to 9 degrees of freedom.
const STUDENT: [f64; 9] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];

/// The parameters of the measurement and the head of the table.
pub fn table_head(params: &RigParams, profile: &UserProfile) -> String {
    format!(
        "user {} entries {} prefill {} decode {} ({} tokens/s) desks {}; load {}%, {} s, seeds {:?}, swings {}, \
         stragglers {}; engine time scale 1\n| policy | streams/s | goodput % | bound % | crest % | wasted % | cached % | \
         first p50 ms | first p99 ms | gap p99 ms | lookup p50 ms | lookup p99 ms | refused % | lost | control % core | peer KB/s | RSS MB |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
        params.user,
        profile.entries,
        profile.prefills,
        profile.decodes,
        decode_rate(profile),
        profile.services,
        params.load_percent,
        params.seconds,
        params.seeds,
        params.has_swings,
        params.has_stragglers,
    )
}

/// The table row of one policy, from its runs with all seeds.
pub fn table_row(policy: &str, runs: &[RunMeasures]) -> String {
    let columns: [fn(&RunMeasures) -> f64; 16] = [
        |run| run.offered,
        |run| run.goodput,
        |run| run.bound,
        |run| run.crest,
        |run| run.wasted,
        |run| run.cached,
        |run| run.first_p50,
        |run| run.first_p99,
        |run| run.gap_p99,
        |run| run.lookup_p50,
        |run| run.lookup_p99,
        |run| run.refused,
        |run| run.lost,
        |run| run.control.core_percent,
        |run| run.control.peer_kilobytes,
        |run| run.control.resident_megabytes,
    ];
    let cells: Vec<String> = columns
        .iter()
        .map(|column| cell(&runs.iter().map(column).collect::<Vec<f64>>()))
        .collect();
    format!("| {policy} | {} |", cells.join(" | "))
}

fn cell(values: &[f64]) -> String {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return format!("{mean:.1}");
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let student = STUDENT.get(values.len() - 2).copied().unwrap_or(2.0);
    format!("{mean:.1} ±{:.1}", student * (variance / count).sqrt())
}
