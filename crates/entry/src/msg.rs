//! What instances say to each other: typed messages, and the names of the methods that take them.

use budget::msg::{AttemptRef, ReserveRequest, UnconfirmedUsage};
use budget::Settlement;
use conf::{Chunk, Head};
use peer::MembershipUpdate;
use serde::{Deserialize, Serialize};

/// A reservation, as one instance asks another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReserveMsg {
    /// The request.
    pub req: ReserveRequest,
    /// How long the asker waits, in milliseconds.
    pub wait_ms: u64,
}

/// A widening of a hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExtendMsg {
    /// The customer.
    pub account: String,
    /// The hold.
    pub hold: u64,
    /// Where the entry will send the request.
    pub at: AttemptRef,
    /// Tokens more.
    pub tokens: u64,
    /// How long the asker waits, in milliseconds.
    pub wait_ms: u64,
}

/// The end of a reservation that nobody will use.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoidMsg {
    /// The customer.
    pub account: String,
    /// The request's id.
    pub request: String,
    /// The entry's incarnation.
    pub entry: String,
}

/// The word of an entry whose caller left.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DropOutMsg {
    /// The customer.
    pub account: String,
    /// The hold.
    pub hold: u64,
    /// The entry's incarnation.
    pub entry: String,
}

/// A settlement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SettleMsg {
    /// The customer.
    pub account: String,
    /// The settlement.
    pub post: Settlement,
    /// What may have been spent besides.
    pub doubts: Vec<UnconfirmedUsage>,
}

/// A copy of a settlement, to be kept until it is recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeepMsg {
    /// The customer.
    pub account: String,
    /// The settlement.
    pub post: Settlement,
}

/// A call for unspent tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecallMsg {
    /// The customer.
    pub account: String,
    /// The holder that lacks them.
    pub to: String,
    /// Tokens.
    pub tokens: u64,
}

/// A step of a joint grant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenMsg {
    /// The customer.
    pub account: String,
    /// The joint grant's key.
    pub key: String,
    /// Tokens opened after the step, cumulative.
    pub upto: u64,
}

/// What two instances tell each other again and again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GossipMsg {
    /// What the sender knows of instances, itself first.
    pub told: MembershipUpdate,
    /// The revision of the sender's configuration.
    pub revision: u64,
    /// Upstreams that are leaving.
    pub leaving: Vec<String>,
}

/// A call for a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullMsg {
    /// Hashes of chunks that the asker has.
    pub have: Vec<String>,
}

/// A configuration, less the chunks that the asker has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullReply {
    /// The head; none while the instance has no configuration.
    pub head: Option<Head>,
    /// Chunks.
    pub chunks: Vec<Chunk>,
}

/// Names of the methods.
pub mod method {
    /// Holds tokens back.
    pub const RESERVE: &str = "reserve";
    /// Widens a hold.
    pub const EXTEND: &str = "extend";
    /// Gives up a reservation.
    pub const VOID: &str = "void";
    /// Serves a request no more.
    pub const DROP_OUT: &str = "drop_out";
    /// Settles a hold.
    pub const SETTLE: &str = "settle";
    /// Keeps a copy of a settlement.
    pub const KEEP: &str = "keep";
    /// Hands over unspent tokens.
    pub const RECALL: &str = "recall";
    /// Opens a step of a joint grant.
    pub const OPEN: &str = "open";
    /// Exchanges what is known of instances.
    pub const GOSSIP: &str = "gossip";
    /// Fetches a configuration.
    pub const PULL: &str = "pull";
    /// Tells how far an attempt is.
    pub const ATTEMPT: &str = "attempt";
}
