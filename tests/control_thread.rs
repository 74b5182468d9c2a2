//! Panics in a controller or in a task stop neither the control thread nor other tasks, and events do not
//! postpone ticks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::time::Duration;

use dotterelspan::blackboard::{Blackboard, OwnIdentity};
use dotterelspan::clock::Moment;
use dotterelspan::controllers::quotas::QuotaGrant;
use dotterelspan::controllers::{Action, ControlContext, ControlCore, Controller, Event, EventKind, Reply};
use dotterelspan::runtime::{ControlHandle, ControlOutput, lock};

/// Panics on one event and requests the process's exit on another.
struct PanickingController;

impl Controller for PanickingController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::ListReachable]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::ListReachable { is_reachable: false } => panic!("a bug in a controller"),
            Event::ListReachable { is_reachable: true } => context.actions.push(Action::Exit),
            _ => {}
        }
    }

    fn wake_at(&self, _board: &Blackboard, _now: Moment) -> Option<Moment> {
        None
    }
}

fn identity() -> OwnIdentity {
    OwnIdentity {
        name: "vm-1".into(),
        zone: "a".into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        incarnation: 1,
        started_epoch_ms: 1,
        millicores: 0,
    }
}

#[test]
fn a_panic_in_a_controller_does_not_end_the_control_thread() {
    let core = ControlCore::new(Blackboard::new(identity()), vec![Box::new(PanickingController)]);
    let (sender, receiver) = channel();
    let control = ControlHandle::start(core, move |output| {
        // The receiver is gone once the test has ended.
        let _ = sender.send(matches!(output, ControlOutput::Exit));
    })
    .expect("a thread can be started");
    control.send_event(Event::ListReachable { is_reachable: false });
    control.send_event(Event::ListReachable { is_reachable: true });
    assert_eq!(receiver.recv_timeout(Duration::from_secs(5)), Ok(true));
}

/// Counts ticks and asks for the next one 50 ms after whatever happens.
struct TickCounter(Arc<AtomicU32>);

impl Controller for TickCounter {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::Tick, EventKind::ListReachable]
    }

    fn handle(&mut self, event: &Event, _context: &mut ControlContext<'_>) {
        if matches!(event, Event::Tick { .. }) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn wake_at(&self, _board: &Blackboard, now: Moment) -> Option<Moment> {
        Some(now.after_ms(50))
    }
}

#[test]
fn ticks_come_in_time_while_events_come_all_the_time() {
    let ticks: Arc<AtomicU32> = Arc::default();
    let controllers: Vec<Box<dyn Controller>> = vec![Box::new(TickCounter(ticks.clone()))];
    let core = ControlCore::new(Blackboard::new(identity()), controllers);
    let control = ControlHandle::start(core, |_| {}).expect("a thread can be started");
    for _ in 0..80 {
        control.send_event(Event::ListReachable { is_reachable: true });
        std::thread::sleep(Duration::from_millis(10));
    }
    // 16 in 800 ms if the machine is idle.
    let count = ticks.load(Ordering::SeqCst);
    assert!(count >= 8, "{count} ticks");
}

#[test]
fn a_panic_in_a_task_poisons_no_lock_and_stops_no_other_task() {
    let guarded = std::sync::Arc::new(std::sync::Mutex::new(7));
    for _ in 0..32 {
        let guarded = guarded.clone();
        async_std::task::spawn(async move {
            let _held = lock(&guarded);
            panic!("a bug in a task");
        });
    }
    let next = async_std::task::spawn(async { 7 });
    let value = async_std::task::block_on(async_std::future::timeout(Duration::from_secs(5), next));
    assert_eq!(value, Ok(7));
    assert_eq!(*lock(&guarded), 7);
}

/// Grants tokens to each request, and requests the process's exit once some are returned.
struct GenerousController;

impl Controller for GenerousController {
    fn subscriptions(&self) -> &'static [EventKind] {
        &[EventKind::QuotaWanted, EventKind::QuotaReturned]
    }

    fn handle(&mut self, event: &Event, context: &mut ControlContext<'_>) {
        match event {
            Event::QuotaWanted {
                ticket,
                workspace,
                tokens,
            } => {
                let grant = QuotaGrant {
                    workspace: workspace.clone(),
                    tokens: *tokens,
                    owner: context.board.own.name.clone(),
                };
                context.reply(*ticket, Reply::QuotaGranted(grant));
            }
            Event::QuotaReturned { grant } if grant.tokens == 7 => context.actions.push(Action::Exit),
            _ => {}
        }
    }
}

/// Guards against tokens of a quota that stay charged to a request whose task has ended.
#[test]
fn tokens_that_no_task_waits_for_are_returned() {
    let core = ControlCore::new(Blackboard::new(identity()), vec![Box::new(GenerousController)]);
    let (sender, receiver) = channel();
    let control = ControlHandle::start(core, move |output| {
        // The receiver is gone once the test has ended.
        let _ = sender.send(matches!(output, ControlOutput::Exit));
    })
    .expect("a thread can be started");
    control.send_event(Event::QuotaWanted {
        ticket: control.new_ticket(),
        workspace: "huka".into(),
        tokens: 7,
    });
    assert_eq!(receiver.recv_timeout(Duration::from_secs(5)), Ok(true));
}
