//! What goes into and comes out of the decisions on budgets.

use serde::{Deserialize, Serialize};

use crate::record::{BillSegment, ShardRecord};

/// Where a request runs: one attempt at one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The upstream.
    pub upstream: String,
    /// The name of the attempt there.
    pub run: String,
}

/// A request for tokens to be held back before a dispatch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The customer.
    pub account: String,
    /// The request's id.
    pub request: String,
    /// Hash of the request's body, to tell a reused id.
    pub body: u64,
    /// The entry's incarnation.
    pub entry: String,
    /// Where the entry will send it.
    pub at: AttemptRef,
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
        at: AttemptRef,
        /// The tokens billed, when it is finished.
        billed: Option<u64>,
    },
    /// The id was used with another body.
    Reused,
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
    pub request: String,
    /// Tokens spent.
    pub tokens: u64,
    /// Whether the request is billed for them; else they are written off.
    pub billed: bool,
    /// Hash of the request's body.
    pub body: u64,
    /// Where it ran.
    pub at: AttemptRef,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Tokens that an upstream may have spent on a run that broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedUsage {
    /// Where it ran.
    pub at: AttemptRef,
    /// The most that it may have spent beyond what is settled.
    pub tokens: u64,
    /// Tokens of this run that are settled.
    pub paid: u64,
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
        who: String,
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
        ask: u64,
        /// The request.
        req: ReserveRequest,
        /// When the asker gives up, in milliseconds.
        deadline: u64,
    },
    /// An entry that repeats a request at another upstream asks for more.
    Extend {
        /// Names the reply.
        ask: u64,
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// Where the entry will send it.
        at: AttemptRef,
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
        request: String,
        /// The entry's incarnation.
        entry: String,
    },
    /// An entry whose caller left serves a request no more.
    DropOut {
        /// Names the reply.
        ask: u64,
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// The entry's incarnation.
        entry: String,
    },
    /// Another instance asks to keep a copy of a settlement until it is recorded.
    Keep {
        /// The customer.
        account: String,
        /// The settlement.
        post: Settlement,
    },
    /// A hold is settled.
    Settle {
        /// Names the reply, if one is wanted.
        ask: Option<u64>,
        /// The customer.
        account: String,
        /// The settlement.
        post: Settlement,
        /// What may have been spent besides, for which there is no proof yet.
        doubts: Vec<UnconfirmedUsage>,
    },
    /// Another holder asks for unspent tokens.
    Recall {
        /// Names the reply.
        ask: u64,
        /// The customer.
        account: String,
        /// The holder that asks.
        to: String,
        /// Tokens that it lacks.
        tokens: u64,
    },
    /// Another holder has answered: all it ever handed over.
    Recalled {
        /// The customer.
        account: String,
        /// The holder that answered.
        from: String,
        /// Tokens, cumulative; none when it did not answer.
        sent: Option<u64>,
    },
    /// A holder asks its witness for a step of a joint grant.
    Open {
        /// Names the reply.
        ask: u64,
        /// The joint grant's key.
        key: String,
        /// Tokens opened after the step, cumulative.
        upto: u64,
    },
    /// The witness has answered.
    Opened {
        /// The customer.
        account: String,
        /// The joint grant's key.
        key: String,
        /// All tokens opened; none when it did not answer.
        opened: Option<u64>,
    },
    /// An operator acts.
    Act {
        /// Names the reply.
        ask: u64,
        /// The customer.
        account: String,
        /// The act.
        act: OperatorCommand,
    },
    /// A read has ended; `None` inside when there is no record yet.
    Read(Option<RecordSnapshot>),
    /// A read has failed.
    ReadFailed,
    /// A write took effect.
    Written {
        /// The new revision.
        revision: i64,
    },
    /// A write lost to another.
    WriteLost(Option<RecordSnapshot>),
    /// A write was refused before it could take effect.
    WriteRefused,
    /// A write may or may not have taken effect, or may yet.
    WriteUnknown,
    /// An instance in another availability zone holds a copy of the settlement.
    Copied {
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
    },
    /// An entry is gone.
    Gone {
        /// Its incarnation.
        entry: String,
    },
    /// An upstream has told what a hold spent.
    Proof {
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
            Event::Reserve { req, .. } => Some(&req.account),
            Event::Extend { account, .. }
            | Event::Void { account, .. }
            | Event::DropOut { account, .. }
            | Event::Keep { account, .. }
            | Event::Settle { account, .. }
            | Event::Recall { account, .. }
            | Event::Recalled { account, .. }
            | Event::Opened { account, .. }
            | Event::Act { account, .. }
            | Event::Copied { account, .. }
            | Event::Proof { account, .. } => Some(account),
            _ => None,
        }
    }
}

/// An output of the decisions.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the record.
    Read,
    /// Write the record if its revision is still `base`; 0 means absent.
    Write {
        /// The revision it replaces.
        base: i64,
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
    Reserved {
        /// Names the reply.
        ask: u64,
        /// The answer.
        reply: ReserveReply,
    },
    /// Answer a settlement.
    Settled {
        /// Names the reply.
        ask: u64,
        /// The answer.
        how: Durability,
    },
    /// Answer an operator's act.
    Acted {
        /// Names the reply.
        ask: u64,
        /// The answer.
        reply: OperatorReply,
    },
    /// Answer another holder's recall.
    Handed {
        /// Names the reply.
        ask: u64,
        /// All tokens ever handed to that holder.
        sent: u64,
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
    Open {
        /// The customer.
        account: String,
        /// The witness.
        witness: String,
        /// The joint grant's key.
        key: String,
        /// Tokens opened after the step, cumulative.
        upto: u64,
    },
    /// Answer a holder's step.
    Witnessed {
        /// Names the reply.
        ask: u64,
        /// All tokens opened.
        opened: u64,
    },
    /// Give a copy of a settlement to an instance in another availability zone.
    Copy {
        /// The customer.
        account: String,
        /// The settlement.
        post: Settlement,
    },
    /// Cancel an orphaned request at its upstream and read what it spent.
    Probe {
        /// The customer.
        account: String,
        /// The hold.
        hold: u64,
        /// Where it runs.
        at: AttemptRef,
    },
    /// Tell an entry that dropped out whether others still serve the request.
    DroppedOut {
        /// Names the reply.
        ask: u64,
        /// Whether others do.
        others: bool,
    },
    /// Something an operator may want to know.
    Note(Warning),
}

/// What an operator may want to know.
#[derive(Clone, Debug)]
pub enum Warning {
    /// An upstream served more than was asked for, and the hold can't cover it.
    Excess {
        /// The customer.
        account: String,
        /// Tokens beyond the hold.
        tokens: u64,
    },
    /// A request was billed before under the same id.
    Duplicate {
        /// The customer.
        account: String,
        /// The request's id.
        request: String,
    },
}
