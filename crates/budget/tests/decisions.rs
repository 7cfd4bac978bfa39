//! Tests of the decisions on budgets, one situation each; the crate `trial` tests random ones.

use budget::msg::{AttemptRef, RecordSnapshot, ReserveRequest};
use budget::placement::Candidate;
use budget::record::PostOutcome;
use budget::shard::{Params, Witness};
use budget::write_limiter::WriteLimiter;
use budget::{
    Account, Action, Event, OperatorCommand, ReserveReply, Role, Settlement, Shard, ShardManager,
    ShardRecord,
};

fn settlement(holder: &str, hold: u64, request_id: &str, tokens: u64) -> Settlement {
    Settlement {
        holder: holder.to_string(),
        hold,
        request_id: request_id.to_string(),
        tokens,
        billed: true,
        body_hash: 1,
        attempt: AttemptRef::default(),
        at_ms: 1,
    }
}

struct Fixture {
    shard: Shard,
    limiter: WriteLimiter,
    now: u64,
}

impl Fixture {
    fn new(id: &str) -> Fixture {
        let mut shard = Shard::new(id, Params::default());
        shard.set_role(
            Role::Home,
            vec![id.to_string(), "b.1".to_string()],
            Witness::None,
        );
        Fixture {
            shard,
            limiter: WriteLimiter::new(0, 1_000, 1.0),
            now: 0,
        }
    }

    fn step(&mut self, event: Event) -> Vec<Action> {
        self.now += 10;
        let mut out = Vec::new();
        self.shard
            .step(self.now, event, &mut self.limiter, &mut out);
        out
    }

    fn reserve(&mut self, request_id: &str, tokens: u64) -> Vec<Action> {
        let request = ReserveRequest {
            account: "c".to_string(),
            request_id: request_id.to_string(),
            body_hash: 1,
            entry: "e.1".to_string(),
            attempt: AttemptRef::default(),
            tokens,
            weight: 25,
        };
        let deadline = self.now + 1_000;
        self.step(Event::Reserve {
            reply_to: 1,
            request,
            deadline,
        })
    }
}

fn record(total: u64) -> ShardRecord {
    let mut record = ShardRecord::default();
    let account = record.accounts.entry("c".to_string()).or_default();
    account.top_up("t", total).expect("a new id");
    record
}

fn snapshot(revision: i64, record: ShardRecord) -> Option<RecordSnapshot> {
    Some(RecordSnapshot { revision, record })
}

fn expect_write(out: &[Action]) -> (i64, ShardRecord) {
    find_write(out).unwrap_or_else(|| panic!("no write in {out:?}"))
}

fn find_write(out: &[Action]) -> Option<(i64, ShardRecord)> {
    out.iter().find_map(|a| match a {
        Action::WriteRecord {
            base_revision: base,
            record,
        } => Some((*base, record.clone())),
        _ => None,
    })
}

fn reply(out: &[Action]) -> Option<ReserveReply> {
    out.iter().find_map(|a| match a {
        Action::ReserveReply { reply, .. } => Some(reply.clone()),
        _ => None,
    })
}

#[test]
fn reservation_is_granted_after_its_grant_is_written() {
    let mut fixture = Fixture::new("a.1");
    assert!(matches!(
        fixture.reserve("r", 100)[..],
        [Action::ReadRecord]
    ));
    let out = fixture.step(Event::RecordRead(snapshot(1, record(1_000))));
    let (base, next) = expect_write(&out);
    assert_eq!((base, next.accounts["c"].committed()), (1, 250));
    let out = fixture.step(Event::WriteCommitted { revision: 2 });
    assert!(matches!(
        reply(&out),
        Some(ReserveReply::Held { hold: 1, .. })
    ));
    assert_eq!(fixture.shard.available("c"), 150);
}

/// Guards against granting more than was paid for. The response to a write is lost, the write is
/// repeated without reading the record first, and both writes take effect.
#[test]
fn write_with_unknown_outcome_is_not_repeated() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(1_000))));
    let (_, landed) = expect_write(&out);
    assert!(fixture.step(Event::WriteOutcomeUnknown).is_empty());
    fixture.now += 500;
    assert!(matches!(
        fixture.step(Event::Tick)[..],
        [Action::ReadRecord]
    ));
    let out = fixture.step(Event::RecordRead(snapshot(2, landed)));
    assert!(matches!(reply(&out), Some(ReserveReply::Held { .. })));
    assert!(out.iter().all(|a| !matches!(a, Action::WriteRecord { .. })));
}

/// Guards against spending tokens that were returned. The response to the write that returns them
/// is lost, the holder takes the write for failed and keeps the tokens, and the write takes effect
/// late.
#[test]
fn tokens_being_returned_are_not_spent() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(1_000))));
    let (_, granted) = expect_write(&out);
    fixture.step(Event::WriteCommitted { revision: 2 });
    let settle = Event::Settle {
        reply_to: Some(2),
        account: "c".to_string(),
        settlement: settlement("a.1", 1, "r", 60),
        unconfirmed: Vec::new(),
    };
    fixture.step(settle);
    let mut next = granted;
    next.post("c", &settlement("a.1", 1, "r", 60), false);
    fixture.step(Event::WriteCommitted { revision: 3 });
    fixture
        .shard
        .set_role(Role::None, Vec::new(), Witness::None);
    let out = fixture.step(Event::Tick);
    expect_write(&out);
    fixture.step(Event::WriteOutcomeUnknown);
    assert_eq!(fixture.shard.available("c"), 0);
    fixture.now += 1_000;
    fixture.step(Event::Tick);
    // The record read is older than the write, which may still take effect.
    let before = fixture.shard.record().cloned().expect("known");
    fixture.step(Event::RecordRead(snapshot(3, before)));
    assert_eq!(fixture.shard.available("c"), 0);
}

#[test]
fn refusal_distinguishes_exhausted_from_out_of_reach() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 2_000);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(1_000))));
    assert_eq!(reply(&out), Some(ReserveReply::Exhausted { left: 1_000 }));

    let mut held_elsewhere = record(1_000);
    let account = held_elsewhere.accounts.get_mut("c").expect("created above");
    account
        .ledger
        .entry("gone.1".to_string())
        .or_default()
        .granted = 950;
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, held_elsewhere)));
    assert!(matches!(reply(&out), Some(ReserveReply::OutOfReach { .. })));
}

/// Guards against doubling tokens. A holder transfers tokens, its answer is lost, and it is asked
/// again; only a cumulative number tells the transfers apart.
#[test]
fn transfers_are_cumulative() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(1_000))));
    expect_write(&out);
    fixture.step(Event::WriteCommitted { revision: 2 });
    let recall = |ask| Event::Recall {
        reply_to: ask,
        account: "c".to_string(),
        to: "b.1".to_string(),
        tokens: 30,
    };
    let total_sent = |out: Vec<Action>| {
        out.into_iter().find_map(|a| match a {
            Action::RecallReply { total_sent, .. } => Some(total_sent),
            _ => None,
        })
    };
    let first = total_sent(fixture.step(recall(5)));
    let second = total_sent(fixture.step(recall(6)));
    assert_eq!((first, second), (Some(60), Some(120)));
    assert_eq!(fixture.shard.available("c"), 30);
}

#[test]
fn posting_is_idempotent_by_hold_and_by_request() {
    let mut record = record(1_000);
    assert_eq!(
        record.post("c", &settlement("a.1", 1, "r", 10), false),
        PostOutcome::Posted
    );
    assert_eq!(
        record.post("c", &settlement("a.1", 1, "r", 10), false),
        PostOutcome::AlreadySettled
    );
    assert_eq!(
        record.post("c", &settlement("b.1", 7, "r", 12), false),
        PostOutcome::DuplicateRequest
    );
    let account = &record.accounts["c"];
    assert_eq!((account.bills.len(), account.settled()), (1, 22));
    assert_eq!(account.ledger["b.1"].written_off, 12);
}

#[test]
fn top_ups_are_idempotent_by_id() {
    let mut account = Account::default();
    assert_eq!(account.top_up("t", 5), Ok(true));
    assert_eq!(account.top_up("t", 5), Ok(false));
    assert_eq!(account.top_up("t", 6), Err(5));
    assert_eq!(account.total(), 5);
}

/// Guards against losing or doubling the tokens of a retired holder that received and sent tokens,
/// spent the rest and left: its transfers are part of other holders' sums.
#[test]
fn retiring_a_holder_keeps_all_sums() {
    let mut record = record(1_000);
    let account = record.accounts.get_mut("c").expect("created above");
    account.ledger.entry("a.1".to_string()).or_default().granted = 100;
    account.ledger.entry("b.1".to_string()).or_default().granted = 50;
    account.transfers.insert("a.1>b.1".to_string(), 30);
    account
        .ledger
        .get_mut("a.1")
        .expect("created above")
        .settled = 70;
    let before = (
        account.committed(),
        account.settled(),
        account.unspent("b.1"),
    );
    assert!(record.retire_holder("a.1"));
    let account = &record.accounts["c"];
    assert_eq!(
        before,
        (
            account.committed(),
            account.settled(),
            account.unspent("b.1")
        )
    );
    assert!(!record.retire_holder("b.1"), "it has unspent tokens");
}

#[test]
fn release_takes_back_unspent_tokens_once() {
    let mut record = record(1_000);
    let account = record.accounts.get_mut("c").expect("created above");
    account.ledger.entry("a.1".to_string()).or_default().granted = 300;
    record.post("c", &settlement("a.1", 1, "r", 100), false);
    let account = record.accounts.get_mut("c").expect("created above");
    assert_eq!(account.release("x", "a.1", "burnt", "me"), 200);
    assert_eq!(account.release("x", "a.1", "burnt", "me"), 200);
    assert_eq!((account.free(), account.committed()), (900, 100));
}

/// Guards against confirming a command whose id the record shows for a different one.
#[test]
fn operator_command_is_answered_from_the_record() {
    let mut fixture = Fixture::new("a.1");
    let command = OperatorCommand::TopUp {
        id: "t".to_string(),
        tokens: 7,
    };
    let account = "c".to_string();
    let out = fixture.step(Event::Operator {
        reply_to: 3,
        account,
        command,
    });
    assert!(matches!(out[..], [Action::ReadRecord]));
    let out = fixture.step(Event::RecordRead(snapshot(1, record(1_000))));
    let reply = out.iter().find_map(|a| match a {
        Action::OperatorReply { reply, .. } => Some(reply.clone()),
        _ => None,
    });
    assert_eq!(reply, Some(budget::OperatorReply::IdReused(1_000)));
}

/// Guards against stranding a quarter of a budget in a crash of a holder whose witness is paused.
#[test]
fn a_holder_whose_witness_is_absent_takes_small_grants() {
    for role in [Role::Home, Role::Standby] {
        let mut fixture = Fixture::new("a.1");
        let peers = vec!["a.1".to_string()];
        fixture.shard.set_role(role, peers, Witness::Absent);
        fixture.reserve("r", 100);
        let out = fixture.step(Event::RecordRead(snapshot(1, record(400_000))));
        let (_, written) = expect_write(&out);
        let granted = written.accounts["c"].unspent("a.1");
        assert!((100..8_000).contains(&granted), "{role:?}: {granted}");
    }
}

/// Guards against an instance that has nothing to write, and for which the platform counts as
/// unavailable for good after one failed read: a witness would not close joint grants.
#[test]
fn a_failed_read_is_repeated() {
    let mut fixture = Fixture::new("a.1");
    fixture.step(Event::OpenStep {
        reply_to: 1,
        key: "b.1+a.1+1+c".to_string(),
        up_to: 10,
    });
    let out = fixture.step(Event::InstanceUnresponsive {
        instance: "b.1".to_string(),
    });
    assert!(matches!(out[..], [Action::ReadRecord]));
    fixture.step(Event::ReadFailed);
    fixture.now += 5_000;
    let out = fixture.step(Event::Tick);
    assert!(matches!(out[..], [Action::ReadRecord]), "{out:?}");
}

/// A zone with a single instance never has a witness, and has to last through an outage.
#[test]
fn the_only_instance_of_a_zone_takes_large_grants() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(400_000))));
    let (_, written) = expect_write(&out);
    assert_eq!(written.accounts["c"].unspent("a.1"), 100_000);
}

/// Guards against taking the only other instance of the zone for gone as soon as it is late.
#[test]
fn an_instance_that_was_live_lately_is_an_absent_witness() {
    let candidate = |id: &str, zone: &str| Candidate {
        id: id.to_string(),
        zone: zone.to_string(),
    };
    let witness = |live: Vec<Candidate>, absent| {
        let mut shards = ShardManager::new(0, "a.1", 1, 100, Params::default());
        shards.step(0, 0, Event::Tick);
        shards.set_members(live, absent);
        shards.shards()[&0].witness().clone()
    };
    let own = candidate("a.1", "x");
    let other_zone = candidate("c.1", "y");
    let second = candidate("b.1", "x");
    assert_eq!(witness(vec![own.clone()], vec![other_zone]), Witness::None);
    assert_eq!(
        witness(vec![own.clone()], vec![second.clone()]),
        Witness::Absent
    );
    let live = Witness::Live("b.1".to_string());
    assert_eq!(witness(vec![own, second], Vec::new()), live);
}

/// Guards against stranding a quarter of a budget in a crash although the holder has a witness. On
/// a busy machine the witness's heartbeats are late, it counts as unresponsive, and a grant is
/// taken without it. If the holder kept that grant once the witness is back, a kill a minute later
/// would strand it.
#[test]
fn tokens_granted_without_a_witness_are_returned_once_there_is_one() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(400_000))));
    let (_, alone) = expect_write(&out);
    fixture.step(Event::WriteCommitted { revision: 2 });
    assert_eq!(alone.accounts["c"].unspent("a.1"), 100_000);
    let peers = vec!["a.1".to_string(), "b.1".to_string()];
    fixture
        .shard
        .set_role(Role::Home, peers, Witness::Live("b.1".to_string()));
    let out = fixture.step(Event::Tick);
    let (_, together) = expect_write(&out);
    fixture.step(Event::WriteCommitted { revision: 3 });
    let unspent = together.accounts["c"].unspent("a.1");
    assert!(unspent < 8_000, "{unspent} would be stranded");
    assert!(unspent >= 100, "what is reserved stays covered");
    assert!(find_write(&fixture.step(Event::Tick)).is_none());
}

/// Guards against a holder that keeps a grant taken without a witness for good, because the first
/// event after it has a witness again is not a tick and its idle account is no longer active.
#[test]
fn tokens_granted_without_a_witness_are_returned_whatever_event_comes_first() {
    let mut fixture = Fixture::new("a.1");
    fixture.reserve("r", 100);
    let out = fixture.step(Event::RecordRead(snapshot(1, record(400_000))));
    let (_, alone) = expect_write(&out);
    fixture.step(Event::WriteCommitted { revision: 2 });
    let settled = settlement("a.1", 1, "r", 100);
    fixture.step(Event::Settle {
        reply_to: None,
        account: "c".to_string(),
        settlement: settled,
        unconfirmed: Vec::new(),
    });
    let out = fixture.step(Event::Tick);
    let mut record = find_write(&out).map_or(alone, |w| w.1);
    fixture.step(Event::WriteCommitted { revision: 3 });
    fixture.now += 60_000;
    fixture.step(Event::Tick);
    let peers = vec!["a.1".to_string(), "b.1".to_string()];
    fixture
        .shard
        .set_role(Role::Home, peers, Witness::Live("b.1".to_string()));
    fixture.step(Event::RecordRead(snapshot(4, record.clone())));
    for _ in 0..3 {
        if let Some((base, next)) = find_write(&fixture.step(Event::Tick)) {
            record = next;
            fixture.step(Event::WriteCommitted { revision: base + 1 });
        }
    }
    let unspent = record.accounts["c"].unspent("a.1");
    assert!(unspent < 8_000, "{unspent} would be stranded");
}
