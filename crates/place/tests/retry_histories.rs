//! The retries of all instances together, over random histories of starts, kills, lists and delays.

use std::collections::VecDeque;

use place::{Pauses, RetryBudget, RetryLimits, SlackPart};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
/// Slack of all instances for each of them, and in addition to that.
const SLACK_PER_INSTANCE: f64 = 1.0;
const BASE_SLACK: f64 = 50.0;
const SERVICE: &str = "desk";

/// Length of a history and of its steps, in milliseconds.
const LENGTH_MS: u64 = 40_000;
const STEP_MS: u64 = 20;
/// Time after which a crashed instance is no longer listed, and between the renewals of a lease, in milliseconds.
const LEASE_MS: u64 = 4_000;
const RENEWAL_MS: u64 = 1_000;

/// The random properties of a history.
#[derive(Clone, Copy, Debug)]
struct Plan {
    instances: usize,
    /// Mean number of requests per second and instance.
    rate: f64,
    /// Time between two kills of several instances, in milliseconds, and the share of the instances.
    kill_interval_ms: u64,
    killed_share: f64,
    /// Time until a killed instance runs again, in milliseconds.
    downtime_ms: u64,
    /// Time until an instance that has started is listed, at itself and at others, in milliseconds.
    listing_ms: u64,
    /// Time from which on requests fail, in milliseconds.
    fails_at: u64,
    /// Maximum number of retries of a request.
    max_retries: u32,
    /// Maximum time from a retry's permit to its arrival, in milliseconds.
    max_delay_ms: u64,
    /// Whether the delayed retries all arrive at the same time.
    arrive_together: bool,
    /// Time from which on some instances are cut off from the list, in milliseconds, and their share: they keep
    /// the last one, and others list them no longer.
    cut_at: u64,
    cut_share: f64,
    /// Whether those are killed like the others.
    kills_cut_off: bool,
    suspensions: Option<Suspensions>,
}

/// Times at which instances are suspended. What is sent to them meanwhile is read when they continue.
#[derive(Clone, Copy, Debug)]
struct Suspensions {
    /// Time between the beginnings of two, in milliseconds.
    interval_ms: u64,
    length_ms: u64,
    /// Share of the instances that are suspended.
    share: f64,
    /// Time after which callers leave whose requests have not been read, in milliseconds. These requests are read,
    /// but not retried.
    patience_ms: u64,
    /// Maximum rate at which requests are read, as a multiple of the rate at which they are sent.
    read_factor: f64,
}

impl Suspensions {
    fn random(rng: &mut StdRng) -> Suspensions {
        let length_ms = rng.random_range(200..8_000);
        Suspensions {
            interval_ms: length_ms + rng.random_range(200..15_000),
            length_ms,
            share: rng.random_range(0.5..=1.0),
            patience_ms: rng.random_range(1_000..10_000),
            read_factor: rng.random_range(1.2..50.0),
        }
    }

    /// Returns when the suspension of a time ends, if there is one.
    fn ends_at(&self, now: u64) -> Option<u64> {
        let began_at = now / self.interval_ms * self.interval_ms;
        let ends_at = began_at + self.length_ms;
        (began_at > 0 && now < ends_at).then_some(ends_at)
    }
}

impl Plan {
    fn random(rng: &mut StdRng, instances: usize) -> Plan {
        Plan {
            instances,
            rate: rng.random_range(0.2..15.0),
            kill_interval_ms: rng.random_range(200..8_000),
            killed_share: rng.random_range(0.0..1.0),
            downtime_ms: rng.random_range(20..1_500),
            listing_ms: rng.random_range(20..9_000),
            fails_at: rng.random_range(0..20_000),
            max_retries: rng.random_range(1..=8),
            max_delay_ms: rng.random_range(0..10_000),
            arrive_together: rng.random_bool(0.5),
            cut_at: rng.random_range(0..LENGTH_MS),
            cut_share: rng.random_range(0.0..0.5),
            kills_cut_off: true,
            suspensions: None,
        }
    }
}

/// An instance, which keeps its name across restarts.
struct Instance {
    /// The budget of the running process; none while there is none.
    budget: Option<RetryBudget>,
    starts_at: u64,
    listed_at: u64,
    /// When it is no longer listed after a crash.
    unlisted_at: u64,
    /// Number of instances in the list that it has.
    sharers: usize,
    /// Its part of the slack, if the list contains the instance.
    part: Option<SlackPart>,
    /// When it is no longer listed unless it renews its lease.
    lease_until: u64,
    /// When the retries that it has sent arrive.
    in_flight: VecDeque<u64>,
    /// When the requests were sent that it has not read yet.
    unread: VecDeque<u64>,
    pauses: Pauses,
}

/// A simulated fleet before a service whose requests fail.
struct Fleet {
    plan: Plan,
    limits: RetryLimits,
    rng: StdRng,
    instances: Vec<Instance>,
    requests: Vec<u64>,
    /// When retries arrived at an upstream.
    arrivals: Vec<u64>,
}

impl Fleet {
    fn new(plan: Plan, rng: StdRng) -> Fleet {
        let limits = RetryLimits {
            ratio: RATIO,
            slack: BASE_SLACK + SLACK_PER_INSTANCE * plan.instances as f64,
            window_ms: WINDOW_MS,
        };
        let instance = |_| Instance {
            budget: None,
            starts_at: 0,
            listed_at: 0,
            unlisted_at: 0,
            sharers: 0,
            part: None,
            lease_until: LEASE_MS,
            in_flight: VecDeque::new(),
            unread: VecDeque::new(),
            pauses: Pauses::default(),
        };
        Fleet {
            plan,
            limits,
            rng,
            instances: (0..plan.instances).map(instance).collect(),
            requests: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut kill_at = self.plan.kill_interval_ms;
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if now >= kill_at {
                kill_at += self.plan.kill_interval_ms;
                self.kill(now);
            }
            let first_connected = if now < self.plan.cut_at + LEASE_MS {
                0
            } else {
                self.cut_off()
            };
            let cut_off = self.cut_off();
            let is_listed =
                |i: &&Instance| i.listed_at <= now && (i.budget.is_some() || now < i.unlisted_at);
            let connected = &self.instances[first_connected..];
            let listed = connected.iter().filter(is_listed).count();
            for i in 0..self.instances.len() {
                if i >= first_connected {
                    self.instances[i].sharers = listed;
                }
                let renews = i >= cut_off || now < self.plan.cut_at;
                if renews && now % RENEWAL_MS == 0 {
                    self.instances[i].lease_until = now + LEASE_MS;
                }
                self.step(now, i);
            }
        }
    }

    /// Returns the number of instances that are cut off; they are the first ones.
    fn cut_off(&self) -> usize {
        (self.plan.cut_share * self.plan.instances as f64) as usize
    }

    fn kill(&mut self, now: u64) {
        let cut_off = self.cut_off();
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if !self.rng.random_bool(self.plan.killed_share) || instance.budget.is_none() {
                continue;
            }
            if i < cut_off && now >= self.plan.cut_at && !self.plan.kills_cut_off {
                continue;
            }
            instance.budget = None;
            // What a process has sent is lost with it, unless it has arrived.
            instance.in_flight.clear();
            instance.unread.clear();
            instance.pauses = Pauses::default();
            instance.starts_at = now + self.rng.random_range(1..=self.plan.downtime_ms);
            instance.unlisted_at = now + LEASE_MS;
        }
    }

    /// Lets an instance receive and retry the requests of a step.
    fn step(&mut self, now: u64, i: usize) {
        let instance = &mut self.instances[i];
        if instance.budget.is_none() {
            if now < instance.starts_at {
                return;
            }
            instance.budget = Some(RetryBudget::new(self.limits));
            instance.part = None;
            instance.listed_at = now + self.rng.random_range(1..=self.plan.listing_ms);
        }
        let expected = self.plan.rate * STEP_MS as f64 / 1_000.0;
        let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            self.requests.push(now);
            instance.unread.push_back(now);
        }
        let suspended = (self.plan.suspensions.as_ref()).filter(|p| {
            p.ends_at(now).is_some() && (i as f64) < p.share * self.plan.instances as f64
        });
        if suspended.is_some() {
            return;
        }
        let Some(budget) = &mut instance.budget else {
            return;
        };
        if let Some(pause_ms) = instance.pauses.record_running(now) {
            budget.record_pause(now, pause_ms);
        }
        while instance.in_flight.front().is_some_and(|at| *at <= now) {
            self.arrivals.extend(instance.in_flight.pop_front());
            budget.complete(SERVICE);
        }
        let is_listed = instance.listed_at <= now;
        let part = is_listed.then_some(SlackPart {
            sharers: instance.sharers,
            until: instance.lease_until,
        });
        if part != instance.part {
            instance.part = part;
            budget.set_part(now, part);
        }
        let patience_ms = self.plan.suspensions.map_or(LENGTH_MS, |p| p.patience_ms);
        let read = self
            .plan
            .suspensions
            .map_or(usize::MAX, |p| (p.read_factor * expected).ceil() as usize);
        for _ in 0..read.min(instance.unread.len()) {
            let sent_at = instance.unread.pop_front().unwrap_or_default();
            budget.record_request(now, SERVICE, 0);
            for _ in 0..self.plan.max_retries {
                if now >= sent_at + patience_ms
                    || now < self.plan.fails_at
                    || !budget.try_acquire(now, SERVICE, 0)
                {
                    break;
                }
                let delay_ms = self.plan.max_delay_ms;
                let arrives_at = if self.plan.arrive_together && delay_ms > 0 {
                    (now / delay_ms + 1) * delay_ms
                } else {
                    now + self.rng.random_range(0..=delay_ms)
                };
                let last = instance.in_flight.back().copied().unwrap_or_default();
                instance.in_flight.push_back(arrives_at.max(last));
            }
        }
    }

    /// Returns the largest share of the allowed retries that arrived within any window.
    fn max_usage(&mut self) -> f64 {
        self.arrivals.sort_unstable();
        let within = |times: &[u64], start: u64| {
            times.partition_point(|t| *t < start + WINDOW_MS)
                - times.partition_point(|t| *t < start)
        };
        let mut usage: f64 = 0.0;
        for start in (0..LENGTH_MS).step_by(100) {
            let earlier = [0, WINDOW_MS / 2, WINDOW_MS].map(|ms| start.checked_sub(ms));
            let requests = earlier.iter().flatten().map(|s| within(&self.requests, *s));
            let requests = requests.max().unwrap_or_default();
            let allowed = RATIO * requests as f64 + self.limits.slack;
            usage = usage.max(within(&self.arrivals, start) as f64 / allowed);
        }
        usage
    }
}

/// Plays random histories of fleets of a size; returns the largest share of the allowed retries.
fn max_usage(instances: usize, histories: u64) -> f64 {
    max_usage_of(histories, |rng| Plan::random(rng, instances))
}

/// Plays random histories of the plans that a function returns; returns the largest share of the allowed retries.
fn max_usage_of(histories: u64, plan: impl Fn(&mut StdRng) -> Plan) -> f64 {
    let usage = |seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let plan = plan(&mut rng);
        let mut fleet = Fleet::new(plan, rng);
        fleet.run();
        let usage = fleet.max_usage();
        assert!(usage <= 1.0, "seed {seed}: {usage} of the limit, {plan:?}");
        usage
    };
    (0..histories).map(usage).fold(0.0, f64::max)
}

/// Guards against more retries than all instances together may send, whatever is killed, listed or delayed, at the
/// sizes of small deployments.
#[test]
fn small_fleets_stay_within_the_limit_over_random_histories() {
    for instances in [1, 3, 9, 30] {
        let usage = max_usage(instances, 1_200 / instances as u64);
        println!("{instances} instances: {usage:.2} of the limit at most");
    }
}

/// The same at the sizes of large deployments, where an instance's part of the slack is about one retry.
#[test]
fn large_fleets_stay_within_the_limit_over_random_histories() {
    for instances in [100, 300, 1_000, 2_000] {
        let usage = max_usage(instances, 6_000 / instances as u64);
        println!("{instances} instances: {usage:.2} of the limit at most");
    }
}

/// Guards against more retries than all instances together may send after instances were suspended, because requests
/// that were sent meanwhile are read in a later window.
#[test]
fn suspended_fleets_stay_within_the_limit_over_random_histories() {
    for instances in [1, 3, 9, 30, 100, 300] {
        let usage = max_usage_of(3_600 / instances as u64, |rng| {
            let suspensions = Suspensions::random(rng);
            Plan {
                rate: rng.random_range(1.0..60.0),
                kill_interval_ms: rng.random_range(200..4 * LENGTH_MS),
                fails_at: suspensions.interval_ms + rng.random_range(0..=suspensions.length_ms),
                max_delay_ms: rng.random_range(0..300),
                suspensions: Some(suspensions),
                ..Plan::random(rng, instances)
            }
        });
        println!("{instances} instances: {usage:.2} of the limit at most");
    }
}

/// Guards against more retries than all instances together may send, because instances that are cut off from the list
/// go on with their parts of the slack after the others were restarted and have divided it anew.
#[test]
fn fleets_that_are_partly_cut_off_stay_within_the_limit_over_random_histories() {
    for instances in [5, 9, 20, 30, 100] {
        let usage = max_usage_of(3_000 / instances as u64, |rng| Plan {
            rate: rng.random_range(0.2..5.0),
            kill_interval_ms: rng.random_range(18_000..24_000),
            killed_share: rng.random_range(0.5..=1.0),
            listing_ms: rng.random_range(20..1_000),
            fails_at: rng.random_range(28_000..34_000),
            max_retries: 8,
            max_delay_ms: 0,
            cut_at: rng.random_range(0..12_000),
            cut_share: rng.random_range(0.2..0.8),
            kills_cut_off: false,
            ..Plan::random(rng, instances)
        });
        println!("{instances} instances: {usage:.2} of the limit at most");
    }
}
