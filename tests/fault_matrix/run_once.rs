//! Run-once calls (bookings) under faults: each runs at most once, and what answers say about it is true.

use std::time::Duration;

use async_std::task::{JoinHandle, block_on};
use serde_json::{Value, json};
use stand_ins::caller::{call_body, get_key};
use stand_ins::fleet::{Fleet, FleetPlan, wait_for};
use stand_ins::http::{self, Answer};

use crate::table::write_proven_row;

/// Deadline of the caller's call, in milliseconds from its start.
const DEADLINE_MS: u64 = 8_000;

/// Time that the service takes to run a booking, in milliseconds.
const SERVICE_TIME_MS: u64 = 800;

/// The payload that identifies the booking in the journals.
const BOOKING: &str = "pickup-of-asahikawa";

/// The fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    KillOwner,
    KillOther,
    PauseOwner,
    KillService,
    PauseService,
    PartitionEntries,
    SilenceServices,
    SilencePeers,
    CutServices,
    CutService,
    AnswerLost,
    DrainOwner,
    RuleChanges,
    CrossedAnswer,
    PlatformDown,
    VmsWrong,
}

/// The step at which the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// The key is issued; the call is not sent yet.
    KeyIssued,
    /// The service has received the call and runs it.
    Running,
    /// The service has run the call; its answer is in transit or stored.
    Answered,
}

impl CallStep {
    pub const ALL: [Self; 3] = [Self::KeyIssued, Self::Running, Self::Answered];
}

/// Runs the case of one fault at each step.
pub fn run_fault(fault: CallFault, steps: &[CallStep]) {
    for step in steps {
        let (fault_name, step_name) = (format!("{fault:?}"), format!("{step:?}"));
        eprintln!("case booking {fault_name} at {step_name}");
        block_on(run_case(fault, *step));
        write_proven_row(
            "booking",
            &fault_name,
            &step_name,
            "at most once, true refusals, own answer",
        );
    }
}

/// A booking under test. Entry 0 owns its key; it is sent to entry 0 and, as a repeat, to entry 1.
struct Booking {
    fleet: Fleet,
    key: String,
    sent: Vec<JoinHandle<Option<Answer>>>,
}

impl Booking {
    async fn start() -> Self {
        let plan = FleetPlan::small().with_entry_arguments(&["--resolve-keep-ms", "500"]);
        let fleet = Fleet::start(plan).await;
        for service in &fleet.services {
            http::post(
                &service.address,
                "/fault",
                &json!({ "before_ms": SERVICE_TIME_MS }),
            )
            .await;
        }
        let key = get_key(&fleet.entries[0].routed, "kitamura", "desk", "book", 60_000).await;
        Self {
            fleet,
            key: key.expect("an entry issues a key"),
            sent: Vec::new(),
        }
    }

    /// Sends the booking to an entry without waiting for the answer.
    fn send(&mut self, entry: usize) {
        let address = self.fleet.entries[entry].routed.clone();
        let body = call_body("kitamura", "desk", "book", BOOKING, Some(&self.key), DEADLINE_MS);
        self.sent.push(async_std::task::spawn(async move {
            http::post(&address, "/v1/call", &body).await
        }));
    }

    async fn advance_to(&mut self, step: CallStep) {
        if step == CallStep::KeyIssued {
            return;
        }
        self.send(0);
        let event = if step == CallStep::Running {
            "received"
        } else {
            "ran"
        };
        let fleet = &self.fleet;
        wait_for("the service has received or run the booking", || async {
            fleet
                .journals()
                .iter()
                .any(|line| line.event == event && line.subject == BOOKING)
        })
        .await;
    }

    /// The index of the service replica that has received the booking, or of the first one.
    fn service(&self) -> usize {
        let has_it = |name: &str| {
            self.fleet
                .journal(name)
                .iter()
                .any(|line| line.subject == BOOKING)
        };
        let found = self
            .fleet
            .services
            .iter()
            .position(|service| has_it(&service.name));
        found.unwrap_or(0)
    }

    async fn inject(&mut self, fault: CallFault) {
        match fault {
            CallFault::KillOwner => self.fleet.entries[0].process.kill(),
            CallFault::KillOther => self.fleet.entries[2].process.kill(),
            CallFault::PauseOwner => self.fleet.entries[0].process.pause(),
            CallFault::KillService => {
                let index = self.service();
                self.fleet.services[index].process.kill();
            }
            CallFault::PauseService => self.fleet.services[self.service()].process.pause(),
            CallFault::PartitionEntries => self.route_peers("partition").await,
            CallFault::SilenceServices => self.route_services("silence").await,
            CallFault::SilencePeers => self.route_peers("silence").await,
            CallFault::CutServices => {
                self.route_services("cut").await;
                async_std::task::sleep(Duration::from_millis(100)).await;
                self.route_services("pass").await;
            }
            CallFault::CutService => {
                let routed = self.fleet.services[self.service()].routed.clone();
                self.fleet.route(&routed, "cut").await;
                async_std::task::sleep(Duration::from_millis(100)).await;
                self.fleet.route(&routed, "pass").await;
            }
            CallFault::AnswerLost => {
                for service in &self.fleet.services {
                    let fault = json!({ "before_ms": SERVICE_TIME_MS, "dies_after": true });
                    http::post(&service.address, "/fault", &fault).await;
                }
            }
            CallFault::PlatformDown => self.fleet.platform_fault(json!({ "down": true })).await,
            CallFault::VmsWrong => self.fleet.publish_vms(&[0, 1, 2]).await,
            CallFault::DrainOwner => self.fleet.entries[0].process.terminate(),
            CallFault::RuleChanges => {
                let text = self
                    .fleet
                    .register
                    .replace("repeat = \"never\"", "repeat = \"by_key\"");
                let revision = self.fleet.publish_text(&text).await;
                self.fleet.wait_revision(0, revision).await;
            }
            CallFault::CrossedAnswer => {
                for service in &self.fleet.services {
                    let fault = json!({ "before_ms": SERVICE_TIME_MS, "crosses": true });
                    http::post(&service.address, "/fault", &fault).await;
                }
            }
        }
    }

    async fn route_peers(&self, mode: &str) {
        for entry in &self.fleet.entries {
            self.fleet.route(&entry.peer_routed, mode).await;
        }
    }

    async fn route_services(&self, mode: &str) {
        for service in &self.fleet.services {
            self.fleet.route(&service.routed, mode).await;
        }
    }

    /// Sends the repeat, reverts the fault if possible, then sends the booking twice to every entry.
    async fn revert_and_resend(&mut self, fault: CallFault) -> Vec<Option<Answer>> {
        let mut answers = Vec::new();
        self.send(1);
        async_std::task::sleep(Duration::from_millis(1_500)).await;
        match fault {
            CallFault::PauseOwner => self.fleet.entries[0].process.wake(),
            CallFault::PauseService => self
                .fleet
                .services
                .iter()
                .for_each(|service| service.process.wake()),
            CallFault::PartitionEntries => self.route_peers("pass").await,
            CallFault::KillOwner => self.fleet.start_entry(0),
            CallFault::KillService => {
                for index in 0..self.fleet.services.len() {
                    let name = self.fleet.services[index].name.clone();
                    if self.fleet.services[index].process.is_started() {
                        continue;
                    }
                    self.fleet.restart_upstream(&name).await;
                }
            }
            _ => {}
        }
        for sent in std::mem::take(&mut self.sent) {
            answers.push(sent.await);
        }
        for _ in 0..2 {
            for entry in 0..self.fleet.entries.len() {
                self.send(entry);
            }
            for sent in std::mem::take(&mut self.sent) {
                answers.push(sent.await);
            }
        }
        answers
    }
}

async fn run_case(fault: CallFault, step: CallStep) {
    let mut booking = Booking::start().await;
    booking.advance_to(step).await;
    booking.inject(fault).await;
    let answers = booking.revert_and_resend(fault).await;
    // A service that was paused may still run its call; nothing else is in progress by now.
    async_std::task::sleep(Duration::from_millis(SERVICE_TIME_MS + 500)).await;
    let runs = booking.fleet.booking_run_count(BOOKING);
    assert!(runs <= 1, "ran {runs} times: {answers:?}");
    for answer in answers.iter().flatten() {
        check_answer(answer, runs, &answers);
    }
    let last = answers.iter().flatten().next_back();
    let last = last.expect("an answer of a live entry");
    assert!(
        is_conclusive(last),
        "the last answer states the effect, and a refusal its code: {last:?}"
    );
}

/// Whether an answer states the booking's effect and, if it is a refusal, a result code.
fn is_conclusive(answer: &Answer) -> bool {
    answer.body["effect"].is_string() && (answer.status == 200 || answer.body["code"].is_u64())
}

fn check_answer(answer: &Answer, runs: usize, all: &[Option<Answer>]) {
    match answer.body["effect"].as_str() {
        Some("not run") => {
            // A refusal that says "not run" must be true, whatever its reason.
            assert_eq!(runs, 0, "said not run: {answer:?} among {all:?}");
        }
        Some("ran") if answer.status == 200 => {
            assert_eq!(runs, 1, "said ran: {answer:?}");
            assert_eq!(
                answer.body["answer"]["id"],
                Value::from(BOOKING),
                "its own answer: {answer:?}"
            );
        }
        Some("ran") => assert_eq!(runs, 1, "said ran: {answer:?}"),
        Some("outcome unknown") => {}
        other => panic!("an answer states an unknown effect {other:?}: {answer:?}"),
    }
}
