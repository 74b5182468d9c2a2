//! How many events of each kind the controllers were given: a kind that is heard and stays at zero has nobody who tells it.

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
            let heard = control.is_heard(kind);
            let labels = [
                KeyValue::new("kind", kind.as_str()),
                KeyValue::new("heard", heard),
            ];
            self.events.record(count, &labels);
        }
    }
}
