//! How many events of each kind the controllers were given: a kind that stays at zero has nobody who tells it.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;

use super::meter::MeterRegistry;
use crate::runtime::ControlHandle;

/// The gauge of control events.
pub struct ControlEventGauge {
    events: Gauge<u64>,
}

impl ControlEventGauge {
    /// Sets the gauge up.
    pub fn new(meters: &MeterRegistry) -> Self {
        let events = meters.gauge(
            "control_events",
            "Events that the controllers were given, by kind.",
        );
        Self { events }
    }

    /// Takes over the counts as they are now.
    pub fn record(&self, control: &ControlHandle) {
        for (kind, count) in control.event_counts() {
            self.events.record(count, &[KeyValue::new("kind", kind.as_str())]);
        }
    }
}
