//! Datagrams between instances, among them the load that each puts on the upstreams and the tokens
//! that requests have spent.
//!
//! An upstream reports its own load late, and each instance sees only a part of its requests.
//! Without load reports, several instances would send long prompts to one engine at the same time.
//! A datagram may be lost. That only delays its content, which is sent again or soon outdated.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use notice::Notice;
use origin::OriginRecord;
use place::InstanceLoad;
use relay::Heartbeat;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use transit::Report;

use crate::accounts::{self, Ask, Copied, Entered, Known, Progress};
use crate::budgets::Settlement;
use crate::fleet::Fleet;
use crate::notices::send_batch;
use crate::peers::PeerService;
use crate::relay::Relay;
use crate::router::Router;
use crate::suspect_gossip::PeerNetwork;
use crate::traffic::Traffic;

/// Interval between load reports in a small fleet: a long prompt is processed in a few hundred
/// milliseconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(80);
/// In a fleet of more instances than this, the interval grows with their number, so that each
/// instance sends the same number of datagrams per second.
const SMALL_FLEET: usize = 9;
/// Maximum number of peers that get load reports: with this many, each still gets the next report
/// before the previous one has expired.
const MAX_LOAD_PEERS: usize = 90;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A message from one instance to another that may be lost.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The load that the sender puts on the upstreams.
    Loads(LoadReport),
    /// The tokens that ended requests have spent, and those that they have left.
    #[serde(rename = "Settled")]
    Settlements(Vec<Settlement>),
    /// The heartbeat of a reader: how far it has read the store for its zone.
    #[serde(rename = "Head")]
    Heartbeat(Heartbeat),
    /// Records of requests that were running on upstreams when these crashed.
    Suspects(Vec<suspect::SuspectRecord>),
    /// Records of the streams that the sender has begun.
    Origins(Vec<OriginRecord>),
    /// Small and urgent changes.
    Notices {
        /// The version of the configuration in force at the sender.
        version: u64,
        /// The notices; those of kinds that only later versions know are skipped.
        #[serde(deserialize_with = "notice::deserialize_known")]
        batch: Vec<Notice>,
    },
    /// A question about an engine to an owner of its account.
    Ask(Ask),
    /// The answer to a question about an engine.
    Known(Known),
    /// An attempt for an engine's account.
    #[serde(rename = "Enter")]
    Entered(Entered),
    /// A prefix that is read at another engine than its first-ranked one, for the latter's account.
    Copied(Copied),
    /// First tokens and ends of attempts, for engines' accounts.
    Progress(Progress),
}

impl Datagram {
    /// Returns the purpose under which the traffic report counts it.
    fn purpose(&self) -> &'static str {
        match self {
            Datagram::Loads(_) => "loads",
            Datagram::Settlements(_) => "settled",
            Datagram::Heartbeat(_) => "head",
            Datagram::Suspects(_) => "suspects",
            Datagram::Origins(_) => "origins",
            Datagram::Notices { .. } => "notices",
            Datagram::Ask(_) => "engine_ask",
            Datagram::Known(_) => "engine_known",
            Datagram::Entered(_) => "engine_enter",
            Datagram::Copied(_) => "engine_copied",
            Datagram::Progress(_) => "engine_progress",
        }
    }
}

/// Sends datagrams to other instances.
#[derive(Clone)]
pub(crate) struct Sender {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) fleet: Fleet,
    pub(crate) traffic: Traffic,
}

impl Sender {
    /// Sends a datagram to some instances.
    pub(crate) fn send(&self, datagram: &Datagram, to: impl IntoIterator<Item = SocketAddr>) {
        let bytes = serde_json::to_vec(datagram).expect("a datagram can be serialized");
        let roster = self.fleet.roster();
        for addr in to {
            let same_zone = roster.is_same_zone(addr);
            self.traffic
                .record(datagram.purpose(), same_zone, bytes.len());
            // A datagram that can't be sent is treated as lost.
            let _ = self.socket.try_send_to(&bytes, addr);
        }
    }
}

/// The load that one instance puts on the upstreams.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Identifies the sender by a random number.
    #[serde(rename = "from")]
    sender: u64,
    /// Per upstream, the hash of its incarnation, the processing time of pending prompts in
    /// milliseconds, and the number of requests in flight.
    #[serde(rename = "held")]
    loads: Vec<(u64, u32, u32)>,
    /// How many more requests of other instances the sender would forward; `None` if it forwards
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    forwards: Option<usize>,
    /// How many new connections of callers the sender gets per second, and whether it is overloaded;
    /// `None` if it does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    accepts: Option<(u32, bool)>,
    /// Hashes of the services whose upstreams the sender does not reach.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    lost: Vec<u64>,
}

/// Binds the socket for datagrams.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(addr).await
}

/// Starts the tasks that send datagrams to the other instances and receive theirs.
pub(crate) fn spawn(network: &PeerNetwork, router: Arc<Router>, service: PeerService) {
    let sender = &network.sender;
    let receiver = Receiver {
        router: Arc::clone(&router),
        service: service.clone(),
        sender: sender.clone(),
    };
    tokio::spawn(receiver.listen());
    tokio::spawn(broadcast_heartbeats(
        sender.clone(),
        service.notice_handler.relay,
    ));
    tokio::spawn(broadcast_loads(sender.clone(), router));
}

/// Sends heartbeats to the instances of the same zone while this one reads the store for them.
async fn broadcast_heartbeats(sender: Sender, relay: Relay) {
    loop {
        let Some(heartbeat) = relay.next_heartbeat().await else {
            continue;
        };
        let roster = sender.fleet.roster();
        let to = roster.zone_peers().iter().map(|m| m.addr);
        sender.send(&Datagram::Heartbeat(heartbeat), to);
    }
}

/// Sends the load that this instance puts on the upstreams to other instances.
async fn broadcast_loads(sender: Sender, router: Arc<Router>) {
    let sender_id = rand::random();
    let mut reported_idle = None;
    loop {
        let mut load_peers = sender.fleet.peers();
        load_peers.truncate(MAX_LOAD_PEERS);
        let rounds = (load_peers.len() / SMALL_FLEET + 1) as u32;
        sleep(ROUND_INTERVAL * rounds).await;
        let loads = router
            .pool
            .lock()
            .expect("lock not poisoned")
            .own_loads(router.clock.now());
        let transit = router.transit.report(!router.is_stopping());
        let accepts = router.with_intake(|i, now| (i.per_sec(now), i.is_late(now)));
        // An instance without load reports that only once.
        let idle = (loads.is_empty() && accepts.0 == 0).then_some(&transit);
        if idle.is_some() && reported_idle.as_ref() == idle {
            continue;
        }
        reported_idle = idle.cloned();
        let to_tuple =
            |(hash, h): (u64, InstanceLoad)| (hash, h.pending_prefill_ms as u32, h.inflight);
        let report = LoadReport {
            sender: sender_id,
            loads: loads.into_iter().map(to_tuple).collect(),
            forwards: Some(transit.available),
            accepts: Some(accepts),
            lost: transit.lost_services.to_vec(),
        };
        let to = load_peers.into_iter().map(|m| m.addr);
        sender.send(&Datagram::Loads(report), to);
    }
}

/// Receives datagrams of other instances and applies them.
struct Receiver {
    router: Arc<Router>,
    service: PeerService,
    sender: Sender,
}

impl Receiver {
    async fn listen(self) {
        let Sender { socket, fleet, .. } = &self.sender;
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here refers to a datagram that was sent before: the port of its receiver is
            // closed.
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                sleep(ROUND_INTERVAL).await;
                continue;
            };
            // An instance of another fleet may send to the previous owner of this address.
            if !fleet.is_peer(from) {
                continue;
            }
            match serde_json::from_slice(&buf[..n]) {
                Ok(Datagram::Loads(report)) => {
                    let same_zone = fleet.roster().is_same_zone(from);
                    receive_loads(&self.router, from, same_zone, report);
                }
                Ok(Datagram::Settlements(settlements)) => {
                    self.service.budgets.receive_settlements(&settlements)
                }
                Ok(Datagram::Heartbeat(heartbeat)) => self
                    .service
                    .notice_handler
                    .relay
                    .receive_heartbeat(from, heartbeat),
                Ok(Datagram::Suspects(records)) => {
                    let missing = self.service.suspects.merge(fleet, &records);
                    if !missing.is_empty() {
                        self.sender.send(&Datagram::Suspects(missing), [from]);
                    }
                }
                Ok(Datagram::Origins(records)) => self.service.origins.receive(&records),
                Ok(Datagram::Notices { version, batch }) => {
                    let same_zone = fleet.roster().is_same_zone(from);
                    let missing = self
                        .service
                        .notice_handler
                        .receive_batch(from, same_zone, version, batch);
                    if !missing.is_empty() {
                        let version = self.service.notice_handler.config.version();
                        send_batch(&self.sender, version, missing, &[from]);
                    }
                }
                Ok(Datagram::Ask(ask)) => accounts::receive_question(&self.router, from, &ask),
                Ok(Datagram::Known(known)) => accounts::receive_answer(&self.router, from, known),
                Ok(Datagram::Entered(entered)) => {
                    accounts::receive_entry(&self.router, from, &entered);
                }
                Ok(Datagram::Copied(copied)) => accounts::receive_copy(&self.router, &copied),
                Ok(Datagram::Progress(progress)) => {
                    accounts::receive_progress(&self.router, from, &progress);
                }
                // The datagram comes from another program or from an incompatible version.
                Err(_) => {}
            }
        }
    }
}

/// Sets the load that another instance puts on the upstreams, and what it would forward.
fn receive_loads(router: &Router, from: SocketAddr, same_zone: bool, report: LoadReport) {
    if let Some((per_sec, is_late)) = report.accepts.filter(|_| same_zone) {
        router.with_intake(|i, now| i.record_report(now, report.sender, per_sec, is_late));
    }
    if let Some(available) = report.forwards {
        let report = Report {
            available,
            lost_services: report.lost.as_slice().into(),
        };
        router.transit.record_report(from, report);
    }
    let to_load = |(hash, prefill_ms, inflight): &(u64, u32, u32)| {
        let load = InstanceLoad {
            pending_prefill_ms: f64::from(*prefill_ms),
            inflight: *inflight,
        };
        (*hash, load)
    };
    let loads: HashMap<u64, InstanceLoad> = report.loads.iter().map(to_load).collect();
    let now = router.clock.now();
    let mut pool = router.pool.lock().expect("lock not poisoned");
    pool.set_peer_loads(now, report.sender, &loads);
}
