//! Events that a shard's state machine handles, actions that it asks for, and the messages in them.

use serde::{Deserialize, Serialize};

use crate::record::{BillSegment, ShardRecord};

/// One attempt to run a request at an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRef {
    /// Name of the upstream.
    pub upstream: String,
    /// Id of the attempt at that upstream.
    #[serde(rename = "run")]
    pub id: String,
}

/// A request to reserve tokens, made before a request is sent to an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Name of the customer's account.
    pub account: String,
    /// Id of the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Hash of the request's body, to detect an id that is reused for another request.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// Incarnation of the entry.
    pub entry: String,
    /// Attempt that the entry will make.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Most tokens that the request can cost.
    pub tokens: u64,
    /// Percentage of the free budget that one grant may take.
    pub weight: u8,
}

/// Reply to a reservation or to the extension of a hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The tokens are reserved in a hold.
    Held {
        /// Holder that the tokens are charged to.
        holder: String,
        /// Number of the hold at that holder.
        hold: u64,
    },
    /// The entry voided this reservation before, or the hold to extend has ended.
    Voided,
    /// A request with this id and body is running or was billed.
    Exists {
        /// Holder that the tokens are charged to.
        holder: String,
        /// Number of the hold at that holder.
        hold: u64,
        /// Attempt that runs or ran the request.
        #[serde(rename = "at")]
        attempt: AttemptRef,
        /// Tokens billed, if the request is finished.
        billed: Option<u64>,
    },
    /// The request id was used with another body.
    #[serde(rename = "Reused")]
    IdReused,
    /// The budget has fewer unspent tokens than requested, wherever they are.
    Exhausted {
        /// Tokens of the budget that are not spent.
        left: u64,
    },
    /// The budget may cover the request, but this instance cannot get the tokens now.
    OutOfReach {
        /// Time after which a retry may succeed, in milliseconds.
        retry_ms: u64,
    },
}

/// How durable a settlement is.
///
/// The names are sent between instances and written to the request journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Durability {
    /// It is in the record.
    Recorded,
    /// Instances in two availability zones have it and will post it to the record.
    Copied,
}

/// Settlement of one hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Holder that the tokens are charged to.
    pub holder: String,
    /// Number of the hold at that holder.
    pub hold: u64,
    /// Id of the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Tokens spent.
    pub tokens: u64,
    /// Whether the tokens are billed; otherwise they are written off.
    pub billed: bool,
    /// Hash of the request's body.
    #[serde(rename = "body")]
    pub body_hash: u64,
    /// Attempt that ran the request.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Time of the settlement, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Tokens that an upstream may have used for an attempt that broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedUsage {
    /// Attempt that broke off.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Most tokens that it may have used in addition to the settled ones.
    pub tokens: u64,
    /// Tokens of this attempt that are settled.
    #[serde(rename = "paid")]
    pub settled: u64,
}

/// An operator's change to a budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Adds tokens.
    TopUp {
        /// Id of the top-up; a repeated id is applied once.
        id: String,
        /// Tokens to add.
        tokens: u64,
    },
    /// Takes back the unspent tokens of a holder that is gone.
    Release {
        /// Id of the release; a repeated id is applied once.
        id: String,
        /// Holder that is gone.
        holder: String,
        /// Reason given by the operator.
        reason: String,
        /// Who released the tokens.
        #[serde(rename = "who")]
        operator: String,
    },
}

/// Reply to an operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The record shows it, with this number of tokens.
    Done(u64),
    /// The id was used for this other number of tokens.
    IdReused(u64),
    /// The platform cannot be reached; the command may or may not take effect.
    Unknown,
}

/// An input of a shard's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry asks to reserve tokens.
    Reserve {
        /// Id of the reply.
        reply_to: u64,
        /// The request, and the tokens to reserve for it.
        request: ReserveRequest,
        /// Time at which the reservation is refused if it is still waiting, in milliseconds.
        deadline: u64,
    },
    /// An entry that retries a request at another upstream asks for more tokens.
    Extend {
        /// Id of the reply.
        reply_to: u64,
        /// Name of the customer's account.
        account: String,
        /// Number of the hold.
        hold: u64,
        /// Attempt that the entry will make.
        attempt: AttemptRef,
        /// Tokens to add to the hold.
        tokens: u64,
        /// Time at which the reservation is refused if it is still waiting, in milliseconds.
        deadline: u64,
    },
    /// An entry has stopped waiting for a reservation and will not use it.
    Void {
        /// Name of the customer's account.
        account: String,
        /// Id of the request.
        request_id: String,
        /// Incarnation of the entry.
        entry: String,
    },
    /// An entry whose caller left no longer serves a request.
    Detach {
        /// Id of the reply.
        reply_to: u64,
        /// Name of the customer's account.
        account: String,
        /// Number of the hold.
        hold: u64,
        /// Incarnation of the entry.
        entry: String,
    },
    /// An instance of another availability zone asks to keep a copy of a settlement until the
    /// record shows it.
    StoreCopy {
        /// Name of the customer's account.
        account: String,
        /// Settlement of the hold.
        settlement: Settlement,
    },
    /// An entry settles a hold.
    Settle {
        /// Id of the reply, if one is wanted.
        reply_to: Option<u64>,
        /// Name of the customer's account.
        account: String,
        /// Settlement of the hold.
        settlement: Settlement,
        /// Usage that may come in addition and is not confirmed by the upstreams yet.
        unconfirmed: Vec<UnconfirmedUsage>,
    },
    /// Another holder recalls unspent tokens: it asks to have them transferred.
    Recall {
        /// Id of the reply.
        reply_to: u64,
        /// Name of the customer's account.
        account: String,
        /// Holder that asks.
        to: String,
        /// Tokens that it is short of.
        tokens: u64,
    },
    /// Another holder has replied to a recall, or did not reply in time.
    RecallReply {
        /// Name of the customer's account.
        account: String,
        /// Holder that was asked.
        from: String,
        /// Tokens that it has transferred to this holder, cumulative; `None` if it did not reply.
        total_sent: Option<u64>,
    },
    /// A holder asks this instance, its witness, to approve a step of a joint grant.
    OpenStep {
        /// Id of the reply.
        reply_to: u64,
        /// Key of the joint grant.
        key: String,
        /// Tokens opened after the step, cumulative.
        up_to: u64,
    },
    /// The witness has replied to a step, or did not reply in time.
    StepReply {
        /// Name of the customer's account.
        account: String,
        /// Key of the joint grant.
        key: String,
        /// Tokens opened, cumulative; `None` if it did not reply.
        total_opened: Option<u64>,
    },
    /// An operator changes a budget.
    Operator {
        /// Id of the reply.
        reply_to: u64,
        /// Name of the customer's account.
        account: String,
        /// Command of the operator.
        command: OperatorCommand,
    },
    /// The record was read; `None` if there is none yet.
    RecordRead(Option<RecordSnapshot>),
    /// Reading the record failed.
    ReadFailed,
    /// The write of the record took effect.
    WriteCommitted {
        /// New revision of the record.
        revision: i64,
    },
    /// The record had changed, so the write did not take effect; holds the current record, `None`
    /// if there is none.
    WriteConflict(Option<RecordSnapshot>),
    /// The write was refused and cannot take effect.
    WriteRefused,
    /// The write may have taken effect, or may still do so.
    WriteOutcomeUnknown,
    /// An instance of another availability zone has stored a copy of the hold's settlement.
    CopyStored {
        /// Name of the customer's account.
        account: String,
        /// Number of the hold.
        hold: u64,
    },
    /// An instance, which may be an entry or the holder of a joint grant, no longer responds.
    InstanceUnresponsive {
        /// Incarnation of the instance.
        instance: String,
    },
    /// An upstream has cancelled an attempt and reported its usage.
    UsageReported {
        /// Name of the customer's account.
        account: String,
        /// Number of the hold.
        hold: u64,
        /// Tokens that the attempt used.
        tokens: u64,
        /// When it was reported, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A segment was written, or the write failed (`false`).
    SegmentWritten(bool),
    /// A segment was read; `None` if that failed.
    SegmentRead(Option<BillSegment>),
    /// Time has passed.
    Tick,
}

/// A record and its revision.
#[derive(Clone, Debug)]
pub struct RecordSnapshot {
    /// Revision of the record in the store; 0 if it does not exist yet.
    pub revision: i64,
    /// Contents of the record.
    pub record: ShardRecord,
}

impl Event {
    /// Returns the name of the account that the event concerns, if it is a single one.
    pub fn account(&self) -> Option<&str> {
        match self {
            Event::Reserve { request, .. } => Some(&request.account),
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

/// An output of a shard's state machine, to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the record.
    ReadRecord,
    /// Write the record, on condition that its revision has not changed.
    WriteRecord {
        /// Revision that is replaced; 0 if the record must not exist.
        base_revision: i64,
        /// New contents of the record.
        record: ShardRecord,
    },
    /// Write a segment under a new name.
    WriteSegment {
        /// Name of the segment.
        name: String,
        /// Contents of the segment.
        segment: BillSegment,
    },
    /// Read a segment.
    ReadSegment {
        /// Name of the segment.
        name: String,
    },
    /// Answer a reservation or the extension of a hold.
    ReserveReply {
        /// Id of the reply.
        reply_to: u64,
        /// Reply to send.
        reply: ReserveReply,
    },
    /// Answer a settlement.
    SettleReply {
        /// Id of the reply.
        reply_to: u64,
        /// How durable the settlement is.
        durability: Durability,
    },
    /// Answer an operator's command.
    OperatorReply {
        /// Id of the reply.
        reply_to: u64,
        /// Reply to send.
        reply: OperatorReply,
    },
    /// Answer another holder's recall.
    RecallReply {
        /// Id of the reply.
        reply_to: u64,
        /// Tokens transferred to that holder, cumulative.
        total_sent: u64,
    },
    /// Recall unspent tokens from another holder.
    Recall {
        /// Name of the customer's account.
        account: String,
        /// Holder to ask.
        from: String,
        /// Tokens that this holder is short of.
        tokens: u64,
    },
    /// Ask the witness to approve a step of a joint grant.
    OpenStep {
        /// Name of the customer's account.
        account: String,
        /// Incarnation of the witness.
        witness: String,
        /// Key of the joint grant.
        key: String,
        /// Tokens opened after the step, cumulative.
        up_to: u64,
    },
    /// Answer a holder that asked for a step of a joint grant.
    StepReply {
        /// Id of the reply.
        reply_to: u64,
        /// Tokens opened, cumulative.
        total_opened: u64,
    },
    /// Send a copy of a settlement to an instance of another availability zone.
    SendCopy {
        /// Name of the customer's account.
        account: String,
        /// Settlement of the hold.
        settlement: Settlement,
    },
    /// Cancel an attempt at its upstream and ask for its usage: the request is orphaned, or its
    /// attempt broke off before the usage was known.
    CancelAttempt {
        /// Name of the customer's account.
        account: String,
        /// Number of the hold.
        hold: u64,
        /// Attempt to cancel.
        attempt: AttemptRef,
    },
    /// Answer an entry that no longer serves a request.
    DetachReply {
        /// Id of the reply.
        reply_to: u64,
        /// Whether other entries still serve the request.
        others_remain: bool,
    },
    /// Log something that an operator may want to know.
    Warn(Warning),
}

/// Something that an operator may want to know.
#[derive(Clone, Debug)]
pub enum Warning {
    /// An upstream used more tokens than the hold covers.
    ExcessUsage {
        /// Name of the customer's account.
        account: String,
        /// Tokens in excess of the hold.
        tokens: u64,
    },
    /// A request with the same id was billed before.
    DuplicateBill {
        /// Name of the customer's account.
        account: String,
        /// Id of the request.
        request_id: String,
    },
    /// A write did not take effect because the record had changed, and neither did the ones before.
    WriteConflicts {
        /// Conflicts since the last write that took effect.
        count: u32,
    },
    /// The record shows other grants of this holder than before.
    GrantChanged {
        /// Name of the customer's account.
        account: String,
        /// The grants before.
        before: GrantedTokens,
        /// The grants now.
        after: GrantedTokens,
    },
}

/// Tokens of an account that are granted to one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantedTokens {
    /// In its ledger entry.
    pub own: i64,
    /// In its joint grant.
    pub joint: u64,
}
