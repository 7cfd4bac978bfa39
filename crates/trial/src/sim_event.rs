//! Events of the simulation.

use budget::{Event, ReserveReply, Settlement, ShardRecord};

/// A request to a state machine that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) enum PendingReply {
    Reserve {
        cx: usize,
        home_index: usize,
    },
    Settle {
        cx: usize,
    },
    Recall {
        from: usize,
        account: usize,
    },
    OpenStep {
        from: usize,
        account: usize,
        key: String,
    },
    Operator,
}

/// A call of the platform.
#[derive(Clone, Debug)]
pub(crate) enum PlatformCall {
    ReadRecord,
    WriteRecord {
        base_revision: i64,
        record: ShardRecord,
    },
    WriteSegment {
        name: String,
        segment: budget::record::BillSegment,
    },
    ReadSegment {
        name: String,
    },
}

/// An event that is scheduled for a time.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    Arrival(usize),
    Fault(usize),
    Tick(usize),
    UpdateMembers,
    ShardEvent {
        node: usize,
        shard: u32,
        event: Event,
    },
    ExecuteCall {
        node: usize,
        shard: u32,
        call: PlatformCall,
        answered: bool,
    },
    Reserve {
        node: usize,
        cx: usize,
        home_index: usize,
    },
    ReserveReply {
        cx: usize,
        home_index: usize,
        reply: ReserveReply,
    },
    ReserveTimeout {
        cx: usize,
        home_index: usize,
    },
    Void {
        node: usize,
        cx: usize,
        retries_left: u32,
    },
    AttemptEnd {
        cx: usize,
    },
    SettleRound {
        cx: usize,
        round: usize,
    },
    Settle {
        node: usize,
        cx: usize,
        settlement: Settlement,
    },
    Settled {
        cx: usize,
    },
    Recall {
        node: usize,
        from: usize,
        account: usize,
        tokens: u64,
    },
    RecallReply {
        node: usize,
        from: usize,
        account: usize,
        total_sent: Option<u64>,
        recall_id: u64,
    },
    StoreCopy {
        node: usize,
        from: usize,
        account: usize,
        settlement: Settlement,
    },
    OpenStep {
        node: usize,
        from: usize,
        account: usize,
        key: String,
        up_to: u64,
    },
    CallerRetry {
        request: usize,
    },
    Restart(usize),
}
