//! Explains requests from logs alone: each cause is found from the lines and named.

use dotterelspan::explain::{CauseTally, LogSet, find_cause};

const STEPS: &str = "\
vm-1 time=100.000 level=info event=routed request=R route=talk kind=stream service=llm limit_ms=8000 attempts=2 revision=4
vm-1 time=100.001 level=info event=granted request=R place=1 decode=i-d prefill=i-p granted_by=vm-2 queue_ms=1 list_revision=9
";

fn ended(outcome: &str, rest: &str) -> String {
    format!(
        "{STEPS}vm-1 time=104.000 level=error event=ended request=R route=talk kind=stream outcome={outcome} code=0 status=200 \
         replica=i-d prefill=i-p granted_by=vm-2 sends=2 queue_ms=1 prefill_ms=40 {rest} total_ms=4000 revision=4 list_revision=9\n"
    )
}

fn explain(log: &str) -> String {
    let mut logs = LogSet::default();
    logs.add(log, "vm-1");
    let (cause, sentence) = find_cause(&logs, &logs.timeline("R"));
    format!("{}: {sentence}", cause.as_str())
}

#[test]
fn causes_are_told_from_the_lines() {
    let refusal = |reason: &str, code: u32| {
        format!(
            "vm-1 time=100.002 level=error event=refused request=R route=talk code={code} reason={reason} detail=\"\" retry_after_ms=900\n{}",
            ended("refused", "first_ms=0 events=0 idle_ms=0")
        )
    };
    let cases = [
        (
            "nothing of it",
            "vm-1 time=100.000 level=info event=started vm=vm-1 zone=a\n".to_owned(),
        ),
        ("served", ended("served", "first_ms=60 events=5 idle_ms=10")),
        ("queue full", refusal("queue_full", 3002)),
        ("refused as its node left", refusal("leaving", 2005)),
        (
            "running as its node left",
            refusal("left_during_run", 4006).replace("outcome=refused", "outcome=failed"),
        ),
        ("no replica", refusal("no_upstream", 2004)),
        ("fresh process", refusal("no_register", 2006)),
        (
            "held back",
            format!(
                "vm-3 time=90.000 level=warn event=request_struck fingerprint=f0 upstream=i-1 incarnation=7 strikes=1 age_ms=1 seen_by=vm-3 source=own\n\
                 vm-2 time=91.000 level=warn event=request_struck fingerprint=f0 upstream=i-2 incarnation=8 strikes=2 age_ms=2 seen_by=vm-2 source=own\n\
                 vm-1 time=91.001 level=warn event=request_struck fingerprint=f0 upstream=i-2 incarnation=8 strikes=2 age_ms=3 seen_by=vm-2 source=vm-2\n{}",
                refusal("quarantined", 2004).replace(
                    "request=R route=talk kind",
                    "request=R fingerprint=f0 route=talk kind"
                )
            ),
        ),
        (
            "limits of replicas",
            format!(
                "vm-1 time=90.000 level=warn event=limit_named replica=i-1 replica_start=7 service=llm rate=4.6 age_ms=100 seen_by=vm-3 source=vm-3\n\
                 vm-1 time=91.000 level=warn event=limit_named replica=i-2 replica_start=8 service=llm rate=5 age_ms=0 seen_by=vm-1 source=answer\n\
                 vm-1 time=92.000 level=warn event=limit_ended replica=i-2 replica_start=8 service=llm age_ms=0 seen_by=vm-2 source=vm-2\n\
                 vm-1 time=93.000 level=warn event=limit_named replica=i-3 replica_start=9 service=desk rate=6 age_ms=0 seen_by=vm-2 source=vm-2\n{}",
                refusal("rate_limited", 2009)
            ),
        ),
        (
            "no route by an old configuration",
            "vm-1 time=90.000 level=warn event=register_accepted revision=3 previous=2 written=8 source=Service unconfirmed_ms=0\n\
             vm-2 time=95.000 level=warn event=register_accepted revision=4 previous=3 written=9 source=Service unconfirmed_ms=900\n\
             vm-1 time=95.001 level=warn event=register_refused revision=4 in_force=3 source=Service faults=2 first=\"route[1] a: no host\"\n\
             vm-1 time=100.000 level=error event=refused request=R route=- code=1016 reason=no_route detail=\"/new/\" retry_after_ms=0 revision=3\n"
                .to_owned(),
        ),
        (
            "silent in the middle",
            ended("caller_gone", "first_ms=60 events=5 idle_ms=3000"),
        ),
        (
            "silent from the start",
            ended("caller_gone", "first_ms=0 events=0 idle_ms=0"),
        ),
        (
            "broken off",
            format!(
                "vm-1 time=103.000 level=error event=stream_broken request=R replica=i-d last_event=5 reason=\"connection reset\"\n{}",
                ended("cut", "first_ms=60 events=5 idle_ms=10")
            ),
        ),
        (
            "vm left",
            format!(
                "{}vm-1 time=104.001 level=warn event=drain_ended active_requests=1\n",
                ended("cut", "first_ms=60 events=5 idle_ms=10")
            ),
        ),
        (
            "own error",
            ended("replica_failed", "first_ms=0 events=0 idle_ms=0"),
        ),
        (
            "process ended and came again",
            format!("{STEPS}vm-1 time=107.000 level=warn event=started vm=vm-1 zone=a\n"),
        ),
        ("process ended", STEPS.to_owned()),
    ];
    let causes: Vec<String> = cases
        .iter()
        .map(|(name, log)| format!("{name} | {}", explain(log)))
        .collect();
    insta::assert_snapshot!(causes.join("\n"));
}

#[test]
fn damaged_lines_are_passed_over() {
    let whole = ended("served", "first_ms=60 events=5 idle_ms=10");
    let expected = explain(&whole);
    let noisy = format!(
        "a line of another program\nvm-1 time=x event=\n\u{fffd}\nvm-1 time=99.0 event=routed reque\n{whole}vm-1 time=104.1 level=info ev"
    );
    assert_eq!(explain(&noisy), expected);
}

#[test]
fn failures_are_counted_by_cause() {
    let mut logs = LogSet::default();
    let silent = ended("caller_gone", "first_ms=60 events=5 idle_ms=3000");
    for (name, log) in [
        ("r-1", &silent),
        ("r-2", &silent),
        ("r-3", &ended("replica_failed", "first_ms=0 events=0 idle_ms=0")),
    ] {
        logs.add(&log.replace("request=R", &format!("request={name}")), "vm-1");
    }
    insta::assert_snapshot!(CauseTally::from_logs(&logs).table());
}
