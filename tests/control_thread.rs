//! Panics in a controller or in a task stop neither the control thread nor other tasks.

use std::sync::mpsc::channel;
use std::time::Duration;

use dotterelspan::blackboard::{Blackboard, OwnIdentity};
use dotterelspan::clock::Moment;
use dotterelspan::controllers::{Action, ControlContext, ControlCore, Controller, Event, EventKind};
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
