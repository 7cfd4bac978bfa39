//! Metrics, by prometheus-client.

use std::sync::atomic::AtomicU64;
use std::sync::Mutex;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.77, 2.0, 5.0, 19.0, 60.0,
];

/// The end of a request: `ok` or the code of its error.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The code.
    pub code: String,
}

/// A sort of platform call or peer message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The sort.
    pub sort: String,
}

/// The metrics of one instance.
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Requests by their end.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests that are under way.
    pub in_flight: Gauge,
    /// Attempts at upstreams.
    pub attempts: Counter,
    /// Streams resumed after a cut.
    pub resumes: Counter,
    /// Tokens delivered to callers.
    pub delivered_tokens: Counter,
    /// Seconds from a request's arrival to its first token.
    pub first_token_seconds: Histogram,
    /// Seconds that an end marker waited for its bill.
    pub bill_wait_seconds: Histogram,
    /// Seconds that a reservation took.
    pub reserve_seconds: Histogram,
    /// Seconds from a change's acceptance to its being in force here.
    pub config_lag_seconds: Histogram,
    /// Seconds from a change's acceptance here to its being in force on every live instance.
    pub config_spread_seconds: Histogram,
    /// Messages to peers, by sort.
    pub peer_messages: Family<CallLabels, Counter>,
    /// Bytes of messages to and from peers.
    pub peer_bytes: Counter,
    /// Platform calls, by sort.
    pub platform_calls: Family<CallLabels, Gauge<f64, AtomicU64>>,
}

impl Metrics {
    /// Opens a registry with all metrics.
    pub fn create() -> Metrics {
        let seconds = || Histogram::new(SECONDS);
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
        let mut r = self.registry.lock().expect("no panic inside");
        r.register("requests", "Requests by their end", self.requests.clone());
        r.register("inflight", "Requests under way", self.in_flight.clone());
        r.register("attempts", "Attempts at upstreams", self.attempts.clone());
        r.register(
            "resumes",
            "Streams resumed after a cut",
            self.resumes.clone(),
        );
        r.register("tokens", "Tokens delivered", self.delivered_tokens.clone());
        r.register(
            "first_token_seconds",
            "Arrival to first token",
            self.first_token_seconds.clone(),
        );
        r.register(
            "bill_wait_seconds",
            "End marker's wait for its bill",
            self.bill_wait_seconds.clone(),
        );
        r.register(
            "reserve_seconds",
            "Time of a reservation",
            self.reserve_seconds.clone(),
        );
        r.register(
            "config_lag_seconds",
            "Acceptance to in force here",
            self.config_lag_seconds.clone(),
        );
        r.register(
            "config_spread_seconds",
            "Acceptance here to in force everywhere",
            self.config_spread_seconds.clone(),
        );
        r.register(
            "peer_messages",
            "Messages to peers",
            self.peer_messages.clone(),
        );
        r.register(
            "peer_bytes",
            "Bytes to and from peers",
            self.peer_bytes.clone(),
        );
        r.register(
            "platform_calls",
            "Platform calls",
            self.platform_calls.clone(),
        );
    }

    /// Counts a request's end.
    pub fn count_request(&self, code: &str) {
        let code = code.to_string();
        self.requests.get_or_create(&RequestLabels { code }).inc();
    }

    /// Counts a message to a peer.
    pub fn count_peer_message(&self, sort: &str, bytes: u64) {
        let sort = sort.to_string();
        self.peer_messages.get_or_create(&CallLabels { sort }).inc();
        self.peer_bytes.inc_by(bytes);
    }

    /// Takes over the platform client's counts.
    pub fn set_platform_calls(&self, sort: &str, calls: u64) {
        let sort = sort.to_string();
        let gauge = self.platform_calls.get_or_create(&CallLabels { sort });
        gauge.set(calls as f64);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode_text(&self) -> String {
        let mut buf = String::new();
        let registry = self.registry.lock().expect("no panic inside");
        // Writing to a string fails only when a metric can't be written, which then is left out.
        let _ = encode(&mut buf, &registry);
        buf
    }
}
