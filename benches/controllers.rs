//! Time of single controller decisions, by the size of the deployment.

use std::hint::black_box;
use std::sync::Arc;

use criterion::Criterion;
use dotterelspan::blackboard::FeatureSet;
use dotterelspan::blackboard::{
    EntryTrust, OwnIdentity, RateLimit, ReplicaFacts, ReplicaRecord, ReplicaRole, RequestRate,
};
use dotterelspan::controllers::ControlCore;
use dotterelspan::controllers::idempotency::{KeyRequest, KeyScope};
use dotterelspan::controllers::message::PeerMessage;
use dotterelspan::controllers::rate_limits::{PermitRequest, RateLimitController};
use dotterelspan::controllers::resolve::rank_entries;
use dotterelspan::controllers::service_slots::{SendEnd, SendRelease, SendRequest, ServiceSlotController};
use dotterelspan::controllers::services::{ServiceRequest, ServiceResult};
use dotterelspan::controllers::slots::{PlacementPolicy, PlacementRequest, PlacementResult};
use dotterelspan::prelude::*;
use dotterelspan::register::parse_register;

/// Numbers of nodes and replicas: today's deployment, a medium one, and the one expected in two years.
const SIZES: [(usize, usize); 3] = [(21, 15), (100, 210), (330, 690)];

/// Number of models for a number of replicas: about 18 replicas per model, as expected in two years.
fn model_count(replicas: usize) -> usize {
    replicas.div_ceil(18)
}

fn register_text(replicas: usize) -> String {
    let mut text =
        String::from("[[workspace]]\nname = \"w\"\n[[zone]]\nname = \"z\"\n[[class]]\nname = \"c\"\n");
    let models = model_count(replicas);
    for index in 0..replicas {
        let role = if (index / models).is_multiple_of(3) {
            "prefill"
        } else {
            "decode"
        };
        let (high, low) = (index / 250, index % 250);
        text.push_str(&format!(
            "[[upstream]]\nname = \"e{index}\"\nzone = \"z\"\naddress = \"10.0.{high}.{low}:8000\"\nkind = \"engine\"\n\
             role = \"{role}\"\nmodel = \"m{}\"\n",
            index % models
        ));
    }
    for index in 0..3 {
        text.push_str(&format!(
            "[[upstream]]\nname = \"d{index}\"\nzone = \"z\"\naddress = \"10.9.0.{index}:8000\"\nkind = \"service\"\n\
             service = \"desk\"\n"
        ));
    }
    text
}

fn vm(index: usize) -> VmRecord {
    VmRecord {
        name: format!("entry-{index}").into(),
        zone: format!("zone-{}", index % 7).into(),
        caller_address: format!("10.1.0.{index}:7100").into(),
        peer_address: format!("10.1.0.{index}:7200").into(),
        leaving: false,
        store_lost: false,
        millicores: 0,
        listed: true,
        incarnation: Some(index as u128),
        started_epoch_ms: 0,
        renewal: 0,
        suspected_until: None,
        last_message_at: None,
    }
}

fn core(nodes: usize, replicas: usize) -> ControlCore {
    let own = OwnIdentity {
        name: "entry-0".into(),
        zone: "zone-0".into(),
        caller_address: "10.1.0.0:7100".into(),
        peer_address: "10.1.0.0:7200".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 0,
    };
    let mut board = Blackboard::new(own);
    board.register.revision = 1;
    board.register.register =
        Arc::new(parse_register(&register_text(replicas)).expect("the register is good"));
    for index in 1..nodes {
        let vm = vm(index);
        board.vms.insert(vm);
    }
    ControlCore::with_all_controllers(board, PlacementPolicy::Owner, 24, 1)
}

/// A core that issues permits for five replicas of a plain service, all with a rate limit.
fn limit_core(nodes: usize) -> ControlCore {
    let mut board = core(nodes, 0).board;
    for index in 0..5 {
        let id: Arc<str> = format!("i-{index}").into();
        let record = ReplicaRecord {
            id: id.clone(),
            started_epoch_ms: 1,
            service: "desk".into(),
            role: ReplicaRole::Plain,
            address: ([10, 9, 0, index], 80).into(),
            zone: "zone-0".into(),
            slots: 6,
            is_draining: false,
            cold_until: None,
        };
        let facts = ReplicaFacts {
            record: Arc::new(record),
            stop_at: None,
            is_listed: true,
            trust: EntryTrust::default(),
            fresh_since: None,
        };
        Arc::make_mut(&mut board.replicas).insert(id.clone(), facts);
        let limit = RateLimit {
            started_epoch_ms: 1,
            rate: RequestRate(5_000),
            first_reported_at: Moment(90_000),
            seen_by: "entry-1".into(),
        };
        Arc::make_mut(&mut board.rate_limits).insert(id, limit);
    }
    ControlCore::new(board, vec![Box::new(RateLimitController::new(96))])
}

fn permit_event(number: u64) -> Event {
    let candidates = (0..5).map(|index| format!("i-{index}").into()).collect();
    let request = PermitRequest {
        service: "desk".into(),
        candidates,
        start_by: Moment(100_300 + number),
    };
    Event::PeerMessage {
        from: "entry-1".into(),
        incarnation: 1,
        message: PeerMessage::PermitRequest { number, request },
    }
}

/// A core that grants sends to the same replicas without rate limits.
fn service_core(nodes: usize) -> ControlCore {
    let mut board = limit_core(nodes).board;
    board.rate_limits = Arc::default();
    ControlCore::new(board, vec![Box::new(ServiceSlotController::default())])
}

/// A peer requests a slot of a plain service and releases it.
fn send_events(number: u64, now: Moment) -> [Event; 2] {
    let request = SendRequest {
        service: "desk".into(),
        rank: 1,
        avoid: Vec::new(),
        objective: now.after_ms(150),
        deadline: now.after_ms(1_000),
        is_immediate: false,
        loads: Vec::new(),
    };
    let release = SendRelease {
        end: SendEnd::Answered(30),
        load: None,
    };
    let messages = [
        PeerMessage::SendSlotRequest { number, request },
        PeerMessage::SendSlotReleased { number, release },
    ];
    messages.map(|message| Event::PeerMessage {
        from: "entry-1".into(),
        incarnation: 1,
        message,
    })
}

fn ask(number: u64) -> PlacementRequest {
    PlacementRequest {
        request: format!("entry-1~{number}").into(),
        workspace: "w".into(),
        model: "m0".into(),
        zone: "zone-0".into(),
        priority: 1,
        features: FeatureSet::new(number, []),
        prompt_tokens: 8_000,
        max_tokens: 200,
        expected_tokens: 100,
        first_token_target: Moment(1_000_000_000),
        first_token_deadline: Moment(1_000_000_000),
        may_skip_prefill: false,
        prefix: vec![1, 2, 3, number],
        deadline: Moment(u64::MAX / 2),
        is_retry: false,
        avoid: Vec::new(),
        excluded: Vec::new(),
        cut_at: None,
        may_be_late: false,
    }
}

/// The messages of one request at the slot owner: a peer requests a slot, reports the prefill done, and
/// releases it.
fn slot_exchange(core: &mut ControlCore, number: u64, now: Moment) {
    let from: VmName = "entry-1".into();
    let group = dotterelspan::controllers::slots::EngineGroup::new(&"m0".into(), 0);
    let ask = ask(number);
    let request = ask.request.clone();
    let messages = [
        PeerMessage::SlotRequest {
            group: 0,
            request: ask,
        },
        PeerMessage::SlotPrefillDone {
            group: group.clone(),
            request: request.clone(),
            end: dotterelspan::controllers::slots::EngineOutcome::Fine,
        },
        PeerMessage::SlotRelease {
            group,
            request,
            result: PlacementResult {
                token_gap_us: 30_000,
                handover_ms: 40,
                ..PlacementResult::default()
            },
        },
    ];
    for message in messages {
        let event = Event::PeerMessage {
            from: from.clone(),
            incarnation: 1,
            message,
        };
        black_box(core.handle(&event, now));
    }
}

fn bench_controllers(criterion: &mut Criterion) {
    for (nodes, replicas) in SIZES {
        let size = format!("{nodes}x{replicas}");
        let id = |name: &str| format!("{name}/{size}");
        let now = Moment(10_000);
        let mut number = 0;
        let mut core = core(nodes, replicas);
        criterion.bench_function(&id("slot exchange at the owner"), |bench| {
            bench.iter(|| {
                number += 1;
                slot_exchange(&mut core, number, now);
            });
        });
        criterion.bench_function(&id("placement asked for"), |bench| {
            bench.iter(|| {
                number += 1;
                let (ticket, ask) = (ReplyTicket(number), ask(number));
                let request = ask.request.clone();
                black_box(core.handle(&Event::PlacementWanted { ticket, request: ask }, now));
                let result = PlacementResult::default();
                black_box(core.handle(&Event::PlacementDone { request, result }, now));
            });
        });
        let service = ServiceRequest {
            workspace: "w".into(),
            service: "desk".into(),
            avoid: Vec::new(),
            is_retry: false,
        };
        criterion.bench_function(&id("replica chosen"), |bench| {
            bench.iter(|| {
                let event = Event::ServiceWanted {
                    ticket: ReplyTicket(1),
                    request: service.clone(),
                };
                black_box(core.handle(&event, now));
                let event = Event::ServiceDone {
                    replica: "d0".into(),
                    result: ServiceResult::Answered(900),
                };
                black_box(core.handle(&event, now));
            });
        });
        let key = KeyRequest {
            scope: KeyScope {
                workspace: "w".into(),
                service: "desk".into(),
                operation: "book".into(),
            },
            name: None,
            deadline_epoch_ms: 1,
            deadline: Moment(1),
        };
        criterion.bench_function(&id("key issued"), |bench| {
            bench.iter(|| {
                let event = Event::KeyWanted {
                    ticket: ReplyTicket(1),
                    request: key.clone(),
                };
                black_box(core.handle(&event, now));
            });
        });
        let mut limit_core = self::limit_core(nodes);
        let mut number = 0;
        criterion.bench_function(&id("permit asked for by a peer"), |bench| {
            bench.iter(|| {
                number += 1;
                black_box(limit_core.handle(&permit_event(number), Moment(100_000 + number)));
            });
        });
        let mut service_core = self::service_core(nodes);
        let mut number = 0;
        criterion.bench_function(&id("send granted and released by a peer"), |bench| {
            bench.iter(|| {
                number += 1;
                let now = Moment(100_000 + number);
                for event in send_events(number, now) {
                    black_box(service_core.handle(&event, now));
                }
            });
        });
        let mut tick_core = self::core(nodes, replicas);
        let mut at = Moment(10_000);
        criterion.bench_function(&id("tick"), |bench| {
            bench.iter(|| {
                at = at.after_ms(50);
                black_box(tick_core.handle(&Event::Tick { active_requests: 0 }, at));
            });
        });
        let text = register_text(replicas);
        criterion.bench_function(&id("register checked"), |bench| {
            bench.iter(|| black_box(parse_register(&text)));
        });
        let vms: Vec<VmRecord> = (0..nodes).map(vm).collect();
        criterion.bench_function(&id("resolve"), |bench| {
            bench.iter(|| black_box(rank_entries(&vms, Some("zone-3"), "truck-7")));
        });
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(std::time::Duration::from_millis(300))
        .measurement_time(std::time::Duration::from_millis(800))
        .configure_from_args();
    bench_controllers(&mut criterion);
    criterion.final_summary();
}
