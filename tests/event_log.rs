//! The event log never blocks, drops the least important lines first, and reports how many it dropped.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use dotterelspan::event_log::{EVENTS, EventLog, LineClass, LineQueue};
use dotterelspan::prelude::Moment;

const NOW: Moment = Moment(1_000);
const AT_ONCE: Duration = Duration::from_millis(1);

fn push(queue: &LineQueue, class: LineClass, count: usize, now: Moment) {
    for number in 0..count {
        queue.push(class, || format!("line={number}"), now);
    }
}

#[test]
fn progress_gives_way_to_failures() {
    let queue = LineQueue::default();
    for second in 0..10 {
        push(&queue, LineClass::Progress, 600, NOW.after_ms(second * 1_000));
    }
    let after_progress = queue.tally();
    assert!(after_progress.dropped > 0, "{after_progress:?}");
    push(&queue, LineClass::Failure, 100, NOW.after_ms(10_000));
    assert_eq!(
        queue.tally().dropped,
        after_progress.dropped,
        "no failure was dropped"
    );
    let (lines, dropped) = queue.take_all(AT_ONCE).expect("the queue is open");
    assert_eq!(lines.len() as u64, queue.tally().accepted);
    assert_eq!(dropped, after_progress.dropped, "the drops are reported");
}

#[test]
fn a_flood_of_one_class_is_bounded_by_the_second() {
    let queue = LineQueue::default();
    push(&queue, LineClass::Belief, 5_000, NOW);
    assert_eq!(queue.tally().accepted, 300);
    push(&queue, LineClass::Belief, 10, NOW.after_ms(1_000));
    assert_eq!(queue.tally().accepted, 310);
}

/// An output that blocks until its gate is opened.
struct BlockedOutput {
    gate: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the test has ended.
        let _ = self.gate.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_holds_up_nobody() {
    let (open, gate) = channel();
    let (written, output) = channel();
    let log = EventLog::start(BlockedOutput { gate, written }).expect("a log");
    let began = Instant::now();
    for number in 0..20_000 {
        spdlog::info!("event=routed request=r-{number}");
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    assert!(EventLog::tally().dropped > 0);
    drop(open);
    let first = output
        .recv_timeout(Duration::from_secs(5))
        .expect("lines come out once the output takes them");
    let text = String::from_utf8_lossy(&first).into_owned();
    assert!(text.contains("event=routed request=r-0"), "{text}");
    drop(log);
}

#[test]
fn every_event_is_named_once() {
    for (index, event) in EVENTS.iter().enumerate() {
        assert!(
            !EVENTS[..index].iter().any(|other| other.name == event.name),
            "{}",
            event.name
        );
    }
}
