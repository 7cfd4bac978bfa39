//! Exchanges the records of requests that crash upstreams with the other instances.

use std::net::SocketAddr;
use std::time::Duration;

use suspect::SuspectRecord;
use tokio::time::{sleep, Instant};

use crate::datagram::{Datagram, Sender};
use crate::fleet::Fleet;
use crate::peers::PeerClients;
use crate::suspects::Suspects;

/// Delay between two rounds in which updates are sent: what is learned in between is sent together.
const UPDATE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which one peer in turn is sent what all instances should know: one that was cut off
/// or suspended is up to date again within the time after which it counts as reachable.
const PAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records in a datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 6;
/// Number of records that are sent to one peer in turn. This continues for as long as there are any
/// records, so it must cost next to nothing.
const PAGE_SIZE: usize = 4;
/// Number of peers from which an instance needs a response when it starts: one of them may have
/// just started, too.
const REQUIRED_RESPONSES: usize = 2;
/// Delay before the list of instances is checked again for peers that were not queried yet, and after a peer that
/// did not answer or knows nothing itself.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which an instance stops looking for peers to query: if it has found none, it is
/// alone.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// The list of instances, and the clients and the sender for calls and datagrams to them.
#[derive(Clone)]
pub(crate) struct PeerNetwork {
    pub(crate) fleet: Fleet,
    pub(crate) peer_clients: PeerClients,
    pub(crate) sender: Sender,
}

impl Suspects {
    /// Starts the tasks that exchange records with the other instances.
    pub(crate) fn spawn_gossip(&self, network: &PeerNetwork) {
        tokio::spawn(self.clone().send_updates(network.clone()));
        tokio::spawn(self.clone().send_pages(network.clone()));
        tokio::spawn(self.clone().query_startup_peers(network.clone()));
    }

    /// Sends changed records to all instances or to their owners.
    async fn send_updates(self, network: PeerNetwork) {
        loop {
            self.wait_for_updates().await;
            loop {
                let due = self.updates_to_send();
                if due.is_empty() {
                    break;
                }
                let (to_all, to_owners): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.1);
                let to_all: Vec<SuspectRecord> = to_all.into_iter().map(|d| d.0).collect();
                let all = network.fleet.peers().into_iter().map(|m| m.addr);
                send(&network.sender, &to_all, &all.collect::<Vec<_>>());
                for (record, _) in to_owners {
                    self.send_to_owners(&network, record);
                }
                sleep(UPDATE_INTERVAL).await;
            }
        }
    }

    /// Sends a record to its owners, of which this instance may be one.
    fn send_to_owners(&self, network: &PeerNetwork, record: SuspectRecord) {
        let owners = network
            .fleet
            .roster()
            .owners(record.subject.placement_key());
        let own = network.fleet.incarnation();
        if owners.is_empty() || owners.iter().any(|m| m.id == own) {
            self.merge(&network.fleet, std::slice::from_ref(&record));
        }
        let others = owners.iter().filter(|m| m.id != own);
        let others: Vec<SocketAddr> = others.map(|m| m.addr).collect();
        send(&network.sender, &[record], &others);
    }

    /// Sends the records that all instances should have to one peer after another.
    async fn send_pages(self, network: PeerNetwork) {
        let mut turn: usize = rand::random::<u32>() as usize;
        loop {
            sleep(PAGE_INTERVAL).await;
            let page = self.next_page(PAGE_SIZE);
            let peers = network.fleet.peers();
            if page.is_empty() || peers.is_empty() {
                continue;
            }
            turn = turn.wrapping_add(1);
            send(&network.sender, &page, &[peers[turn % peers.len()].addr]);
        }
    }

    /// Queries peers for the records that all instances should have, since this one has just
    /// started.
    async fn query_startup_peers(self, network: PeerNetwork) {
        let mut startup_peers = StartupPeers::new();
        while let Some(addr) = startup_peers.next(&network.fleet).await {
            let Ok(records) = network.peer_clients.fetch_suspects(addr).await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            startup_peers.record_response();
            if !records.is_empty() {
                self.log_received(addr, records.len());
            }
            self.merge(&network.fleet, &records);
            self.set_known(addr);
        }
    }
}

/// The peers that an instance queries when it starts, one after another, until enough of them have
/// responded.
pub(crate) struct StartupPeers {
    deadline: Instant,
    queried: Vec<SocketAddr>,
    responses: usize,
}

impl StartupPeers {
    pub(crate) fn new() -> StartupPeers {
        StartupPeers {
            deadline: Instant::now() + QUERY_TIMEOUT,
            queried: Vec::new(),
            responses: 0,
        }
    }

    /// Counts a response. For a peer that does not respond, another one is queried.
    pub(crate) fn record_response(&mut self) {
        self.responses += 1;
    }

    /// Returns the next peer to query; `None` after enough responses or the timeout.
    pub(crate) async fn next(&mut self, fleet: &Fleet) -> Option<SocketAddr> {
        while self.responses < REQUIRED_RESPONSES && Instant::now() < self.deadline {
            let peers = fleet.peers();
            let next = peers.iter().find(|m| !self.queried.contains(&m.addr));
            if let Some(next) = next {
                self.queried.push(next.addr);
                return Some(next.addr);
            }
            sleep(RETRY_DELAY).await;
        }
        None
    }
}

/// Sends records to some instances, in as many datagrams as needed.
fn send(sender: &Sender, records: &[SuspectRecord], to: &[SocketAddr]) {
    for records in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
        sender.send(&Datagram::Suspects(records.to_vec()), to.iter().copied());
    }
}
