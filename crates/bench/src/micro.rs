//! Size and time of single operations, by number of budgets, customers, instances or upstreams.

use std::hint::black_box;
use std::time::Instant;

use budget::msg::{AttemptRef, RecordSnapshot, ReserveRequest};
use budget::shard::{Params, Witness};
use budget::write_limiter::WriteLimiter;
use budget::{Event, Role, Shard, ShardRecord};
use conf::bundle::{Change, Head};
use conf::{Bundle, Config, Customer, Template};
use peer::{Member, Membership, MembershipUpdate, Status};
use rand::rngs::StdRng;
use rand::SeedableRng;
use route::pool::Criteria;
use route::{Pool, Spec, UpstreamKind};

const ROUNDS: u32 = 50;
/// Time of the gossip rounds, in milliseconds: long enough after 0 that members that became known
/// at 0 are no longer sent as recent changes.
const NOW_MS: u64 = 20_000;

pub(crate) fn run() {
    budgets();
    customers();
    peers();
    upstreams();
}

/// Returns the mean duration of a call, in microseconds.
fn mean_us<T>(mut call: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(call());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn shard_record(accounts: usize) -> ShardRecord {
    let mut record = ShardRecord::default();
    for i in 0..accounts {
        let account = record
            .accounts
            .entry(format!("customer-{i:05}"))
            .or_default();
        account
            .top_up("invoice-2026-12", 1 << 40)
            .expect("a new id");
        for holder in ["instance-1.0123456789abcdef", "instance-2.0123456789abcdef"] {
            let entry = account.ledger.entry(holder.to_string()).or_default();
            entry.granted = 1 << 30;
            entry.settled = 1 << 20;
            entry.settled_holds.insert(1);
        }
    }
    record
}

fn budgets() {
    println!("\n### One shard, by number of budgets (two holders each)\n");
    println!("| budgets | record, bytes | bytes per budget | parsing the record, µs | reservation, µs | commit with serialization, µs |");
    println!("|---|---|---|---|---|---|");
    for count in [10, 100, 1_000] {
        let record = shard_record(count);
        let text = serde_json::to_vec(&record).expect("a record serializes");
        let parse =
            mean_us(|| serde_json::from_slice::<ShardRecord>(&text).expect("a serialized record"));
        let (reserve, commit) = reserve_and_commit(&record);
        println!(
            "| {count} | {} | {} | {parse:.0} | {reserve:.0} | {commit:.0} |",
            text.len(),
            text.len() / count,
        );
    }
}

/// Returns the mean durations of a reservation and of a commit, in microseconds.
fn reserve_and_commit(record: &ShardRecord) -> (f64, f64) {
    let mut shard = Shard::new("instance-1.0123456789abcdef", Params::default());
    shard.set_role(Role::Home, Vec::new(), Witness::None);
    let mut limiter = WriteLimiter::new(0, 1 << 30, 1.0);
    let mut out = Vec::new();
    let mut count = 0;
    let mut reserve = |shard: &mut Shard, limiter: &mut WriteLimiter| {
        count += 1;
        let request = ReserveRequest {
            account: "customer-00001".to_string(),
            request_id: format!("request-{count}"),
            body_hash: 1,
            entry: "instance-3.0123456789abcdef".to_string(),
            attempt: AttemptRef::default(),
            tokens: 1,
            weight: 25,
        };
        let mut out = Vec::new();
        let deadline = 1_000_000;
        shard.step(
            1,
            Event::Reserve {
                reply_to: count,
                request,
                deadline,
            },
            limiter,
            &mut out,
        );
        out
    };
    reserve(&mut shard, &mut limiter);
    let snapshot = RecordSnapshot {
        revision: 1,
        record: record.clone(),
    };
    shard.step(1, Event::RecordRead(Some(snapshot)), &mut limiter, &mut out);
    let reserve_us = mean_us(|| reserve(&mut shard, &mut limiter));
    let mut hold = 0;
    let commit_us = mean_us(|| {
        hold += 1;
        let settlement = budget::Settlement {
            holder: "instance-1.0123456789abcdef".to_string(),
            hold,
            request_id: format!("request-{hold}"),
            tokens: 1,
            billed: true,
            body_hash: 1,
            attempt: AttemptRef::default(),
            at_ms: 1,
        };
        let event = Event::Settle {
            reply_to: None,
            account: "customer-00001".to_string(),
            settlement,
            unconfirmed: Vec::new(),
        };
        let mut out = Vec::new();
        shard.step(2, event, &mut limiter, &mut out);
        for action in &out {
            if let budget::Action::WriteRecord { record, .. } = action {
                black_box(serde_json::to_vec(record).expect("a record serializes"));
            }
        }
        let revision = i64::from(hold as u32) + 10;
        shard.step(
            2,
            Event::WriteCommitted { revision },
            &mut limiter,
            &mut out,
        );
    });
    (reserve_us, commit_us)
}

fn customers() {
    println!("\n### Configuration, by number of customers\n");
    println!("| customers | all chunks, bytes | rewritten for a change of one at most, bytes | splitting into chunks, µs | joining the chunks, µs |");
    println!("|---|---|---|---|---|");
    for count in [120, 1_200, 12_000] {
        let mut config = Config::default();
        config
            .templates
            .insert("t".to_string(), Template::default());
        for i in 0..count {
            let customer = Customer {
                template: "t".to_string(),
                key_hashes: vec![conf::customer::hash_key(&i.to_string())],
                overrides: Template::default(),
            };
            config
                .customers
                .insert(format!("customer-{i:05}"), customer);
        }
        let change = || Change {
            revision: 1,
            change_id: "c".to_string(),
            who: "w".to_string(),
            at_ms: 1,
            what: "x".to_string(),
        };
        let split = || Bundle::build(&Head::default(), &config, change());
        let bundle = split();
        let total: usize = bundle.chunks.values().map(String::len).sum();
        // A change of one customer rewrites the chunk that contains it.
        let largest = bundle.chunks.values().map(String::len).max().unwrap_or(0);
        let (split_us, join_us) = (mean_us(split), mean_us(|| bundle.assemble()));
        println!("| {count} | {total} | {largest} | {split_us:.0} | {join_us:.0} |");
    }
}

fn peers() {
    println!("\n### Membership, by number of instances\n");
    println!(
        "| instances | message, bytes | gossip round (send, receive, list live and silent), µs |"
    );
    println!("|---|---|---|");
    for count in [9, 100, 970] {
        let member = |i: usize| Member {
            id: format!("instance-{i}.0123456789abcdef0123456789abcdef"),
            region: "region-1".to_string(),
            zone: "zone-1".to_string(),
            peer_addr: "127.0.0.1:12345".to_string(),
            status: Status::Live,
            heartbeat: 1_000,
            revision: 1_000,
        };
        let mut members = Membership::new(member(0));
        let told = MembershipUpdate {
            members: (1..count).map(member).collect(),
            heartbeats: Vec::new(),
        };
        members.merge(0, told.clone());
        // Renews the heartbeats shortly before the measurement: the members are live then, but have
        // not changed recently.
        let mut later = told;
        later.members.iter_mut().for_each(|m| m.heartbeat += 1);
        members.merge(NOW_MS - 1_000, later);
        let mut rng = StdRng::seed_from_u64(1);
        let told = members.compose_update(NOW_MS, &mut rng);
        let bytes = serde_json::to_vec(&told).expect("members serialize").len();
        let round = mean_us(|| {
            let told = members.compose_update(NOW_MS, &mut rng);
            members.merge(NOW_MS, told);
            (
                members.live(NOW_MS).len(),
                members.silent_or_left(NOW_MS).len(),
            )
        });
        println!("| {count} | {bytes} | {round:.0} |");
    }
}

fn upstreams() {
    println!("\n### Choice of an upstream, by number of upstreams of a model\n");
    println!("| upstreams | choice, µs | capacity of the pool, µs |");
    println!("|---|---|---|");
    for count in [23, 290, 2_900] {
        let mut pool = Pool::default();
        let spec = |i: usize| {
            Spec::engine(
                &format!("engine-{i}.01234567"),
                &format!("zone-{}", i % 17),
                "m",
            )
        };
        pool.apply_list((0..count).map(spec).collect());
        let criteria = Criteria {
            kind: UpstreamKind::Engine,
            target: "m",
            version: None,
            prefix: Some(7),
            zone: "zone-1",
            tried: &[],
            random: 12_345,
        };
        let choice_us = mean_us(|| pool.choose(1, &criteria));
        let capacity_us = mean_us(|| pool.capacity(1, UpstreamKind::Engine, "m"));
        println!("| {count} | {choice_us:.0} | {capacity_us:.0} |");
    }
}
