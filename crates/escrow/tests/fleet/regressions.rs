//! Regression tests, one for each failure that happened or nearly did.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use escrow::{
    BudgetRecord, CumulativeTotal, LedgerEntry, LocalBudget, RecordSnapshot, ReserveError,
};

use crate::store::{Instance, Store, CUSTOMER};

const ONE_INSTANCE: u64 = 1;

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

pub(crate) fn cumulative_total(from: &str, to: &str, total: u64) -> CumulativeTotal {
    CumulativeTotal {
        from: from.to_string(),
        to: to.to_string(),
        total,
    }
}

fn single_instance(prepaid: u64) -> (Store, Instance) {
    (Store::default(), Instance::new("one", "one.1", prepaid))
}

/// Guards against tokens granted twice: the response to a write that takes tokens is lost, the record is read without
/// it, and then the write takes effect. The cause was that the read counted as proof that it never would.
#[test]
fn a_delayed_grant_counts_once() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.budget.add_demand(0, 10_000);
    instance.read(&store, 0);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    let delayed = instance.transaction(entry);
    instance.read(&store, 10);
    assert_eq!(
        instance.budget.balance(),
        0,
        "the write has not taken effect"
    );
    assert!(store.commit(&delayed));
    instance.read(&store, 20);
    assert_eq!(instance.budget.balance(), entry.granted);
    assert_eq!(store.record.1.charged, entry.granted);
}

/// Guards against an instance that exits because of a failed invariant: it returned tokens in a write whose response
/// was lost, so that they are missing from a record that is newer than its ledger.
#[test]
fn a_record_newer_than_its_ledger_waits_for_the_ledger() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.budget.add_demand(0, 50_000);
    instance.read(&store, 0);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 1);
    assert!(instance.budget.snapshot_includes_entry());
    let entry = instance.budget.plan_update(60_000, ONE_INSTANCE, true);
    let entry = entry.expect("a return");
    assert!(entry.returned > 0);
    assert!(
        store.commit(&instance.transaction(entry)),
        "the response is lost"
    );
    let (revision, record) = store.record;
    instance.budget.update_snapshot(RecordSnapshot {
        record,
        revision,
        read_at: 60_010,
    });
    assert!(
        !instance.budget.snapshot_includes_entry(),
        "the ledger has to be read first"
    );
    let (revision, ledger) = store.ledger("one");
    instance.ledger_revision = Some(revision);
    instance
        .budget
        .confirm_entry(ledger.entry(CUSTOMER), revision);
    assert!(instance.budget.snapshot_includes_entry());
    instance.budget.add_demand(60_020, 50_000);
    instance.budget.begin_wait(50_000);
    let entry = instance.budget.plan_update(60_020, ONE_INSTANCE, true);
    instance.commit(&mut store, entry.expect("a grant"), 60_030);
    assert_eq!(store.record.1.charged, instance.budget.entry().charged());
}

/// Guards against an instance that exits because of the failed invariant "a ledger entry exceeds its record's sum". A
/// write that takes tokens for one customer gets no response. A write for another customer then conflicts and brings
/// the ledger, but not the first customer's record. The cause was that the new entry was used with the old record.
#[test]
fn an_entry_newer_than_its_record_waits_for_the_record() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.budget.add_demand(0, 50_000);
    instance.read(&store, 0);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    assert!(
        store.commit(&instance.transaction(entry)),
        "the response is lost"
    );
    let (revision, ledger) = store.ledger("one");
    instance.ledger_revision = Some(revision);
    instance
        .budget
        .confirm_entry(ledger.entry(CUSTOMER), revision);
    assert_eq!(
        instance.budget.balance(),
        entry.granted,
        "the tokens count at once"
    );
    instance.budget.begin_wait(200_000);
    assert_eq!(instance.budget.plan_update(5_000, ONE_INSTANCE, true), None);
    assert!(
        instance.budget.snapshot().is_none(),
        "the record has to be read again"
    );
    let (revision, record) = store.record;
    instance.budget.update_snapshot(RecordSnapshot {
        record,
        revision,
        read_at: 5_000,
    });
    let entry = instance
        .budget
        .plan_update(5_000, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 5_010);
}

/// Guards against tokens that are both returned and spent: the response to the write that returns them is lost, they
/// are spent here, the write takes effect, and another instance takes them. The cause was that they were debited only
/// when the response came.
#[test]
fn tokens_being_returned_cannot_be_reserved() {
    let (mut store, mut instance) = single_instance(1_000_000);
    for t in 0..20 {
        instance.budget.add_demand(t * 100, 20_000);
    }
    instance.read(&store, 2_000);
    let entry = instance
        .budget
        .plan_update(2_000, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 2_010);
    let before = instance.budget.balance();
    let entry = instance
        .budget
        .plan_update(60_000, ONE_INSTANCE, true)
        .expect("a return");
    assert!(entry.returned > 0);
    assert_eq!(instance.budget.balance(), before - entry.returned);
    assert!(!instance.budget.reserve(before), "some are being returned");
}

/// Guards against a budget that is spent as if its operator had not lowered it: instances hold grants that were taken
/// before, and the prepaid amount is lowered below them.
#[test]
fn a_lowered_budget_limits_earlier_grants() {
    let (mut store, mut instance) = single_instance(100_000_000);
    for t in 0..20 {
        instance.budget.add_demand(t * 100, 20_000);
    }
    instance.read(&store, 2_000);
    let entry = instance
        .budget
        .plan_update(2_000, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 2_010);
    assert!(entry.granted > 100_000);
    instance.budget.set_prepaid(50_000);
    assert!(!instance.budget.reserve(60_000));
    assert!(instance.budget.reserve(40_000));
}

/// Guards against tokens that are lost or counted twice when another process takes an instance's name: an instance is
/// cut off, a second one starts under its name and writes its own entries, and the first one comes back. The cause was
/// that it took its missing entry to mean that the budget no longer included its tokens.
#[test]
fn a_replaced_entry_stays_charged_and_usable() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.read(&store, 0);
    instance.budget.add_demand(0, 50_000);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 1);
    assert!(instance.budget.reserve(20_000));
    instance.budget.settle(20_000, 20_000);
    let entry = instance
        .budget
        .plan_update(60_000, ONE_INSTANCE, true)
        .expect("a report of spent tokens");
    instance.commit(&mut store, entry, 60_001);

    let mut successor = Instance::new("one", "one.2", 1_000_000);
    successor.read(&store, 60_010);
    assert_eq!(
        successor.budget.balance(),
        0,
        "the predecessor's tokens do not count"
    );
    successor.budget.begin_wait(30_000);
    let entry = successor
        .budget
        .plan_update(60_010, ONE_INSTANCE, true)
        .expect("a grant");
    let charged = store.record.1.charged;
    successor.commit(&mut store, entry, 60_011);
    assert_eq!(store.record.1.charged, charged + entry.granted);

    let before = instance.budget.balance();
    instance.read(&store, 60_020);
    assert_eq!(instance.budget.balance(), before, "still usable");
    instance.budget.begin_wait(before + 100_000);
    let entry = instance
        .budget
        .plan_update(60_030, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 60_031);
    assert_eq!(instance.budget.balance(), before + entry.granted);
    assert_eq!(store.record.1.spent, 20_000, "reported once");
}

/// Guards against grants that shrink with every restart: an instance is killed under load and starts again. The cause
/// was that the demand of the killed incarnation stayed in the record's sum.
#[test]
fn a_restart_replaces_the_demand_of_the_predecessor() {
    let (mut store, mut instance) = single_instance(1_000_000_000);
    for t in 0..20 {
        instance.budget.add_demand(t * 100, 20_000);
    }
    instance.read(&store, 2_000);
    let entry = instance
        .budget
        .plan_update(2_000, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 2_010);
    assert_eq!(store.record.1.rate, entry.rate);
    let mut successor = Instance::new("one", "one.2", 1_000_000_000);
    successor.read(&store, 3_000);
    successor.budget.add_demand(3_000, 10_000);
    let entry = successor
        .budget
        .plan_update(3_000, ONE_INSTANCE, true)
        .expect("a grant");
    successor.commit(&mut store, entry, 3_010);
    assert_eq!(store.record.1.rate, entry.rate);
}

/// Guards against a fleet of a hundred instances that holds all that may be granted before the first request comes.
/// The cause was that each took a fixed share at its start.
#[test]
fn instances_without_demand_take_no_tokens() {
    let mut store = Store::default();
    for i in 0..100 {
        let mut instance = Instance::new(&format!("n{i}"), &format!("n{i}.1"), 1_000_000_000);
        instance.read(&store, 0);
        if let Some(entry) = instance.budget.plan_update(0, 100, true) {
            instance.commit(&mut store, entry, 0);
        }
    }
    assert_eq!(store.record.1.charged, 0);
}

/// Guards against status 402 for a customer whose tokens are stranded or held elsewhere. The cause was that charged
/// tokens counted as spent.
#[test]
fn only_spent_tokens_exhaust_a_budget() {
    let mut budget = LocalBudget::default();
    budget.set_prepaid(100_000);
    let lost = LedgerEntry {
        granted: 95_000,
        ..LedgerEntry::default()
    };
    let record = BudgetRecord::default().with_entry(LedgerEntry::default(), lost);
    let snapshot = RecordSnapshot {
        record,
        revision: 1,
        read_at: 0,
    };
    budget.update_snapshot(snapshot);
    let elsewhere = escrow::ReserveError::OutOfReach { free: false };
    assert_eq!(budget.reserve_error(20_000), elsewhere);
    let spent = LedgerEntry {
        granted: 95_000,
        spent: 90_000,
        ..LedgerEntry::default()
    };
    let snapshot = RecordSnapshot {
        record: record.with_entry(lost, spent),
        revision: 2,
        read_at: 0,
    };
    budget.update_snapshot(snapshot);
    assert_eq!(
        budget.reserve_error(20_000),
        escrow::ReserveError::Exhausted
    );
}

/// Guards against a planned stop that writes the same entries twice. The cause was that the last entry was not compared
/// with the stored one.
#[test]
fn a_stored_entry_is_not_written_again_at_shutdown() {
    let (mut store, mut instance) = single_instance(1_000_000);
    assert_eq!(
        instance.budget.plan_shutdown(),
        None,
        "there is no snapshot"
    );
    instance.read(&store, 0);
    instance.budget.begin_wait(50_000);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    instance.commit(&mut store, entry, 1);
    let last = instance.budget.plan_shutdown().expect("a return");
    assert_eq!(last.returned, last.granted);
    instance.commit(&mut store, last, 2);
    assert_eq!(instance.budget.plan_shutdown(), None);
    assert_eq!(store.record.1.charged, 0);
}

/// Guards against instances that ask different instances for the same customer's tokens, or all ask the same one for
/// the tokens of all customers. The cause was that a customer's home depended on what an instance sees, or did not
/// depend on the customer.
#[test]
fn customers_have_one_home_in_a_zone_and_are_spread() {
    let names = |n: usize| (0..n).map(|i| format!("n{i}")).collect::<Vec<_>>();
    let candidates_of = |customer: &str, zone: &[String]| -> Vec<String> {
        let candidates = escrow::home_candidates(customer, zone, |n| hash(n), |_| 1);
        candidates.into_iter().cloned().collect()
    };
    let zone = names(30);
    let mut homes = BTreeMap::new();
    for c in 0..300 {
        let customer = format!("c{c}");
        let candidates = candidates_of(&customer, &zone);
        assert_eq!(candidates.len(), escrow::HOME_CANDIDATES);
        *homes.entry(candidates[0].clone()).or_insert(0) += 1;
        // Without its home, a customer moves to the second candidate. Without that one, it stays at its home.
        let without_home: Vec<String> = zone
            .iter()
            .filter(|n| **n != candidates[0])
            .cloned()
            .collect();
        assert_eq!(candidates_of(&customer, &without_home)[0], candidates[1]);
        let without_second: Vec<String> = zone
            .iter()
            .filter(|n| **n != candidates[1])
            .cloned()
            .collect();
        assert_eq!(candidates_of(&customer, &without_second)[0], candidates[0]);
    }
    assert!(
        homes.len() > 25 && homes.values().all(|n| *n < 30),
        "{homes:?}"
    );
}

/// Guards against a dozen writes per second for one customer, most of which fail: several instances draw on a budget
/// that lasts for five more seconds. The cause was that the reduced grants left each of them less than one prompt, so
/// that each request took its own tokens.
#[test]
fn a_budget_near_its_end_is_not_written_for_each_request() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.read(&store, 0);
    let (mut writes, mut served) = (0, 0);
    // Prompts of 10,000 tokens, ten per second: 100,000 tokens per second.
    for i in 0..90 {
        let now = i * 100;
        instance.budget.add_demand(now, 10_000);
        if !instance.budget.reserve(10_000) {
            instance.budget.begin_wait(10_000);
            if let Some(entry) = instance.budget.plan_update(now, ONE_INSTANCE, true) {
                instance.commit(&mut store, entry, now);
                writes += 1;
            }
            instance.budget.end_wait(10_000);
            if !instance.budget.reserve(10_000) {
                continue;
            }
        }
        instance.budget.settle(10_000, 10_000);
        served += 1;
    }
    assert!(served >= 88, "{served}");
    assert!(writes < 30, "{writes}");
}

/// Guards against charged tokens that nobody can spend although all instances are alive: an instance asks another one
/// for tokens, the response is lost in a network partition, and the next one arrives. The cause was that a response
/// only had its own tokens, so that those debited for the lost one reached nobody.
#[test]
fn the_next_response_brings_tokens_of_a_lost_one() {
    let (mut store, mut sender) = single_instance(1_000_000);
    sender.read(&store, 0);
    sender.budget.begin_wait(90_000);
    let entry = sender
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    sender.commit(&mut store, entry, 1);
    sender.budget.end_wait(90_000);
    let mut receiver = Instance::new("t", "t.1", 1_000_000);
    let before = sender.budget.balance();
    sender.budget.transfer_share(2, "t.1", 30_000, 0, 0);
    let total = sender.budget.transfer_share(3, "t.1", 10_000, 0, 0);
    let update = cumulative_total("n0.1", "t.1", total);
    assert_eq!(receiver.budget.receive_tokens("t.1", &update), 40_000);
    assert_eq!(
        receiver.budget.receive_tokens("t.1", &update),
        0,
        "a duplicate"
    );
    assert_eq!(sender.budget.balance(), before - 40_000);
    // The same holds for totals of spent tokens.
    assert!(receiver.budget.reserve(25_000));
    receiver.budget.settle(25_000, 20_000);
    receiver.budget.forward_spending("n0.1");
    assert!(receiver.budget.reserve(5_000));
    receiver.budget.settle(5_000, 5_000);
    let update = cumulative_total("t.1", "n0.1", receiver.budget.forward_spending("n0.1"));
    sender.budget.receive_spending("n0.1", &update);
    sender.budget.receive_spending("n0.1", &update);
    let entry = sender.budget.plan_shutdown().expect("a last entry");
    assert_eq!(entry.spent, 25_000);
}

/// Guards against a budget that is held in parts smaller than one prompt, one at each instance or in each zone. However
/// large the fleet is, a customer has one home until it has more draws than one instance answers.
#[test]
fn a_customer_has_one_home_in_a_fleet_of_any_size() {
    for count in [8, 30, 78, 100, 195, 300, 985, 2_000] {
        let fleet: Vec<String> = (0..count).map(|i| format!("n{i}")).collect();
        let mut counts = BTreeMap::new();
        for c in 0..333 {
            let candidates = escrow::home_candidates(&format!("c{c}"), &fleet, |n| hash(n), |_| 1);
            *counts.entry(candidates[0].clone()).or_insert(0) += 1;
        }
        let max = counts.values().max().expect("some homes");
        let mean = 333_usize.div_ceil(count);
        assert!(*max <= 2 * mean + 5, "{count}: {max} at one instance");
    }
    assert!(!escrow::exceeds_home_capacity(200));
    assert!(escrow::exceeds_home_capacity(300));
}

/// Guards against tokens that stay charged at an instance that nobody asks any more: a customer's home is unreachable
/// for a while, another instance replaces it, and the home comes back. The cause was that only its own demand decided
/// what an instance returns, and that the tokens left by requests there came from other instances.
#[test]
fn an_instance_that_replaced_a_home_returns_all_tokens() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.read(&store, 0);
    instance.budget.add_demand(0, 100_000);
    instance.budget.begin_wait(100_000);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, false)
        .expect("a grant");
    instance.commit(&mut store, entry, 1);
    instance.budget.end_wait(100_000);
    assert!(instance.budget.reserve(100_000));
    instance.budget.settle(100_000, 30_000);
    let held = instance.budget.balance();
    assert!(held >= 70_000);
    assert_eq!(
        instance.budget.transfer_idle(1_000, "home.1"),
        0,
        "there is recent demand"
    );
    let entry = instance
        .budget
        .plan_update(4_000, ONE_INSTANCE, false)
        .expect("a return");
    assert_eq!(entry.returned, held);
    // Tokens received from other instances are transferred to the home.
    instance
        .budget
        .receive_tokens("n0.1", &cumulative_total("home.1", "n0.1", 5_000));
    assert_eq!(instance.budget.transfer_idle(4_000, "home.1"), 5_000);
}

/// Guards against spending more tokens than prepaid: instances transfer the tokens that requests left to a home. It
/// starts again at its address, and an instance that does not know this sends the new process the total sent to
/// the previous one. The cause was that a process that had not received the earlier part of a total counted all of it.
#[test]
fn a_total_for_an_earlier_incarnation_is_ignored() {
    let mut home = LocalBudget::default();
    home.set_prepaid(1_000_000);
    let update = cumulative_total("a.1", "home.1", 400_000);
    assert_eq!(home.receive_tokens("home.2", &update), 0);
    home.receive_spending("home.2", &update);
    assert_eq!(home.balance(), 0);
    assert_eq!(
        home.receive_tokens("home.2", &cumulative_total("a.1", "home.2", 7_000)),
        7_000
    );
}

/// Guards against a customer whose requests are refused in an outage of the store although half of its budget is left,
/// or until the end of its budget after a failure of all instances. Its demand is steady, and its budget lasts for
/// different times. The cause was that grants were a share of the remaining tokens, whatever the customer needed later.
#[test]
fn grants_leave_the_tokens_needed_after_a_restart() {
    let granted = |budget_secs: u64, recovery_ms| {
        let (store, mut instance) = single_instance(100_000 * budget_secs);
        instance.read(&store, 0);
        instance.budget.set_recovery_time(recovery_ms);
        // 100,000 tokens per second.
        (0..40).for_each(|i| instance.budget.add_demand(i * 100, 10_000));
        let entry = instance
            .budget
            .plan_update(4_000, ONE_INSTANCE, true)
            .expect("a grant");
        entry.granted / 1_000
    };
    assert!(granted(40, 12_000) > 950, "covers an outage of 10 s");
    assert!(
        granted(27, 12_000) > 950,
        "covers 10 s, with more than 15 s left"
    );
    let near = granted(20, 12_000);
    assert!((400..600).contains(&near), "covers 5 s: {near}");
    let end = granted(14, 12_000);
    assert!((25..50).contains(&end), "covers a third of a second: {end}");
    assert!(granted(20, 16_000) < 50, "longer recovery time");
    assert!(granted(20, 8_000) > 900, "shorter recovery time");
}

/// Guards against granting half of the remaining budget although nobody can use most of it: an instance crashes with a
/// third of the budget, and the next one counts that part as remaining. The cause was that tokens not spent counted as
/// tokens that may still be spent.
#[test]
fn tokens_of_crashed_instances_do_not_count_as_remaining() {
    let (mut store, mut crashed) = single_instance(3_000_000);
    crashed.read(&store, 0);
    crashed.budget.begin_wait(1_000_000);
    let entry = crashed
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    crashed.commit(&mut store, entry, 1);
    let mut other = Instance::new("two", "two.1", 3_000_000);
    other.read(&store, 1_000);
    // 100,000 tokens per second: the tokens free in the budget last for 20 s, those not spent for 30 s.
    (0..40).for_each(|i| other.budget.add_demand(1_000 + i * 100, 10_000));
    let entry = other
        .budget
        .plan_update(5_000, ONE_INSTANCE, true)
        .expect("a grant");
    assert!(entry.granted < 600_000, "{}", entry.granted);
}

/// Guards against a customer that is refused with 402 although its tokens are unspent: prompts that no upstream may have
/// run were reported as spent, so that no instance could tell them from spent ones.
#[test]
fn an_uncertain_prompt_is_charged_but_not_spent() {
    let (mut store, mut instance) = single_instance(1_000_000);
    instance.budget.add_demand(0, 10_000);
    instance.read(&store, 0);
    let entry = instance
        .budget
        .plan_update(0, ONE_INSTANCE, true)
        .expect("a grant");
    let txn = instance.transaction(entry);
    assert!(store.commit(&txn));
    instance.read(&store, 10);
    let granted = instance.budget.balance();
    assert!(instance.budget.reserve(granted));
    instance.budget.settle_uncertain(granted, 900);
    assert_eq!(instance.budget.balance(), granted - 900);
    assert!(!instance.budget.has_unreported_spending());
    let refusal = instance.budget.reserve_error(999_500);
    assert!(matches!(refusal, ReserveError::OutOfReach { .. }));
    assert_eq!(
        instance.budget.reserve_error(1_000_001),
        ReserveError::Exhausted
    );
    instance.budget.release_uncertain(900);
    assert_eq!(instance.budget.balance(), granted);
}
