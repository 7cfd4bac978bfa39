//! Congestion of this instance's network link.
//!
//! A caller that sends hundreds of long prompts per second may be assigned to an instance with a slow
//! link. Callers are distributed by who they are, not by how much they send, so the load stays there.
//! On a full link everything waits: requests, responses, and the store's updates about upstreams that
//! leave and configuration that changed.

/// Share of the bandwidth for requests and responses: the rest is for the store, for other instances
/// and for retransmissions.
const USABLE_SHARE: f64 = 0.8;
/// Bytes of a request in addition to its body: its head, the head of its response, and packet headers.
const HEAD_BYTES: f64 = 700.0;
/// Bytes of a response chunk in addition to its data: the packet headers.
const PACKET_BYTES: f64 = 60.0;
/// Queueing delay above which new connections should go to other instances, in milliseconds: a load
/// balancer takes a second or two to notice, and a response may take at most half a second.
const CONGESTED_MS: f64 = 120.0;
/// Queueing delay above which long requests are refused at once, in milliseconds: another instance
/// responds sooner than this one could.
const SATURATED_MS: f64 = 250.0;
/// Transfer time up to which a request is not worth refusing, in milliseconds.
const SHORT_MS: f64 = 2.0;
/// How long new connections should go to other instances after the link was congested, in
/// milliseconds: the load that moved away comes back once connections are accepted here again.
const CONGESTED_HOLD_MS: u64 = 6_000;

/// Estimated bytes queued in one direction, from the data that was received and sent.
#[derive(Clone, Copy, Debug, Default)]
struct Queue {
    bytes: f64,
    updated_at: u64,
}

impl Queue {
    fn add(&mut self, now: u64, bytes: f64, bytes_per_ms: f64) {
        self.bytes = self.get(now, bytes_per_ms) + bytes;
        self.updated_at = self.updated_at.max(now);
    }

    fn get(&self, now: u64, bytes_per_ms: f64) -> f64 {
        let drained = now.saturating_sub(self.updated_at) as f64 * bytes_per_ms;
        (self.bytes - drained).max(0.0)
    }
}

/// The network link of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Bandwidth for requests and responses in each direction, in bytes per millisecond; none if it
    /// is not known.
    bytes_per_ms: Option<f64>,
    inbound: Queue,
    outbound: Queue,
    congested_until: u64,
    /// Whether the link was congested when `take_congestion_change` was last called.
    reported: bool,
}

impl Link {
    /// Creates a link with a bandwidth in each direction, in megabits per second; none if it is not
    /// known.
    pub fn new(mbps: Option<f64>) -> Link {
        let bytes_per_ms = mbps.filter(|m| *m > 0.0).map(|m| m * 125.0 * USABLE_SHARE);
        Link {
            bytes_per_ms,
            ..Link::default()
        }
    }

    /// Records a request received from its caller, with a body of `bytes`.
    pub fn record_request_received(&mut self, now: u64, bytes: usize) {
        let Some(bytes_per_ms) = self.bytes_per_ms else {
            return;
        };
        self.inbound
            .add(now, bytes as f64 + HEAD_BYTES, bytes_per_ms);
        self.update_congestion(now);
    }

    /// Records a request sent to an upstream, with a body of `bytes`.
    pub fn record_request_sent(&mut self, now: u64, bytes: usize) {
        let Some(bytes_per_ms) = self.bytes_per_ms else {
            return;
        };
        self.outbound
            .add(now, bytes as f64 + HEAD_BYTES, bytes_per_ms);
        self.update_congestion(now);
    }

    /// Records a response, or a chunk of one, that is received from an upstream and sent to its
    /// caller.
    pub fn record_response(&mut self, now: u64, bytes: usize) {
        let Some(bytes_per_ms) = self.bytes_per_ms else {
            return;
        };
        self.inbound
            .add(now, bytes as f64 + PACKET_BYTES, bytes_per_ms);
        self.outbound
            .add(now, bytes as f64 + PACKET_BYTES, bytes_per_ms);
        self.update_congestion(now);
    }

    fn update_congestion(&mut self, now: u64) {
        if self.is_backed_up(now) {
            self.congested_until = now + CONGESTED_HOLD_MS;
        }
    }

    fn inbound_delay_ms(&self, now: u64) -> f64 {
        self.bytes_per_ms
            .map_or(0.0, |b| self.inbound.get(now, b) / b)
    }

    /// Returns the queueing delay of outbound data, in milliseconds.
    pub fn outbound_delay_ms(&self, now: u64) -> f64 {
        self.bytes_per_ms
            .map_or(0.0, |b| self.outbound.get(now, b) / b)
    }

    /// Returns whether the link is congested, if that has changed since the last call.
    pub fn take_congestion_change(&mut self, now: u64) -> Option<bool> {
        let congested = self.is_congested(now);
        let changed = congested != self.reported;
        self.reported = congested;
        changed.then_some(congested)
    }

    /// Returns whether new connections should go to other instances.
    pub fn is_congested(&self, now: u64) -> bool {
        now < self.congested_until
    }

    /// Returns whether data waits so long that new connections should go to other instances.
    pub fn is_backed_up(&self, now: u64) -> bool {
        self.inbound_delay_ms(now).max(self.outbound_delay_ms(now)) > CONGESTED_MS
    }

    /// Returns whether a request with a body of `bytes` is better served by another instance.
    ///
    /// Only the outbound direction counts: the request has been received already, and its response
    /// is small.
    pub fn is_saturated_for(&self, now: u64, bytes: usize) -> bool {
        let long = self
            .bytes_per_ms
            .is_some_and(|b| bytes as f64 > SHORT_MS * b);
        long && self.outbound_delay_ms(now) > SATURATED_MS
    }
}
