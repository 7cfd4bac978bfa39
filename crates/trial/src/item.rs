//! What happens at a time in the fake world.

use budget::{Event, ReserveReply, Settlement, ShardRecord};

#[derive(Clone, Debug)]
pub(crate) enum Ask {
    Reserve {
        job: usize,
        tries: usize,
    },
    Settle {
        job: usize,
    },
    Recall {
        from: usize,
        account: usize,
    },
    Open {
        from: usize,
        account: usize,
        key: String,
    },
    Act,
}

#[derive(Clone, Debug)]
pub(crate) enum Call {
    Read,
    Write {
        base: i64,
        record: ShardRecord,
    },
    Segment {
        name: String,
        segment: budget::record::BillSegment,
    },
    ReadSegment {
        name: String,
    },
}

#[derive(Clone, Debug)]
pub(crate) enum Item {
    Arrive(usize),
    Fault(usize),
    Tick(usize),
    Members,
    Bank {
        node: usize,
        shard: u32,
        event: Event,
    },
    Exec {
        node: usize,
        shard: u32,
        call: Call,
        answered: bool,
    },
    Reserve {
        node: usize,
        job: usize,
        tries: usize,
    },
    Reply {
        job: usize,
        tries: usize,
        reply: ReserveReply,
    },
    ReserveLate {
        job: usize,
        tries: usize,
    },
    Void {
        node: usize,
        job: usize,
        left: u32,
    },
    EngineEnd {
        job: usize,
    },
    SettleRound {
        job: usize,
        round: usize,
    },
    Settle {
        node: usize,
        job: usize,
        post: Settlement,
    },
    Settled {
        job: usize,
    },
    Recall {
        node: usize,
        from: usize,
        account: usize,
        tokens: u64,
    },
    Recalled {
        node: usize,
        from: usize,
        account: usize,
        sent: Option<u64>,
        ask: u64,
    },
    Keep {
        node: usize,
        from: usize,
        account: usize,
        post: Settlement,
    },
    Open {
        node: usize,
        from: usize,
        account: usize,
        key: String,
        upto: u64,
    },
    Comeback {
        request: usize,
    },
    Restart(usize),
}
