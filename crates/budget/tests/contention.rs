//! Simulations of holders that write the same record.

use std::collections::VecDeque;

use budget::msg::RecordSnapshot;
use budget::shard::{Params, Witness};
use budget::write_limiter::WriteLimiter;
use budget::{Action, Event, Role, Shard, ShardRecord};

const CUSTOMER: &str = "c";
const GRANTED: i64 = 60_000;
/// Time from a call until it takes effect, and from then until its response, in milliseconds.
const ONE_WAY_MS: u64 = 5;
/// The fleet's writes per second, and the share of an instance that is home to no shard.
const FLEET_WRITES_PER_SEC: u64 = 100;
const SMALL_SHARE: f64 = 0.02;

/// A record that another holder writes at regular intervals.
struct BusyRecord {
    revision: i64,
    record: ShardRecord,
    write_interval_ms: u64,
}

impl BusyRecord {
    fn new(write_interval_ms: u64) -> BusyRecord {
        let mut record = ShardRecord::default();
        let account = record.accounts.entry(CUSTOMER.to_string()).or_default();
        account.top_up("t", 400_000).expect("a new top-up");
        account.ledger.entry("a.1".to_string()).or_default().granted = GRANTED;
        BusyRecord {
            revision: 1,
            record,
            write_interval_ms,
        }
    }

    fn snapshot(&self) -> RecordSnapshot {
        RecordSnapshot {
            revision: self.revision,
            record: self.record.clone(),
        }
    }

    fn call(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::ReadRecord => Some(Event::RecordRead(Some(self.snapshot()))),
            Action::WriteRecord {
                base_revision,
                record,
            } if base_revision == self.revision => {
                self.revision += 1;
                self.record = record;
                let revision = self.revision;
                Some(Event::WriteCommitted { revision })
            }
            Action::WriteRecord { .. } => Some(Event::WriteConflict(Some(self.snapshot()))),
            _ => None,
        }
    }
}

/// Removes what has arrived by now from a queue, which is in order of arrival.
fn take_due<T>(queue: &mut VecDeque<(u64, T)>, now: u64) -> Vec<T> {
    let due = queue.iter().take_while(|(at, _)| *at <= now).count();
    queue.drain(..due).map(|(_, item)| item).collect()
}

/// Returns when a holder without a role has returned its tokens, in milliseconds; `None` if it has not
/// after 20 seconds.
fn time_to_return(write_interval_ms: u64) -> Option<u64> {
    let mut store = BusyRecord::new(write_interval_ms);
    let mut limiter = WriteLimiter::new(0, FLEET_WRITES_PER_SEC, SMALL_SHARE);
    while limiter.try_acquire(0) {}
    let mut shard = Shard::new("a.1", Params::default());
    shard.set_role(Role::None, vec!["a.1".to_string()], Witness::None);
    let mut calls = VecDeque::new();
    let mut responses = VecDeque::new();
    let read = Event::RecordRead(Some(store.snapshot()));
    responses.push_back((0, read));
    for now in 0..20_000 {
        if now % store.write_interval_ms == 0 {
            store.revision += 1;
        }
        if store.record.accounts[CUSTOMER].unspent("a.1") == 0 {
            return Some(now);
        }
        for action in take_due(&mut calls, now) {
            let response = store.call(action);
            responses.extend(response.map(|r| (now + ONE_WAY_MS, r)));
        }
        let mut out = Vec::new();
        for response in take_due(&mut responses, now) {
            shard.step(now, response, &mut limiter, &mut out);
        }
        shard.step(now, Event::Tick, &mut limiter, &mut out);
        calls.extend(out.into_iter().map(|action| (now + ONE_WAY_MS, action)));
    }
    None
}

/// Guards against a holder that can't return its tokens while another one writes the record often:
/// each of its writes waited for the write limiter, was based on an outdated record and conflicted.
#[test]
fn a_holder_that_writes_seldom_returns_its_tokens_while_another_writes_often() {
    for write_interval_ms in [12, 20, 50, 100, 400] {
        let returned = time_to_return(write_interval_ms);
        assert!(
            returned.is_some_and(|ms| ms <= 2_000),
            "a write each {write_interval_ms} ms: returned after {returned:?} ms"
        );
    }
}
