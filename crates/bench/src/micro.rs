//! Slopes of the decisions: bytes and time by number of budgets, customers, peers and upstreams.

use std::hint::black_box;
use std::time::Instant;

use budget::msg::{AttemptRef, RecordSnapshot, ReserveRequest};
use budget::shard::Params;
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
/// A time at which members heard of at the start are no news, in milliseconds.
const NOW: u64 = 20_000;

pub(crate) fn run() {
    budgets();
    customers();
    peers();
    upstreams();
}

/// Returns the mean time of a call, in microseconds.
fn time<T>(mut call: impl FnMut() -> T) -> f64 {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        black_box(call());
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn record(accounts: usize) -> ShardRecord {
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
            let line = account.ledger.entry(holder.to_string()).or_default();
            line.granted = 1 << 30;
            line.settled = 1 << 20;
            line.settled_holds.insert(1);
        }
    }
    record
}

fn budgets() {
    println!("\n### One shard, by budgets in it (two holders each)\n");
    println!("| budgets | record, bytes | a budget, bytes | read and parse, µs | a reservation's decision, µs | a commit's decision and text, µs |");
    println!("|---|---|---|---|---|---|");
    for count in [10, 100, 1_000] {
        let record = record(count);
        let text = serde_json::to_vec(&record).expect("a record is JSON");
        let parse = time(|| serde_json::from_slice::<ShardRecord>(&text).expect("own text"));
        let (reserve, commit) = decide(&record);
        println!(
            "| {count} | {} | {} | {parse:.0} | {reserve:.0} | {commit:.0} |",
            text.len(),
            text.len() / count,
        );
    }
}

/// Returns the times of a reservation and of a commit.
fn decide(record: &ShardRecord) -> (f64, f64) {
    let mut home = Shard::new("instance-1.0123456789abcdef", Params::default());
    home.set_role(Role::Home, Vec::new(), None);
    let mut pacer = WriteLimiter::new(0, 1 << 30, 1.0);
    let mut out = Vec::new();
    let mut ask = 0;
    let mut reserve = |home: &mut Shard, pacer: &mut WriteLimiter| {
        ask += 1;
        let req = ReserveRequest {
            account: "customer-00001".to_string(),
            request_id: format!("request-{ask}"),
            body_hash: 1,
            entry: "instance-3.0123456789abcdef".to_string(),
            attempt: AttemptRef::default(),
            tokens: 1,
            weight: 25,
        };
        let mut out = Vec::new();
        let deadline = 1_000_000;
        home.step(
            1,
            Event::Reserve {
                reply_to: ask,
                request: req,
                deadline,
            },
            pacer,
            &mut out,
        );
        out
    };
    reserve(&mut home, &mut pacer);
    let stored = RecordSnapshot {
        revision: 1,
        record: record.clone(),
    };
    home.step(1, Event::RecordRead(Some(stored)), &mut pacer, &mut out);
    let reserved = time(|| reserve(&mut home, &mut pacer));
    let mut hold = 0;
    let commit = time(|| {
        hold += 1;
        let post = budget::Settlement {
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
            settlement: post,
            unconfirmed: Vec::new(),
        };
        let mut out = Vec::new();
        home.step(2, event, &mut pacer, &mut out);
        for action in &out {
            if let budget::Action::WriteRecord { record, .. } = action {
                black_box(serde_json::to_vec(record).expect("a record is JSON"));
            }
        }
        let revision = i64::from(hold as u32) + 10;
        home.step(2, Event::WriteCommitted { revision }, &mut pacer, &mut out);
    });
    (reserved, commit)
}

fn customers() {
    println!("\n### Configuration, by customers\n");
    println!("| customers | all chunks, bytes | bytes that a change of one moves | make a change, µs | put in force, µs |");
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
        let make = || Bundle::build(&Head::default(), &config, change());
        let bundle = make();
        let all: usize = bundle.chunks.values().map(String::len).sum();
        let most = bundle.chunks.values().map(String::len).max().unwrap_or(0);
        let (next, join) = (time(make), time(|| bundle.assemble()));
        println!("| {count} | {all} | {most} | {next:.0} | {join:.0} |");
    }
}

fn peers() {
    println!("\n### Membership, by instances\n");
    println!("| instances | a message, bytes | a round (tell, hear, who lives), µs |");
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
        // Heartbeats later, the members are no news any more.
        let mut later = told;
        later.members.iter_mut().for_each(|m| m.heartbeat += 1);
        members.merge(NOW - 1_000, later);
        let mut rng = StdRng::seed_from_u64(1);
        let told = members.compose_update(NOW, &mut rng);
        let bytes = serde_json::to_vec(&told).expect("members are JSON").len();
        let round = time(|| {
            let told = members.compose_update(NOW, &mut rng);
            members.merge(NOW, told);
            (members.live(NOW).len(), members.silent_or_left(NOW).len())
        });
        println!("| {count} | {bytes} | {round:.0} |");
    }
}

fn upstreams() {
    println!("\n### Choice of an upstream, by upstreams of one model\n");
    println!("| upstreams | a choice, µs | room of the pool, µs |");
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
        let ask = Criteria {
            kind: UpstreamKind::Engine,
            target: "m",
            version: None,
            prefix: Some(7),
            zone: "zone-1",
            tried: &[],
            random: 12_345,
        };
        let choice = time(|| pool.choose(1, &ask));
        let room = time(|| pool.capacity(1, UpstreamKind::Engine, "m"));
        println!("| {count} | {choice:.0} | {room:.0} |");
    }
}
