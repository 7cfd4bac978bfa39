//! The messages between instances, and the names of the RPC methods that receive them.
//!
//! The entry instance of a request is the one that received it from the caller.

use budget::msg::{AttemptRef, ReserveRequest, UnconfirmedUsage};
use budget::Settlement;
use conf::{Chunk, Head};
use peer::MembershipUpdate;
use serde::{Deserialize, Serialize};

/// A request to a home to reserve tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveMsg {
    /// The reservation.
    #[serde(rename = "req")]
    pub request: ReserveRequest,
    /// How long the entry instance waits for the tokens, in milliseconds.
    pub wait_ms: u64,
}

/// A request to a holder to add tokens to a hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExtendMsg {
    /// The customer.
    pub account: String,
    /// The hold.
    pub hold: u64,
    /// The attempt for which the tokens are added.
    #[serde(rename = "at")]
    pub attempt: AttemptRef,
    /// Additional tokens.
    pub tokens: u64,
    /// How long the entry instance waits for the tokens, in milliseconds.
    pub wait_ms: u64,
}

/// Voids a reservation that will not be used.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoidMsg {
    /// The customer.
    pub account: String,
    /// The request's id.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Incarnation of the entry instance.
    pub entry: String,
}

/// Removes an entry instance from a hold after its caller disconnected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DetachMsg {
    /// The customer.
    pub account: String,
    /// The hold.
    pub hold: u64,
    /// Incarnation of the entry instance.
    pub entry: String,
}

/// Settles a hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SettleMsg {
    /// The customer.
    pub account: String,
    /// The settlement.
    #[serde(rename = "post")]
    pub settlement: Settlement,
    /// Tokens that may have been spent in addition.
    #[serde(rename = "doubts")]
    pub unconfirmed: Vec<UnconfirmedUsage>,
}

/// Stores a copy of a settlement until the settlement is recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreCopyMsg {
    /// The customer.
    pub account: String,
    /// The settlement.
    #[serde(rename = "post")]
    pub settlement: Settlement,
}

/// Requests unspent tokens from another holder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecallMsg {
    /// The customer.
    pub account: String,
    /// The holder that needs the tokens.
    pub to: String,
    /// Number of tokens that it needs.
    pub tokens: u64,
}

/// Requests a step of a joint grant from its witness.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenStepMsg {
    /// The customer.
    pub account: String,
    /// The joint grant's key.
    pub key: String,
    /// Total of opened tokens after the step.
    #[serde(rename = "upto")]
    pub up_to: u64,
}

/// A gossip message or the reply to one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipMsg {
    /// What the sender knows about the instances; the first one is the sender.
    #[serde(rename = "told")]
    pub membership: MembershipUpdate,
    /// The revision of the sender's active configuration.
    pub revision: u64,
    /// Ids of the upstreams that are leaving.
    #[serde(rename = "leaving")]
    pub leaving_upstreams: Vec<String>,
}

/// Requests the active configuration of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullConfigMsg {
    /// Hashes of the chunks that the sender has.
    #[serde(rename = "have")]
    pub chunk_hashes: Vec<String>,
}

/// Reply to a [`PullConfigMsg`]: the active configuration without the chunks listed in the message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullConfigReply {
    /// The head; none if the instance has no configuration yet.
    pub head: Option<Head>,
    /// The other chunks.
    pub chunks: Vec<Chunk>,
}

/// Names of the RPC methods.
pub mod method {
    /// Reserves tokens for a request.
    pub const RESERVE: &str = "reserve";
    /// Adds tokens to a hold.
    pub const EXTEND: &str = "extend";
    /// Voids a reservation.
    pub const VOID: &str = "void";
    /// Removes an entry instance from a hold.
    pub const DETACH: &str = "drop_out";
    /// Settles a hold.
    pub const SETTLE: &str = "settle";
    /// Stores a copy of a settlement.
    pub const STORE_COPY: &str = "keep";
    /// Transfers unspent tokens.
    pub const RECALL: &str = "recall";
    /// Approves a step of a joint grant.
    pub const OPEN_STEP: &str = "open";
    /// Exchanges gossip.
    pub const GOSSIP: &str = "gossip";
    /// Returns the active configuration.
    pub const PULL_CONFIG: &str = "pull";
    /// Returns the status of an attempt at a claimed request.
    pub const ATTEMPT_STATUS: &str = "attempt";
}
