//! The notices that an instance knows, and which of them it sends next.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::notice::{Notice, Subject};

/// Peers that are sent what is new, in each round.
pub const FANOUT: usize = 4;
/// So many of them are in the own availability zone, where there are as many: each zone learns most by itself, and bytes between
/// zones are dear.
pub const SAME_ZONE_FANOUT: usize = 3;
/// Rounds in which it is sent: datagrams are lost, and of twelve in all one arrives even where a link drops half of them.
pub const ROUNDS: u8 = 3;
/// Notices that pass with time are kept for as many upstreams as are listed, but at least so many; those that were learnt first go.
const PASSING_LEAST: usize = 256;
/// Notices in a datagram: it fits one packet.
const BATCH_MOST: usize = 16;
/// Datagrams of news to a peer in each round, bounding the bytes sent: half of what the narrowest link carries.
const BATCHES_MOST: usize = 8;

#[derive(Clone, Debug)]
struct Known {
    notice: Notice,
    rounds_left: u8,
    learnt: u64,
}

/// What a batch of notices from a peer brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Those that were new here.
    pub accepted: Vec<Notice>,
    /// The newer notices in place of those that are outdated: the peer has not received them.
    pub sender_lacks: Vec<Notice>,
}

/// The notices that one instance knows.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    known: BTreeMap<Subject, Known>,
    /// Those that pass with time, in the order in which they were learnt.
    passing: BTreeMap<u64, Subject>,
    /// Upstreams that are listed.
    upstreams: usize,
    /// Notices learnt so far.
    count: u64,
    /// The subject that was sent last in turn.
    turn: Option<Subject>,
}

impl Gossip {
    /// Sets how many upstreams are listed: all of them may leave within seconds.
    pub fn set_upstream_count(&mut self, count: usize) {
        self.upstreams = count;
    }

    /// Takes a notice of this instance's own, or of a peer; returns whether it is new.
    pub fn insert(&mut self, notice: Notice) -> bool {
        let subject = notice.subject();
        let known = self.known.get(&subject);
        if known.is_some_and(|k| k.notice.precedence() >= notice.precedence()) {
            return false;
        }
        self.count += 1;
        let passes = !notice.is_persistent();
        let known = Known {
            notice,
            rounds_left: ROUNDS,
            learnt: self.count,
        };
        if let Some(old) = self.known.insert(subject.clone(), known) {
            self.passing.remove(&old.learnt);
        }
        if passes {
            self.passing.insert(self.count, subject);
            self.forget_first();
        }
        true
    }

    /// Takes a batch from a peer.
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

    /// Returns the datagrams that are sent to some peers now; none when there is nothing new. Those that were sent least often come
    /// first, so that none waits for all the others' rounds.
    pub fn next_round(&mut self) -> Vec<Vec<Notice>> {
        let mut due: Vec<&mut Known> = self.known.values_mut().collect();
        due.retain(|k| k.rounds_left > 0);
        due.sort_by_key(|k| (Reverse(k.rounds_left), k.learnt));
        due.truncate(BATCH_MOST * BATCHES_MOST);
        let notices = due.into_iter().map(|k| {
            k.rounds_left -= 1;
            k.notice.clone()
        });
        let notices: Vec<Notice> = notices.collect();
        notices.chunks(BATCH_MOST).map(<[_]>::to_vec).collect()
    }

    /// Returns what is sent to one peer in turn: what holds until it is replaced, and some of the rest.
    pub fn anti_entropy_batch(&mut self) -> Vec<Notice> {
        let lasting = self.known.values().map(|k| &k.notice);
        let mut page: Vec<Notice> = lasting.filter(|n| n.is_persistent()).cloned().collect();
        page.truncate(BATCH_MOST);
        let mut passing: Vec<&Subject> = self.passing.values().collect();
        passing.sort_unstable();
        let after = passing.partition_point(|s| self.turn.as_ref().is_some_and(|t| *s <= t));
        let rotated = passing[after..].iter().chain(&passing[..after]);
        let chosen: Vec<Subject> = rotated
            .take(BATCH_MOST - page.len())
            .map(|s| (*s).clone())
            .collect();
        page.extend(chosen.iter().map(|s| self.known[s].notice.clone()));
        self.turn = chosen.last().cloned().or(self.turn.take());
        page
    }

    /// Returns the revision at which an upstream's entry was removed; none where nothing says so.
    pub fn removed_at(&self, upstream: &str) -> Option<i64> {
        let known = self.known.get(&Subject::Entry(upstream.to_string()))?;
        match &known.notice {
            Notice::Gone { revision, .. } => Some(*revision),
            _ => None,
        }
    }

    /// Returns all that is known.
    pub fn all(&self) -> Vec<Notice> {
        self.known.values().map(|k| k.notice.clone()).collect()
    }

    fn forget_first(&mut self) {
        while self.passing.len() > self.upstreams.max(PASSING_LEAST) {
            let (_, subject) = self.passing.pop_first().expect("more than it keeps");
            self.known.remove(&subject);
        }
    }
}
