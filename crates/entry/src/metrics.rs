//! Prometheus metrics.

use std::sync::atomic::AtomicU64;
use std::sync::Mutex;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.77, 2.0, 5.0, 19.0, 60.0,
];

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `ok`, or the code of the error.
    pub code: String,
}

/// Labels of the counts of platform calls and of messages to peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Kind of the call, or method name of the message.
    pub sort: String,
}

/// The metrics of an instance.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Finished requests, by code.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests, bills and claims in flight.
    pub in_flight: Gauge,
    /// Attempts at upstreams: first ones and retries.
    pub attempts: Counter,
    /// Streams resumed after a lost connection.
    pub resumes: Counter,
    /// Tokens delivered to callers.
    pub delivered_tokens: Counter,
    /// Time from the arrival of a chat completion to its first token.
    pub first_token_seconds: Histogram,
    /// Time that a request waited for its bill to become durable.
    pub bill_wait_seconds: Histogram,
    /// Duration of reservations.
    pub reserve_seconds: Histogram,
    /// Time from the acceptance of a configuration change until it was applied here.
    pub config_lag_seconds: Histogram,
    /// Time from the acceptance of a configuration change here until all live instances applied it.
    pub config_spread_seconds: Histogram,
    /// Messages to peers that got a reply, by method.
    pub peer_messages: Family<CallLabels, Counter>,
    /// Bytes of these messages and their replies.
    pub peer_bytes: Counter,
    /// Calls of the platform, by kind.
    pub platform_calls: Family<CallLabels, Gauge<f64, AtomicU64>>,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub fn create() -> Metrics {
        let seconds = || Histogram::new(BUCKETS);
        let metrics = Metrics {
            registry: Mutex::new(Registry::with_prefix("oriolehitch")),
            requests: Family::default(),
            in_flight: Gauge::default(),
            attempts: Counter::default(),
            resumes: Counter::default(),
            delivered_tokens: Counter::default(),
            first_token_seconds: seconds(),
            bill_wait_seconds: seconds(),
            reserve_seconds: seconds(),
            config_lag_seconds: seconds(),
            config_spread_seconds: seconds(),
            peer_messages: Family::default(),
            peer_bytes: Counter::default(),
            platform_calls: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().expect("lock not poisoned");
        registry.register("requests", "Requests by their end", self.requests.clone());
        registry.register("inflight", "Requests under way", self.in_flight.clone());
        registry.register("attempts", "Attempts at upstreams", self.attempts.clone());
        registry.register(
            "resumes",
            "Streams resumed after a cut",
            self.resumes.clone(),
        );
        registry.register("tokens", "Tokens delivered", self.delivered_tokens.clone());
        registry.register(
            "first_token_seconds",
            "Arrival to first token",
            self.first_token_seconds.clone(),
        );
        registry.register(
            "bill_wait_seconds",
            "End marker's wait for its bill",
            self.bill_wait_seconds.clone(),
        );
        registry.register(
            "reserve_seconds",
            "Time of a reservation",
            self.reserve_seconds.clone(),
        );
        registry.register(
            "config_lag_seconds",
            "Acceptance to in force here",
            self.config_lag_seconds.clone(),
        );
        registry.register(
            "config_spread_seconds",
            "Acceptance here to in force everywhere",
            self.config_spread_seconds.clone(),
        );
        registry.register(
            "peer_messages",
            "Messages to peers",
            self.peer_messages.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes to and from peers",
            self.peer_bytes.clone(),
        );
        registry.register(
            "platform_calls",
            "Platform calls",
            self.platform_calls.clone(),
        );
    }

    /// Counts a finished request.
    pub fn count_request(&self, code: &str) {
        let code = code.to_string();
        self.requests.get_or_create(&RequestLabels { code }).inc();
    }

    /// Counts a message to a peer with its reply.
    pub fn count_peer_message(&self, sort: &str, bytes: u64) {
        let sort = sort.to_string();
        self.peer_messages.get_or_create(&CallLabels { sort }).inc();
        self.peer_bytes.inc_by(bytes);
    }

    /// Sets the number of platform calls of a kind, as counted by the client.
    pub fn set_platform_calls(&self, sort: &str, calls: u64) {
        let sort = sort.to_string();
        let gauge = self.platform_calls.get_or_create(&CallLabels { sort });
        gauge.set(calls as f64);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode_text(&self) -> String {
        let mut buf = String::new();
        let registry = self.registry.lock().expect("lock not poisoned");
        // Writing to a string can't fail. If a metric can't be encoded, the output ends before it.
        let _ = encode(&mut buf, &registry);
        buf
    }
}
