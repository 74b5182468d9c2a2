//! Finds out from a request's log lines why it was not served.

use super::{LogLine, LogSet, RequestTimeline};

/// Why a request was not served; `Served` if it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureCause {
    /// The request was served.
    Served,
    /// No VM logged the request, so none read it completely.
    NeverLogged,
    /// The process that handled it crashed or was terminated.
    ProcessEnded,
    /// Its VM exited at the end of its drain while the request was active.
    VmExited,
    /// The engines had no free slot in time.
    EnginesFull,
    /// No replica was available.
    NoReplica,
    /// Its VM had no configuration yet.
    NoConfiguration,
    /// The configuration in force at its VM has no route for its host and path.
    NoRoute,
    /// The request was invalid, or refused with a code that has no cause of its own.
    BadRequest,
    /// It was quarantined because replicas had crashed while running such requests.
    Quarantined,
    /// All replicas had reached the rate limits that they report.
    RateLimited,
    /// Its workspace had used up its quota.
    QuotaExceeded,
    /// The VM that grants its workspace's quota did not answer.
    QuotaUnavailable,
    /// The replicas of its plain service could not answer it before its deadline.
    ServiceSaturated,
    /// The replica ran it and answered with an error.
    ReplicaError,
    /// The replica's answer broke off, or was not authenticated as its own.
    ReplicaBroke,
    /// The replica did not answer in time, or stalled during its answer.
    ReplicaSilent,
    /// The replica refused to run it.
    ReplicaRefused,
    /// The caller disconnected while the request waited for engines.
    CallerLeftQueue,
    /// The caller disconnected before the replica answered, too soon to call the replica silent.
    CallerDisconnected,
    /// The log lines do not show the cause.
    Unknown,
}

impl FailureCause {
    /// The cause's name in tables and plots.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::NeverLogged => "never read by a VM",
            Self::ProcessEnded => "its process ended",
            Self::VmExited => "its VM left",
            Self::EnginesFull => "engines full",
            Self::NoReplica => "no replica",
            Self::NoConfiguration => "no configuration",
            Self::NoRoute => "no such route",
            Self::BadRequest => "bad request",
            Self::Quarantined => "held back",
            Self::RateLimited => "limits of replicas",
            Self::QuotaExceeded => "quota used up",
            Self::QuotaUnavailable => "quota owner away",
            Self::ServiceSaturated => "service saturated",
            Self::ReplicaError => "replica's error",
            Self::ReplicaBroke => "replica broke off",
            Self::ReplicaSilent => "replica silent",
            Self::ReplicaRefused => "replica refused",
            Self::CallerLeftQueue => "left in the queue",
            Self::CallerDisconnected => "caller left",
            Self::Unknown => "unknown",
        }
    }
}

/// Finds a request's cause of failure, with a sentence that explains it.
pub fn find_cause(logs: &LogSet, timeline: &RequestTimeline<'_>) -> (FailureCause, String) {
    let Some(first) = timeline.steps.first() else {
        let sentence = "No VM has a line of it: it was never read whole. Its VM was down, cut off, or lost its last lines."
            .to_owned();
        return (FailureCause::NeverLogged, sentence);
    };
    match timeline.last("ended") {
        Some(ended) => cause_of_end(timeline, ended),
        None => match timeline.last("refused") {
            Some(refused) if refused.field("reason") == "no_route" => cause_of_no_route(timeline, refused),
            Some(refused) => cause_of_refusal(refused),
            None => cause_of_missing_end(logs, first),
        },
    }
}

/// Handles a request that no line marks as ended or refused, in most cases because its process crashed first.
fn cause_of_missing_end(logs: &LogSet, first: &LogLine) -> (FailureCause, String) {
    let vm = &first.vm;
    let last_line_time = logs.last_line_time(vm);
    match logs.next_start_time(vm, first.time) {
        Some(start) => (
            FailureCause::ProcessEnded,
            format!("The process on {vm} ended while it served this; it was started again at {start:.3}."),
        ),
        None if last_line_time - first.time < 1.0 => (
            FailureCause::ProcessEnded,
            format!("{vm} wrote nothing after {last_line_time:.3}: its process ended while it served this."),
        ),
        None => (
            FailureCause::Unknown,
            format!("{vm} wrote no last line of it, though it wrote on until {last_line_time:.3}."),
        ),
    }
}

fn cause_of_end(timeline: &RequestTimeline<'_>, ended: &LogLine) -> (FailureCause, String) {
    let replica = ended.field("replica");
    let total_ms = ended.number("total_ms");
    match ended.field("outcome") {
        "served" => (
            FailureCause::Served,
            format!(
                "It was served by {replica} in {total_ms} ms, the first of it after {} ms.",
                ended.number("first_ms")
            ),
        ),
        "replica_failed" => (
            FailureCause::ReplicaError,
            format!(
                "Replica {replica} ran it and answered with status {} of its own; {} sends were made.",
                ended.field("status"),
                ended.field("sends")
            ),
        ),
        "refused" => match timeline.last("refused") {
            Some(refused) if refused.field("reason") == "quarantined" => {
                cause_of_quarantine(timeline, refused)
            }
            Some(refused) if refused.field("reason") == "rate_limited" => {
                cause_of_rate_limit(timeline, refused)
            }
            Some(refused) => cause_of_refusal(refused),
            None => (
                FailureCause::Unknown,
                format!("It was refused with code {}.", ended.field("code")),
            ),
        },
        "failed" => match timeline.last("refused") {
            Some(refused) if refused.field("reason") == "left_during_run" => cause_of_refusal(refused),
            _ => cause_of_failure(timeline, ended),
        },
        "cut" => cause_of_cut(timeline, ended),
        _ => cause_of_disconnect(timeline, ended),
    }
}

/// Handles a quarantined request; the sentence lists the crashes of replicas that led to it.
fn cause_of_quarantine(timeline: &RequestTimeline<'_>, refused: &LogLine) -> (FailureCause, String) {
    let (cause, sentence) = cause_of_refusal(refused);
    let detail = refused.field("detail");
    let feature = if detail.starts_with("part ") {
        detail
    } else {
        "content"
    };
    let mut crashes: Vec<String> = Vec::new();
    for line in timeline
        .suspicion
        .iter()
        .filter(|line| line.event == "request_struck")
    {
        if line.field("source") != "own" {
            // The VM that observed the crash logged it itself.
            continue;
        }
        let crashed_at = line.time - line.number("age_ms") as f64 / 1_000.0;
        let crash = format!(
            "{} (start {}) at {crashed_at:.3}, seen by {}",
            line.field("upstream"),
            line.field("incarnation"),
            line.field("seen_by")
        );
        if !crashes.contains(&crash) {
            crashes.push(crash);
        }
    }
    if crashes.is_empty() {
        return (
            cause,
            format!(
                "{sentence} The logs don't show which replicas crashed while running requests of its {feature}."
            ),
        );
    }
    let explanation = format!(
        "{sentence} Replicas that had ended under its {feature}: {}.",
        crashes.join(", ")
    );
    (cause, explanation)
}

/// Handles a request refused because of rate limits; the sentence lists the limits in force.
fn cause_of_rate_limit(timeline: &RequestTimeline<'_>, refused: &LogLine) -> (FailureCause, String) {
    let (cause, sentence) = cause_of_refusal(refused);
    let limits: Vec<String> = timeline
        .limits
        .iter()
        .map(|line| {
            let age_s = refused.time - line.time + line.number("age_ms") as f64 / 1_000.0;
            format!(
                "{} (start {}) {} a second, named {age_s:.1} s before to {}",
                line.field("replica"),
                line.field("replica_start"),
                line.field("rate"),
                line.field("seen_by")
            )
        })
        .collect();
    let explanation = match limits.is_empty() {
        true => "The logs don't show which limits were in force.".to_owned(),
        false => format!("Limits in force: {}.", limits.join(", ")),
    };
    (cause, format!("{sentence} {explanation}"))
}

/// Handles a request without a route; the sentence describes the configuration in force at its VM.
fn cause_of_no_route(timeline: &RequestTimeline<'_>, refused: &LogLine) -> (FailureCause, String) {
    let sentence = format!(
        "{} refused it with code {} (no_route) about {}. {}",
        refused.vm,
        refused.field("code"),
        refused.field("detail"),
        timeline.configuration.describe(refused)
    );
    (FailureCause::NoRoute, sentence)
}

fn cause_of_refusal(refused: &LogLine) -> (FailureCause, String) {
    let reason = refused.field("reason");
    let cause = match reason {
        "queue_timeout" | "queue_full" | "deadline_too_near" => FailureCause::EnginesFull,
        "no_upstream" => FailureCause::NoReplica,
        "no_register" => FailureCause::NoConfiguration,
        "no_route" => FailureCause::NoRoute,
        "quarantined" => FailureCause::Quarantined,
        "rate_limited" => FailureCause::RateLimited,
        "quota_exceeded" => FailureCause::QuotaExceeded,
        "quota_owner_unreachable" => FailureCause::QuotaUnavailable,
        "service_saturated" => FailureCause::ServiceSaturated,
        "upstream_failed" | "outcome_unknown" => FailureCause::ReplicaBroke,
        "deadline_during_run" => FailureCause::ReplicaSilent,
        "leaving" | "left_during_run" => FailureCause::VmExited,
        _ => FailureCause::BadRequest,
    };
    let detail = refused.field("detail");
    let about = if detail.is_empty() {
        String::new()
    } else {
        format!(" about {detail}")
    };
    let sentence = format!(
        "{} refused it with code {} ({reason}){about} and let it come back after {} ms.",
        refused.vm,
        refused.field("code"),
        refused.number("retry_after_ms")
    );
    (cause, sentence)
}

/// Handles a request that failed after it may have run.
fn cause_of_failure(timeline: &RequestTimeline<'_>, ended: &LogLine) -> (FailureCause, String) {
    let replica = ended.field("replica");
    let sent = timeline.last("sent");
    let outcome = sent.map_or("", |sent| sent.field("outcome"));
    let elapsed_ms = sent.map_or(0, |sent| sent.number("elapsed_ms"));
    match outcome {
        "deadline" => (
            FailureCause::ReplicaSilent,
            format!("Replica {replica} had not answered after {elapsed_ms} ms, when its time limit expired."),
        ),
        "own_error" => (
            FailureCause::ReplicaError,
            format!("Replica {replica} answered with an error of its own after {elapsed_ms} ms."),
        ),
        "not_run" | "misdirected" => (
            FailureCause::ReplicaRefused,
            format!("Replica {replica} refused it after {elapsed_ms} ms ({outcome})."),
        ),
        _ => (
            FailureCause::ReplicaBroke,
            format!(
                "Replica {replica} broke off, or sent unauthenticated bytes, after {elapsed_ms} ms{}.",
                reason_of_break(timeline)
            ),
        ),
    }
}

fn reason_of_break(timeline: &RequestTimeline<'_>) -> String {
    let broken = timeline.last("stream_broken").or(timeline.last("answer_broken"));
    broken.map_or_else(String::new, |line| format!(" ({})", line.field("reason")))
}

/// Whether the VM that handled a request exited meanwhile at the end of its drain.
fn has_vm_exited(timeline: &RequestTimeline<'_>, ended: &LogLine) -> bool {
    let mut beliefs = timeline.beliefs.iter();
    beliefs.any(|line| line.event == "drain_ended" && line.vm == ended.vm)
}

/// Handles an answer that broke off midway.
fn cause_of_cut(timeline: &RequestTimeline<'_>, ended: &LogLine) -> (FailureCause, String) {
    if has_vm_exited(timeline, ended) {
        let sentence = format!(
            "{} left before the answer was whole; its grace was over.",
            ended.vm
        );
        return (FailureCause::VmExited, sentence);
    }
    (
        FailureCause::ReplicaBroke,
        format!(
            "Replica {} broke its answer off after {} events and {} ms{}.",
            ended.field("replica"),
            ended.field("events"),
            ended.field("total_ms"),
            reason_of_break(timeline)
        ),
    )
}

/// Handles a request whose caller disconnected.
fn cause_of_disconnect(timeline: &RequestTimeline<'_>, ended: &LogLine) -> (FailureCause, String) {
    let total_ms = ended.number("total_ms");
    let replica = ended.field("replica");
    if has_vm_exited(timeline, ended) {
        let sentence = format!("{} left while it served this; its grace was over.", ended.vm);
        return (FailureCause::VmExited, sentence);
    }
    if replica == "-" && ended.field("granted_by") == "-" && ended.number("prefill_ms") == 0 {
        return (
            FailureCause::CallerLeftQueue,
            format!("The caller left after {total_ms} ms, while it waited for engines."),
        );
    }
    let idle_ms = ended.number("idle_ms");
    let events = ended.number("events");
    if events > 0 {
        return (
            FailureCause::ReplicaSilent,
            format!(
                "The caller left after {total_ms} ms and {events} events; replica {replica} had sent nothing for {idle_ms} ms."
            ),
        );
    }
    let is_replica_silent = total_ms >= REPLICA_SILENCE_MS;
    let cause = if is_replica_silent {
        FailureCause::ReplicaSilent
    } else {
        FailureCause::CallerDisconnected
    };
    let name = if replica == "-" {
        ended.field("prefill")
    } else {
        replica
    };
    let sentence =
        format!("The caller left after {total_ms} ms, while replica {name} had answered nothing yet.");
    (cause, sentence)
}

/// If a caller disconnects after waiting at least this long for a first event, its replica counts as silent,
/// in milliseconds.
const REPLICA_SILENCE_MS: u64 = 2_000;
