//! Streams under faults: each is complete, in order and answered once, and engines free its memory.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task::{JoinHandle, block_on};
use dotterelspan::controllers::rendezvous;
use serde_json::json;
use stand_ins::caller::{StreamCaller, StreamTranscript, generate_body};
use stand_ins::engine::expected_tokens;
use stand_ins::fleet::{Fleet, FleetPlan, register_text, wait_for};
use stand_ins::http;

use crate::table::{write_not_applicable_row, write_proven_row};

/// Number of words in the subject's prompt; identifies the subject in the journals.
const SUBJECT_WORDS: usize = 4_000;

/// Number of tokens in the subject's answer.
const SUBJECT_TOKENS: u32 = 60;

/// Number of tokens in the answers of the streams that fill all slots while the subject is queued.
const BLOCKER_TOKENS: u32 = 120;

/// How long a caller retries.
const CALLER_TIMEOUT: Duration = Duration::from_secs(40);

/// The fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    KillEntry,
    KillOwner,
    KillPrefill,
    KillDecode,
    PauseEntry,
    PauseOwner,
    PauseDecode,
    StallTransfer,
    PartitionEntries,
    SilenceCaller,
    SilenceUpstreams,
    SilencePeers,
    PlatformDown,
    PlatformStale,
    LeavingAndBack,
    CrossAnswers,
    VmsWrong,
    DrainEntry,
    CallerCancels,
    CallerVanishes,
}

/// The step at which the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStep {
    Queued,
    PrefillRunning,
    TransferUnderWay,
    MidStream,
    LastToken,
}

impl StreamStep {
    pub const ALL: [Self; 5] = [
        Self::Queued,
        Self::PrefillRunning,
        Self::TransferUnderWay,
        Self::MidStream,
        Self::LastToken,
    ];
}

/// The reason why a fault can't be injected at a step; `None` if it can.
fn not_applicable(fault: StreamFault, step: StreamStep) -> Option<&'static str> {
    use StreamFault::{KillDecode, KillPrefill, PauseDecode, StallTransfer};
    use StreamStep::{LastToken, MidStream, PrefillRunning, Queued};
    match (fault, step) {
        (KillPrefill | KillDecode | PauseDecode, Queued) => Some("no engine has the request"),
        (KillDecode | PauseDecode, PrefillRunning) => Some("no decode engine has the request"),
        (KillPrefill, MidStream | LastToken) => Some("the prefill engine is done with the request"),
        (StallTransfer, MidStream | LastToken) => Some("the transfer is over"),
        _ => None,
    }
}

/// Runs the case of one fault at each step to which it applies.
pub fn run_fault(fault: StreamFault, steps: &[StreamStep]) {
    for step in steps {
        let (fault_name, step_name) = (format!("{fault:?}"), format!("{step:?}"));
        if let Some(reason) = not_applicable(fault, *step) {
            write_not_applicable_row("stream", &fault_name, &step_name, reason);
            continue;
        }
        eprintln!("case stream {fault_name} at {step_name}");
        block_on(run_case(fault, *step));
        let promises = match fault {
            StreamFault::CallerCancels | StreamFault::CallerVanishes => "memory",
            _ => "whole answer, answered once, memory",
        };
        write_proven_row("stream", &fault_name, &step_name, promises);
    }
}

/// A stream under test and the fleet that serves it.
struct Subject {
    fleet: Fleet,
    prompt: String,
    caller: StreamCaller,
    running: JoinHandle<StreamTranscript>,
    blockers: Vec<JoinHandle<StreamTranscript>>,
}

fn plan() -> FleetPlan {
    let mut plan =
        FleetPlan::small().with_entry_arguments(&["--resume-window-ms", "1500", "--resolve-keep-ms", "500"]);
    plan.slots = 1;
    let engine = [
        "--slots",
        "1",
        "--prefill-rate",
        "4000",
        "--step-us",
        "20000",
        "--link-rate",
        "500000",
    ];
    plan.with_engine_arguments(&engine)
}

/// Starts a fleet and a stream whose first entry is not the owner of its engines, and waits for the step.
async fn start_at_step(step: StreamStep) -> Subject {
    let fleet = Fleet::start(plan()).await;
    let mut blockers = Vec::new();
    if step == StreamStep::Queued {
        for index in 0..fleet.plan.decodes {
            blockers.push(start_blocker(&fleet, index));
        }
        wait_for("all slots are occupied", || async {
            fleet
                .journals()
                .iter()
                .filter(|line| line.event == "decode_began")
                .count()
                == fleet.plan.decodes
        })
        .await;
    }
    let prompt = "ash ".repeat(SUBJECT_WORDS);
    let body = generate_body(
        "kitamura",
        "ash-reader",
        "ledger",
        &prompt,
        SUBJECT_TOKENS,
        60_000,
    );
    let mut entries = fleet.entry_addresses();
    entries.rotate_left(serving_entry(&fleet));
    let caller = StreamCaller::new(entries, body);
    let running = async_std::task::spawn({
        let caller = caller.clone();
        async move { caller.run(CALLER_TIMEOUT).await }
    });
    let subject = Subject {
        fleet,
        prompt,
        caller,
        running,
        blockers,
    };
    subject.wait_step(step).await;
    subject
}

fn start_blocker(fleet: &Fleet, index: usize) -> JoinHandle<StreamTranscript> {
    let prompt = format!("blocker {index}");
    let body = generate_body("sadaf", "ash-reader", "ledger", &prompt, BLOCKER_TOKENS, 60_000);
    let mut entries = fleet.entry_addresses();
    // Blockers are served by the slot owner, which most faults do not affect.
    entries.rotate_left(owner_entry(fleet));
    async_std::task::spawn(async move { StreamCaller::new(entries, body).run(CALLER_TIMEOUT).await })
}

/// The index of the entry that owns the model's only group of engines.
fn owner_entry(fleet: &Fleet) -> usize {
    let names = fleet.entries.iter().map(|entry| entry.name.as_str());
    let owner = rendezvous::owner("ash-reader/0", names).expect("a fleet has entries");
    fleet
        .entries
        .iter()
        .position(|entry| entry.name == owner)
        .expect("the owner is an entry")
}

/// The index of the entry that serves the subject: one that does not own its engines.
fn serving_entry(fleet: &Fleet) -> usize {
    (owner_entry(fleet) + 1) % fleet.entries.len()
}

impl Subject {
    async fn wait_step(&self, step: StreamStep) {
        match step {
            StreamStep::Queued => {
                let entry = &self.fleet.entries[serving_entry(&self.fleet)];
                wait_for("the subject is queued", || async {
                    let status = http::get(&entry.address, "/v1/status").await;
                    status.is_some_and(|status| status.body["active_requests"].as_u64() == Some(1))
                })
                .await;
                async_std::task::sleep(Duration::from_millis(100)).await;
            }
            StreamStep::PrefillRunning => {
                wait_for("the prefill runs", || async {
                    self.engine_of("prefill_began").is_some()
                })
                .await;
            }
            StreamStep::TransferUnderWay => {
                wait_for("the decode engine fetches the KV cache", || async {
                    self.engine_of("decode_began").is_some()
                })
                .await;
            }
            StreamStep::MidStream => self.wait_tokens(15).await,
            StreamStep::LastToken => self.wait_tokens(SUBJECT_TOKENS as usize - 1).await,
        }
    }

    async fn wait_tokens(&self, count: usize) {
        wait_for("the tokens have arrived", || async {
            self.caller.progress.load(Ordering::Relaxed) >= count
        })
        .await;
    }

    /// The name of the engine whose journal has this event of the subject.
    fn engine_of(&self, event: &str) -> Option<String> {
        let journals = self.fleet.journals();
        let is_subject = |line: &&stand_ins::journal::JournalLine| {
            line.event == "prefill_began" && line.detail["tokens"] == SUBJECT_WORDS
        };
        let request = journals.iter().find(is_subject)?.subject.clone();
        let line = journals
            .iter()
            .find(|line| line.event == event && line.subject == request)?;
        line.detail["engine"].as_str().map(str::to_owned)
    }

    async fn kill_engine(&mut self, event: &str) {
        let name = self.engine_of(event).expect("the step names an engine");
        let engines = self.fleet.prefills.iter_mut().chain(&mut self.fleet.decodes);
        for engine in engines.filter(|engine| engine.name == name) {
            engine.process.kill();
        }
        // Stays down for a moment, so that the loss is detected, before it is restarted.
        async_std::task::sleep(Duration::from_millis(1_000)).await;
        self.fleet.restart_upstream(&name).await;
    }

    async fn inject(&mut self, fault: StreamFault) {
        let serving = serving_entry(&self.fleet);
        let owner = owner_entry(&self.fleet);
        match fault {
            StreamFault::KillEntry => self.fleet.entries[serving].process.kill(),
            StreamFault::KillOwner => self.fleet.entries[owner].process.kill(),
            StreamFault::KillPrefill => self.kill_engine("prefill_began").await,
            StreamFault::KillDecode => self.kill_engine("decode_began").await,
            StreamFault::PauseEntry => self.pause_entry(serving).await,
            StreamFault::PauseOwner => self.pause_entry(owner).await,
            StreamFault::PauseDecode => self.pause_decode().await,
            StreamFault::StallTransfer => self.stall_transfers().await,
            StreamFault::PartitionEntries => self.partition_entries().await,
            StreamFault::SilenceCaller => self.fleet.route(&self.caller.entries[0], "silence").await,
            StreamFault::SilenceUpstreams => self.silence_upstreams().await,
            StreamFault::SilencePeers => self.route_peers("silence").await,
            StreamFault::PlatformDown => self.platform_outage().await,
            StreamFault::PlatformStale => self.platform_stale().await,
            StreamFault::LeavingAndBack => self.mark_leaving_and_back().await,
            StreamFault::CrossAnswers => self.cross_answers().await,
            StreamFault::VmsWrong => self.fleet.publish_vms(&[serving, owner]).await,
            StreamFault::DrainEntry => self.fleet.entries[serving].process.terminate(),
            StreamFault::CallerCancels | StreamFault::CallerVanishes => {}
        }
    }

    async fn pause_entry(&self, index: usize) {
        self.fleet.entries[index].process.pause();
        async_std::task::sleep(Duration::from_millis(5_000)).await;
        self.fleet.entries[index].process.wake();
    }

    async fn pause_decode(&self) {
        let name = self.engine_of("decode_began").expect("the step names an engine");
        let engine = self.fleet.upstream(&name);
        engine.process.pause();
        async_std::task::sleep(Duration::from_millis(5_000)).await;
        engine.process.wake();
    }

    async fn stall_transfers(&self) {
        for engine in &self.fleet.prefills {
            http::post(&engine.address, "/fault", &json!({ "stalls_transfer": true })).await;
        }
        async_std::task::sleep(Duration::from_millis(4_000)).await;
        for engine in &self.fleet.prefills {
            http::post(&engine.address, "/fault", &json!({})).await;
        }
    }

    /// Makes every engine answer with another request's id for 300 ms.
    async fn cross_answers(&self) {
        let engines = || self.fleet.prefills.iter().chain(&self.fleet.decodes);
        for engine in engines() {
            http::post(&engine.address, "/fault", &json!({ "crosses": true })).await;
        }
        async_std::task::sleep(Duration::from_millis(300)).await;
        for engine in engines() {
            http::post(&engine.address, "/fault", &json!({})).await;
        }
    }

    async fn route_peers(&self, mode: &str) {
        for entry in &self.fleet.entries {
            self.fleet.route(&entry.peer_routed, mode).await;
        }
    }

    async fn partition_entries(&self) {
        self.route_peers("partition").await;
        async_std::task::sleep(Duration::from_millis(4_000)).await;
        self.route_peers("pass").await;
    }

    async fn silence_upstreams(&self) {
        for engine in self.fleet.prefills.iter().chain(&self.fleet.decodes) {
            self.fleet.route(&engine.routed, "silence").await;
        }
    }

    async fn platform_outage(&self) {
        self.fleet.platform_fault(json!({ "down": true })).await;
        async_std::task::sleep(Duration::from_millis(1_000)).await;
        self.fleet.platform_fault(json!({})).await;
    }

    async fn platform_stale(&mut self) {
        self.fleet.publish_register().await;
        self.fleet.platform_fault(json!({ "stale_revision": 1 })).await;
    }

    async fn mark_leaving_and_back(&mut self) {
        let names: Vec<String> = self
            .fleet
            .decodes
            .iter()
            .map(|engine| engine.name.clone())
            .collect();
        let text = register_text(&self.fleet, &[names[0].as_str()]);
        self.fleet.publish_text(&text).await;
        async_std::task::sleep(Duration::from_millis(200)).await;
        self.fleet.publish_register().await;
    }
}

async fn run_case(fault: StreamFault, step: StreamStep) {
    let mut subject = start_at_step(step).await;
    match fault {
        StreamFault::CallerCancels => {
            // Dropping the task closes the caller's connection.
            subject.running.cancel().await;
        }
        StreamFault::CallerVanishes => {
            subject.fleet.route(&subject.caller.entries[0], "silence").await;
            subject.running.cancel().await;
        }
        _ => {
            subject.inject(fault).await;
            let gathered = subject.running.await;
            check_answer(&subject.prompt, &gathered);
        }
    }
    for blocker in subject.blockers {
        let gathered = blocker.await;
        assert!(
            gathered.is_complete && !gathered.is_garbled,
            "blocker: {gathered:?}"
        );
    }
    let fleet = &subject.fleet;
    wait_for("engines hold nothing", || async { fleet.held().await == 0 }).await;
}

fn check_answer(prompt: &str, gathered: &StreamTranscript) {
    assert!(
        gathered.is_complete,
        "incomplete answer: {} tokens, refused {:?}",
        gathered.tokens.len(),
        gathered.refused
    );
    assert!(!gathered.is_garbled, "a token is out of order or repeated");
    assert_eq!(
        gathered.tokens,
        expected_tokens(prompt, 0, SUBJECT_TOKENS),
        "the tokens differ from those of its prompt"
    );
}
