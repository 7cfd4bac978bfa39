//! Requests under which upstreams end: the other instances are told, and asked.

use std::net::SocketAddr;
use std::time::Duration;

use suspect::SuspectRecord;
use tokio::time::{sleep, Instant};

use crate::datagram::{Datagram, Sender};
use crate::fleet::Fleet;
use crate::peers::Peers;
use crate::suspects::Suspects;

/// Pause between two times that a word is told: what is learnt meanwhile goes with it.
const UPDATE_INTERVAL: Duration = Duration::from_millis(150);
/// How often one other instance in turn is told what all should know: one that was cut off or frozen knows it again
/// within the time after which it counts as being in touch.
const PAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Words in a datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 12;
/// Words that one instance in turn is told: this goes on as long as there are any, and must cost next to nothing.
const PAGE_SIZE: usize = 4;
/// Instances that one asks when it starts: one of them may have started a moment ago too.
const REQUIRED_ANSWERS: usize = 2;
/// Pause before they are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// An instance that finds no other one for so long is alone.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Whom the others are found by, and told with.
#[derive(Clone)]
pub(crate) struct PeerNetwork {
    pub(crate) fleet: Fleet,
    pub(crate) peers: Peers,
    pub(crate) sender: Sender,
}

impl Suspects {
    /// Tells the others, and asks them.
    pub(crate) fn spawn_gossip(&self, others: &PeerNetwork) {
        tokio::spawn(self.clone().send_updates(others.clone()));
        tokio::spawn(self.clone().send_pages(others.clone()));
        tokio::spawn(self.clone().query_startup_peers(others.clone()));
    }

    /// Tells what is new.
    async fn send_updates(self, others: PeerNetwork) {
        loop {
            self.wait_for_updates().await;
            loop {
                let due = self.updates_to_send();
                if due.is_empty() {
                    break;
                }
                let (to_all, to_keepers): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.1);
                let to_all: Vec<SuspectRecord> = to_all.into_iter().map(|d| d.0).collect();
                let all = others.fleet.peers().into_iter().map(|m| m.addr);
                send(&others.sender, &to_all, &all.collect::<Vec<_>>());
                for (word, _) in to_keepers {
                    let keepers = others.fleet.roster().owners(word.digest.placement_key());
                    let keepers = keepers
                        .iter()
                        .filter(|m| m.id != others.fleet.incarnation());
                    let keepers: Vec<SocketAddr> = keepers.map(|m| m.addr).collect();
                    send(&others.sender, &[word], &keepers);
                }
                sleep(UPDATE_INTERVAL).await;
            }
        }
    }

    /// Tells one other instance after the other what all should know.
    async fn send_pages(self, others: PeerNetwork) {
        let mut turn: usize = rand::random::<u32>() as usize;
        loop {
            sleep(PAGE_INTERVAL).await;
            let page = self.next_page(PAGE_SIZE);
            let listed = others.fleet.peers();
            if page.is_empty() || listed.is_empty() {
                continue;
            }
            turn = turn.wrapping_add(1);
            send(&others.sender, &page, &[listed[turn % listed.len()].addr]);
        }
    }

    /// Asks others what all should know: this instance has started a moment ago.
    async fn query_startup_peers(self, others: PeerNetwork) {
        let mut startup_peers = StartupPeers::new();
        while let Some(addr) = startup_peers.next(&others.fleet).await {
            if let Ok(words) = others.peers.fetch_suspects(addr).await {
                startup_peers.record_answer();
                if !words.is_empty() {
                    self.log_received(addr, words.len());
                }
                self.merge(&others.fleet, &words);
            }
        }
    }
}

/// The peers that an instance queries when it starts, one after another, until enough of them have answered.
pub(crate) struct StartupPeers {
    deadline: Instant,
    queried: Vec<SocketAddr>,
    answers: usize,
}

impl StartupPeers {
    pub(crate) fn new() -> StartupPeers {
        StartupPeers {
            deadline: Instant::now() + QUERY_TIMEOUT,
            queried: Vec::new(),
            answers: 0,
        }
    }

    /// Counts an answer. A peer that does not answer is not counted, so another one is asked.
    pub(crate) fn record_answer(&mut self) {
        self.answers += 1;
    }

    /// Returns the next peer to query; none after enough answers or the timeout.
    pub(crate) async fn next(&mut self, fleet: &Fleet) -> Option<SocketAddr> {
        while self.answers < REQUIRED_ANSWERS && Instant::now() < self.deadline {
            let listed = fleet.peers();
            let next = listed.iter().find(|m| !self.queried.contains(&m.addr));
            if let Some(next) = next {
                self.queried.push(next.addr);
                return Some(next.addr);
            }
            sleep(RETRY_DELAY).await;
        }
        None
    }
}

fn send(sender: &Sender, words: &[SuspectRecord], to: &[SocketAddr]) {
    for words in words.chunks(MAX_RECORDS_PER_DATAGRAM) {
        sender.send(&Datagram::Suspects(words.to_vec()), to.iter().copied());
    }
}
