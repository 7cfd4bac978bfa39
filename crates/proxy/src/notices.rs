//! Notices, that is, small and urgent changes: publishes those that this instance learns of, and
//! applies those of peers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use notice::{split_by_age, Gossip, Notice, Received, FANOUT, SAME_ZONE_FANOUT};
use place::{AddressState, RateLimit, VersionedLimit};
use rand::seq::IndexedRandom;
use sha2::{Digest, Sha256};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::config::Config;
use crate::datagram::{Datagram, Sender};
use crate::evacuation::Evacuations;
use crate::relay::Relay;
use crate::suspect_gossip::{PeerNetwork, StartupPeers};
use crate::upstream_list::UpstreamList;

/// Delay between two rounds in which new notices are sent: those that are learned in between are
/// sent together.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which a random peer is sent what all instances should know: one that was cut off is
/// up to date again within the time after which it counts as reachable.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(1);

/// Handle to the notices that this instance knows; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Notices(Arc<Inner>);

#[derive(Default)]
struct Inner {
    gossip: Mutex<Gossip>,
    /// Wakes the task that sends new notices.
    changed: Notify,
}

impl Notices {
    fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.0.gossip.lock().expect("lock not poisoned")
    }

    /// Adds a notice that this instance has learned and sends it to peers; returns whether it is
    /// new.
    pub(crate) fn publish(&self, notice: Notice) -> bool {
        let is_new = self.gossip().insert(notice);
        if is_new {
            self.0.changed.notify_one();
        }
        is_new
    }

    /// Adds a batch of notices from a peer.
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

    /// Returns the revision at which an upstream's entry was removed; `None` if no notice says so.
    pub(crate) fn removed_at(&self, upstream: &str) -> Option<i64> {
        self.gossip().removed_at(upstream)
    }

    /// Returns the notices about zones that are or were evacuated.
    pub(crate) fn evacuations(&self) -> Vec<Notice> {
        let all = self.gossip().all().into_iter();
        all.filter(|n| matches!(n, Notice::Evacuation { .. }))
            .collect()
    }

    /// Starts the tasks that send notices to peers.
    pub(crate) fn spawn(&self, network: &PeerNetwork, config: &Config) {
        tokio::spawn(self.clone().send_updates(network.clone(), config.clone()));
        tokio::spawn(
            self.clone()
                .send_anti_entropy(network.clone(), config.clone()),
        );
    }

    /// Sends new notices to some peers, in several rounds.
    async fn send_updates(self, network: PeerNetwork, config: Config) {
        loop {
            self.0.changed.notified().await;
            loop {
                let due = self.gossip().next_round();
                if due.is_empty() {
                    break;
                }
                for batch in due {
                    send(&network, &config, batch, FANOUT);
                }
                sleep(ROUND_INTERVAL).await;
            }
        }
    }

    /// Sends what all instances should know to one random peer at a time.
    async fn send_anti_entropy(self, network: PeerNetwork, config: Config) {
        loop {
            sleep(ANTI_ENTROPY_INTERVAL).await;
            let batch = self.gossip().anti_entropy_batch();
            if !batch.is_empty() {
                send(&network, &config, batch, 1);
            }
        }
    }
}

/// Sends a batch to `count` peers chosen at random. Of several peers, most are in the same zone.
fn send(network: &PeerNetwork, config: &Config, batch: Vec<Notice>, count: usize) {
    let (listed, roster) = (network.fleet.peers(), network.fleet.roster());
    let mut rng = rand::rng();
    let zone_peers = roster.zone_peers();
    let zone_peers = zone_peers.choose_multiple(&mut rng, SAME_ZONE_FANOUT.min(count - 1));
    let mut chosen: Vec<SocketAddr> = zone_peers.map(|m| m.addr).collect();
    for any in listed.choose_multiple(&mut rng, count) {
        if chosen.len() < count && !chosen.contains(&any.addr) {
            chosen.push(any.addr);
        }
    }
    send_batch(&network.sender, config.version(), batch, &chosen);
}

/// Sends a batch to some peers. An instance of an earlier version drops a whole datagram with a notice of a
/// kind that it does not know, so these are sent separately.
pub(crate) fn send_batch(sender: &Sender, version: u64, batch: Vec<Notice>, to: &[SocketAddr]) {
    for batch in split_by_age(batch) {
        let datagram = Datagram::Notices { version, batch };
        sender.send(&datagram, to.iter().copied());
    }
}

/// Returns the hash by which instances identify an API key to each other: the keys themselves are
/// never sent.
pub(crate) fn key_hash(key: &str) -> u64 {
    let digest = Sha256::digest(key.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
}

/// Applies the notices of peers.
#[derive(Clone)]
pub(crate) struct NoticeHandler {
    pub(crate) notices: Notices,
    pub(crate) config: Config,
    pub(crate) upstream_list: UpstreamList,
    pub(crate) evacuations: Evacuations,
    pub(crate) relay: Relay,
}

impl NoticeHandler {
    /// Starts the task that queries peers for the request rate limits of upstreams, since this
    /// instance has just started.
    pub(crate) fn spawn_limit_query(&self, network: &PeerNetwork) {
        let (handler, network) = (self.clone(), network.clone());
        tokio::spawn(async move {
            let mut startup_peers = StartupPeers::new();
            while let Some(addr) = startup_peers.next(&network.fleet).await {
                if let Ok(limits) = network.peer_clients.fetch_limits(addr).await {
                    startup_peers.record_response();
                    handler.apply(limits);
                }
            }
        });
    }

    /// Applies a batch from a peer, at which the given version of the configuration is in force;
    /// returns the notices that the peer is missing.
    pub(crate) fn receive_batch(
        &self,
        from: SocketAddr,
        same_zone: bool,
        version: u64,
        batch: Vec<Notice>,
    ) -> Vec<Notice> {
        self.relay.record_config_holder(from, version, same_zone);
        self.apply(batch)
    }

    /// Adds notices of a peer and applies those that are new; returns the notices that the peer is
    /// missing.
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
            Notice::Leaving { upstream } => self.upstream_list.mark_leaving(&upstream, "peer"),
            Notice::Limit {
                upstream,
                changes,
                rate,
            } => {
                let rate = rate.map(RateLimit::from_bits);
                let limit = VersionedLimit { rate, changes };
                self.upstream_list.merge_limit(&upstream, limit);
            }
            Notice::Address {
                upstream,
                addr,
                changes,
                reused,
            } => {
                let state = AddressState {
                    addr,
                    changes,
                    reused,
                };
                self.upstream_list.merge_address(&upstream, state);
            }
            Notice::Gone { upstream, revision } => {
                self.upstream_list.record_removal(&upstream, revision)
            }
            Notice::Evacuation {
                zone, evacuated, ..
            } => {
                self.evacuations.set_evacuated(&zone, evacuated, "peer");
            }
        }
    }
}
