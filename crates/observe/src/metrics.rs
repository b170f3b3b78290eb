//! Metrics, recorded with OpenTelemetry and exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

/// The name of the OpenTelemetry meter.
const METER: &str = "goldcrest";

/// Why metrics can't be exported.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter can't be set up.
    #[error("metrics can't be set up: {0}")]
    Exporter(String),
    /// The values can't be encoded.
    #[error("the metrics page can't be written: {0}")]
    Encoding(#[from] prometheus::Error),
}

/// Upper bounds of the histogram buckets, in milliseconds: from a round trip within a zone to the
/// longest time that a client waits. They include the latency targets and the timeouts in use.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 600.0, 800.0, 1_200.0, 2_500.0, 8_000.0,
];

/// A histogram of durations, in milliseconds.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<f64>);

impl DurationHistogram {
    /// Records a duration, with the service and further labels.
    pub fn record(
        &self,
        duration: Duration,
        service: &str,
        labels: &[(&'static str, &'static str)],
    ) {
        let mut attributes = vec![KeyValue::new("service", service.to_owned())];
        attributes.extend(
            labels
                .iter()
                .map(|(key, value)| KeyValue::new(*key, *value)),
        );
        self.0.record(duration.as_secs_f64() * 1000.0, &attributes);
    }
}

/// The metrics registry of a host.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates a registry without values.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Exporter`] when the exporter can't be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Creates a histogram of durations, in milliseconds.
    #[must_use]
    pub fn duration_histogram(&self, name: &'static str) -> DurationHistogram {
        let meter = self.provider.meter(METER);
        let histogram = meter
            .f64_histogram(name)
            .with_boundaries(BUCKETS_MS.to_vec());
        DurationHistogram(histogram.build())
    }

    /// Sets a value, with a database as its label if one is given. Counters, which only grow, have
    /// names that end in `_total`.
    pub fn set(&self, name: &'static str, database: Option<&str>, value: u64) {
        let gauge = self.provider.meter(METER).u64_gauge(name).build();
        let labels = database.map(|d| KeyValue::new("database", d.to_owned()));
        gauge.record(value, labels.as_slice());
    }

    /// Encodes all values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Encoding`] when they can't be encoded.
    pub fn encode(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
