//! Creation of metric instruments and their export, shared by nodes and gateways.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::Snafu;

/// Reason why the metrics exporter could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics can't be set up: {reason}"))]
pub struct MetricError {
    reason: String,
}

/// Creates the instruments of a process and exports them.
pub struct MeterRegistry {
    registry: Registry,
    /// Kept alive because the instruments stop recording when it is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
    bounds_ms: &'static [f64],
}

impl MeterRegistry {
    /// Creates a registry whose histograms have these upper bucket bounds, in milliseconds.
    pub fn new(bounds_ms: &'static [f64]) -> Result<Self, MetricError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| MetricError {
                reason: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dotterelspan");
        Ok(Self {
            registry,
            _provider: provider,
            meter,
            bounds_ms,
        })
    }

    /// Registers a histogram of times in milliseconds.
    pub fn histogram(&self, name: &'static str, about: &'static str) -> Histogram<f64> {
        let builder = self.meter.f64_histogram(name).with_description(about);
        builder
            .with_unit("ms")
            .with_boundaries(self.bounds_ms.to_vec())
            .build()
    }

    /// Registers a counter, which only ever grows.
    pub fn counter(&self, name: &'static str, about: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(about).build()
    }

    /// Registers a gauge, which shows the last recorded value per set of labels.
    pub fn gauge(&self, name: &'static str, about: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(about).build()
    }

    /// All metrics in the Prometheus text format, or a comment with the error if encoding fails.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# the metrics can't be written: {error}\n"))
    }
}
