//! What goes into and comes out of the decisions on budgets.

use serde::{Deserialize, Serialize};

use crate::record::{BillSegment, ShardRecord};

/// Where a request runs: one attempt at one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The upstream.
    pub upstream: String,
    /// The name of the attempt there.
    #[serde(rename = "run")]
    pub id: String,
}

/// A request for tokens to be held back before a dispatch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The customer.
    pub account: String,
    /// The request's id.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Hash of the request's body, to tell a reused id.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// The entry's incarnation.
    pub entry: String,
    /// Where the entry will send it.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// The most that the request can spend.
    pub tokens: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
}

/// The answer to a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The tokens are held back under this number.
    Held {
        /// The holder that pays.
        holder: String,
        /// The hold's number at that holder.
        hold: u64,
    },
    /// The entry had given this request up before.
    Voided,
    /// The request is known: it runs, or ran, at an upstream.
    Exists {
        /// The holder that pays.
        holder: String,
        /// The hold's number at that holder.
        hold: u64,
        /// Where it runs.
        #[serde(rename = "at")]
        attempt: AttemptRef,
        /// The tokens billed, when it is finished.
        billed: Option<u64>,
    },
    /// The id was used with another body.
    #[serde(rename = "Reused")]
    IdReused,
    /// The budget can't cover it, and nothing can come back.
    Exhausted {
        /// Tokens left.
        left: u64,
    },
    /// The budget may cover it, but not from here and now.
    OutOfReach {
        /// Milliseconds after which it may be otherwise.
        retry_ms: u64,
    },
}

/// How sure it is that a settlement lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Durability {
    /// It is in the platform's record.
    Recorded,
    /// Instances in two availability zones hold it, and will post it.
    Copied,
}

/// The settlement of one hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The holder that pays.
    pub holder: String,
    /// The hold's number at that holder.
    pub hold: u64,
    /// The request's id.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Tokens spent.
    pub tokens: u64,
    /// Whether the request is billed for them; else they are written off.
    pub billed: bool,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// Where it ran.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Tokens that an upstream may have spent on a run that broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedUsage {
    /// Where it ran.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// The most that it may have spent beyond what is settled.
    pub tokens: u64,
    /// Tokens of this run that are settled.
    #[serde(rename = "paid")]
    pub settled: u64,
}

/// An operator's act on a budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Adds tokens.
    TopUp {
        /// The act's id.
        id: String,
        /// Tokens.
        tokens: u64,
    },
    /// Takes back what a vanished holder left unspent.
    Release {
        /// The act's id.
        id: String,
        /// The holder.
        holder: String,
        /// Why.
        reason: String,
        /// Who.
        #[serde(rename = "who")]
        operator: String,
    },
}

/// The answer to an operator's act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// It is in force, with this many tokens.
    Done(u64),
    /// The id was used for another number of tokens.
    IdReused(u64),
    /// The platform can't be reached; the act may or may not come into force.
    Unknown,
}

/// An input of the decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry asks for tokens.
    Reserve {
        /// Names the reply.
        reply_to: u64,
        /// The request.
        request: ReserveRequest,
        /// When the asker gives up, in milliseconds.
        deadline: u64,
    },
    /// An entry that repeats a request at another upstream asks for more.
    Extend {
        /// Names the reply.
        reply_to: u64,
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// Where the entry will send it.
        attempt: AttemptRef,
        /// Tokens more.
        tokens: u64,
        /// When the asker gives up, in milliseconds.
        deadline: u64,
    },
    /// An entry has given up waiting for a reservation, and will not use it.
    Void {
        /// The customer.
        account: String,
        /// The request's id.
        request_id: String,
        /// The entry's incarnation.
        entry: String,
    },
    /// An entry whose caller left serves a request no more.
    Detach {
        /// Names the reply.
        reply_to: u64,
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// The entry's incarnation.
        entry: String,
    },
    /// Another instance asks to keep a copy of a settlement until it is recorded.
    StoreCopy {
        /// The customer.
        account: String,
        /// The settlement.
        settlement: Settlement,
    },
    /// A hold is settled.
    Settle {
        /// Names the reply, if one is wanted.
        reply_to: Option<u64>,
        /// The customer.
        account: String,
        /// The settlement.
        settlement: Settlement,
        /// What may have been spent besides, for which there is no proof yet.
        unconfirmed: Vec<UnconfirmedUsage>,
    },
    /// Another holder asks for unspent tokens.
    Recall {
        /// Names the reply.
        reply_to: u64,
        /// The customer.
        account: String,
        /// The holder that asks.
        to: String,
        /// Tokens that it lacks.
        tokens: u64,
    },
    /// Another holder has answered: all it ever handed over.
    RecallReply {
        /// The customer.
        account: String,
        /// The holder that answered.
        from: String,
        /// Tokens, cumulative; none when it did not answer.
        total_sent: Option<u64>,
    },
    /// A holder asks its witness for a step of a joint grant.
    OpenStep {
        /// Names the reply.
        reply_to: u64,
        /// The joint grant's key.
        key: String,
        /// Tokens opened after the step, cumulative.
        up_to: u64,
    },
    /// The witness has answered.
    StepReply {
        /// The customer.
        account: String,
        /// The joint grant's key.
        key: String,
        /// All tokens opened; none when it did not answer.
        total_opened: Option<u64>,
    },
    /// An operator acts.
    Operator {
        /// Names the reply.
        reply_to: u64,
        /// The customer.
        account: String,
        /// The act.
        command: OperatorCommand,
    },
    /// A read has ended; `None` inside when there is no record yet.
    RecordRead(Option<RecordSnapshot>),
    /// A read has failed.
    ReadFailed,
    /// A write took effect.
    WriteCommitted {
        /// The new revision.
        revision: i64,
    },
    /// A write lost to another.
    WriteConflict(Option<RecordSnapshot>),
    /// A write was refused before it could take effect.
    WriteRefused,
    /// A write may or may not have taken effect, or may yet.
    WriteOutcomeUnknown,
    /// An instance in another availability zone holds a copy of the settlement.
    CopyStored {
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
    },
    /// An entry is gone.
    InstanceUnresponsive {
        /// Its incarnation.
        instance: String,
    },
    /// An upstream has told what a hold spent.
    UsageReported {
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// Tokens.
        tokens: u64,
        /// When, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Older bills were written to a value of their own.
    SegmentWritten(bool),
    /// A value with older bills was read, or could not be.
    SegmentRead(Option<BillSegment>),
    /// Time passes.
    Tick,
}

/// A record as it was read.
#[derive(Clone, Debug)]
pub struct RecordSnapshot {
    /// The revision of its last write.
    pub revision: i64,
    /// The record.
    pub record: ShardRecord,
}

impl Event {
    /// Returns the customer that it is about, if it is about one.
    pub fn account(&self) -> Option<&str> {
        match self {
            Event::Reserve { request: req, .. } => Some(&req.account),
            Event::Extend { account, .. }
            | Event::Void { account, .. }
            | Event::Detach { account, .. }
            | Event::StoreCopy { account, .. }
            | Event::Settle { account, .. }
            | Event::Recall { account, .. }
            | Event::RecallReply { account, .. }
            | Event::StepReply { account, .. }
            | Event::Operator { account, .. }
            | Event::CopyStored { account, .. }
            | Event::UsageReported { account, .. } => Some(account),
            _ => None,
        }
    }
}

/// An output of the decisions.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the record.
    ReadRecord,
    /// Write the record if its revision is still `base`; 0 means absent.
    WriteRecord {
        /// The revision it replaces.
        base_revision: i64,
        /// The record.
        record: ShardRecord,
    },
    /// Write older bills to a value of their own, which must not exist yet.
    WriteSegment {
        /// Its name.
        name: String,
        /// The bills.
        segment: BillSegment,
    },
    /// Read a value with older bills.
    ReadSegment {
        /// Its name.
        name: String,
    },
    /// Answer a reservation or an extension.
    ReserveReply {
        /// Names the reply.
        reply_to: u64,
        /// The answer.
        reply: ReserveReply,
    },
    /// Answer a settlement.
    SettleReply {
        /// Names the reply.
        reply_to: u64,
        /// The answer.
        durability: Durability,
    },
    /// Answer an operator's act.
    OperatorReply {
        /// Names the reply.
        reply_to: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Answer another holder's recall.
    RecallReply {
        /// Names the reply.
        reply_to: u64,
        /// All tokens ever handed to that holder.
        total_sent: u64,
    },
    /// Ask another holder for unspent tokens.
    Recall {
        /// The customer.
        account: String,
        /// The holder.
        from: String,
        /// Tokens that lack.
        tokens: u64,
    },
    /// Ask the witness for a step of a joint grant.
    OpenStep {
        /// The customer.
        account: String,
        /// The witness.
        witness: String,
        /// The joint grant's key.
        key: String,
        /// Tokens opened after the step, cumulative.
        up_to: u64,
    },
    /// Answer a holder's step.
    StepReply {
        /// Names the reply.
        reply_to: u64,
        /// All tokens opened.
        total_opened: u64,
    },
    /// Give a copy of a settlement to an instance in another availability zone.
    SendCopy {
        /// The customer.
        account: String,
        /// The settlement.
        settlement: Settlement,
    },
    /// Cancel an orphaned request at its upstream and read what it spent.
    CancelAttempt {
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// Where it runs.
        attempt: AttemptRef,
    },
    /// Tell an entry that dropped out whether others still serve the request.
    DetachReply {
        /// Names the reply.
        reply_to: u64,
        /// Whether others do.
        others_remain: bool,
    },
    /// Something an operator may want to know.
    Warn(Warning),
}

/// What an operator may want to know.
#[derive(Clone, Debug)]
pub enum Warning {
    /// An upstream served more than was asked for, and the hold can't cover it.
    ExcessUsage {
        /// The customer.
        account: String,
        /// Tokens beyond the hold.
        tokens: u64,
    },
    /// A request was billed before under the same id.
    DuplicateBill {
        /// The customer.
        account: String,
        /// The request's id.
        request_id: String,
    },
}
