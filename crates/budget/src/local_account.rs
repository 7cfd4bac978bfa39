//! State of an account at one instance that is not, or not yet, in the record.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use smallvec::SmallVec;

use crate::joint_grant::{DeferredRecall, LocalJointGrant};
use crate::msg::{AttemptRef, OperatorCommand, ReserveReply, Settlement};

/// Number of finished requests remembered per account, to answer callers that retry.
const MAX_FINISHED: usize = 1024;
/// Time for which a finished request is remembered, in milliseconds.
const FINISHED_TTL_MS: u64 = 600_000;
/// Number of voided reservations remembered per account.
const MAX_VOIDED: usize = 256;
/// Time constant of the demand's exponential average, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 5_000.0;

/// A hold: tokens reserved for one request.
///
/// Holds are printed in the dump.
#[derive(Clone, Debug, Serialize)]
pub struct Hold {
    /// Id of the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// Incarnations of the entries that serve the request.
    pub entries: SmallVec<[String; 2]>,
    /// Attempt that runs the request.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Tokens reserved.
    pub tokens: u64,
    /// Tokens of the same attempt that were settled before.
    #[serde(rename = "paid")]
    pub settled: u64,
    /// Whether the request is settled and this hold only covers what the upstream may have used in
    /// addition, until the upstream reports it.
    #[serde(rename = "uncertain")]
    pub unconfirmed: bool,
    /// When to cancel the attempt and ask the upstream for its usage; `None` while an entry serves
    /// the request.
    #[serde(rename = "probe_at")]
    pub cancel_at: Option<u64>,
}

/// A finished request, remembered to answer retries.
#[derive(Clone, Debug, Serialize)]
pub struct FinishedRequest {
    /// Number of the request's hold.
    pub hold: u64,
    /// Hash of the request's body.
    pub body_hash: u64,
    /// Attempt that ran the request.
    pub attempt: AttemptRef,
    /// Tokens billed.
    pub tokens: u64,
    /// When it may be forgotten, in milliseconds.
    pub expires_at: u64,
}

impl FinishedRequest {
    /// Returns the reply to a retry with the given hash of its body.
    pub fn reply(&self, me: &str, body_hash: u64) -> ReserveReply {
        if self.body_hash != body_hash {
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

/// What a waiting reservation asks for.
#[derive(Clone, Debug)]
pub enum ReservationKind {
    /// A new hold.
    NewHold {
        /// Id of the request.
        request_id: String,
        /// Hash of the request's body.
        body_hash: u64,
        /// Incarnation of the entry.
        entry: String,
    },
    /// More tokens for a hold.
    ExtendHold {
        /// Number of the hold.
        hold: u64,
    },
}

/// A reservation that waits for tokens.
#[derive(Clone, Debug)]
pub struct WaitingReservation {
    /// Id of the reply.
    pub reply_to: u64,
    /// What it asks for.
    pub kind: ReservationKind,
    /// Attempt that the entry will make.
    pub attempt: AttemptRef,
    /// Tokens asked for.
    pub tokens: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
    /// When it arrived, in milliseconds.
    pub requested_at: u64,
    /// Time at which it is refused if it is still waiting, in milliseconds.
    pub deadline: u64,
    /// Whether the other holders were asked for tokens on its behalf.
    pub recall_sent: bool,
}

/// A settlement that is not in the record yet.
#[derive(Clone, Debug, Serialize)]
pub struct PendingSettlement {
    /// The settlement.
    pub settlement: Settlement,
    /// Ids of the replies that wait for it.
    pub reply_to: SmallVec<[u64; 2]>,
    /// When to send a copy to another zone if replies still wait.
    pub copy_at: u64,
    /// Number of copies sent so far.
    pub copy_attempts: u32,
}

/// State of one account at one instance.
#[derive(Clone, Debug, Default)]
pub struct LocalAccount {
    /// Open holds by number.
    pub holds: BTreeMap<u64, Hold>,
    /// Numbers of the open holds by request id.
    pub hold_by_request: BTreeMap<String, u64>,
    /// Finished requests by request id.
    pub finished: BTreeMap<String, FinishedRequest>,
    /// Ids of the finished requests, oldest first.
    finished_order: VecDeque<String>,
    /// Reservations that their entries voided, as `entry/request_id`.
    voided: VecDeque<String>,
    /// Settlements that are not in the record yet.
    pub pending: Vec<PendingSettlement>,
    /// Reservations that wait for tokens, in order of arrival.
    pub waiting: VecDeque<WaitingReservation>,
    /// Tokens transferred to other holders, cumulative by holder.
    pub sent: BTreeMap<String, u64>,
    /// Tokens received from other holders, cumulative by holder.
    pub received: BTreeMap<String, u64>,
    /// Tokens that are being returned to the record and can no longer be spent here.
    pub returning: u64,
    /// Operator commands that are not in the record yet, with the ids of their replies.
    pub commands: Vec<(u64, OperatorCommand)>,
    /// Number of recalls sent to other holders and not answered yet.
    pub open_recalls: u32,
    /// Joint grant that the record shows.
    pub joint: Option<LocalJointGrant>,
    /// Other holders' recalls that wait for a step of the joint grant.
    pub deferred_recalls: Vec<DeferredRecall>,
    /// When the account was last used, in milliseconds.
    pub last_used_at: u64,
    /// Demand as of `demand_at`, in tokens per second.
    demand_rate: f64,
    /// When the demand was last updated, in milliseconds.
    demand_at: u64,
}

impl LocalAccount {
    /// Returns the tokens reserved by open holds.
    pub fn reserved(&self) -> u64 {
        self.holds.values().map(|h| h.tokens).sum()
    }

    /// Returns the tokens spent by this holder that are not in the record yet.
    pub fn unrecorded(&self, me: &str) -> u64 {
        let own = self.pending.iter().filter(|p| p.settlement.holder == me);
        own.map(|p| p.settlement.tokens).sum()
    }

    /// Remembers a finished request.
    pub fn add_finished(&mut self, now: u64, request_id: String, mut done: FinishedRequest) {
        done.expires_at = now + FINISHED_TTL_MS;
        if self.finished.insert(request_id.clone(), done).is_none() {
            self.finished_order.push_back(request_id);
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

    /// Remembers that an entry voided a reservation; its request may still arrive.
    pub fn add_voided(&mut self, entry: &str, request_id: &str) {
        self.voided.push_back(format!("{entry}/{request_id}"));
        if self.voided.len() > MAX_VOIDED {
            self.voided.pop_front();
        }
    }

    /// Returns whether an entry voided its reservation for a request.
    pub fn is_voided(&self, entry: &str, request_id: &str) -> bool {
        let key = format!("{entry}/{request_id}");
        self.voided.contains(&key)
    }

    /// Adds requested tokens to the demand.
    pub fn add_demand(&mut self, now: u64, tokens: u64) {
        let passed = now.saturating_sub(self.demand_at) as f64;
        self.demand_rate *= (-passed / DEMAND_WINDOW_MS).exp();
        self.demand_rate += tokens as f64 * 1000.0 / DEMAND_WINDOW_MS;
        self.demand_at = now;
        self.last_used_at = now;
    }

    /// Returns the demand, in tokens per second.
    pub fn demand_rate(&self, now: u64) -> f64 {
        let passed = now.saturating_sub(self.demand_at) as f64;
        self.demand_rate * (-passed / DEMAND_WINDOW_MS).exp()
    }

    /// Returns whether there are no holds, pending settlements or waiting reservations.
    pub fn is_idle(&self) -> bool {
        self.holds.is_empty() && self.pending.is_empty() && self.waiting.is_empty()
    }
}
