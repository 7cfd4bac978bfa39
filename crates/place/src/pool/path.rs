//! What the pool contributes to judging the network paths to upstreams, and to forwarding requests
//! for other instances.

use super::Pool;
use crate::choice::Choice;
use crate::upstream::{Spec, Upstream};

impl Pool {
    /// Returns the number of listed upstreams of a service.
    pub fn listed_count(&self, service: &str) -> usize {
        self.listed().filter(|u| u.spec.service == service).count()
    }

    /// Returns the hash of an incarnation of an upstream, by which instances refer to it.
    pub fn incarnation_hash(&self, choice: &Choice) -> u64 {
        self.get(choice.key).incarnation_hash()
    }

    /// Records that the request of a choice has most likely never arrived at the upstream, because the
    /// path to it is lost: it is no load there.
    pub fn mark_undelivered(&mut self, choice: &Choice) {
        self.get_mut(choice.key)
            .engine
            .mark_undelivered(choice.attempt.0);
    }

    /// Ends the ejections of incarnations, by their hashes: most likely the path to them has failed. One
    /// that fails again is ejected for longer.
    pub fn lift_ejections(&mut self, incarnations: &[u64]) {
        let upstreams = self.upstreams.iter_mut().flatten();
        for up in upstreams.filter(|u| incarnations.contains(&u.incarnation_hash())) {
            up.health.lift_ejection();
        }
    }

    /// Returns up to `count` upstreams of a service that may be sent a health check, with the hashes
    /// of their incarnations; `random` decides which.
    pub fn probe_targets(
        &self,
        now: u64,
        service: &str,
        count: usize,
        random: u64,
    ) -> Vec<(u64, Spec)> {
        let cold_start = self.cold_start(service);
        let may_probe = |u: &&Upstream| {
            u.spec.service == service
                && u.accepts_requests(now)
                && u.is_unlimited(now, cold_start)
                && u.limit().is_none()
        };
        let upstreams = self.listed().filter(may_probe);
        let mut targets: Vec<&Upstream> = upstreams.collect();
        targets.sort_by_key(|u| (u.health.is_ejected(now), u.rank(random)));
        let targets = targets.into_iter().take(count);
        targets
            .map(|u| (u.incarnation_hash(), u.spec.clone()))
            .collect()
    }

    /// Returns up to `count` upstreams that accept requests, other than an incarnation; `random`
    /// decides which.
    pub fn other_upstreams(
        &self,
        now: u64,
        incarnation: &str,
        count: usize,
        random: u64,
    ) -> Vec<Spec> {
        let others = self.listed().filter(|u| u.accepts_requests(now));
        let others = others.filter(|u| u.spec.incarnation() != incarnation);
        let mut others: Vec<&Upstream> = others.collect();
        others.sort_by_key(|u| (u.health.is_ejected(now), u.rank(random)));
        let others = others.into_iter().take(count);
        others.map(|u| u.spec.clone()).collect()
    }

    /// Returns the upstream with an incarnation, if another instance may have a request forwarded to
    /// it.
    pub fn forward_target(&self, now: u64, incarnation: &str) -> Option<Spec> {
        let up = self.get(self.by_incarnation(incarnation)?);
        up.accepts_requests(now).then(|| up.spec.clone())
    }

    /// Returns the region of a zone, if known.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }
}
