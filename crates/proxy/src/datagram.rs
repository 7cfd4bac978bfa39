//! Datagrams between instances: what each has at the upstreams, and what requests have spent.
//!
//! An upstream's own report is late, and each instance sees a part of its requests only: without the former
//! several instances send long prompts to one engine at the same time. A lost datagram costs one
//! round; nothing depends on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::Clock;
use notice::Notice;
use place::{InstanceLoad, Pool};
use relay::Heartbeat;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::budgets::Settlement;
use crate::fleet::Fleet;
use crate::peers::PeerService;
use crate::relay::Relay;
use crate::suspect_gossip::PeerNetwork;
use crate::traffic::Traffic;

/// Pause between two rounds of a small fleet: a long prompt is read in some hundred milliseconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(80);
/// A fleet of more instances than this has longer rounds, so that each sends as many datagrams a
/// second.
const SMALL_FLEET: usize = 9;
/// Instances that get load reports: each of so many gets the next one before the one before has expired.
const MAX_LOAD_PEERS: usize = 90;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// What one instance sends to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// What it has at the upstreams.
    Loads(LoadReport),
    /// What requests have spent and left of budgets.
    Settled(Vec<Settlement>),
    /// How far it has read the store for its zone.
    Head(Heartbeat),
    /// Requests under which upstreams have ended.
    Suspects(Vec<suspect::SuspectRecord>),
    /// Small and urgent news.
    Notices {
        /// The version of the configuration that is in force at the sender.
        version: u64,
        batch: Vec<Notice>,
    },
}

impl Datagram {
    /// Returns what it is for, as reports name it.
    fn purpose(&self) -> &'static str {
        match self {
            Datagram::Loads(_) => "loads",
            Datagram::Settled(_) => "settled",
            Datagram::Head(_) => "head",
            Datagram::Suspects(_) => "suspects",
            Datagram::Notices { .. } => "notices",
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
        let bytes = serde_json::to_vec(datagram).expect("numbers and texts that JSON can hold");
        let roster = self.fleet.roster();
        for addr in to {
            let near = roster.is_same_zone(addr);
            self.traffic.record(datagram.purpose(), near, bytes.len());
            // One that can't be sent is as good as a lost one.
            let _ = self.socket.try_send_to(&bytes, addr);
        }
    }
}

/// What one instance has at the upstreams.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    #[serde(rename = "from")]
    sender: u64,
    /// Upstreams by the hash of their names, with milliseconds of reading and requests there.
    #[serde(rename = "held")]
    loads: Vec<(u64, u32, u32)>,
}

/// Binds the socket.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(addr).await
}

/// Tells the others, and listens to them.
pub(crate) fn spawn(others: &PeerNetwork, pool: Arc<Mutex<Pool>>, desk: PeerService, clock: Clock) {
    let sender = &others.sender;
    let receiver = Receiver {
        pool: Arc::clone(&pool),
        service: desk.clone(),
        sender: sender.clone(),
        clock,
    };
    tokio::spawn(receiver.listen());
    tokio::spawn(broadcast_heads(sender.clone(), desk.notice_handler.relay));
    tokio::spawn(broadcast_loads(sender.clone(), pool, clock));
}

/// Tells the instances of the own zone how far this one has read the store, while it reads for them.
async fn broadcast_heads(sender: Sender, relay: Relay) {
    loop {
        let Some(head) = relay.next_head().await else {
            continue;
        };
        let roster = sender.fleet.roster();
        let to = roster.zone_peers().iter().map(|m| m.addr);
        sender.send(&Datagram::Head(head), to);
    }
}

async fn broadcast_loads(sender: Sender, pool: Arc<Mutex<Pool>>, clock: Clock) {
    let from = rand::random();
    let mut silent = false;
    loop {
        let mut load_peers = sender.fleet.peers();
        load_peers.truncate(MAX_LOAD_PEERS);
        let rounds = (load_peers.len() / SMALL_FLEET + 1) as u32;
        sleep(ROUND_INTERVAL * rounds).await;
        let held = pool.lock().expect("no panic inside").own_loads(clock.now());
        // An instance that has nothing says so once.
        if held.is_empty() && silent {
            continue;
        }
        silent = held.is_empty();
        let row = |(hash, h): (u64, InstanceLoad)| (hash, h.pending_prefill_ms as u32, h.inflight);
        let report = LoadReport {
            sender: from,
            loads: held.into_iter().map(row).collect(),
        };
        let to = load_peers.into_iter().map(|m| m.addr);
        sender.send(&Datagram::Loads(report), to);
    }
}

/// Receives datagrams of other instances, and passes them on to what they are for.
struct Receiver {
    pool: Arc<Mutex<Pool>>,
    service: PeerService,
    sender: Sender,
    clock: Clock,
}

impl Receiver {
    async fn listen(self) {
        let Sender { socket, fleet, .. } = &self.sender;
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here is another instance's closed port, told by its host.
            let Ok((n, from)) = socket.recv_from(&mut buf).await else {
                sleep(ROUND_INTERVAL).await;
                continue;
            };
            match serde_json::from_slice(&buf[..n]) {
                Ok(Datagram::Loads(report)) => {
                    receive_loads(&self.pool, &report, self.clock.now());
                }
                Ok(Datagram::Settled(told)) => self.service.bank.receive_settlements(&told),
                Ok(Datagram::Head(head)) => {
                    self.service.notice_handler.relay.receive_head(from, head)
                }
                Ok(Datagram::Suspects(words)) => {
                    let lacks = self.service.suspects.merge(fleet, &words);
                    if !lacks.is_empty() {
                        self.sender.send(&Datagram::Suspects(lacks), [from]);
                    }
                }
                Ok(Datagram::Notices { version, batch }) => {
                    let near = fleet.roster().is_same_zone(from);
                    let lacks = self
                        .service
                        .notice_handler
                        .receive_batch(from, near, version, batch);
                    if !lacks.is_empty() {
                        let version = self.service.notice_handler.config.version();
                        let batch = lacks;
                        self.sender
                            .send(&Datagram::Notices { version, batch }, [from]);
                    }
                }
                // Not one of ours, or of another version.
                Err(_) => {}
            }
        }
    }
}

fn receive_loads(pool: &Mutex<Pool>, report: &LoadReport, now: u64) {
    let row = |(hash, reading, inflight): &(u64, u32, u32)| {
        let held = InstanceLoad {
            pending_prefill_ms: f64::from(*reading),
            inflight: *inflight,
        };
        (*hash, held)
    };
    let held: HashMap<u64, InstanceLoad> = report.loads.iter().map(row).collect();
    let mut pool = pool.lock().expect("no panic inside");
    pool.set_peer_loads(now, report.sender, &held);
}
