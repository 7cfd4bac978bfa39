//! The notices that an instance knows, and which of them it sends next.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::notice::{Notice, Subject};

/// Number of peers that receive new notices in each round.
pub const FANOUT: usize = 4;
/// How many of these peers are in the sender's own availability zone, if it has as many: each zone spreads most notices by
/// itself, since traffic between zones is expensive.
pub const SAME_ZONE_FANOUT: usize = 3;
/// Number of rounds in which a new notice is sent. Datagrams may be lost: of the twelve that carry it at least one almost
/// always arrives, even where links drop half of them.
pub const ROUNDS: u8 = 3;
/// Transient notices are kept for as many upstreams as are listed, but at least this many; the oldest are evicted first.
const MIN_TRANSIENT: usize = 256;
/// Maximum number of notices in a datagram, which then fits into one packet.
const MAX_BATCH: usize = 16;
/// Maximum number of datagrams to a peer in each round. It limits the traffic to half of what the narrowest link carries.
const MAX_BATCHES_PER_ROUND: usize = 8;

#[derive(Clone, Debug)]
struct KnownNotice {
    notice: Notice,
    rounds_left: u8,
    /// The value of [`Gossip::last_seq`] when the notice was inserted.
    seq: u64,
}

/// The result of receiving a batch of notices from a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The notices that were new to this instance.
    pub accepted: Vec<Notice>,
    /// The newer notices on the subjects of outdated ones in the batch, to be sent back to the peer.
    pub sender_lacks: Vec<Notice>,
}

/// The notices that one instance knows.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    known: BTreeMap<Subject, KnownNotice>,
    /// The subjects of transient notices, by [`KnownNotice::seq`].
    transient: BTreeMap<u64, Subject>,
    /// Number of listed upstreams.
    upstream_count: usize,
    /// The sequence number of the notice that was inserted last.
    last_seq: u64,
    /// The last transient subject in the latest anti-entropy batch.
    cursor: Option<Subject>,
}

impl Gossip {
    /// Sets the number of listed upstreams. All of them may leave within seconds, so a notice is kept for each.
    pub fn set_upstream_count(&mut self, count: usize) {
        self.upstream_count = count;
    }

    /// Inserts a notice of this instance or of a peer, unless one on the same subject with the same or a higher precedence is
    /// known. Returns whether it was inserted.
    pub fn insert(&mut self, notice: Notice) -> bool {
        let subject = notice.subject();
        let known = self.known.get(&subject);
        if known.is_some_and(|k| k.notice.precedence() >= notice.precedence()) {
            return false;
        }
        self.last_seq += 1;
        let is_transient = !notice.is_persistent();
        let known = KnownNotice {
            notice,
            rounds_left: ROUNDS,
            seq: self.last_seq,
        };
        if let Some(old) = self.known.insert(subject.clone(), known) {
            self.transient.remove(&old.seq);
        }
        if is_transient {
            self.transient.insert(self.last_seq, subject);
            self.evict_oldest();
        }
        true
    }

    /// Inserts the notices of a batch from a peer.
    pub fn receive(&mut self, batch: Vec<Notice>) -> Received {
        let mut received = Received::default();
        for notice in batch {
            let known = self.known.get(&notice.subject()).map(|k| &k.notice);
            if let Some(newer) = known.filter(|k| k.precedence() > notice.precedence()) {
                received.sender_lacks.push(newer.clone());
            } else if self.insert(notice.clone()) {
                received.accepted.push(notice);
            }
        }
        received
    }

    /// Returns the batches to send in this round, each in a datagram to [`FANOUT`] peers; none when nothing is new. Notices that
    /// were sent in fewer rounds come first, so that none waits for all the rounds of the others.
    pub fn next_round(&mut self) -> Vec<Vec<Notice>> {
        let mut due: Vec<&mut KnownNotice> = self.known.values_mut().collect();
        due.retain(|k| k.rounds_left > 0);
        due.sort_by_key(|k| (Reverse(k.rounds_left), k.seq));
        due.truncate(MAX_BATCH * MAX_BATCHES_PER_ROUND);
        let notices = due.into_iter().map(|k| {
            k.rounds_left -= 1;
            k.notice.clone()
        });
        let notices: Vec<Notice> = notices.collect();
        notices.chunks(MAX_BATCH).map(<[_]>::to_vec).collect()
    }

    /// Returns a batch to send to a single peer: the persistent notices, and as many transient ones as fit, continuing where the
    /// previous batch ended.
    pub fn anti_entropy_batch(&mut self) -> Vec<Notice> {
        let notices = self.known.values().map(|k| &k.notice);
        let mut batch: Vec<Notice> = notices.filter(|n| n.is_persistent()).cloned().collect();
        batch.truncate(MAX_BATCH);
        let mut transient: Vec<&Subject> = self.transient.values().collect();
        transient.sort_unstable();
        let after = transient.partition_point(|s| self.cursor.as_ref().is_some_and(|c| *s <= c));
        let rotated = transient[after..].iter().chain(&transient[..after]);
        let chosen: Vec<Subject> = rotated
            .take(MAX_BATCH - batch.len())
            .map(|s| (*s).clone())
            .collect();
        batch.extend(chosen.iter().map(|s| self.known[s].notice.clone()));
        self.cursor = chosen.last().cloned().or(self.cursor.take());
        batch
    }

    /// Returns the revision of the notice that an upstream's entry was removed, if there is one.
    pub fn removed_at(&self, upstream: &str) -> Option<i64> {
        let known = self.known.get(&Subject::Entry(upstream.to_string()))?;
        match &known.notice {
            Notice::Gone { revision, .. } => Some(*revision),
            _ => None,
        }
    }

    /// Returns all known notices.
    pub fn all(&self) -> Vec<Notice> {
        self.known.values().map(|k| k.notice.clone()).collect()
    }

    fn evict_oldest(&mut self) {
        while self.transient.len() > self.upstream_count.max(MIN_TRANSIENT) {
            let (_, subject) = self
                .transient
                .pop_first()
                .expect("more notices than the limit");
            self.known.remove(&subject);
        }
    }
}
