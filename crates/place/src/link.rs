//! How full the own network link is, and what follows.
//!
//! Load: one caller that sends hundreds of long prompts a second comes to an instance whose link is slow.
//! Callers are spread by who they are, not by what they send, so it stays there. On a full link
//! everything waits: requests, answers, and the store's news of what leaves and what changed.

/// Part of the link that requests and answers may take: the rest is for the store, for other instances
/// and for what is sent again.
const USABLE: f64 = 0.8;
/// Bytes of a request besides its body: its head, that of its answer, and the packets' own.
const HEAD_BYTES: f64 = 700.0;
/// Bytes of a part of an answer besides itself: those of a packet.
const PACKET_BYTES: f64 = 60.0;
/// With so much waiting, in milliseconds, new connections are wanted elsewhere: a balancer takes a second
/// or two to notice, and half a second is what an answer may take.
const CROWDED_MS: f64 = 120.0;
/// With so much waiting, in milliseconds, long requests are refused at once: another instance answers
/// sooner than this one could.
const FULL_MS: f64 = 250.0;
/// A request that takes the link for less than this, in milliseconds, is not worth refusing.
const SHORT_MS: f64 = 2.0;
/// New connections are wanted elsewhere for so long after the link was crowded, in milliseconds: what
/// left comes back when they are wanted here again.
const REST_MS: u64 = 6_000;

/// Bytes that wait in one direction, as far as can be told from what was read and written.
#[derive(Clone, Copy, Debug, Default)]
struct Queue {
    bytes: f64,
    at: u64,
}

impl Queue {
    fn add(&mut self, now: u64, bytes: f64, per_ms: f64) {
        self.bytes = self.get(now, per_ms) + bytes;
        self.at = self.at.max(now);
    }

    fn get(&self, now: u64, per_ms: f64) -> f64 {
        let gone = now.saturating_sub(self.at) as f64 * per_ms;
        (self.bytes - gone).max(0.0)
    }
}

/// The own link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Bytes that requests and answers may take each way in a millisecond; none when it is not known.
    per_ms: Option<f64>,
    inward: Queue,
    outward: Queue,
    rest_until: u64,
    /// What was last told of whether it is crowded.
    told: bool,
}

impl Link {
    /// Returns the link of an instance, by its bandwidth each way in megabits a second.
    pub fn new(mbps: Option<f64>) -> Link {
        let per_ms = mbps.filter(|m| *m > 0.0).map(|m| m * 125.0 * USABLE);
        Link {
            per_ms,
            ..Link::default()
        }
    }

    /// Counts a request that came from its caller.
    pub fn record_request_received(&mut self, now: u64, bytes: usize) {
        let Some(per_ms) = self.per_ms else { return };
        self.inward.add(now, bytes as f64 + HEAD_BYTES, per_ms);
        self.note(now);
    }

    /// Counts a request that goes to an upstream.
    pub fn record_request_sent(&mut self, now: u64, bytes: usize) {
        let Some(per_ms) = self.per_ms else { return };
        self.outward.add(now, bytes as f64 + HEAD_BYTES, per_ms);
        self.note(now);
    }

    /// Counts an answer, or a part of one, that comes from an upstream and goes to its caller.
    pub fn record_response(&mut self, now: u64, bytes: usize) {
        let Some(per_ms) = self.per_ms else { return };
        self.inward.add(now, bytes as f64 + PACKET_BYTES, per_ms);
        self.outward.add(now, bytes as f64 + PACKET_BYTES, per_ms);
        self.note(now);
    }

    fn note(&mut self, now: u64) {
        if self.inward_ms(now).max(self.outbound_delay_ms(now)) > CROWDED_MS {
            self.rest_until = now + REST_MS;
        }
    }

    fn inward_ms(&self, now: u64) -> f64 {
        self.per_ms.map_or(0.0, |p| self.inward.get(now, p) / p)
    }

    /// Returns how long the last byte waits on its way out, in milliseconds.
    pub fn outbound_delay_ms(&self, now: u64) -> f64 {
        self.per_ms.map_or(0.0, |p| self.outward.get(now, p) / p)
    }

    /// Returns whether it is crowded, when that has changed since it was last asked for.
    pub fn take_congestion_change(&mut self, now: u64) -> Option<bool> {
        let crowded = self.is_congested(now);
        let turned = crowded != self.told;
        self.told = crowded;
        turned.then_some(crowded)
    }

    /// Returns whether new connections are wanted elsewhere.
    pub fn is_congested(&self, now: u64) -> bool {
        now < self.rest_until
    }

    /// Returns whether a request with a body of some bytes is better served elsewhere.
    ///
    /// Only the way out decides: a request that is here has come in already, and its answer is small.
    pub fn is_saturated_for(&self, now: u64, bytes: usize) -> bool {
        let long = self.per_ms.is_some_and(|p| bytes as f64 > SHORT_MS * p);
        long && self.outbound_delay_ms(now) > FULL_MS
    }
}
