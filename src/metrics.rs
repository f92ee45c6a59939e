//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

use crate::clock::Millis;
use crate::error::{Error, Result};

/// Upper bounds of the histogram buckets, in seconds.
const DURATION_BOUNDS_S: [f64; 12] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// The instruments of one process.
pub struct Metrics {
    callers_bytes: Gauge<u64>,
    callers_connections: Gauge<u64>,
    callers_closed: Counter<u64>,
    registry: Registry,
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    targets: Counter<u64>,
    tokens: Counter<u64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
    control_wait: Histogram<f64>,
    settings_version: Gauge<u64>,
    settings_hash: Gauge<u64>,
    rejected_settings: Counter<u64>,
    blocked_parts: Gauge<u64>,
    endpoints: Gauge<u64>,
    registrations_age: Gauge<f64>,
    evacuated_zones: Gauge<u64>,
    waiting_requests: Gauge<u64>,
    slowest_endpoint: Gauge<f64>,
    store_calls: Counter<u64>,
    continuations: Counter<u64>,
    unknown_streams: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments; the meter has the program's name.
    pub fn new(program: &'static str) -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::io("starting metrics", std::io::Error::other(e)))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(program);
        let histogram = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(DURATION_BOUNDS_S.to_vec())
                .build()
        };
        Ok(Self {
            requests: meter
                .u64_counter("rattanstall.requests")
                .with_description("Requests by workspace, class and result code (0: answered)")
                .build(),
            targets: meter
                .u64_counter("rattanstall.targets")
                .with_description(
                    "Answered requests by workspace, class and whether the target was met",
                )
                .build(),
            tokens: meter
                .u64_counter("rattanstall.tokens")
                .with_description("Tokens charged by workspace")
                .build(),
            first_byte: histogram("rattanstall.first_byte.duration", "Time to the first byte"),
            duration: histogram(
                "rattanstall.request.duration",
                "Time to the end of the answer",
            ),
            control_wait: histogram(
                "rattanstall.control.wait",
                "Time that an event waits for the control thread",
            ),
            settings_version: meter
                .u64_gauge("rattanstall.settings.version")
                .with_description("Number of settings files taken since the start")
                .build(),
            settings_hash: meter
                .u64_gauge("rattanstall.settings.hash")
                .with_description("Hash of the settings file in force")
                .build(),
            rejected_settings: meter
                .u64_counter("rattanstall.settings.rejected")
                .with_description("Settings files that were not valid")
                .build(),
            blocked_parts: meter
                .u64_gauge("rattanstall.parts.blocked")
                .with_description("Parts of prompts that are refused")
                .build(),
            endpoints: meter
                .u64_gauge("rattanstall.endpoints")
                .with_description("Endpoints by what they said of themselves")
                .build(),
            registrations_age: meter
                .f64_gauge("rattanstall.registrations.age")
                .with_unit("s")
                .with_description("Time since the store showed the endpoint registrations as they are known")
                .build(),
            evacuated_zones: meter
                .u64_gauge("rattanstall.zones.evacuated")
                .with_description("Zones that the operator evacuates")
                .build(),
            waiting_requests: meter
                .u64_gauge("rattanstall.requests.waiting")
                .with_description("Requests that wait until an engine has room")
                .build(),
            slowest_endpoint: meter
                .f64_gauge("rattanstall.endpoints.slowest")
                .with_description("Time between events at the slowest endpoint over the median")
                .build(),
            store_calls: meter
                .u64_counter("rattanstall.store.calls")
                .with_description("Calls of the store by kind and whether they succeeded")
                .build(),
            continuations: meter
                .u64_counter("rattanstall.streams.continuations")
                .with_description("Answers to requests for the rest of a stream, by whether or why not they were joined to it")
                .build(),
            unknown_streams: meter
                .u64_counter("rattanstall.streams.unknown")
                .with_description("Streams that were not continued since their software version is not known, by why")
                .build(),
            callers_bytes: meter
                .u64_gauge("rattanstall.callers.bytes")
                .with_description("Memory that callers' connections hold, by what they do")
                .build(),
            callers_connections: meter
                .u64_gauge("rattanstall.callers.connections")
                .with_description("Connections of callers, by what they do")
                .build(),
            callers_closed: meter
                .u64_counter("rattanstall.callers.closed")
                .with_description("Connections of callers that gave way, by what they did")
                .build(),
            registry,
            provider,
        })
    }

    /// Counts a completed request; code 0 means that it was answered.
    pub fn count_request(&self, workspace: &str, class: &str, code: u16) {
        let labels = [
            KeyValue::new("workspace", workspace.to_owned()),
            KeyValue::new("class", class.to_owned()),
            KeyValue::new("code", i64::from(code)),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts tokens charged to a workspace.
    pub fn count_tokens(&self, workspace: &str, tokens: u64) {
        let labels = [KeyValue::new("workspace", workspace.to_owned())];
        self.tokens.add(tokens, &labels);
    }

    /// Records the time to the first byte and whether it met the class's target.
    pub fn record_first_byte(&self, workspace: &str, class: &str, elapsed: Millis, target: Millis) {
        let class = KeyValue::new("class", class.to_owned());
        self.first_byte
            .record(secs(elapsed), std::slice::from_ref(&class));
        let labels = [
            KeyValue::new("workspace", workspace.to_owned()),
            class,
            KeyValue::new("met", elapsed <= target),
        ];
        self.targets.add(1, &labels);
    }

    /// Records the time to the end of a response.
    pub fn record_duration(&self, class: &str, elapsed: Millis) {
        let labels = [KeyValue::new("class", class.to_owned())];
        self.duration.record(secs(elapsed), &labels);
    }

    /// Records how long an event waited for the control thread.
    pub fn record_control_wait(&self, waited: Millis) {
        self.control_wait.record(secs(waited), &[]);
    }

    /// Records the settings in force.
    pub fn set_settings_version(&self, version: u64, hash: u32) {
        self.settings_version.record(version, &[]);
        self.settings_hash.record(hash.into(), &[]);
    }

    /// Counts a settings file that was not valid.
    pub fn count_rejected_settings(&self) {
        self.rejected_settings.add(1, &[]);
    }

    /// Records how many parts of prompts are refused.
    pub fn record_blocked_parts(&self, parts: usize) {
        self.blocked_parts.record(parts as u64, &[]);
    }

    /// Records how many endpoints said something of themselves.
    pub fn record_endpoints(&self, said: &'static str, endpoints: usize) {
        let labels = [KeyValue::new("said", said)];
        self.endpoints.record(endpoints as u64, &labels);
    }

    /// Records how old the known endpoint registrations are.
    pub fn record_registrations_age(&self, age: Millis) {
        self.registrations_age.record(secs(age), &[]);
    }

    /// Records how many zones are evacuated.
    pub fn record_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.record(zones as u64, &[]);
    }

    /// Records what callers' connections hold that do the same.
    pub fn record_callers(&self, phase: &'static str, bytes: usize, connections: usize) {
        let labels = [KeyValue::new("phase", phase)];
        self.callers_bytes.record(bytes as u64, &labels);
        self.callers_connections.record(connections as u64, &labels);
    }

    /// Counts a connection of a caller that gave way to others.
    pub fn count_callers_closed(&self, phase: &'static str) {
        self.callers_closed.add(1, &[KeyValue::new("phase", phase)]);
    }

    /// Records how many requests wait until an engine has room.
    pub fn record_waiting_requests(&self, requests: usize) {
        self.waiting_requests.record(requests as u64, &[]);
    }

    /// Records how much longer than at the median endpoint events take at the slowest one.
    pub fn record_slowest_endpoint(&self, ratio: f64) {
        self.slowest_endpoint.record(ratio, &[]);
    }

    /// Counts the answer to a request for the rest of a stream: `joined`, or why it was not.
    pub fn count_continuation(&self, outcome: &'static str) {
        let outcome = KeyValue::new("outcome", outcome);
        self.continuations.add(1, &[outcome]);
    }

    /// Counts a stream that does not go on since its software version is not known.
    pub fn count_unknown_stream(&self, why: &'static str) {
        self.unknown_streams.add(1, &[KeyValue::new("why", why)]);
    }

    /// Counts a call of the store.
    pub fn count_store_call(&self, kind: &'static str, is_answered: bool) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("answered", is_answered),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}

impl Drop for Metrics {
    fn drop(&mut self) {
        let _ = self.provider.shutdown();
    }
}

fn secs(span: Millis) -> f64 {
    span.as_duration().as_secs_f64()
}
