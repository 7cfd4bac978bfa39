//! Which software version began a stream: sends the records of this instance's streams to their holders,
//! and asks the holders when a caller continues a stream that another instance began.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use clock::Clock;
use futures_util::stream::{FuturesUnordered, StreamExt};
use origin::{Lookup, Origin, OriginRecord, OriginTable, StreamKey, CANDIDATES, HOLDERS};
use smallvec::SmallVec;
use tokio::time::sleep;

use crate::datagram::Datagram;
use crate::fleet::Member;
use crate::roster::Roster;
use crate::suspect_gossip::PeerNetwork;

/// Delay after a change of the list of instances before records are sent to new holders: instances
/// come and go together.
const REFRESH_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of records in a datagram.
const MAX_RECORDS_PER_DATAGRAM: usize = 12;

/// Handle to the origins of streams that this instance knows; clones share them.
#[derive(Clone)]
pub(crate) struct Origins(Arc<Inner>);

struct Inner {
    clock: Clock,
    table: Mutex<OriginTable>,
}

/// The origin of a stream that a caller continues, as far as it could be found out.
#[derive(Clone, Debug)]
pub(crate) enum Found {
    /// The stream began there, according to `source`.
    Known { origin: Arc<Origin>, source: String },
    /// No record was found; `unanswered` instances that may hold one did not answer.
    Unknown { asked: usize, unanswered: usize },
    /// Records of the stream differ.
    Conflicting,
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Found::Known { origin, source } => {
                write!(
                    f,
                    "service={} version={} source={source}",
                    origin.service, origin.version
                )
            }
            Found::Unknown { asked, unanswered } => {
                write!(f, "no record, asked={asked} unanswered={unanswered}")
            }
            Found::Conflicting => write!(f, "records differ"),
        }
    }
}

impl Origins {
    pub(crate) fn new(clock: Clock) -> Origins {
        Origins(Arc::new(Inner {
            clock,
            table: Mutex::default(),
        }))
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.0.table.lock().expect("lock not poisoned")
    }

    /// Records the origin of a stream that this instance begins or takes up, and sends it to the holders.
    /// They are sent nothing later, so this has to be done before the caller gets an event.
    pub(crate) fn publish(&self, network: &PeerNetwork, record: OriginRecord) {
        self.table().insert_own(self.0.clock.now(), &record);
        let candidates = candidates(&network.fleet.roster(), &record.request);
        let own = network.fleet.incarnation();
        let holders = holders(&candidates, own).map(|m| m.addr);
        let holders: SmallVec<[SocketAddr; HOLDERS]> = holders.collect();
        let records = vec![record];
        network.sender.send(&Datagram::Origins(records), holders);
    }

    /// Records that a stream of this instance was received to its end.
    pub(crate) fn complete(&self, request: &str) {
        self.table().remove_own(request);
    }

    /// Adds the records of other instances' streams.
    pub(crate) fn receive(&self, records: &[OriginRecord]) {
        let now = self.0.clock.now();
        let mut table = self.table();
        records.iter().for_each(|record| table.insert(now, record));
    }

    /// Returns the record of the stream that a request began, for another instance.
    pub(crate) fn record(&self, request: &str) -> Option<OriginRecord> {
        self.table().record(self.0.clock.now(), request)
    }

    /// Returns the number of known records.
    pub(crate) fn len(&self) -> usize {
        self.table().len()
    }

    /// Finds out where the stream that a request began has its origin: here, from the instances that
    /// should hold its record, or else from those that may.
    pub(crate) async fn find(&self, network: &PeerNetwork, request: &str) -> Found {
        let local = self.table().lookup(self.0.clock.now(), request);
        match local {
            Lookup::Known(origin) => {
                let source = "own".to_string();
                return Found::Known { origin, source };
            }
            Lookup::Conflicting => return Found::Conflicting,
            Lookup::Unknown => {}
        }
        let candidates = candidates(&network.fleet.roster(), request);
        let own = network.fleet.incarnation();
        let others = candidates.iter().filter(|m| m.id != own);
        let others: SmallVec<[&Arc<Member>; CANDIDATES]> = others.collect();
        // The instance that began the stream may have been a holder itself: the next one is then one too.
        let (first, rest) = others.split_at(others.len().min(HOLDERS + 1));
        let mut unanswered = 0;
        for group in [first, rest] {
            let mut calls: FuturesUnordered<_> = group
                .iter()
                .map(|holder| ask(network, holder, request))
                .collect();
            while let Some((holder, response)) = calls.next().await {
                match response {
                    Ok(Some(record)) => {
                        self.receive(std::slice::from_ref(&record));
                        return Found::Known {
                            origin: Arc::new(record.origin),
                            source: holder.id.clone(),
                        };
                    }
                    Ok(None) => {}
                    Err(_) => unanswered += 1,
                }
            }
        }
        Found::Unknown {
            asked: others.len(),
            unanswered,
        }
    }

    /// Starts the task that sends the records of this instance's streams to instances that have become
    /// their holders.
    pub(crate) fn spawn_refresh(&self, network: &PeerNetwork) {
        let (origins, network) = (self.clone(), network.clone());
        tokio::spawn(async move {
            let mut changes = network.fleet.roster_changes();
            let mut previous = network.fleet.roster();
            while changes.changed().await.is_ok() {
                sleep(REFRESH_DELAY).await;
                changes.mark_unchanged();
                let roster = network.fleet.roster();
                origins.send_to_new_holders(&network, &previous, &roster);
                previous = roster;
            }
        });
    }

    fn send_to_new_holders(&self, network: &PeerNetwork, previous: &Roster, roster: &Roster) {
        let records = self.table().own_records(self.0.clock.now());
        let own = network.fleet.incarnation();
        let mut by_holder: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::new();
        for record in records {
            let before = candidates(previous, &record.request);
            let now = candidates(roster, &record.request);
            let had = |m: &Arc<Member>| holders(&before, own).any(|b| b.id == m.id);
            for holder in holders(&now, own).filter(|m| !had(m)) {
                let records = by_holder.entry(holder.addr).or_default();
                records.push(record.clone());
            }
        }
        for (holder, records) in by_holder {
            for records in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
                let datagram = Datagram::Origins(records.to_vec());
                network.sender.send(&datagram, [holder]);
            }
        }
    }
}

/// Returns the instances that may hold the record of the stream that a request began; the first ones
/// should.
fn candidates(roster: &Roster, request: &str) -> SmallVec<[Arc<Member>; CANDIDATES]> {
    let key = StreamKey::of(request).placement_key();
    roster.origin_candidates(key)
}

/// Returns the holders among the candidates, as seen by the instance `own`, which is none itself.
fn holders<'a>(
    candidates: &'a [Arc<Member>],
    own: &'a str,
) -> impl Iterator<Item = &'a Arc<Member>> {
    let others = candidates.iter().filter(move |m| m.id != own);
    others.take(HOLDERS)
}

async fn ask<'a>(
    network: &PeerNetwork,
    holder: &'a Member,
    request: &str,
) -> (&'a Member, Result<Option<OriginRecord>, String>) {
    let response = network.peer_clients.fetch_origin(holder.addr, request);
    (holder, response.await)
}
