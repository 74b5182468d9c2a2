//! Decisions of an owner's ledger, and of a VM that asks an owner, on single requests.

use std::sync::Arc;

use dotterelspan::blackboard::{RateLimit, ReplicaFacts, ReplicaId, ReplicaLoad, RequestRate};
use dotterelspan::controllers::message::PeerMessage;
use dotterelspan::controllers::service_slots::{
    LoadReport, SendEnd, SendKey, SendRelease, SendRequest, SendVerdict, ServiceLedger,
    ServiceSlotController, SlotDecision, SlotReply,
};
use dotterelspan::controllers::{ControlCore, Reply};
use dotterelspan::prelude::*;

use crate::model::{identity, replica_facts, vm_name};

const NOW: Moment = Moment(10_000);

fn board(replicas: usize) -> Blackboard {
    let mut board = Blackboard::new(identity(0));
    let facts = (0..replicas).map(replica_facts);
    board.vms.insert(identity(1).introduction().to_record());
    board.replicas = Arc::new(facts.map(|facts| (facts.record.id.clone(), facts)).collect());
    board
}

fn request(rank: u32, objective: Moment) -> SendRequest {
    SendRequest {
        service: "desk".into(),
        rank,
        avoid: Vec::new(),
        objective,
        deadline: NOW.after_ms(1_000),
        is_immediate: false,
        loads: Vec::new(),
    }
}

fn key(number: u64) -> SendKey {
    (vm_name(1), number)
}

fn release(end: SendEnd) -> SendRelease {
    SendRelease { end, load: None }
}

/// A ledger with the grants of a full replica, numbered from 100.
fn full_ledger(board: &Blackboard) -> (ServiceLedger, u64) {
    let mut ledger = ServiceLedger::new(&"desk".into());
    for number in 100.. {
        let decisions = ledger.request(key(number), &request(0, NOW.after_ms(900)), board, NOW);
        if decisions.is_empty() {
            ledger.release(&key(number), release(SendEnd::Unused), board, NOW);
            return (ledger, number - 100);
        }
    }
    unreachable!("a replica is full at some point")
}

fn granted(decisions: &[SlotDecision]) -> Vec<u64> {
    let granted = decisions
        .iter()
        .filter(|decision| matches!(decision.verdict, SendVerdict::Granted { .. }));
    granted.map(|decision| decision.key.1).collect()
}

/// Guards against requests that fill a replica's queue, where no order is kept.
#[test]
fn a_replica_gets_one_request_more_than_it_has_slots() {
    let (ledger, count) = full_ledger(&board(1));
    assert_eq!((count, ledger.granted_count()), (7, 7));
}

/// Guards against late or less important requests that are served before others which could be in time.
#[test]
fn freed_slots_go_by_rank_then_to_requests_in_time_then_by_objective() {
    let board = board(1);
    let (mut ledger, _) = full_ledger(&board);
    let waiting = [
        (1, request(1, NOW.after_ms(5))),
        (2, request(1, NOW.after_ms(900))),
        (3, request(1, NOW.after_ms(900))),
        (4, request(0, NOW.after_ms(5))),
        // It came last, and its objective ends before those of the others that can still be in time.
        (5, request(1, NOW.after_ms(800))),
    ];
    for (number, request) in &waiting {
        let asked_at = NOW.after_ms(*number);
        assert_eq!(
            ledger.request(key(*number), request, &board, asked_at),
            Vec::new()
        );
    }
    let order = (0..5).flat_map(|number| {
        let ended = release(SendEnd::Answered(30));
        let decisions = ledger.release(&key(100 + number), ended, &board, NOW.after_ms(10));
        granted(&decisions.expect("a grant of this ledger"))
    });
    assert_eq!(order.collect::<Vec<u64>>(), [4, 5, 2, 3, 1]);
}

/// Guards against further grants to a replica that is full with the requests of others.
#[test]
fn a_rejection_and_a_reported_load_lower_the_grants_for_a_short_time() {
    let board = board(1);
    let (mut ledger, _) = full_ledger(&board);
    for number in 100..107 {
        ledger.release(&key(number), release(SendEnd::Rejected), &board, NOW);
    }
    let grants = |ledger: &mut ServiceLedger, first: u64, now: Moment| {
        let request = request(0, now.after_ms(900));
        let decided =
            (first..first + 10).flat_map(|number| ledger.request(key(number), &request, &board, now));
        granted(&decided.collect::<Vec<_>>()).len()
    };
    assert_eq!(grants(&mut ledger, 200, NOW), 1);
    let mut loaded = ServiceLedger::new(&"desk".into());
    let load = ReplicaLoad {
        running: 6,
        waiting: 20,
        slots: 6,
        pace_percent: 100,
    };
    let report = LoadReport {
        replica: "i-0".into(),
        load,
        reported_at: NOW,
    };
    let first = SendRequest {
        loads: vec![report],
        ..request(0, NOW.after_ms(900))
    };
    assert_eq!(loaded.request(key(1), &first, &board, NOW), Vec::new());
    assert_eq!(
        granted(&loaded.run(&board, NOW.after_ms(600))),
        [1],
        "the load is outdated"
    );
    let later = NOW.after_ms(500);
    let waiting = ledger.waiting_count();
    assert_eq!(granted(&ledger.run(&board, later)).len(), 6, "{waiting} waited");
}

/// Guards against a replica that rejects all requests, seems free for that reason and uses up the retry budget.
#[test]
fn a_replica_that_rejected_a_request_comes_last_for_a_short_time() {
    let board = board(2);
    let mut ledger = ServiceLedger::new(&"desk".into());
    let mut send = |number: u64, now: Moment| {
        let decisions = ledger.request(key(number), &request(0, now.after_ms(900)), &board, now);
        let SendVerdict::Granted { replica } = &decisions[0].verdict else {
            panic!("{decisions:?}");
        };
        let end = match &**replica {
            "i-0" => SendEnd::Rejected,
            _ => SendEnd::Answered(30),
        };
        ledger.release(&key(number), release(end), &board, now);
        end == SendEnd::Rejected
    };
    let rejected = (0..100).filter(|number| send(*number, NOW.after_ms(10 * number)));
    assert!((1..=3).contains(&rejected.count()));
}

/// Guards against a replica without answers that is granted as if it were as fast as the others.
#[test]
fn a_replica_whose_sends_are_abandoned_is_avoided_until_its_measure_is_outdated() {
    let board = board(2);
    let mut ledger = ServiceLedger::new(&"desk".into());
    let mut send = |number: u64, now: Moment| {
        let decisions = ledger.request(key(number), &request(0, now.after_ms(900)), &board, now);
        let SendVerdict::Granted { replica } = &decisions[0].verdict else {
            panic!("{decisions:?}");
        };
        let end = match &**replica {
            "i-0" => SendEnd::Abandoned(400),
            _ => SendEnd::Answered(30),
        };
        ledger.release(&key(number), release(end), &board, now);
        replica.clone()
    };
    assert_eq!(&*send(1, NOW), "i-0");
    let next: FastSet<ReplicaId> = (2..50)
        .map(|number| send(number, NOW.after_ms(30 * number)))
        .collect();
    assert_eq!(next, ["i-1".into()].into_iter().collect());
    assert_eq!(&*send(50, NOW.after_ms(2_100)), "i-0", "it is tried again");
}

/// Guards against slots that are lost with the VM that held them, or with a release.
#[test]
fn grants_expire_with_their_requests_deadlines_and_unknown_releases_are_ignored() {
    let board = board(1);
    let (mut ledger, count) = full_ledger(&board);
    assert_eq!(
        ledger.release(&key(1), release(SendEnd::Answered(1)), &board, NOW),
        None
    );
    assert_eq!(ledger.granted_count() as u64, count);
    ledger.run(&board, NOW.after_ms(1_000));
    assert_eq!(ledger.granted_count(), 0);
}

/// Guards against slots that a dead VM holds until its requests' deadlines, and against grants to it.
#[test]
fn grants_and_waiting_requests_of_a_dead_vm_end() {
    let mut board = board(1);
    let (mut ledger, _) = full_ledger(&board);
    ledger.request(key(1), &request(0, NOW.after_ms(900)), &board, NOW);
    board.vms.get_mut("vm-1").expect("a VM").suspected_until = Some(NOW.after_ms(5_000));
    assert_eq!(ledger.run(&board, NOW.after_ms(100)), Vec::new());
    assert_eq!((ledger.granted_count(), ledger.waiting_count()), (0, 0));
}

/// Guards against grants of replicas that the asking VM may not use, or that need a permit.
#[test]
fn avoided_draining_and_rate_limited_replicas_are_not_granted() {
    let mut board = board(3);
    let mut replicas: FastMap<ReplicaId, ReplicaFacts> = (*board.replicas).clone();
    replicas.get_mut("i-0").expect("a replica").stop_at = Some(NOW.after_ms(500));
    board.replicas = Arc::new(replicas);
    let limit = RateLimit {
        started_epoch_ms: 1,
        rate: RequestRate(5_000),
        first_reported_at: NOW,
        seen_by: vm_name(1),
    };
    board.rate_limits = Arc::new([("i-1".into(), limit)].into_iter().collect());
    let mut ledger = ServiceLedger::new(&"desk".into());
    let usual = request(0, NOW.after_ms(900));
    let verdict = SendVerdict::Granted {
        replica: "i-2".into(),
    };
    assert_eq!(ledger.request(key(1), &usual, &board, NOW)[0].verdict, verdict);
    let picky = SendRequest {
        avoid: vec!["i-2".into()],
        ..usual
    };
    let verdict = SendVerdict::NoCandidate;
    assert_eq!(ledger.request(key(2), &picky, &board, NOW)[0].verdict, verdict);
}

/// Guards against requests that wait in vain, hedged sends that wait at all, and refused callers that return
/// together.
#[test]
fn hopeless_requests_and_hedges_without_a_free_slot_are_refused_at_once() {
    let board = board(1);
    let (mut ledger, _) = full_ledger(&board);
    let hedge = SendRequest {
        is_immediate: true,
        ..request(0, NOW.after_ms(900))
    };
    let refused = ledger.request(key(1), &hedge, &board, NOW);
    assert_eq!(refused[0].verdict, SendVerdict::Refused { retry_ms: 0 });
    let decided = (1_000..2_000).flat_map(|number| {
        let waiting = request(0, NOW.after_ms(900));
        ledger.request(key(number), &waiting, &board, NOW)
    });
    let retries: Vec<u64> = decided
        .filter_map(|decision| match decision.verdict {
            SendVerdict::Refused { retry_ms } => Some(retry_ms),
            _ => None,
        })
        .collect();
    // At 20 ms a request, six slots answer fewer than 300 before the deadline.
    assert!(retries.len() > 700, "{} were refused", retries.len());
    let spread: FastSet<u64> = retries.iter().copied().collect();
    assert!(spread.len() > 100, "{spread:?}");
}

/// Guards against a request that waits for a silent owner beyond the bound, and against a slot that is lost
/// because its grant came too late.
#[test]
fn a_silent_owner_costs_a_bounded_wait_and_its_late_grant_is_released() {
    let mut board = board(1);
    board.own.millicores = 10;
    let mut core = ControlCore::new(board, vec![Box::new(ServiceSlotController::default())]);
    let wanted = Event::SendSlotWanted {
        ticket: ReplyTicket(7),
        request: request(0, NOW.after_ms(900)),
    };
    let sent = core.handle(&wanted, NOW);
    assert!(
        matches!(&sent[..], [Action::Send { to, .. }] if *to == vm_name(1)),
        "{sent:?}"
    );
    assert_eq!(core.wake_at(NOW), Some(NOW.after_ms(60)));
    let given_up = core.handle(&Event::Tick { active_requests: 1 }, NOW.after_ms(60));
    let is_unmanaged = |action: &Action| {
        matches!(
            action,
            Action::Reply {
                reply: Reply::SendSlot(SlotReply::Unmanaged),
                ..
            }
        )
    };
    assert!(given_up.iter().any(is_unmanaged), "{given_up:?}");
    let late = Event::PeerMessage {
        from: vm_name(1),
        incarnation: 2,
        message: PeerMessage::SendSlotAnswer {
            number: 7,
            verdict: SendVerdict::Granted {
                replica: "i-0".into(),
            },
        },
    };
    let released = core.handle(&late, NOW.after_ms(90));
    let is_release = |action: &Action| {
        let Action::Send { message, .. } = action else {
            return false;
        };
        let release = release(SendEnd::Unused);
        *message == PeerMessage::SendSlotReleased { number: 7, release }
    };
    assert!(released.iter().any(is_release), "{released:?}");
}
