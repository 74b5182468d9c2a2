//! Metric of the events dispatched to the controllers, by kind. A kind that a controller subscribes to but
//! whose count stays at zero has no sender.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;

use super::meter::MeterRegistry;
use crate::runtime::ControlHandle;

/// Gauge of the events dispatched to the controllers, by kind.
pub struct ControlEventGauge {
    events: Gauge<u64>,
}

impl ControlEventGauge {
    /// Registers the gauge.
    pub fn new(meters: &MeterRegistry) -> Self {
        let events = meters.gauge(
            "control_events",
            "Events that the controllers were given, by kind.",
        );
        Self { events }
    }

    /// Copies the control thread's current counts into the gauge.
    pub fn record(&self, control: &ControlHandle) {
        for (kind, count) in control.event_counts() {
            let is_subscribed = control.is_subscribed(kind);
            let labels = [
                KeyValue::new("kind", kind.as_str()),
                KeyValue::new("heard", is_subscribed),
            ];
            self.events.record(count, &labels);
        }
    }
}
