//! What a home knows of an account besides the record.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use smallvec::SmallVec;

use crate::joint_grant::{DeferredRecall, LocalJointGrant};
use crate::msg::{AttemptRef, OperatorCommand, ReserveReply, Settlement};

/// Finished requests remembered for callers that retry.
const MAX_FINISHED: usize = 1024;
/// How long a finished request is remembered, in milliseconds.
const FINISHED_TTL_MS: u64 = 600_000;
/// Requests remembered as given up before they were reserved.
const MAX_VOIDED: usize = 256;
/// The demand is averaged over about this long, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 5_000.0;

/// Tokens held back for one request.
#[derive(Clone, Debug, Serialize)]
pub struct Hold {
    /// The request's id.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// The entries that serve it.
    pub entries: SmallVec<[String; 2]>,
    /// Where it runs.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Tokens.
    pub tokens: u64,
    /// Tokens of the same run that are settled already.
    #[serde(rename = "paid")]
    pub settled: u64,
    /// Set when the bill is made and only an upstream's word on the rest is missing.
    #[serde(rename = "uncertain")]
    pub unconfirmed: bool,
    /// When to ask the upstream, once no entry is left.
    #[serde(rename = "probe_at")]
    pub cancel_at: Option<u64>,
}

/// A finished request.
#[derive(Clone, Debug, Serialize)]
pub struct FinishedRequest {
    /// The hold's number.
    pub hold: u64,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Where it ran.
    pub attempt: AttemptRef,
    /// Tokens billed.
    pub tokens: u64,
    /// When it was forgotten, in milliseconds.
    pub expires_at: u64,
}

impl FinishedRequest {
    /// Returns the answer to a retry.
    pub fn reply(&self, me: &str, body: u64) -> ReserveReply {
        if self.body_hash != body {
            return ReserveReply::IdReused;
        }
        ReserveReply::Exists {
            holder: me.to_string(),
            hold: self.hold,
            attempt: self.attempt.clone(),
            billed: Some(self.tokens),
        }
    }
}

/// What a waiting entry wants.
#[derive(Clone, Debug)]
pub enum ReservationKind {
    /// A new hold.
    NewHold {
        /// The request's id.
        request_id: String,
        /// Hash of its body.
        body_hash: u64,
        /// The entry.
        entry: String,
    },
    /// More tokens in a hold.
    ExtendHold {
        /// The hold.
        hold: u64,
    },
}

/// An entry that waits for tokens.
#[derive(Clone, Debug)]
pub struct WaitingReservation {
    /// Names the reply.
    pub reply_to: u64,
    /// What it wants.
    pub kind: ReservationKind,
    /// Where it will send the request.
    pub attempt: AttemptRef,
    /// Tokens.
    pub tokens: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
    /// When it came, in milliseconds.
    pub requested_at: u64,
    /// When it gives up, in milliseconds.
    pub deadline: u64,
    /// Whether the other holders were asked on its behalf.
    pub recall_sent: bool,
}

/// A settlement that is not in the record yet.
#[derive(Clone, Debug, Serialize)]
pub struct PendingSettlement {
    /// The settlement.
    pub settlement: Settlement,
    /// Replies that wait for it.
    pub reply_to: SmallVec<[u64; 2]>,
    /// When to ask for a copy in another zone, while replies wait.
    pub copy_at: u64,
    /// How often a copy was asked for.
    pub copy_attempts: u32,
}

/// One account at one home.
#[derive(Clone, Debug, Default)]
pub struct LocalAccount {
    /// Open holds by number.
    pub holds: BTreeMap<u64, Hold>,
    /// Open holds by request.
    pub hold_by_request: BTreeMap<String, u64>,
    /// Finished requests.
    pub finished: BTreeMap<String, FinishedRequest>,
    finished_order: VecDeque<String>,
    /// Requests that their entry gave up, as `entry/request`.
    voided: VecDeque<String>,
    /// Settlements on their way to the record.
    pub pending: Vec<PendingSettlement>,
    /// Entries that wait for tokens, first come first.
    pub waiting: VecDeque<WaitingReservation>,
    /// Tokens handed to other holders, cumulative.
    pub sent: BTreeMap<String, u64>,
    /// Tokens received from other holders, cumulative.
    pub received: BTreeMap<String, u64>,
    /// Tokens on their way back to the record: no longer spendable here.
    pub returning: u64,
    /// Operators' acts on their way to the record.
    pub commands: Vec<(u64, OperatorCommand)>,
    /// Recalls without an answer.
    pub open_recalls: u32,
    /// The joint grant that the record shows.
    pub joint: Option<LocalJointGrant>,
    /// Other holders' calls for tokens that wait for a step.
    pub deferred_recalls: Vec<DeferredRecall>,
    /// When the account was last used, in milliseconds.
    pub last_used_at: u64,
    demand_rate: f64,
    demand_at: u64,
}

impl LocalAccount {
    /// Returns tokens held back for open requests.
    pub fn reserved(&self) -> u64 {
        self.holds.values().map(|h| h.tokens).sum()
    }

    /// Returns tokens spent by this holder that the record does not show yet.
    pub fn unrecorded(&self, me: &str) -> u64 {
        let mine = self.pending.iter().filter(|p| p.settlement.holder == me);
        mine.map(|p| p.settlement.tokens).sum()
    }

    /// Remembers a finished request.
    pub fn add_finished(&mut self, now: u64, request: String, mut done: FinishedRequest) {
        done.expires_at = now + FINISHED_TTL_MS;
        if self.finished.insert(request.clone(), done).is_none() {
            self.finished_order.push_back(request);
        }
        while self.finished_order.len() > MAX_FINISHED || self.oldest_is_stale(now) {
            if let Some(old) = self.finished_order.pop_front() {
                self.finished.remove(&old);
            }
        }
    }

    fn oldest_is_stale(&self, now: u64) -> bool {
        let oldest = self
            .finished_order
            .front()
            .and_then(|r| self.finished.get(r));
        oldest.is_some_and(|d| d.expires_at <= now)
    }

    /// Remembers that an entry will not use a reservation that may still arrive.
    pub fn add_voided(&mut self, entry: &str, request: &str) {
        self.voided.push_back(format!("{entry}/{request}"));
        if self.voided.len() > MAX_VOIDED {
            self.voided.pop_front();
        }
    }

    /// Returns whether an entry gave a request up before it was reserved.
    pub fn is_voided(&self, entry: &str, request: &str) -> bool {
        let name = format!("{entry}/{request}");
        self.voided.contains(&name)
    }

    /// Counts demand.
    pub fn add_demand(&mut self, now: u64, tokens: u64) {
        let passed = now.saturating_sub(self.demand_at) as f64;
        self.demand_rate *= (-passed / DEMAND_WINDOW_MS).exp();
        self.demand_rate += tokens as f64 * 1000.0 / DEMAND_WINDOW_MS;
        self.demand_at = now;
        self.last_used_at = now;
    }

    /// Returns the demand, in tokens a second.
    pub fn demand_rate(&self, now: u64) -> f64 {
        let passed = now.saturating_sub(self.demand_at) as f64;
        self.demand_rate * (-passed / DEMAND_WINDOW_MS).exp()
    }

    /// Returns whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.holds.is_empty() && self.pending.is_empty() && self.waiting.is_empty()
    }
}
