//! Decisions on workspaces' quotas: what a bucket grants, which owner is asked, what is returned, and what an
//! owner grants that may not be alone. Moments are passed in.

use std::sync::Arc;

use dotterelspan::blackboard::OwnIdentity;
use dotterelspan::controllers::message::PeerMessage;
use dotterelspan::controllers::ownership::find_owner;
use dotterelspan::controllers::quotas::{
    BucketSize, QuotaController, QuotaTolerance, QuotaVerdict, TokenBucket, quota_key,
};
use dotterelspan::controllers::{ControlCore, Reply};
use dotterelspan::prelude::*;
use dotterelspan::register::{QuotaRule, QuotaUnit, WorkspaceRule};
use proptest::prelude::*;

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    overshoot: 0.25,
    slack: 190_000.0,
};

/// A moment long after the start of the process.
const LATER: Moment = Moment(60_000);

const WORKSPACE: &str = "huka";

fn quota(unit: QuotaUnit, rate_per_s: f64, burst: f64) -> QuotaRule {
    QuotaRule {
        unit,
        rate_per_s,
        burst,
        plain_tokens: 200,
    }
}

fn bucket(rate_per_s: f64, burst: f64) -> TokenBucket {
    let rule = quota(QuotaUnit::Tokens, rate_per_s, burst);
    let mut bucket = TokenBucket::new(BucketSize::new(&rule, &TOLERANCE), LATER);
    bucket.fill();
    bucket
}

fn register(rate_per_s: f64) -> Arc<Register> {
    let rule = WorkspaceRule {
        name: WORKSPACE.into(),
        priority: 1,
        quota: (rate_per_s > 0.0).then(|| quota(QuotaUnit::Tokens, rate_per_s, rate_per_s)),
        keys: Vec::new(),
    };
    Arc::new(
        Register::default()
            .with_callers(vec![rule])
            .expect("a valid workspace"),
    )
}

/// One VM among eleven, which see each other and have had the same register for long.
struct Vm {
    core: ControlCore,
    now: Moment,
    next_ticket: u64,
}

impl Vm {
    fn new(rate_per_s: f64, owns: bool) -> Self {
        let own = |name: String| OwnIdentity {
            name: name.as_str().into(),
            zone: "a".into(),
            caller_address: "a:1".into(),
            peer_address: "a:2".into(),
            incarnation: 1,
            started_epoch_ms: 1,
            millicores: 1_000,
        };
        let names: Vec<String> = (0..11).map(|index| format!("vm-{index}")).collect();
        let board_of = |name: &String| {
            let mut board = Blackboard::new(own(name.clone()));
            let peers = names.iter().filter(|other| *other != name);
            let records = peers.map(|other| own(other.clone()).introduction().to_record());
            records.for_each(|record| board.vms.insert(record));
            board.member_count = names.len();
            board.register.register = register(rate_per_s);
            board
        };
        let boards = names.iter().map(board_of);
        let is_owner = |board: &Blackboard| find_owner(&quota_key(WORKSPACE), board, LATER) == board.own.name;
        let board = boards.into_iter().find(|board| is_owner(board) == owns);
        let controller = QuotaController::new(TOLERANCE, false);
        let core = ControlCore::new(board.expect("such a VM"), vec![Box::new(controller)]);
        let mut vm = Self {
            core,
            now: LATER,
            next_ticket: 1,
        };
        vm.pass(10_000);
        vm
    }

    fn pass(&mut self, span_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..span_ms / 20 {
            self.now = self.now.after_ms(20);
            actions.extend(self.core.handle(&Event::Tick { active_requests: 0 }, self.now));
        }
        actions
    }

    fn want(&mut self, tokens: u64) -> Vec<Action> {
        self.next_ticket += 1;
        let event = Event::QuotaWanted {
            ticket: ReplyTicket(self.next_ticket),
            workspace: WORKSPACE.into(),
            tokens,
        };
        self.core.handle(&event, self.now)
    }

    fn receive(&mut self, from: &VmName, message: PeerMessage) -> Vec<Action> {
        let event = Event::PeerMessage {
            from: from.clone(),
            incarnation: 1,
            message,
        };
        self.core.handle(&event, self.now)
    }

    /// Answers the request for tokens among the actions with all that it asks for.
    fn grant(&mut self, actions: &[Action]) -> (VmName, u64, Vec<Action>) {
        let (to, number, tokens, _) = asked(actions).expect("a request to an owner");
        let verdict = QuotaVerdict::Granted { tokens };
        let actions = self.receive(&to, PeerMessage::QuotaAnswer { number, verdict });
        (to, tokens, actions)
    }
}

/// The request for tokens among the actions: the owner, the number, the tokens wanted and the least.
fn asked(actions: &[Action]) -> Option<(VmName, u64, u64, u64)> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            to,
            message:
                PeerMessage::QuotaRequest {
                    number,
                    tokens,
                    least,
                    ..
                },
            ..
        } => Some((to.clone(), *number, *tokens, *least)),
        _ => None,
    })
}

fn returned(actions: &[Action]) -> u64 {
    let returned = actions.iter().map(|action| match action {
        Action::Send {
            message: PeerMessage::QuotaReturned { tokens, .. },
            ..
        } => *tokens,
        _ => 0,
    });
    returned.sum()
}

fn replies(actions: &[Action]) -> Vec<&Reply> {
    let replies = actions.iter().filter_map(|action| match action {
        Action::Reply { reply, .. } => Some(reply),
        _ => None,
    });
    replies.collect()
}

proptest! {
    /// Guards against a bucket that grants more in a window than its capacity and its refill, whatever is
    /// requested and returned.
    #[test]
    fn a_bucket_grants_no_more_than_its_capacity_and_refill(
        requests in proptest::collection::vec((0..400_u64, 1..9_000_u64, any::<bool>()), 1..300)
    ) {
        let mut bucket = bucket(10_000.0, 20_000.0);
        let (mut now, mut granted) = (LATER, 0);
        for (pause_ms, tokens, is_returned) in requests {
            now = now.after_ms(pause_ms);
            if bucket.take(tokens, tokens, now).is_ok() {
                if is_returned {
                    bucket.put_back(tokens, now);
                } else {
                    granted += tokens;
                }
            }
        }
        let allowed = 22_000.0 + 57_000.0 + 10_500.0 * LATER.until_ms(now) as f64 / 1_000.0;
        prop_assert!(granted as f64 <= allowed, "{} of {}", granted, allowed);
    }
}

/// Guards against tokens saved up under a higher quota, and against a large request that is never granted.
#[test]
fn a_bucket_is_clipped_and_large_requests_are_paid_off() {
    let mut bucket = bucket(10_000.0, 20_000.0);
    bucket.resize(
        BucketSize::new(&quota(QuotaUnit::Requests, 4.0, 0.0), &TOLERANCE),
        LATER,
    );
    assert_eq!(bucket.take(1, 1, LATER), Ok(1));
    let wait_ms = bucket.take(1, 1, LATER).expect_err("one request is saved up");
    assert!(
        (200..=250).contains(&wait_ms),
        "{wait_ms} ms at 4 requests a second"
    );
    let full_at = LATER.after_ms(1_000);
    assert_eq!(
        bucket.take(5, 5, full_at),
        Ok(5),
        "a full bucket grants any request"
    );
    let wait_ms = bucket.take(1, 1, full_at).expect_err("it has to be paid off");
    assert!(wait_ms >= 1_100, "{wait_ms} ms for 5 requests");
}

/// Guards against a wait for a message by each call, and against unused tokens that stay charged.
#[test]
fn calls_use_tokens_granted_in_advance_and_unused_ones_are_returned() {
    let mut vm = Vm::new(100_000.0, false);
    let first = vm.want(200);
    assert_eq!(
        asked(&first).map(|(_, _, tokens, least)| (tokens, least)),
        Some((200, 200))
    );
    vm.grant(&first);
    vm.pass(100);
    let second = vm.want(200);
    assert_eq!(
        asked(&second).map(|(_, _, tokens, least)| (tokens, least)),
        Some((1_000, 200))
    );
    vm.grant(&second);
    for _ in 0..2 {
        let served = vm.want(200);
        assert!(matches!(replies(&served)[..], [Reply::QuotaGranted(_)]));
        assert!(asked(&served).is_none(), "tokens are left");
    }
    // The tokens of a stream are requested for it alone.
    assert_eq!(
        asked(&vm.want(3_000)).map(|(_, _, tokens, _)| tokens),
        Some(3_000)
    );
    assert_eq!(returned(&vm.pass(1_100)), 400);
}

/// Guards against an endless wait for a dead owner, and against the loss of tokens that it grants late.
#[test]
fn the_fallback_owner_is_asked_and_late_tokens_are_returned() {
    let mut vm = Vm::new(100_000.0, false);
    let first = vm.want(3_000);
    let (owner, number, ..) = asked(&first).expect("a request to the owner");
    let second = vm.pass(140);
    let (fallback, ..) = asked(&second).expect("a request to the fallback owner");
    assert_ne!(owner, fallback);
    let verdict = QuotaVerdict::Granted { tokens: 3_000 };
    assert_eq!(
        returned(&vm.receive(&owner, PeerMessage::QuotaAnswer { number, verdict })),
        3_000
    );
    let given_up = vm.pass(140);
    assert!(matches!(replies(&given_up)[..], [Reply::QuotaUnavailable]));
}

/// Guards against messages for requests without a quota.
#[test]
fn a_workspace_without_a_quota_needs_no_owner() {
    let mut vm = Vm::new(0.0, false);
    let actions = vm.want(3_000);
    assert!(matches!(replies(&actions)[..], [Reply::QuotaGranted(grant)] if grant.tokens == 0));
    assert!(asked(&actions).is_none());
}

/// Guards against retries that come back together, and against a refused request that is told to return before
/// there are tokens.
#[test]
fn refused_callers_are_spread() {
    let mut vm = Vm::new(10_000.0, true);
    let mut delays_ms = Vec::new();
    for _ in 0..200 {
        for reply in replies(&vm.want(3_000)) {
            if let Reply::QuotaRefused { retry_at } = reply {
                delays_ms.push(vm.now.until_ms(*retry_at));
            }
        }
    }
    delays_ms.sort_unstable();
    let (first, last) = (delays_ms[0], delays_ms[delays_ms.len() - 1]);
    assert!(last - first > 3_000, "{first} to {last} ms");
    let distinct: FastSet<u64> = delays_ms.iter().map(|delay_ms| delay_ms / 100).collect();
    assert!(distinct.len() > 20, "{delays_ms:?}");
}

/// Guards against an owner that leaves with tokens that the next one could grant, and against one that goes on
/// granting.
#[test]
fn a_leaving_owner_hands_over_its_tokens() {
    let mut vm = Vm::new(10_000.0, true);
    vm.core.board.drain = Some(dotterelspan::blackboard::DrainFacts {
        accept_until: vm.now,
        exit_at: vm.now.after_ms(60_000),
        handoff_at: None,
    });
    let actions = vm.pass(300);
    let handed = actions.iter().find_map(|action| match action {
        Action::Send {
            to,
            message: PeerMessage::QuotaHandedOver { tokens, .. },
            ..
        } => Some((to.clone(), *tokens)),
        _ => None,
    });
    let (next, tokens) = handed.expect("a handover");
    assert!(tokens > 50_000, "{tokens} tokens were left");
    let actions = vm.want(30_000);
    assert_eq!(asked(&actions).map(|(to, ..)| to), Some(next));
}
