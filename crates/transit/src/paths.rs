//! The paths from this instance to the upstreams of each service, judged from its connections.
//!
//! A failed attempt has the same look whether the upstream or the path to it has failed, but the two
//! need different answers: all instances avoid a failed upstream, while only this one has to go round
//! a lost path. A path that is lost takes several upstreams with it. It counts as lost once no
//! connection could be established to two upstreams of a service since the last one was; silent or
//! broken connections only make it worth a probe. A wrong verdict costs a few requests one more hop
//! until probes succeed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use smallvec::SmallVec;

/// Number of upstreams that must have failed; fewer if the service has fewer.
const MIN_FAILED: usize = 2;
/// Time without a byte from any upstream of a service after which the paths are probed, in
/// milliseconds. Upstreams are silent for longer one by one, but hardly all at the same time.
const SILENCE_MS: u64 = 400;
/// Minimum interval between probes of paths that seem lost and turn out to work, in milliseconds.
const SUSPICION_INTERVAL_MS: u64 = 1_000;
/// Intervals between the probes of a lost path, in milliseconds: doubled each time that they fail.
const MIN_PROBE_INTERVAL_MS: u64 = 300;
const MAX_PROBE_INTERVAL_MS: u64 = 2_000;
/// Time after which a path that is lost again is probed as often as at first, in milliseconds.
const STABLE_MS: u64 = 10_000;

/// How requests reach the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Directly.
    #[default]
    Direct,
    /// Over connections that are open; otherwise through another instance.
    OpenConnections,
    /// Through another instance.
    Transit,
}

/// What to probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Whether connections can be established.
    Connect,
    /// Whether connections can be established and used.
    Request,
}

/// The result of a probe of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// What was probed works: a connection was established, and did not break when it was used.
    Success,
    /// No connection could be established.
    Unconnected,
    /// A connection was established, and broke when it was used.
    Broken,
}

/// What is to be done after some time has passed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// The services whose mode changed.
    pub changed: Vec<String>,
    /// The services whose upstreams are to be probed.
    pub probes: Vec<(String, Probe)>,
}

/// The paths to the upstreams of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    mode: Mode,
    /// Upstreams to which no connection could be established since the last one was.
    unconnected: SmallVec<[u64; MIN_FAILED]>,
    /// Upstreams whose connections broke since the last response.
    broken: SmallVec<[u64; MIN_FAILED]>,
    /// Whether the last connection attempt that failed has timed out.
    hanging: bool,
    /// Number of listed upstreams when one failed last.
    listed: usize,
    /// Number of direct requests in flight.
    in_flight: usize,
    /// When the number of direct requests in flight was last 0, in milliseconds.
    idle_at: u64,
    /// When bytes were last received from an upstream, in milliseconds.
    received_at: Arc<AtomicU64>,
    probe_at: u64,
    probe_interval_ms: u64,
    /// When requests last went directly again, in milliseconds.
    restored_at: u64,
}

impl ServicePaths {
    /// Returns how long all upstreams have been silent although requests are in flight, in
    /// milliseconds.
    fn silence_ms(&self, now: u64) -> u64 {
        if self.in_flight == 0 {
            return 0;
        }
        let received_at = self.received_at.load(Ordering::Relaxed);
        now.saturating_sub(received_at.max(self.idle_at))
    }

    /// Returns the number of failed upstreams by which the path seems lost.
    fn min_failed(&self) -> usize {
        MIN_FAILED.min(self.listed).max(1)
    }

    /// Returns what to probe, if anything.
    fn probe(&self, now: u64) -> Option<Probe> {
        match self.mode {
            Mode::OpenConnections | Mode::Transit => Some(Probe::Request),
            Mode::Direct if self.broken.len() >= self.min_failed() => Some(Probe::Request),
            Mode::Direct if self.silence_ms(now) >= SILENCE_MS => Some(Probe::Connect),
            Mode::Direct => None,
        }
    }

    /// Updates the mode; returns whether it changed.
    fn update(&mut self, now: u64) -> bool {
        if self.unconnected.len() < self.min_failed() {
            return false;
        }
        let silent = self.silence_ms(now) >= SILENCE_MS;
        match self.mode {
            Mode::Direct | Mode::OpenConnections if silent => self.set_mode(now, Mode::Transit),
            Mode::Direct => self.set_mode(now, Mode::OpenConnections),
            Mode::OpenConnections | Mode::Transit => false,
        }
    }

    /// Sets the mode; returns whether it changed.
    fn set_mode(&mut self, now: u64, mode: Mode) -> bool {
        if mode == self.mode {
            return false;
        }
        if mode == Mode::Direct {
            self.unconnected.clear();
            self.broken.clear();
            self.restored_at = now;
        } else if self.mode == Mode::Direct {
            if now > self.restored_at + STABLE_MS || self.probe_interval_ms == 0 {
                self.probe_interval_ms = MIN_PROBE_INTERVAL_MS;
            }
            self.probe_at = now + self.probe_interval_ms;
        }
        self.mode = mode;
        true
    }
}

/// The paths to the upstreams of all services.
#[derive(Debug, Default)]
pub struct Paths(HashMap<String, ServicePaths>);

impl Paths {
    fn service(&mut self, service: &str) -> &mut ServicePaths {
        if !self.0.contains_key(service) {
            self.0.insert(service.to_string(), ServicePaths::default());
        }
        self.0.get_mut(service).expect("the service was inserted")
    }

    /// Returns how requests reach the upstreams of a service.
    pub fn mode(&self, service: &str) -> Mode {
        self.0.get(service).map(|s| s.mode).unwrap_or_default()
    }

    /// Returns whether a direct attempt on a lost path at least fails at once.
    pub fn fails_fast(&self, service: &str) -> bool {
        self.0.get(service).is_none_or(|p| !p.hanging)
    }

    /// Returns the services whose requests can't all go directly.
    pub fn lost_services(&self) -> impl Iterator<Item = &str> {
        let lost = self.0.iter().filter(|(_, s)| s.mode != Mode::Direct);
        lost.map(|(name, _)| name.as_str())
    }

    /// Records that a direct request is sent; returns the time at which bytes were last received from
    /// an upstream of the service, for the caller to update.
    pub fn begin(&mut self, now: u64, service: &str) -> Arc<AtomicU64> {
        let paths = self.service(service);
        if paths.in_flight == 0 {
            paths.idle_at = now;
        }
        paths.in_flight += 1;
        Arc::clone(&paths.received_at)
    }

    /// Records the end of a direct request.
    ///
    /// # Panics
    ///
    /// Panics if more requests end than began.
    pub fn end(&mut self, service: &str) {
        let paths = self.service(service);
        assert!(paths.in_flight > 0, "more requests ended than began");
        paths.in_flight -= 1;
    }

    /// Records that the response to a direct request has begun.
    pub fn record_response(&mut self, now: u64, service: &str) {
        let paths = self.service(service);
        paths.received_at.fetch_max(now, Ordering::Relaxed);
        paths.broken.clear();
    }

    /// Records that a connection to an upstream, which is one of `listed`, broke before its response
    /// began.
    pub fn record_broken(&mut self, service: &str, upstream: u64, listed: usize) {
        let paths = self.service(service);
        paths.listed = listed;
        push_new(&mut paths.broken, upstream);
    }

    /// Records that a connection was established.
    pub fn record_connected(&mut self, service: &str) {
        self.service(service).unconnected.clear();
    }

    /// Records that no connection could be established to an upstream, which is one of `listed`, and
    /// whether that took until the timeout; returns whether the mode of the service changed.
    pub fn record_unconnected(
        &mut self,
        now: u64,
        service: &str,
        upstream: u64,
        listed: usize,
        timed_out: bool,
    ) -> bool {
        let paths = self.service(service);
        paths.listed = listed;
        paths.hanging = timed_out;
        push_new(&mut paths.unconnected, upstream);
        paths.update(now)
    }

    /// Returns the upstreams of a service at which attempts have failed: if the path is lost, that
    /// says nothing about their health.
    pub fn failed_upstreams(&self, service: &str) -> Vec<u64> {
        let paths = self.0.get(service);
        let failed = paths.map(|p| p.unconnected.iter().chain(&p.broken));
        failed.into_iter().flatten().copied().collect()
    }

    /// Updates modes that depend on time, and returns what to do. `random` delays the next probes, so
    /// that those of several instances spread.
    pub fn tick(&mut self, now: u64, random: u64) -> Tick {
        let mut tick = Tick::default();
        for (service, paths) in &mut self.0 {
            let silent = paths.silence_ms(now) >= SILENCE_MS;
            if paths.mode == Mode::OpenConnections && silent {
                paths.set_mode(now, Mode::Transit);
                tick.changed.push(service.clone());
            }
            let probe = paths.probe(now).filter(|_| now >= paths.probe_at);
            let Some(probe) = probe else {
                continue;
            };
            let interval_ms = match paths.mode {
                Mode::Direct => SUSPICION_INTERVAL_MS,
                Mode::OpenConnections | Mode::Transit => paths.probe_interval_ms,
            };
            paths.probe_at = now + interval_ms + random % (interval_ms / 2);
            tick.probes.push((service.clone(), probe));
        }
        tick
    }

    /// Records the results of a probe by the upstreams that were probed; returns whether the mode of
    /// the service changed. Without results nothing could be probed.
    pub fn record_probe(
        &mut self,
        now: u64,
        service: &str,
        results: &[(u64, ProbeResult)],
        probe: Probe,
    ) -> bool {
        let paths = self.service(service);
        let succeeded = |r: &&(u64, ProbeResult)| r.1 == ProbeResult::Success;
        let successes = results.iter().filter(succeeded).count();
        if results.is_empty() {
            return false;
        }
        for (upstream, result) in results {
            match result {
                ProbeResult::Unconnected => push_new(&mut paths.unconnected, *upstream),
                ProbeResult::Success | ProbeResult::Broken => {}
            }
        }
        match paths.mode {
            Mode::Direct if successes > 0 => {
                paths.unconnected.clear();
                paths.broken.clear();
                false
            }
            Mode::Direct if probe == Probe::Request => paths.set_mode(now, Mode::Transit),
            Mode::Direct => paths.update(now),
            Mode::OpenConnections | Mode::Transit if successes == results.len() => {
                paths.received_at.fetch_max(now, Ordering::Relaxed);
                paths.set_mode(now, Mode::Direct)
            }
            Mode::OpenConnections | Mode::Transit => {
                let doubled = paths.probe_interval_ms * 2;
                paths.probe_interval_ms = doubled.min(MAX_PROBE_INTERVAL_MS);
                false
            }
        }
    }
}

fn push_new(upstreams: &mut SmallVec<[u64; MIN_FAILED]>, upstream: u64) {
    if !upstreams.contains(&upstream) {
        upstreams.push(upstream);
    }
}
