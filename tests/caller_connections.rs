//! Which of the callers' connections is closed in favor of others, and that a connection is either closed or serves a
//! request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use dotterelspan::clock;
use dotterelspan::gateway::{CallerConnection, CallerPhase, CallerRegistry, CloseReason, InputProbe};
use dotterelspan::prelude::*;
use futures::FutureExt;

/// A socket that has received what the test says.
#[derive(Clone, Debug, Default)]
struct Socket {
    has_input: Arc<AtomicBool>,
}

impl InputProbe for Socket {
    fn has_input(&self) -> bool {
        self.has_input.load(Ordering::Relaxed)
    }
}

fn add(registry: &CallerRegistry, now: Moment) -> Arc<CallerConnection> {
    registry.add(now, Box::new(Socket::default())).1
}

/// Adds a connection that enters a phase now.
fn add_in(registry: &CallerRegistry, phase: CallerPhase) -> Arc<CallerConnection> {
    let connection = add(registry, clock::now());
    assert!(connection.enter(phase));
    connection
}

fn is_taken(connection: &CallerConnection) -> bool {
    connection.wait_for_close().now_or_never().is_some()
}

// Guards against a crowd that keeps its place while ordinary callers wait, and against the close of a connection whose
// request may be running.
#[test]
fn the_longest_idle_is_closed_and_a_running_request_is_not() {
    let registry = CallerRegistry::default();
    let start = clock::now();
    let later = start.after_ms(600_000);
    let running = add_in(&registry, CallerPhase::Running);
    let newer = add(&registry, start.after_ms(50));
    let oldest = add(&registry, start);
    assert!(registry.close_longest_idle(later, CloseReason::Admission));
    assert!(is_taken(&oldest) && !is_taken(&newer));
    assert!(registry.close_longest_idle(later, CloseReason::Admission));
    assert!(is_taken(&newer));
    assert!(!registry.close_longest_idle(later, CloseReason::Admission));
    assert!(!registry.close_longest_idle(later, CloseReason::MemoryPressure));
    assert!(!is_taken(&running));
}

// Guards against review/6: a request that was passed on to a replica by a connection that had been taken for closing.
#[test]
fn a_connection_that_is_taken_for_closing_passes_nothing_on() {
    let registry = CallerRegistry::default();
    for phase in [CallerPhase::Waiting, CallerPhase::Reading] {
        let connection = add_in(&registry, phase);
        assert!(registry.close_longest_idle(clock::now(), CloseReason::Admission));
        for next in [CallerPhase::Waiting, CallerPhase::Reading, CallerPhase::Running] {
            assert!(!connection.enter(next), "{phase:?} {next:?}");
        }
        assert!(is_taken(&connection));
    }
}

// Guards against the same fault from the other side, on threads of their own: the closer and the task decide at once.
#[test]
fn a_connection_is_taken_by_its_request_or_by_its_close() {
    for _ in 0..2_000 {
        let registry = CallerRegistry::default();
        let connection = add_in(&registry, CallerPhase::Reading);
        let is_running = std::thread::scope(|scope| {
            let task = scope.spawn(|| connection.enter(CallerPhase::Running));
            registry.close_longest_idle(clock::now(), CloseReason::Admission);
            task.join().expect("the task runs")
        });
        assert_ne!(is_running, is_taken(&connection));
    }
}

// Guards against a stream that is cut between two events because its replica is slower than other callers.
#[test]
fn a_connection_is_closed_during_its_answer_only_if_its_caller_takes_nothing() {
    let registry = CallerRegistry::default();
    let connection = add_in(&registry, CallerPhase::Answering);
    let now = clock::now();
    for reason in [CloseReason::Admission, CloseReason::MemoryPressure] {
        assert!(
            !registry.close_longest_idle(now.after_ms(900), reason),
            "{reason:?}"
        );
    }
    assert!(registry.close_longest_idle(now.after_ms(2_000), CloseReason::Admission));
    // The caller reads on before the task learns of the close.
    assert!(connection.enter(CallerPhase::Running));
    assert!(!is_taken(&connection));
    assert!(!registry.close_longest_idle(now.after_ms(2_000), CloseReason::Admission));
    assert!(connection.enter(CallerPhase::Waiting));
    assert!(registry.close_longest_idle(now.after_ms(3_000), CloseReason::Admission));
    assert!(is_taken(&connection));
}

// Guards against memory that is not given back since the connections that hold it stay, and against the close of those
// that hold none.
#[test]
fn memory_is_taken_from_connections_that_hold_some_and_make_no_progress() {
    let registry = CallerRegistry::default();
    let waiting = add(&registry, Moment(0));
    let reading = add_in(&registry, CallerPhase::Reading);
    let now = clock::now();
    assert!(!registry.close_longest_idle(now.after_ms(900), CloseReason::MemoryPressure));
    assert!(registry.close_longest_idle(now.after_ms(2_000), CloseReason::MemoryPressure));
    assert!(is_taken(&reading));
    assert!(!registry.close_longest_idle(now.after_ms(2_000), CloseReason::MemoryPressure));
    assert!(!is_taken(&waiting));
}

// Guards against the close of a connection whose next request has arrived while others are idle.
#[test]
fn a_connection_whose_request_has_arrived_is_passed_over() {
    let registry = CallerRegistry::default();
    let start = clock::now();
    let socket = Socket::default();
    let (_, asked) = registry.add(start, Box::new(socket.clone()));
    let idle = add(&registry, start.after_ms(5));
    socket.has_input.store(true, Ordering::Relaxed);
    assert!(registry.close_longest_idle(start.after_ms(10), CloseReason::Admission));
    assert!(is_taken(&idle) && !is_taken(&asked));
    // Callers that send all the time don't keep others out.
    let flood: Vec<_> = (0..100)
        .map(|_| registry.add(start, Box::new(socket.clone())))
        .collect();
    assert!(registry.close_longest_idle(start.after_ms(10), CloseReason::Admission));
    assert_eq!(
        flood
            .iter()
            .filter(|(_, connection)| is_taken(connection))
            .count(),
        1
    );
}
