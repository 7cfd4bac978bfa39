//! Which part of a fleet's streams can be continued after the loss of instances, and what that costs an
//! instance, with the real choice of holders and datagrams that are lost.

use escrow::rendezvous_select;
use origin::{
    order_candidates, Lookup, Origin, OriginRecord, OriginTable, StreamKey, CANDIDATES, HOLDERS,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

/// Numbers of instances, each with the number of availability zones.
const FLEETS: [(usize, usize); 6] = [(8, 3), (30, 3), (100, 4), (300, 5), (985, 17), (1_970, 17)];
/// Streams that an instance begins in a second at the peak.
const STREAMS_PER_SEC: usize = 24;
/// Time for which the caller of a stream may continue it, in milliseconds.
const TTL_MS: u64 = 10_000;
/// One in this many datagrams is lost.
const LOST_DIVISOR: u32 = 100;
/// Bytes of the headers of a datagram on the wire.
const HEADER_BYTES: usize = 28;
/// What control may cost an instance, in bytes per second.
const MAX_BYTES_PER_SEC: usize = 11_000;
/// The part of the streams of lost instances that must go on, in percent, by the users' rule. After the
/// loss of a single one nearly all must: it happens every day.
const MIN_CONTINUED_PCT: usize = 50;
const MIN_CONTINUED_AFTER_ONE_PCT: usize = 99;

struct Instance {
    name_hash: u64,
    zone: String,
    table: OriginTable,
    sent: usize,
    bytes: usize,
    received: usize,
}

struct Fleet {
    instances: Vec<Instance>,
    rng: StdRng,
}

/// The instances that may hold the record of a stream, by their indices, among those listed.
fn candidates(
    instances: &[Instance],
    listed: &[usize],
    request: &str,
) -> SmallVec<[usize; CANDIDATES]> {
    let key = StreamKey::of(request).placement_key();
    let ranked = rendezvous_select::<_, CANDIDATES>(key, listed, |i| instances[*i].name_hash);
    let ordered = order_candidates(ranked, |i| &instances[*i].zone);
    ordered.into_iter().copied().collect()
}

impl Fleet {
    fn new(size: usize, zones: usize, seed: u64) -> Fleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let instances = (0..size).map(|i| Instance {
            name_hash: rng.random(),
            zone: format!("z{}", i % zones),
            table: OriginTable::default(),
            sent: 0,
            bytes: 0,
            received: 0,
        });
        let instances = instances.collect();
        Fleet { instances, rng }
    }

    /// Begins a second's streams at each instance; returns their requests and where they began.
    fn begin_streams(&mut self) -> Vec<(String, usize)> {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        let mut streams = Vec::new();
        for at in all.iter().copied() {
            for _ in 0..STREAMS_PER_SEC {
                let request = format!("{:016x}", self.rng.random::<u64>());
                let record = OriginRecord {
                    request: request.clone(),
                    origin: Origin {
                        service: "hitch-drafting".to_string(),
                        version: "v1.1".to_string(),
                    },
                    ttl_ms: TTL_MS,
                };
                let bytes = serde_json::to_vec(&[&record]).expect("JSON").len() + HEADER_BYTES;
                self.instances[at].table.insert_own(0, &record);
                let holders = candidates(&self.instances, &all, &request);
                for holder in holders.into_iter().filter(|h| *h != at).take(HOLDERS) {
                    self.instances[at].sent += 1;
                    self.instances[at].bytes += bytes;
                    if !self.rng.random_ratio(1, LOST_DIVISOR) {
                        self.instances[holder].table.insert(0, &record);
                        self.instances[holder].received += 1;
                    }
                }
                streams.push((request, at));
            }
        }
        streams
    }

    /// Returns the percentage of the lost instances' streams whose origin the others know, if some of
    /// the lost ones are still `listed`.
    fn continued_pct(
        &self,
        streams: &[(String, usize)],
        lost: &[usize],
        listed: &[usize],
    ) -> usize {
        let cut = streams.iter().filter(|(_, at)| lost.contains(at));
        let (mut count, mut known) = (0, 0);
        for (request, _) in cut {
            count += 1;
            let asked = candidates(&self.instances, listed, request);
            let mut alive = asked.into_iter().filter(|i| !lost.contains(i));
            let knows = |i: usize| {
                let lookup = self.instances[i].table.lookup(1, request);
                lookup != Lookup::Unknown
            };
            known += usize::from(alive.any(knows));
        }
        known * 100 / count.max(1)
    }

    /// Returns the percentages after the loss, while the lost instances are listed and after that.
    fn lose(&self, streams: &[(String, usize)], lost: &[usize]) -> (usize, usize) {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        let left = all.iter().copied().filter(|i| !lost.contains(i));
        let left: Vec<usize> = left.collect();
        let while_listed = self.continued_pct(streams, lost, &all);
        (while_listed, self.continued_pct(streams, lost, &left))
    }
}

/// Guards against streams that can't go on because the instances that knew their versions were lost
/// together, and against a cost that grows with the fleet.
#[test]
fn origins_survive_the_loss_of_a_third_of_the_fleet_at_a_constant_cost() {
    for (size, zones) in FLEETS {
        let mut fleet = Fleet::new(size, zones, size as u64);
        let streams = fleet.begin_streams();
        let all: Vec<usize> = (0..size).collect();
        let zone = |i: &usize| fleet.instances[*i].zone == "z0";
        let zone: Vec<usize> = all.iter().copied().filter(zone).collect();
        let mut third = all.clone();
        third.shuffle(&mut StdRng::seed_from_u64(1));
        third.truncate(size / 3);
        let one = fleet.lose(&streams, &[0]);
        let after_zone = fleet.lose(&streams, &zone);
        let after_third = fleet.lose(&streams, &third);

        let max = |f: fn(&Instance) -> usize| fleet.instances.iter().map(f).max().unwrap_or(0);
        let (sent, bytes) = (max(|i| i.sent), max(|i| i.bytes));
        let (received, records) = (max(|i| i.received), max(|i| i.table.len()));
        println!(
            "{size} instances in {zones} zones, continued after one {one:?} %, a zone {after_zone:?} %, \
             a third {after_third:?} %; each second at most {sent} datagrams and {bytes} bytes sent, \
             {received} received, {records} records"
        );
        assert!(one.0.min(one.1) >= MIN_CONTINUED_AFTER_ONE_PCT, "{one:?}");
        for (while_listed, after) in [after_zone, after_third] {
            assert!(while_listed.min(after) >= MIN_CONTINUED_PCT);
        }
        assert!(bytes <= MAX_BYTES_PER_SEC, "{bytes} bytes per second");
    }
}
