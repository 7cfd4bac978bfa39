//! Simulation of instances that choose among the same upstreams, each with its own view of the fleet.

use std::collections::BTreeMap;

use place::{Outcome, Pool, RateLimit, Spec, VersionedLimit};

use crate::common::call;

/// Time until a change reaches all instances, in milliseconds.
const PROPAGATION_MS: u64 = 300;

/// A request in flight.
struct Request {
    answered_at: u64,
    /// Index of the sending instance.
    from: usize,
    choice: place::Choice,
    sent_at: u64,
}

pub(crate) struct Fleet {
    pub(crate) pools: Vec<Pool>,
    in_flight: Vec<Request>,
    /// Arrival times of requests, by upstream.
    pub(crate) arrivals: BTreeMap<String, Vec<u64>>,
    /// Transit time to an upstream, in milliseconds, for a request sent at a given time.
    transit_ms: fn(u64) -> u64,
    /// The request rate limit in every response.
    pub(crate) limit: Option<RateLimit>,
    /// Limit changes in transit to all instances, with their delivery times.
    updates: Vec<(u64, String, VersionedLimit)>,
}

impl Fleet {
    pub(crate) fn new(count: usize, transit_ms: fn(u64) -> u64) -> Fleet {
        let mut pools = Vec::new();
        for _ in 0..count {
            pools.push(Pool::default());
        }
        Fleet {
            pools,
            in_flight: Vec::new(),
            arrivals: BTreeMap::new(),
            limit: None,
            updates: Vec::new(),
            transit_ms,
        }
    }

    /// Sets the instances that are listed at an instance.
    pub(crate) fn set_view(&mut self, now: u64, instance: usize, listed: &[usize]) {
        let names: Vec<u64> = listed.iter().map(|i| *i as u64).collect();
        self.pools[instance].set_instances(now, instance as u64, &names);
    }

    /// Adds or updates upstreams at all instances.
    pub(crate) fn upsert(&mut self, now: u64, specs: &[Spec]) {
        for pool in &mut self.pools {
            for spec in specs {
                pool.upsert(now, spec.clone());
            }
        }
    }

    /// Delivers responses and limit changes, then has each instance send as many requests as it may.
    pub(crate) fn step(&mut self, now: u64) {
        let (ended, left): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|r| r.answered_at <= now);
        self.in_flight = left;
        for r in ended {
            let pool = &mut self.pools[r.from];
            if let Some(limit) = pool.set_limit(now, r.choice.key, r.sent_at, self.limit) {
                let upstream = r.choice.spec.incarnation();
                self.updates.push((now + PROPAGATION_MS, upstream, limit));
            }
            pool.record_latency(now, &r.choice, r.sent_at);
            pool.end(now, r.choice.key, r.choice.attempt, Outcome::Success);
        }
        let (due, later) = self.updates.drain(..).partition(|u| u.0 <= now);
        self.updates = later;
        let due: Vec<_> = due;
        for (_, upstream, limit) in due {
            for pool in &mut self.pools {
                pool.merge_limit(now, &upstream, limit);
            }
        }
        for from in 0..self.pools.len() {
            while let Ok(choice) = self.pools[from].choose(now, &call("a")) {
                let arrives = now + (self.transit_ms)(now);
                let arrivals = self.arrivals.entry(choice.spec.id.clone());
                arrivals.or_default().push(arrives);
                self.in_flight.push(Request {
                    answered_at: arrives + 5,
                    from,
                    choice,
                    sent_at: now,
                });
            }
        }
    }

    /// Returns the maximum number of requests that arrived at one upstream within any window of `ms`.
    pub(crate) fn max_within(&mut self, ms: u64) -> usize {
        let mut max = 0;
        for arrivals in self.arrivals.values_mut() {
            arrivals.sort_unstable();
            for (i, at) in arrivals.iter().enumerate() {
                let within = arrivals[i..].iter().take_while(|a| **a < at + ms);
                max = max.max(within.count());
            }
        }
        max
    }
}
