//! Which requests an overloaded instance refuses, so that one customer does not take it from the others.
//!
//! A customer that sends many times what it usually does fills the queues of all instances of its zone.
//! Requests of all customers then wait until their callers have given up. An overloaded instance therefore
//! serves a customer no more than its share: what it usually sends, times what the others send more than
//! usual at the moment, since the load of an instance that was lost moves to the rest of its zone. What is
//! above it is refused once it is read, before tokens are reserved for it and an upstream is chosen.

use std::collections::HashMap;

use rate::Rate;

/// Half-life of the usual rate of a customer, in milliseconds: long enough that a burst of some seconds
/// hardly counts, short enough to follow the time of day.
const USUAL_HALF_LIFE_MS: f64 = 60_000.0;
/// Half-life of the present rate of a customer, in milliseconds.
const PRESENT_HALF_LIFE_MS: f64 = 500.0;
/// Time after the first request from which on the usual rates are known, in milliseconds.
const SETTLED_MS: u64 = 5_000;
/// How long an instance counts as overloaded after a sign of it, in milliseconds: what is refused keeps
/// further signs away.
const HOLD_MS: u64 = 1_500;
/// Factor by which a customer may exceed its usual rate, apart from what all send more.
const HEADROOM: f64 = 1.5;
/// Maximum growth of the others' load that counts: of two customers that send many times their usual, none
/// excuses the other one.
const MAX_GROWTH: f64 = 2.0;
/// Part of the present load from which on a customer can be over its share: what sends less does not overload the
/// instance, and small rates vary by chance.
const MIN_LOAD_PART: f64 = 0.2;
/// Work of a request in addition to its body, as a number of bytes.
const REQUEST_WORK: f64 = 16_384.0;
/// Work that a customer over its share may send at once, in milliseconds of its share.
const MAX_ALLOWANCE_MS: f64 = 500.0;
/// Number of requests that a customer may send at once in any case: small rates vary by chance.
const MIN_ALLOWANCE_REQUESTS: f64 = 8.0;
/// Maximum number of customers with known rates, to bound memory; the one with the oldest request is
/// dropped first.
const MAX_CUSTOMERS: usize = 1_024;
/// Interval at which the sums over all customers are updated, in milliseconds.
const SUMS_INTERVAL_MS: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Customer {
    /// Usual rate of its work.
    usual: Rate,
    /// Present rate of its work.
    present: Rate,
    /// Work that it may send although it is over its share; negative after a request that was larger than that.
    allowance: f64,
    allowance_updated_at: u64,
    /// Number of refused requests that were not reported yet.
    refused: u32,
}

impl Default for Customer {
    fn default() -> Customer {
        Customer {
            usual: Rate::with_half_life(USUAL_HALF_LIFE_MS),
            present: Rate::with_half_life(PRESENT_HALF_LIFE_MS),
            allowance: 0.0,
            allowance_updated_at: 0,
            refused: 0,
        }
    }
}

/// Sums over all customers.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    updated_at: u64,
    usual: f64,
    /// The present rates, each at most the usual one times [`MAX_GROWTH`].
    capped_present: f64,
    /// The present rates.
    present: f64,
    customers: usize,
}

/// The rates of the customers of one instance.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    customers: HashMap<String, Customer>,
    /// When the first request came, in milliseconds.
    began_at: Option<u64>,
    overloaded_until: u64,
    sums: Sums,
}

impl Shares {
    /// Records a sign that this instance is overloaded: its timers are late, or its memory or its link is
    /// nearly used up.
    pub fn record_overload(&mut self, now: u64) {
        self.overloaded_until = now + HOLD_MS;
    }

    /// Returns whether requests over their customer's share are refused.
    pub fn is_overloaded(&self, now: u64) -> bool {
        now < self.overloaded_until
    }

    /// Counts a request of a customer with a body of some bytes; returns whether to serve it.
    pub fn admit(&mut self, now: u64, customer: &str, body: usize) -> bool {
        let work = body as f64 + REQUEST_WORK;
        let began_at = *self.began_at.get_or_insert(now);
        let is_checked = self.is_overloaded(now) && now.saturating_sub(began_at) >= SETTLED_MS;
        if is_checked {
            self.update_sums(now, began_at);
        }
        let sums = self.sums;
        let customer = self.customer(customer);
        customer.present.add(now, work);
        let admitted = !is_checked || customer.is_within_share(now, began_at, sums, work);
        // What is refused is not usual: otherwise the share would grow with it.
        if admitted {
            customer.usual.add(now, work);
        } else {
            customer.refused += 1;
        }
        admitted
    }

    /// Returns a customer, which is new if it has sent nothing yet.
    fn customer(&mut self, name: &str) -> &mut Customer {
        if !self.customers.contains_key(name) {
            self.evict_oldest();
            self.customers.insert(name.to_string(), Customer::default());
        }
        self.customers.get_mut(name).expect("just inserted")
    }

    fn evict_oldest(&mut self) {
        if self.customers.len() < MAX_CUSTOMERS {
            return;
        }
        let last_request = |c: &Customer| c.present.updated_at();
        let oldest = self.customers.iter().min_by_key(|(_, c)| last_request(c));
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.customers.remove(&oldest);
        }
    }

    fn update_sums(&mut self, now: u64, began_at: u64) {
        if self.sums.customers > 0 && now < self.sums.updated_at + SUMS_INTERVAL_MS {
            return;
        }
        let mut sums = Sums {
            updated_at: now,
            customers: self.customers.len(),
            ..Sums::default()
        };
        for customer in self.customers.values() {
            sums.usual += customer.usual(now, began_at);
            sums.capped_present += customer.capped_present(now, began_at);
            sums.present += customer.present(now, began_at);
        }
        self.sums = sums;
    }

    /// Returns the customers of which requests were refused since the last call, and their numbers.
    pub fn take_refused(&mut self) -> Vec<(String, u32)> {
        let refused = self.customers.iter_mut().filter(|(_, c)| c.refused > 0);
        let taken = refused.map(|(name, c)| (name.clone(), std::mem::take(&mut c.refused)));
        taken.collect()
    }
}

impl Customer {
    fn usual(&self, now: u64, began_at: u64) -> f64 {
        self.usual.per_ms_since(now, began_at)
    }

    fn present(&self, now: u64, began_at: u64) -> f64 {
        self.present.per_ms_since(now, began_at)
    }

    fn capped_present(&self, now: u64, began_at: u64) -> f64 {
        let max = self.usual(now, began_at) * MAX_GROWTH;
        self.present(now, began_at).min(max)
    }

    /// Returns whether a request is within the customer's share; if it is not, takes its work from what the
    /// customer may send all the same.
    fn is_within_share(&mut self, now: u64, began_at: u64, sums: Sums, work: f64) -> bool {
        let Some(share) = self.share(now, began_at, sums) else {
            return true;
        };
        let max = (share * MAX_ALLOWANCE_MS).max(work * MIN_ALLOWANCE_REQUESTS);
        let elapsed_ms = now.saturating_sub(self.allowance_updated_at) as f64;
        self.allowance = (self.allowance + share * elapsed_ms).min(max);
        self.allowance_updated_at = now;
        let present = self.present(now, began_at);
        let is_small = present < sums.present * MIN_LOAD_PART;
        if is_small || present <= share {
            return true;
        }
        // What is sent beyond the allowance delays later requests. If it had to cover a request as a whole, the small
        // ones, which come more often, would leave none for the large ones.
        let is_allowed = self.allowance > 0.0;
        if is_allowed {
            self.allowance -= work;
        }
        is_allowed
    }

    /// Returns the customer's share, as work per millisecond; none if there are no others whose requests
    /// it could displace.
    fn share(&self, now: u64, began_at: u64, sums: Sums) -> Option<f64> {
        let usual = self.usual(now, began_at);
        let others_usual = sums.usual - usual;
        if sums.customers < 2 || others_usual <= 0.0 {
            return None;
        }
        let others_present = sums.capped_present - self.capped_present(now, began_at);
        let growth = (others_present / others_usual).clamp(1.0, MAX_GROWTH);
        // A customer that hardly ever sends anything may send as much as others do on average.
        let mean = sums.usual / sums.customers as f64;
        Some(usual.max(mean) * growth * HEADROOM)
    }
}
