//! Shares of customers, weighted by what each usually sends: start-time fair queueing.
//!
//! Each request of a customer that waits or is sent gets a start tag, at least one usual interval after the tag of
//! the request before. Requests that wait are sent in the order of their tags. A customer that sends no more than
//! usual has tags at the present virtual time, and does not wait for those that send more.

use std::collections::HashMap;

use rate::Rate;

use crate::Customer;

/// Time constant of a customer's usual rate, in milliseconds: ten times as long as bursts, which must not
/// count as usual.
const USUAL_MS: f64 = 60_000.0;
/// A customer's weight, as a multiple of its usual rate: requests arrive irregularly.
const HEADROOM: f64 = 1.5;
/// Number of requests that a customer may send at once without being ahead of its share.
const BURST: f64 = 3.0;
/// Minimum usual rate, in requests per millisecond: a customer that was not seen before has this one.
const MIN_PER_MS: f64 = 0.1 / 1_000.0;
/// Decayed number of requests below which a customer may be forgotten.
const MIN_SUM: f64 = 0.5;
/// Maximum number of customers, to bound memory: those without recent requests are forgotten, or else those with the
/// oldest ones.
const MAX_CUSTOMERS: usize = 1_000;
/// Number of customers that are forgotten at a time if all have recent requests: to find them takes a look at all.
const FORGOTTEN_AT_ONCE: usize = MAX_CUSTOMERS / 4;

/// The place of a request in the order of those with its priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tag {
    /// Virtual time at which it should be sent, in milliseconds.
    pub(crate) start: f64,
    /// Usual interval between requests of its customer, in milliseconds.
    pub(crate) interval_ms: f64,
}

/// The share of one customer.
#[derive(Clone, Copy, Debug)]
struct Share {
    /// Usual rate of requests.
    usual: Rate,
    /// Start tag of the next request, if it comes early.
    next_start: f64,
}

/// The shares of the customers that have requests of one priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    keys: HashMap<String, Customer>,
    shares: HashMap<Customer, Share>,
    last_key: u32,
    /// Tag of the request that was sent last.
    virtual_time: f64,
}

impl Shares {
    /// Records a request of a customer, whether it waits or not.
    pub(crate) fn record_request(&mut self, now: u64, customer: &str) -> Customer {
        let key = match self.keys.get(customer) {
            Some(key) => *key,
            None => self.add(now, customer),
        };
        if let Some(share) = self.shares.get_mut(&key) {
            share.usual.add(now, 1.0);
        }
        key
    }

    fn add(&mut self, now: u64, customer: &str) -> Customer {
        if self.keys.len() >= MAX_CUSTOMERS {
            self.forget_customers(now);
        }
        self.last_key += 1;
        let key = Customer(self.last_key);
        let share = Share {
            usual: Rate::with_time_constant(USUAL_MS),
            next_start: self.virtual_time,
        };
        self.keys.insert(customer.to_string(), key);
        self.shares.insert(key, share);
        key
    }

    fn forget_customers(&mut self, now: u64) {
        self.shares.retain(|_, s| s.usual.sum(now) >= MIN_SUM);
        if self.shares.len() >= MAX_CUSTOMERS {
            let last_requests = self.shares.iter().map(|(k, s)| (s.usual.updated_at(), *k));
            let mut oldest: Vec<(u64, Customer)> = last_requests.collect();
            oldest.select_nth_unstable(FORGOTTEN_AT_ONCE);
            for (_, key) in &oldest[..FORGOTTEN_AT_ONCE] {
                self.shares.remove(key);
            }
        }
        self.keys.retain(|_, key| self.shares.contains_key(key));
    }

    /// Returns the tag of a customer's next request.
    pub(crate) fn next_tag(&self, now: u64, customer: Customer) -> Tag {
        let share = self.shares.get(&customer);
        let usual = share.map_or(0.0, |s| s.usual.per_ms(now));
        let interval_ms = 1.0 / (usual * HEADROOM).max(MIN_PER_MS);
        let next = share.map_or(0.0, |s| s.next_start);
        Tag {
            start: (next - BURST * interval_ms).max(self.virtual_time),
            interval_ms,
        }
    }

    /// Records that a customer's request with its next tag waits or is sent.
    pub(crate) fn take(&mut self, customer: Customer, tag: Tag) {
        let virtual_time = self.virtual_time;
        if let Some(share) = self.shares.get_mut(&customer) {
            share.next_start = share.next_start.max(virtual_time) + tag.interval_ms;
        }
    }

    /// Records that a customer's request that has waited is not sent.
    pub(crate) fn give_back(&mut self, customer: Customer, tag: Tag) {
        if let Some(share) = self.shares.get_mut(&customer) {
            share.next_start -= tag.interval_ms;
        }
    }

    /// Records that a request was sent.
    pub(crate) fn record_start(&mut self, tag: Tag) {
        self.virtual_time = self.virtual_time.max(tag.start);
    }
}
