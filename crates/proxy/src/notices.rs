//! Small and urgent news: what this instance learns, broadcasts and acts on.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use notice::{Gossip, Notice, Received, FANOUT, SAME_ZONE_FANOUT};
use place::{RateLimit, VersionedLimit};
use rand::seq::IndexedRandom;
use sha2::{Digest, Sha256};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::config::Config;
use crate::datagram::Datagram;
use crate::evacuation::Evacuations;
use crate::relay::Relay;
use crate::suspect_gossip::{PeerNetwork, StartupPeers};
use crate::upstream_list::UpstreamList;

/// Pause between two rounds in which news are sent: what is learnt meanwhile goes with them.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// How often one peer in turn is sent what all should know: one that was cut off knows it again within the time after which
/// it counts as reachable.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);

/// A handle on the notices that this instance knows.
#[derive(Clone, Default)]
pub(crate) struct Notices(Arc<Inner>);

#[derive(Default)]
struct Inner {
    gossip: Mutex<Gossip>,
    /// Wakes the task that sends news.
    changed: Notify,
}

impl Notices {
    fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.0.gossip.lock().expect("no panic inside")
    }

    /// Takes what this instance has learnt, and sends it to peers; returns whether it is new.
    pub(crate) fn publish(&self, notice: Notice) -> bool {
        let news = self.gossip().insert(notice);
        if news {
            self.0.changed.notify_one();
        }
        news
    }

    /// Takes a batch from a peer.
    pub(crate) fn receive(&self, batch: Vec<Notice>) -> Received {
        let received = self.gossip().receive(batch);
        if !received.accepted.is_empty() {
            self.0.changed.notify_one();
        }
        received
    }

    /// Sets how many upstreams are listed.
    pub(crate) fn set_upstream_count(&self, count: usize) {
        self.gossip().set_upstream_count(count);
    }

    /// Returns the notice about an upstream's removal from the list, as the revision of that.
    pub(crate) fn removed_at(&self, upstream: &str) -> Option<i64> {
        self.gossip().removed_at(upstream)
    }

    /// Returns the zones that are or were evacuated, with the revisions at which that was so.
    pub(crate) fn evacuations(&self) -> Vec<Notice> {
        let all = self.gossip().all().into_iter();
        all.filter(|n| matches!(n, Notice::Evacuation { .. }))
            .collect()
    }

    /// Sends news to peers.
    pub(crate) fn spawn(&self, others: &PeerNetwork, config: &Config) {
        tokio::spawn(self.clone().send_updates(others.clone(), config.clone()));
        tokio::spawn(
            self.clone()
                .send_anti_entropy(others.clone(), config.clone()),
        );
    }

    async fn send_updates(self, others: PeerNetwork, config: Config) {
        loop {
            self.0.changed.notified().await;
            loop {
                let due = self.gossip().next_round();
                if due.is_empty() {
                    break;
                }
                for batch in due {
                    send(&others, &config, batch, FANOUT);
                }
                sleep(ROUND_INTERVAL).await;
            }
        }
    }

    async fn send_anti_entropy(self, others: PeerNetwork, config: Config) {
        loop {
            sleep(ANTI_ENTROPY_INTERVAL).await;
            let page = self.gossip().anti_entropy_batch();
            if !page.is_empty() {
                send(&others, &config, page, 1);
            }
        }
    }
}

/// Sends a batch to some peers, chosen at random.
fn send(others: &PeerNetwork, config: &Config, batch: Vec<Notice>, peers: usize) {
    let (listed, roster) = (others.fleet.peers(), others.fleet.roster());
    let mut rng = rand::rng();
    let near = roster.zone_peers();
    let near = near.choose_multiple(&mut rng, SAME_ZONE_FANOUT.min(peers - 1));
    let mut chosen: Vec<SocketAddr> = near.map(|m| m.addr).collect();
    for any in listed.choose_multiple(&mut rng, peers) {
        if chosen.len() < peers && !chosen.contains(&any.addr) {
            chosen.push(any.addr);
        }
    }
    let version = config.version();
    others
        .sender
        .send(&Datagram::Notices { version, batch }, chosen);
}

/// Returns the name of a key among instances: keys themselves are never sent.
pub(crate) fn key_hash(key: &str) -> u64 {
    let digest = Sha256::digest(key.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
}

/// What news act on.
#[derive(Clone)]
pub(crate) struct NoticeHandler {
    pub(crate) notices: Notices,
    pub(crate) config: Config,
    pub(crate) upstreams: UpstreamList,
    pub(crate) evacuations: Evacuations,
    pub(crate) relay: Relay,
}

impl NoticeHandler {
    /// Starts a task that asks peers for the request rate limits of upstreams, for an instance that has just started.
    pub(crate) fn spawn_limit_query(&self, others: &PeerNetwork) {
        let (effects, others) = (self.clone(), others.clone());
        tokio::spawn(async move {
            let mut startup_peers = StartupPeers::new();
            while let Some(addr) = startup_peers.next(&others.fleet).await {
                if let Ok(limits) = others.peers.fetch_limits(addr).await {
                    startup_peers.record_answer();
                    effects.apply(limits);
                }
            }
        });
    }

    /// Takes a batch from a peer that runs a version of the configuration; returns what that peer lacks.
    pub(crate) fn receive_batch(
        &self,
        from: SocketAddr,
        near: bool,
        version: u64,
        batch: Vec<Notice>,
    ) -> Vec<Notice> {
        self.relay.record_config_holder(from, version, near);
        self.apply(batch)
    }

    /// Takes notices that a peer knows, and acts on those that are new; returns what that peer lacks.
    pub(crate) fn apply(&self, batch: Vec<Notice>) -> Vec<Notice> {
        let received = self.notices.receive(batch);
        for notice in received.accepted {
            self.handle(notice);
        }
        received.sender_lacks
    }

    fn handle(&self, notice: Notice) {
        match notice {
            Notice::Version { version } => self.relay.record_config_version(version),
            Notice::Revoked { key, version } => self.config.revoke_key(key, version),
            Notice::Leaving { upstream } => self.upstreams.mark_leaving(&upstream, "peer"),
            Notice::Limit {
                upstream,
                changes,
                rate,
            } => {
                let rate = rate.map(RateLimit::from_bits);
                let limit = VersionedLimit { rate, changes };
                self.upstreams.merge_limit(&upstream, limit);
            }
            Notice::Gone { upstream, revision } => {
                self.upstreams.record_removal(&upstream, revision)
            }
            Notice::Evacuation {
                zone, evacuated, ..
            } => {
                self.evacuations.set_evacuated(&zone, evacuated, "peer");
            }
        }
    }
}
