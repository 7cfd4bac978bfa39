//! Metrics of an instance. Their names and help texts are part of the interface to monitoring.

use std::sync::Mutex;

use place::RetryUsage;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::store_calls::StoreCalls;
use crate::suspects::Suspects;

/// Upper bounds of the histogram buckets, in seconds: from the time that the router itself takes to
/// the longest requests.
const BUCKETS_SECS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 5.0, 10.0,
];

/// Upper bounds of the histogram of observed divided by expected times.
const ERROR_BUCKETS: [f64; 10] = [0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 2.0, 4.0, 8.0, 16.0];

/// Labels of a request: its route, and `ok` or the code of its error.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) route: String,
    pub(crate) code: String,
}

/// Labels of a refusal for lack of tokens: `exhausted`, `store_out` (the store is unavailable), `free`
/// (the budget has free tokens that could not be taken in time) or `held` (other instances hold them).
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TokenRefusalLabels {
    pub(crate) reason: &'static str,
}

/// Labels of what is measured by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RouteLabels {
    pub(crate) route: String,
}

/// Labels of what is measured by priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PriorityLabels {
    pub(crate) priority: u32,
}

/// Labels of retries: the service, and `allowed` or `denied` by its retry budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RetryLabels {
    pub(crate) service: String,
    pub(crate) result: &'static str,
}

/// The metrics of an instance.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    /// Requests, by route and result.
    pub(crate) requests: Family<RequestLabels, Counter>,
    /// Requests in flight.
    pub(crate) inflight: Gauge,
    /// Attempts to send a request to an upstream.
    pub(crate) attempts: Counter,
    /// Attempts after a request's first one.
    pub(crate) retries: Counter,
    /// Retries that the retry budgets of services have allowed or denied.
    pub(crate) budget_retries: Family<RetryLabels, Counter>,
    /// Attempts to open a connection to an upstream, including failed ones.
    pub(crate) connection_attempts: Counter,
    /// Time from a request's arrival to its response or first event.
    pub(crate) first_output_seconds: Family<RouteLabels, Histogram>,
    /// Time that a request waited for upstreams, if it had to.
    pub(crate) wait_seconds: Family<PriorityLabels, Histogram>,
    /// Time that a request waited for tokens.
    pub(crate) token_wait_seconds: Histogram,
    /// Requests refused for lack of tokens, by reason.
    pub(crate) token_refusals: Family<TokenRefusalLabels, Counter>,
    /// Tokens of all customers that the instance holds.
    pub(crate) tokens_held: Gauge,
    /// Tokens of the customers whose home this is that are held back from grants.
    pub(crate) tokens_held_back: Gauge,
    /// Response tokens sent to callers.
    pub(crate) delivered_tokens: Counter,
    /// Prompt tokens estimated not to be in the prefix cache of the upstream, counted each time one
    /// is chosen.
    pub(crate) uncached_prompt_tokens: Counter,
    /// Prompt tokens, counted each time an upstream is chosen.
    pub(crate) prompt_tokens: Counter,
    /// Listed upstreams that advertise a request rate limit.
    pub(crate) rate_limited_upstreams: Gauge,
    /// Listed upstreams whose addresses are used by others.
    pub(crate) reused_addresses: Gauge,
    /// Services whose paths from this instance are lost.
    pub(crate) lost_services: Gauge,
    /// Requests that were sent through other instances.
    pub(crate) transit_sent: Counter,
    /// Requests of other instances that were forwarded.
    pub(crate) transit_forwarded: Counter,
    /// New connections of callers that were closed unread.
    pub(crate) connections_closed: Counter,
    /// Time to the first token divided by the expected one.
    pub(crate) first_token_error: Histogram,
    /// Attempts entered in accounts of engines.
    pub(crate) account_entries: Counter,
    /// Questions to other instances about engines.
    pub(crate) account_questions: Counter,
    /// Answers to these questions.
    pub(crate) account_answers: Counter,
    /// Questions without an answer in time.
    pub(crate) account_timeouts: Counter,
    /// Tokens that requests hold in engines' memory, by the accounts that this instance keeps.
    pub(crate) engine_tokens_held: Gauge,
    /// Tokens of cached segments in engines' memory, by these accounts.
    pub(crate) engine_tokens_cached: Gauge,
    /// Connections whose callers had left before anything was read from them.
    pub(crate) connections_abandoned: Counter,
    pub(crate) pause_ms: Counter,
    /// Open connections of callers and of other instances.
    pub(crate) connections_open: Gauge,
    /// Idle connections that were closed because the maximum number of connections was reached.
    pub(crate) idle_connections_closed: Counter,
    /// New connections that were closed unread because that many were in use.
    pub(crate) connections_denied: Counter,
    /// Requests that were refused because their customer was over its share of this overloaded instance.
    pub(crate) refused_over_share: Counter,
    /// Connections that were closed because their callers read nothing.
    pub(crate) slow_callers: Counter,
}

fn new_histogram() -> Histogram {
    Histogram::new(BUCKETS_SECS)
}

impl Metrics {
    pub(crate) fn new(store_calls: &StoreCalls, suspects: &Suspects) -> Metrics {
        let metrics = Metrics {
            registry: Mutex::new(Registry::with_prefix("oriolehitch")),
            requests: Family::default(),
            inflight: Gauge::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            budget_retries: Family::default(),
            connection_attempts: Counter::default(),
            first_output_seconds: Family::new_with_constructor(new_histogram),
            wait_seconds: Family::new_with_constructor(new_histogram),
            token_wait_seconds: new_histogram(),
            token_refusals: Family::default(),
            tokens_held: Gauge::default(),
            tokens_held_back: Gauge::default(),
            delivered_tokens: Counter::default(),
            uncached_prompt_tokens: Counter::default(),
            prompt_tokens: Counter::default(),
            rate_limited_upstreams: Gauge::default(),
            reused_addresses: Gauge::default(),
            lost_services: Gauge::default(),
            transit_sent: Counter::default(),
            transit_forwarded: Counter::default(),
            connections_closed: Counter::default(),
            first_token_error: Histogram::new(ERROR_BUCKETS),
            account_entries: Counter::default(),
            account_questions: Counter::default(),
            account_answers: Counter::default(),
            account_timeouts: Counter::default(),
            engine_tokens_held: Gauge::default(),
            engine_tokens_cached: Gauge::default(),
            connections_abandoned: Counter::default(),
            pause_ms: Counter::default(),
            connections_open: Gauge::default(),
            idle_connections_closed: Counter::default(),
            connections_denied: Counter::default(),
            refused_over_share: Counter::default(),
            slow_callers: Counter::default(),
        };
        metrics.register(store_calls, suspects);
        metrics
    }

    fn register(&self, store_calls: &StoreCalls, suspects: &Suspects) {
        let mut registry = self.registry.lock().expect("lock not poisoned");
        let r = &mut *registry;
        r.register(
            "requests",
            "Requests by route and end",
            self.requests.clone(),
        );
        r.register("inflight", "Requests under way", self.inflight.clone());
        r.register("attempts", "Attempts at upstreams", self.attempts.clone());
        r.register("repeats", "Attempts beyond the first", self.retries.clone());
        r.register(
            "retry_budget",
            "Retries by service and result of its retry budget",
            self.budget_retries.clone(),
        );
        r.register(
            "connects",
            "Connections opened",
            self.connection_attempts.clone(),
        );
        r.register(
            "first_seconds",
            "Arrival to answer or first event",
            self.first_output_seconds.clone(),
        );
        r.register(
            "wait_seconds",
            "Wait for upstreams",
            self.wait_seconds.clone(),
        );
        r.register(
            "token_wait_seconds",
            "Wait for tokens",
            self.token_wait_seconds.clone(),
        );
        r.register(
            "token_refusals",
            "Requests refused for lack of tokens",
            self.token_refusals.clone(),
        );
        r.register("tokens_held", "Tokens held here", self.tokens_held.clone());
        r.register(
            "tokens_held_back",
            "Tokens held back for a failure of all instances",
            self.tokens_held_back.clone(),
        );
        r.register("tokens", "Tokens spent", self.delivered_tokens.clone());
        r.register(
            "unread",
            "Prompt tokens not kept",
            self.uncached_prompt_tokens.clone(),
        );
        r.register("prompt", "Prompt tokens sent", self.prompt_tokens.clone());
        r.register(
            "limited_upstreams",
            "Upstreams that name a request rate",
            self.rate_limited_upstreams.clone(),
        );
        r.register(
            "reused_addresses",
            "Upstreams whose addresses are used by others",
            self.reused_addresses.clone(),
        );
        r.register(
            "lost_services",
            "Services whose upstreams this instance does not reach",
            self.lost_services.clone(),
        );
        r.register(
            "transit_sent",
            "Requests sent through other instances",
            self.transit_sent.clone(),
        );
        r.register(
            "transit_forwarded",
            "Requests forwarded for other instances",
            self.transit_forwarded.clone(),
        );
        r.register(
            "connections_closed",
            "New connections closed unread",
            self.connections_closed.clone(),
        );
        r.register(
            "first_token_error",
            "Time to the first token divided by the expected one",
            self.first_token_error.clone(),
        );
        r.register(
            "account_entries",
            "Attempts entered in accounts of engines",
            self.account_entries.clone(),
        );
        r.register(
            "account_questions",
            "Questions about engines to other instances",
            self.account_questions.clone(),
        );
        r.register(
            "account_answers",
            "Answers to questions about engines",
            self.account_answers.clone(),
        );
        r.register(
            "account_timeouts",
            "Questions about engines without an answer in time",
            self.account_timeouts.clone(),
        );
        r.register(
            "engine_tokens_held",
            "Tokens that requests hold in engines, by the accounts kept here",
            self.engine_tokens_held.clone(),
        );
        r.register(
            "engine_tokens_cached",
            "Tokens of cached segments in engines, by the accounts kept here",
            self.engine_tokens_cached.clone(),
        );
        r.register(
            "connections_abandoned",
            "Connections whose callers left before they were read",
            self.connections_abandoned.clone(),
        );
        r.register(
            "pause_milliseconds",
            "Time for which this instance did not run",
            self.pause_ms.clone(),
        );
        r.register(
            "connections_open",
            "Open connections of callers and other instances",
            self.connections_open.clone(),
        );
        r.register(
            "idle_connections_closed",
            "Idle connections closed since the maximum number was reached",
            self.idle_connections_closed.clone(),
        );
        r.register(
            "connections_denied",
            "New connections closed since the maximum number was in use",
            self.connections_denied.clone(),
        );
        r.register(
            "refused_over_share",
            "Requests over their customer's share of an overloaded instance",
            self.refused_over_share.clone(),
        );
        r.register(
            "slow_callers",
            "Connections closed since their callers read nothing",
            self.slow_callers.clone(),
        );
        r.register("store_calls", "Calls of the store", store_calls.counters());
        let (ends, refused) = suspects.metrics();
        r.register("request_ends", "Upstreams' ends laid to requests", ends);
        r.register("suspects", "Requests refused for ends", refused);
    }

    /// Counts a request that has ended.
    pub(crate) fn count_request(&self, route: &str, code: &str) {
        let labels = RequestLabels {
            route: route.to_string(),
            code: code.to_string(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts the retries that a retry budget has allowed and denied.
    pub(crate) fn count_retries(&self, usage: &RetryUsage) {
        for (result, count) in [("allowed", usage.acquired), ("denied", usage.denied)] {
            let labels = RetryLabels {
                service: usage.service.clone(),
                result,
            };
            self.budget_retries.get_or_create(&labels).inc_by(count);
        }
    }

    /// Counts a request that was refused for lack of tokens.
    pub(crate) fn count_token_refusal(&self, reason: &'static str) {
        let labels = TokenRefusalLabels { reason };
        self.token_refusals.get_or_create(&labels).inc();
    }

    /// Records the time to a response or its first event.
    pub(crate) fn observe_first_output(&self, route: &str, ms: u64) {
        let labels = RouteLabels {
            route: route.to_string(),
        };
        self.first_output_seconds
            .get_or_create(&labels)
            .observe(ms as f64 / 1000.0);
    }

    /// Records how long a request waited for upstreams.
    pub(crate) fn observe_wait(&self, priority: u8, ms: u64) {
        let labels = PriorityLabels {
            priority: priority.into(),
        };
        self.wait_seconds
            .get_or_create(&labels)
            .observe(ms as f64 / 1000.0);
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub(crate) fn encode(&self) -> String {
        let registry = self.registry.lock().expect("lock not poisoned");
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
