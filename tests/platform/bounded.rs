//! The slots and the queue of a stand-in replica that rejects what exceeds them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// What a bounded replica runs and queues at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotBounds {
    pub slots: usize,
    pub queue: usize,
    /// How long a call runs, in milliseconds.
    pub span_ms: u64,
}

#[derive(Debug, Default)]
struct Occupied {
    running: usize,
    waiting: usize,
}

/// The calls at a bounded replica.
#[derive(Debug, Default)]
pub struct Occupancy {
    occupied: Mutex<Occupied>,
    ended: Condvar,
    rejections: AtomicUsize,
}

impl Occupancy {
    /// Waits for a slot and holds it for a call's span. Returns the load to report, or `None` if the queue is
    /// full.
    pub fn run(&self, bounds: SlotBounds) -> Option<String> {
        let mut occupied = self.occupied.lock().expect("no holder panics");
        if occupied.running >= bounds.slots {
            if occupied.waiting >= bounds.queue {
                self.rejections.fetch_add(1, Ordering::Relaxed);
                return None;
            }
            occupied.waiting += 1;
            let is_full = |occupied: &mut Occupied| occupied.running >= bounds.slots;
            occupied = self
                .ended
                .wait_while(occupied, is_full)
                .expect("no holder panics");
            occupied.waiting -= 1;
        }
        occupied.running += 1;
        drop(occupied);
        std::thread::sleep(Duration::from_millis(bounds.span_ms));
        let mut occupied = self.occupied.lock().expect("no holder panics");
        occupied.running -= 1;
        self.ended.notify_one();
        Some(format!(
            "{},{},{},100",
            occupied.running, occupied.waiting, bounds.slots
        ))
    }

    /// How many calls were rejected so far.
    pub fn rejections(&self) -> usize {
        self.rejections.load(Ordering::Relaxed)
    }
}
