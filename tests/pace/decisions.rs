//! Who counts as fresh, and what the owner of an engine group grants to fresh engines.

use std::sync::Arc;

use dotterelspan::blackboard::{FeatureSet, OwnIdentity, ReplicaRecord};
use dotterelspan::controllers::ControlCore;
use dotterelspan::controllers::discovery::{DiscoveryController, ReplicaUpdate};
use dotterelspan::controllers::message::{PeerMessage, SlotVerdict};
use dotterelspan::controllers::pace::{AnswerSample, PaceState, PaceTable};
use dotterelspan::controllers::slots::{
    EngineGroup, EngineOutcome, GroupLedger, PlacementRequest, PlacementResult, SentEngines,
};
use dotterelspan::peers::{to_frame, to_message};
use dotterelspan::platform::parse_replica;
use dotterelspan::prelude::*;

use crate::engine_fixture;
use crate::plain_desk;

const SLOTS: u32 = 8;

fn pacing(register: &Register) -> Arc<Register> {
    Arc::new(
        register
            .clone()
            .with_callers(Vec::new())
            .expect("a valid register"),
    )
}

/// A board of two prefill and three decode engines, of which these decode engines are fresh since one second.
fn board(fresh: &[&str]) -> Blackboard {
    let mut board = engine_fixture::board(2, 3, SLOTS, 100_000);
    board.register.register = pacing(&board.register.register);
    let replicas = Arc::make_mut(&mut board.replicas);
    for id in fresh {
        replicas.get_mut(*id).expect("an engine").fresh_since = Some(Moment(1_000));
    }
    board
}

fn ledger() -> GroupLedger {
    GroupLedger::new(&EngineGroup::new(&"m".into(), 0))
}

/// A request for engines with a prompt of so many tokens.
fn ask(number: u64, prompt_tokens: u32, now: Moment) -> PlacementRequest {
    PlacementRequest {
        request: format!("r-{number}").into(),
        workspace: "routes".into(),
        model: "m".into(),
        zone: "a".into(),
        priority: 1,
        features: FeatureSet::new(number, []),
        prompt_tokens,
        max_tokens: 50,
        expected_tokens: 50,
        first_token_target: now.after_ms(900),
        first_token_deadline: now.after_ms(4_000),
        prefix: Vec::new(),
        deadline: now.after_ms(60_000),
        may_be_late: false,
        may_skip_prefill: true,
        is_retry: false,
        avoid: Vec::new(),
        excluded: Vec::new(),
        cut_at: None,
    }
}

/// Asks for engines for a short prompt, which is finished at once.
fn grant(ledger: &mut GroupLedger, board: &Blackboard, number: u64, now: Moment) -> SlotVerdict {
    let ask = ask(number, 10, now);
    let verdict = ledger.request_slots(&ask, None, board, 100, now);
    ledger.prefill_done(&ask.request, EngineOutcome::Fine, now);
    verdict
}

/// Requests granted at each decode engine, of so many that are asked for and never end.
fn granted(ledger: &mut GroupLedger, board: &Blackboard, count: u64, now: Moment) -> FastMap<Arc<str>, u32> {
    let mut counts: FastMap<Arc<str>, u32> = FastMap::default();
    for number in 0..count {
        if let SlotVerdict::Granted { decode, .. } = grant(ledger, board, number, now) {
            *counts.entry(decode).or_default() += 1;
        }
    }
    counts
}

fn end(ledger: &mut GroupLedger, number: u64, decode: EngineOutcome, token_gap_us: u64, now: Moment) {
    let result = PlacementResult {
        token_gap_us,
        decode,
        sent: SentEngines::BOTH,
        ..PlacementResult::default()
    };
    ledger.release(&format!("r-{number}").into(), result, now);
}

/// Guards against a flood of a fresh engine, whose speed is unknown and which therefore looks cheapest: of 16
/// generations at once it gets a quarter of its slots. With all others full, it gets the rest: pace refuses
/// nobody.
#[test]
fn a_fresh_engine_gets_its_part_and_no_request_is_refused_because_of_it() {
    let (board, now) = (board(&["decode-2"]), Moment(1_000));
    let mut ledger = ledger();
    let counts = granted(&mut ledger, &board, 16, now);
    assert_eq!(counts.get("decode-2"), Some(&2), "{counts:?}");
    let counts = granted(&mut ledger, &board, 24, now);
    assert_eq!(
        counts.values().sum::<u32>(),
        24,
        "a slot was free and not granted: {counts:?}"
    );
}

/// Guards against a fresh prefill engine that gets each prompt because it has the shortest backlog: it runs
/// one of its two while the other has room, and takes more once that is full.
#[test]
fn a_fresh_prefill_engine_takes_one_prompt_while_the_other_has_room() {
    let now = Moment(1_000);
    let prefill_of = |ledger: &mut GroupLedger, board: &Blackboard, number, prompt_tokens| match ledger
        .request_slots(&ask(number, prompt_tokens, now), None, board, 100, now)
    {
        SlotVerdict::Granted { prefill, .. } => prefill.expect("a prefill engine").to_string(),
        verdict => panic!("{verdict:?}"),
    };
    // Of two idle engines the same one gets the first prompt each time; the other one is the fresh one.
    let usual = prefill_of(&mut ledger(), &board(&[]), 0, 2_000);
    let fresh = ["prefill-0", "prefill-1"].into_iter().find(|name| *name != usual);
    let fresh = fresh.expect("two engines");
    let (board, mut ledger) = (board(&[fresh]), ledger());
    assert_eq!(prefill_of(&mut ledger, &board, 0, 2_000), usual);
    let short = [1, 2, 3].map(|number| prefill_of(&mut ledger, &board, number, 10));
    assert_eq!(short, [fresh, &*usual, fresh]);
}

/// Guards against engines held back where no other could take their requests.
#[test]
fn engines_that_are_all_fresh_are_not_held_back() {
    let board = board(&["decode-0", "decode-1", "decode-2"]);
    let counts = granted(&mut ledger(), &board, 15, Moment(1_000));
    let mut spread: Vec<u32> = counts.values().copied().collect();
    spread.sort_unstable();
    assert_eq!(spread, [5, 5, 5]);
}

/// Guards against a new owner that begins the ramp of an engine anew: it knows the start from the list.
#[test]
fn a_new_owner_continues_a_ramp_by_the_engines_age() {
    let board = board(&["decode-2"]);
    let half = granted(&mut ledger(), &board, 20, Moment(6_000));
    assert_eq!(half.get("decode-2"), Some(&5), "{half:?}");
    let mut late = ledger();
    granted(&mut late, &board, 1, Moment(12_000));
    assert!(late.pace_levels(Moment(12_000)).is_empty(), "its ramp is over");
}

/// Guards against an engine that is given all of its slots at once after it could not be reached, and against
/// an answer from before the failure that passes for a recovery.
#[test]
fn an_engine_that_could_not_be_reached_recovers_by_its_answers() {
    let (board, now) = (board(&[]), Moment(1_000));
    let mut ledger = ledger();
    let at_engine = |ledger: &mut GroupLedger, first: u64, now: Moment| -> Vec<u64> {
        let is_there = |number: &u64| {
            let verdict = grant(ledger, &board, *number, now);
            matches!(verdict, SlotVerdict::Granted { decode, .. } if &*decode == "decode-0")
        };
        (first..first + 12).filter(is_there).collect()
    };
    let before = at_engine(&mut ledger, 0, now);
    assert_eq!(before.len(), 4);
    end(&mut ledger, before[0], EngineOutcome::Unreachable, 0, now);
    for number in 0..12 {
        end(&mut ledger, number, EngineOutcome::Fine, 20_000, now);
    }
    let level = &ledger.pace_levels(now)[0];
    assert_eq!((&*level.replica, level.percent), ("decode-0", 100 / SLOTS));
    let change = &ledger.take_pace_changes()[0];
    assert_eq!(
        (change.state.as_str(), change.reason.as_str()),
        ("recovering", "failures")
    );
    let later = now.after_ms(600);
    let after = at_engine(&mut ledger, 20, later);
    assert_eq!(after.len(), 1);
    end(&mut ledger, after[0], EngineOutcome::Fine, 20_000, later);
    assert_eq!(ledger.pace_levels(later)[0].percent, 2 * 100 / SLOTS);
}

fn answer(table: &mut PaceTable, id: &str, work_us: u64, now: Moment) {
    let sample = AnswerSample {
        work_us,
        sent_at: now,
        load: None,
    };
    table.record_answer(&id.into(), sample, now);
}

/// Guards against rejections that go on (the limit is halved), against a server that is held back for ever
/// after lost answers, and against a restart under the same id that inherits the full limit.
#[test]
fn rejections_lost_answers_and_restarts_decide_a_servers_limit() {
    let mut table = PaceTable::new(0, 1);
    table.set_enabled(true);
    let facts = |id: &str, start: u64, since: Option<u64>| {
        let mut facts = plain_desk::facts(id, start);
        facts.fresh_since = since.map(Moment);
        facts
    };
    for id in ["i-1", "i-2"] {
        table.update(&facts(id, 1, None), 16, Moment(0));
        answer(&mut table, id, 30_000, Moment(0));
    }
    table.update(&facts("i-3", 1, Some(0)), 16, Moment(0));
    assert_eq!(table.limit("i-3", Moment(0)), Some(4));
    answer(&mut table, "i-3", 30_000, Moment(10));
    assert_eq!(table.limit("i-3", Moment(10)), Some(5));
    table.record_rejection(&"i-3".into(), Moment(20));
    answer(&mut table, "i-3", 30_000, Moment(30));
    assert_eq!(
        table.limit("i-3", Moment(30)),
        Some(2),
        "no raise right after a rejection"
    );
    table.record_no_answer(&"i-3".into(), Moment(400));
    table.refresh(Moment(10_000));
    assert_eq!(table.state("i-3"), PaceState::Usual, "its time is over");
    table.update(&facts("i-3", 2, Some(11_000)), 16, Moment(11_000));
    assert_eq!(
        table.limit("i-3", Moment(11_000)),
        Some(4),
        "a later start begins anew"
    );
    // Four times slower than its peers: it stays at a third of its slots until its time is over.
    (0..40).for_each(|_| answer(&mut table, "i-3", 120_000, Moment(12_000)));
    assert_eq!(table.limit("i-3", Moment(12_000)), Some(5));
}

fn entry(cold: &str) -> String {
    format!(
        "{{\"service\":\"desk\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":4,\"state\":\"ready\",\"born\":7{cold}}}"
    )
}

fn parse(cold: &str, now: Moment) -> ReplicaRecord {
    parse_replica("i-1", entry(cold).as_bytes(), 1_000, now).expect("a readable entry")
}

/// Guards against an entry that becomes unreadable by a cold time of another form, which would remove a
/// replica.
#[test]
fn a_cold_time_of_any_form_leaves_the_entry_readable() {
    for valid in ["1500", "1500.0", "1.5e3"] {
        let record = parse(&format!(",\"coldRemainingMs\":{valid}"), Moment(100));
        assert_eq!(record.cold_until, Some(Moment(1_600)), "{valid}");
    }
    for faulty in ["-1", "null", "\"soon\"", "{}", "[1]", "0"] {
        let record = parse(&format!(",\"coldRemainingMs\":{faulty}"), Moment(100));
        assert_eq!(record.cold_until, None, "{faulty}");
    }
    assert_eq!(parse("", Moment(100)).cold_until, None);
}

/// Guards against a cold time that ends at another moment on a VM with another clock.
#[test]
fn a_cold_time_passes_between_vms_as_what_remains() {
    let update = ReplicaUpdate {
        position: StorePosition::without_era(2),
        since: StorePosition::without_era(1),
        is_whole: false,
        is_difference: false,
        present: vec![parse(",\"coldRemainingMs\":5000", Moment(1_000))],
        removed: Vec::new(),
    };
    let frame = to_frame(&PeerMessage::ReplicasContent(update), Moment(3_000));
    let Ok(PeerMessage::ReplicasContent(received)) = to_message(frame, Moment(70_000)) else {
        panic!("the same message");
    };
    assert_eq!(received.present[0].cold_until, Some(Moment(73_000)));
}

/// Guards against a ramp for replicas that ran before this process started, and against a message with
/// entries for each rewrite of the cold time.
#[test]
fn only_later_starts_are_fresh_and_a_changed_cold_time_is_not_passed_on() {
    let own = OwnIdentity {
        name: "vm-1".into(),
        zone: "a".into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 0,
    };
    let mut core = ControlCore::new(
        Blackboard::new(own),
        vec![Box::new(DiscoveryController::default())],
    );
    let mut read = |record: ReplicaRecord, revision: u64| {
        let now = Moment(revision * 1_000);
        let update = ReplicaUpdate {
            position: StorePosition::without_era(revision),
            since: StorePosition::without_era(revision - 1),
            is_whole: revision == 1,
            is_difference: false,
            present: vec![record],
            removed: Vec::new(),
        };
        let event = Event::ReplicasRead {
            update,
            store_position: StorePosition::without_era(revision),
        };
        let actions = core.handle(&event, now);
        let logged = format!("{actions:?}").contains("event=replica_listed");
        (core.board.replicas["i-1"].clone(), logged)
    };
    let (first, _) = read(parse("", Moment(0)), 1);
    assert_eq!(first.fresh_since, None, "it may have run for long");
    let cold =
        |remaining_ms: u64, now: u64| parse(&format!(",\"coldRemainingMs\":{remaining_ms}"), Moment(now));
    let restarted = ReplicaRecord {
        started_epoch_ms: 8,
        ..cold(5_000, 2_000)
    };
    let (second, _) = read(restarted.clone(), 2);
    assert_eq!(second.fresh_since, Some(Moment(2_000)));
    assert_eq!(second.record.cold_until, Some(Moment(7_000)));
    let rewritten = ReplicaRecord {
        cold_until: Some(Moment(7_400)),
        ..restarted
    };
    let (third, is_change) = read(rewritten, 3);
    assert_eq!((third, is_change), (second, false));
}

/// Guards against restraints in deployments whose configuration has no workspaces, or has none any more.
#[test]
fn a_table_that_is_disabled_restrains_nobody() {
    let mut board = board(&["decode-2"]);
    let mut ledger = ledger();
    granted(&mut ledger, &board, 1, Moment(1_000));
    assert_eq!(ledger.pace_levels(Moment(1_000)).len(), 1);
    Arc::make_mut(&mut board.register.register).callers = None;
    board.register.revision += 1;
    granted(&mut ledger, &board, 2, Moment(1_100));
    assert!(ledger.pace_levels(Moment(1_100)).is_empty());
    let mut fresh = plain_desk::facts("i-1", 7);
    fresh.fresh_since = Some(Moment(1_000));
    let selector = plain_desk::selector(&[fresh], Moment(1_000));
    assert!(!selector.has_pace() && selector.pace_levels(Moment(1_000)).is_empty());
}
