//! Which segments of prompts are refused when upstreams crash, by a whole fleet with traffic of many
//! other segments.

mod common;

use std::collections::HashSet;

use common::{Fleet, CRASH_CHECK_MS, PROPAGATION_LIMIT_MS};
use rand::Rng;
use suspect::{Admission, Digest, Segment, Subject};

const SERVICE: &str = "pool";
/// Time from a crash to the next one while a segment crashes upstreams, in milliseconds.
const CRASH_INTERVAL_MS: u64 = 150;
/// Number of crashes after which the users' bound begins.
const CRASHES_BEFORE_BOUND: usize = 5;

fn segment(id: u64) -> Segment {
    Segment::new(SERVICE, id)
}

fn fatal() -> Segment {
    segment(0xbad)
}

/// Returns how many instances refuse a segment.
fn refusing_count(fleet: &Fleet, segment: Segment) -> usize {
    fleet.refusing_count(Subject::Segment(segment))
}

/// Makes an upstream crash with segments waiting at an instance.
fn crash(fleet: &mut Fleet, at: usize, incarnation: &str, waiting: &[Segment]) {
    let subjects: Vec<Subject> = waiting.iter().copied().map(Subject::Segment).collect();
    fleet.crash(at, incarnation, &subjects);
}

/// Lets the fleet run while every instance gets responses on sound segments.
fn advance_with_traffic(fleet: &mut Fleet, ms: u64, sound: &[Segment]) {
    for _ in 0..ms / 50 {
        let now = fleet.now;
        for (i, table) in fleet.tables.iter_mut().enumerate() {
            if (now / 50 + i as u64) % 4 == 0 {
                table.segments_survived(now, sound);
            }
        }
        fleet.advance(50);
    }
}

/// Each crash is seen by another instance; all instances refuse the segment within the limit after the
/// fifth crash, and none refuses one that is present at the same crashes and survives elsewhere.
#[test]
fn verdict_reaches_all_instances() {
    let (common, rare) = (segment(1), segment(2));
    for size in [8, 9, 30, 195, 985, 1_970] {
        let mut fleet = Fleet::new(size, size as u64);
        advance_with_traffic(&mut fleet, 400, &[common]);
        // Only one instance gets requests with the rare segment.
        let now = fleet.now;
        fleet.tables[size / 2].segments_survived(now, &[common, rare]);
        advance_with_traffic(&mut fleet, 4_000, &[common]);
        fleet.datagrams_sent = 0;
        fleet.bytes_sent_by.fill(0);
        for i in 0..CRASHES_BEFORE_BOUND {
            let at = i * size / CRASHES_BEFORE_BOUND;
            crash(
                &mut fleet,
                at,
                &format!("i-{i:010x}"),
                &[common, rare, fatal()],
            );
            advance_with_traffic(&mut fleet, CRASH_INTERVAL_MS - 50, &[common]);
        }
        let mut took = CRASH_INTERVAL_MS - 50;
        while refusing_count(&fleet, fatal()) < size {
            advance_with_traffic(&mut fleet, 50, &[common]);
            took += 50;
            assert!(
                took < PROPAGATION_LIMIT_MS,
                "{size}: {} refuse it",
                refusing_count(&fleet, fatal())
            );
        }
        advance_with_traffic(&mut fleet, PROPAGATION_LIMIT_MS, &[common]);
        for sound in [common, rare] {
            assert_eq!(refusing_count(&fleet, sound), 0, "{size}: {sound}");
        }
        println!(
            "{size} instances: refused by all {took} ms after the fifth crash; {} datagrams, {} bytes, \
             at most {} by one instance",
            fleet.datagrams_sent,
            fleet.bytes_sent_by.iter().sum::<usize>(),
            fleet.bytes_sent_by.iter().max().expect("there are instances")
        );
    }
}

/// How upstreams crash.
#[derive(Clone, Copy, Debug)]
enum Pattern {
    /// One after another, at intervals in milliseconds.
    Rolling(u64),
    /// A share of them at once, in percent, and the same share again later.
    AtOnce(u32),
    /// All at once, and some of them again soon after each start.
    Loop,
    /// Those that begin to respond to a request with the fatal segment, one in this many.
    Fatal(u32),
}

/// A request that waits for its response to go on.
#[derive(Clone, Debug)]
struct Waiting {
    instance: usize,
    upstream: usize,
    segments: [Segment; 2],
    begins_at: u64,
    survives_at: u64,
    retried: bool,
    request: Digest,
}

/// A fatal request that failed and that its caller sends again.
#[derive(Clone, Copy, Debug)]
struct Again {
    at: u64,
    segments: [Segment; 2],
    request: Digest,
}

/// A fleet with its upstreams and its traffic.
struct Simulation {
    fleet: Fleet,
    /// When each upstream is up again, and the number of its incarnation.
    upstreams: Vec<(u64, u32)>,
    waiting: Vec<Waiting>,
    /// Crashes that are not yet known: time, instance, incarnation.
    unnoticed: Vec<(u64, usize, String)>,
    crash_count: usize,
    refused: HashSet<Segment>,
    /// When all instances refused the fatal segment, and the number of crashes until then.
    detected: Option<(u64, usize)>,
    fifth_crash_at: u64,
    /// Whether the requests are known that had a segment at a crash, and callers send fatal ones again.
    with_requests: bool,
    request_count: u64,
    again: Vec<Again>,
    /// Number of requests with the fatal segment that were sent after the bound.
    sent_late: usize,
}

const INSTANCES: usize = 4;
const UPSTREAMS: usize = 18;
const REQUESTS_PER_SEC: u32 = 80;
/// At most one run in this many refuses a segment by chance.
const MIN_RUNS_PER_WRONG_VERDICT: u64 = 100;
/// Number of second segments; the n-th is 1/n as frequent as the first.
const SUBJECTS: u64 = 200;
const RESTART_MS: u64 = 3_000;
const SURVIVAL_MS: u64 = 200;
const STEP_MS: u64 = 10;

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            fleet: Fleet::new(INSTANCES, seed),
            upstreams: vec![(0, 0); UPSTREAMS],
            waiting: Vec::new(),
            unnoticed: Vec::new(),
            crash_count: 0,
            refused: HashSet::new(),
            detected: None,
            fifth_crash_at: u64::MAX,
            with_requests: false,
            request_count: 0,
            again: Vec::new(),
            sent_late: 0,
        }
    }

    fn with_requests(seed: u64) -> Simulation {
        Simulation {
            with_requests: true,
            ..Simulation::new(seed)
        }
    }

    fn new_request(&mut self) -> Digest {
        self.request_count += 1;
        Digest::of([self.request_count.to_be_bytes().as_slice()])
    }

    fn random_segments(&mut self, fatal_one_in: Option<u32>) -> [Segment; 2] {
        let rng = &mut self.fleet.rng;
        let first = segment(1_000 + rng.random_range(0..3));
        if fatal_one_in.is_some_and(|n| rng.random_ratio(1, n)) {
            return [first, fatal()];
        }
        let rank = (SUBJECTS as f64).powf(rng.random::<f64>()) as u64;
        [first, segment(rank)]
    }

    /// Sends a request to an upstream that is up; without one it fails.
    fn send(&mut self, instance: usize, segments: [Segment; 2], request: Digest, retried: bool) {
        let now = self.fleet.now;
        let whole = Subject::Request(request);
        if self.with_requests && self.fleet.tables[instance].admit(now, whole) != Admission::Allowed
        {
            return;
        }
        let subjects = segments.map(Subject::Segment);
        let table = &mut self.fleet.tables[instance];
        if !subjects
            .iter()
            .all(|s| table.admit(now, *s) == Admission::Allowed)
        {
            return;
        }
        let up = self.upstreams.iter().enumerate();
        let up: Vec<usize> = up.filter(|(_, u)| u.0 <= now).map(|(i, _)| i).collect();
        if up.is_empty() {
            return;
        }
        let rng = &mut self.fleet.rng;
        let upstream = up[rng.random_range(0..up.len())];
        let begins_at = now + rng.random_range(50..600);
        let is_late = now > self.fifth_crash_at.saturating_add(PROPAGATION_LIMIT_MS);
        self.sent_late += usize::from(is_late && segments.contains(&fatal()));
        self.waiting.push(Waiting {
            instance,
            upstream,
            segments,
            begins_at,
            survives_at: begins_at + SURVIVAL_MS,
            retried,
            request,
        });
    }

    /// Makes upstreams crash at the same time.
    fn crash(&mut self, upstreams: &[usize], restart_ms: u64) {
        let now = self.fleet.now;
        let mut lost = Vec::new();
        for &upstream in upstreams {
            let (up_at, number) = self.upstreams[upstream];
            if up_at > now {
                continue;
            }
            self.crash_count += 1;
            if self.crash_count == CRASHES_BEFORE_BOUND {
                self.fifth_crash_at = now;
            }
            self.upstreams[upstream] = (now + restart_ms, number + 1);
            let incarnation = format!("i-{upstream:04}{number:06}");
            let here = |w: &Waiting| w.upstream == upstream;
            let (lost_here, left): (Vec<Waiting>, Vec<Waiting>) = std::mem::take(&mut self.waiting)
                .into_iter()
                .partition(here);
            self.waiting = left;
            for request in &lost_here {
                let table = &mut self.fleet.tables[request.instance];
                if self.with_requests {
                    let whole = Subject::Request(request.request);
                    table.connection_broke(now, &incarnation, whole);
                }
                for segment in request.segments {
                    if self.with_requests {
                        table.segment_lost(now, &incarnation, segment, request.request);
                    } else {
                        table.connection_broke(now, &incarnation, Subject::Segment(segment));
                    }
                }
                let noticed_at = now + CRASH_CHECK_MS + STEP_MS;
                let notice = (noticed_at, request.instance, incarnation.clone());
                self.unnoticed.push(notice);
            }
            lost.extend(lost_here);
        }
        for lost in lost {
            if !lost.retried {
                self.send(lost.instance, lost.segments, lost.request, true);
            } else if self.with_requests && lost.segments.contains(&fatal()) {
                let at = now + self.fleet.rng.random_range(300..1_500);
                let (segments, request) = (lost.segments, lost.request);
                self.again.push(Again {
                    at,
                    segments,
                    request,
                });
            }
        }
    }

    fn step(&mut self, fatal_one_in: Option<u32>) {
        let now = self.fleet.now;
        let per_step = f64::from(REQUESTS_PER_SEC) * STEP_MS as f64 / 1_000.0;
        let count = per_step as u32 + u32::from(self.fleet.rng.random_bool(per_step.fract()));
        for _ in 0..count {
            let instance = self.fleet.rng.random_range(0..INSTANCES);
            let segments = self.random_segments(fatal_one_in);
            let request = self.new_request();
            self.send(instance, segments, request, false);
        }
        let (due, later) = self.again.iter().partition(|a| a.at <= now);
        self.again = later;
        let due: Vec<Again> = due;
        for again in due {
            let instance = self.fleet.rng.random_range(0..INSTANCES);
            self.send(instance, again.segments, again.request, false);
        }
        let begins = self.waiting.iter().filter(|w| w.begins_at <= now);
        let crashing = begins.filter(|w| w.segments.contains(&fatal()));
        let crashing: Vec<usize> = crashing.map(|w| w.upstream).collect();
        self.crash(&crashing, RESTART_MS);
        let (survived, waiting): (Vec<Waiting>, Vec<Waiting>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.survives_at <= now);
        self.waiting = waiting;
        for request in survived {
            self.fleet.tables[request.instance].segments_survived(now, &request.segments);
        }
        let (noticed, unnoticed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unnoticed)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.unnoticed = unnoticed;
        for (_, instance, incarnation) in noticed {
            self.fleet.tables[instance].upstream_crashed(now, &incarnation);
        }
        for table in &mut self.fleet.tables {
            if self.with_requests {
                table.take_verdicts(now);
            }
            self.refused.extend(table.refused_segments());
        }
        if self.detected.is_none() && refusing_count(&self.fleet, fatal()) == INSTANCES {
            self.detected = Some((now, self.crash_count));
        }
        self.fleet.advance(STEP_MS);
    }

    fn random_upstreams(&mut self, percent: u32) -> Vec<usize> {
        let rng = &mut self.fleet.rng;
        let all = 0..UPSTREAMS;
        all.filter(|_| rng.random_ratio(percent, 100)).collect()
    }

    /// Lets each instance know the segments of which a response has gone on there within a minute.
    fn begin_with_known_segments(&mut self) {
        let per_instance = 60.0 * f64::from(REQUESTS_PER_SEC) / INSTANCES as f64;
        for rank in 1..SUBJECTS {
            let share = (1.0 + 1.0 / rank as f64).ln() / (SUBJECTS as f64).ln();
            let unknown = (-per_instance * share).exp();
            for table in &mut self.fleet.tables {
                if !self.fleet.rng.random_bool(unknown) {
                    table.segments_survived(0, &[segment(rank)]);
                }
            }
        }
    }

    fn run(&mut self, pattern: Pattern) {
        self.begin_with_known_segments();
        let begin_ms = 3_000;
        while self.fleet.now < 12_000 {
            let now = self.fleet.now;
            let elapsed = now.checked_sub(begin_ms);
            match (pattern, elapsed) {
                (Pattern::Rolling(interval), Some(ms)) if ms % interval == 0 => {
                    let upstream = self.fleet.rng.random_range(0..UPSTREAMS);
                    self.crash(&[upstream], RESTART_MS);
                }
                (Pattern::AtOnce(percent), Some(0 | 4_000)) => {
                    let upstreams = self.random_upstreams(percent);
                    self.crash(&upstreams, RESTART_MS);
                }
                (Pattern::Loop, Some(ms)) if ms < 6_000 && ms % 500 == 0 => {
                    let upstreams = self.random_upstreams(if ms == 0 { 100 } else { 67 });
                    self.crash(&upstreams, 700);
                }
                _ => {}
            }
            let fatal_one_in = match pattern {
                Pattern::Fatal(n) if now >= begin_ms => Some(n),
                _ => None,
            };
            self.step(fatal_one_in);
        }
    }
}

/// Guards against refusing segments that are present at crashes by chance: upstreams crash one after
/// another, many at once, and again and again, with the segments of all requests aboard.
#[test]
fn crashes_for_another_reason_refuse_no_segment() {
    const SEEDS: u64 = 400;
    let patterns = [
        Pattern::Rolling(200),
        Pattern::Rolling(1_000),
        Pattern::AtOnce(33),
        Pattern::AtOnce(100),
        Pattern::Loop,
    ];
    for pattern in patterns {
        let (mut runs, mut refused, mut crashes) = (0, 0, 0);
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(seed);
            simulation.run(pattern);
            runs += usize::from(!simulation.refused.is_empty());
            refused += simulation.refused.len();
            crashes += simulation.crash_count;
        }
        assert!(
            runs as u64 <= SEEDS / MIN_RUNS_PER_WRONG_VERDICT,
            "{pattern:?}: {refused} segments refused in {runs} runs"
        );
        println!(
            "{pattern:?}: {refused} segments refused in {runs} of {SEEDS} runs, {} crashes a run",
            crashes as u64 / SEEDS
        );
    }
}

/// The fatal segment is refused by all instances within the limit after the fifth crash, and nothing else.
#[test]
fn only_the_segment_that_crashes_upstreams_is_refused() {
    const SEEDS: u64 = 200;
    for one_in in [100, 10, 2] {
        let (mut slowest, mut most, mut others) = (0, 0, 0);
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(seed);
            simulation.run(Pattern::Fatal(one_in));
            let Some((at, crashes)) = simulation.detected else {
                assert!(simulation.crash_count < 5, "seed {seed}: not detected");
                continue;
            };
            slowest = slowest.max(at.saturating_sub(simulation.fifth_crash_at));
            most = most.max(crashes);
            others += simulation.refused.iter().filter(|s| **s != fatal()).count();
        }
        println!(
            "one in {one_in}: refused by all at most {slowest} ms after the fifth crash and after at most \
             {most} crashes; {others} other segments refused in {SEEDS} runs"
        );
        assert!(slowest < PROPAGATION_LIMIT_MS);
    }
}

/// Guards against fatal requests that are sent on because their callers send them again, and against refusing other
/// segments because of that.
#[test]
fn only_the_segment_is_refused_if_callers_send_its_requests_again() {
    const SEEDS: u64 = 200;
    /// The users' bound, trials included.
    const MAX_SENT_LATE: usize = 3;
    for one_in in [100, 30, 10, 2] {
        let (mut most, mut crashes, mut others) = (0, 0, 0);
        for seed in 0..SEEDS {
            let mut simulation = Simulation::with_requests(seed);
            simulation.run(Pattern::Fatal(one_in));
            most = most.max(simulation.sent_late);
            crashes = crashes.max(simulation.crash_count);
            others += simulation.refused.iter().filter(|s| **s != fatal()).count();
        }
        println!(
            "one in {one_in}: at most {most} sent late, {crashes} crashes; {others} other segments refused in \
             {SEEDS} runs"
        );
        assert!(most <= MAX_SENT_LATE, "one in {one_in}: {most} sent late");
        assert!(
            others as u64 <= SEEDS / MIN_RUNS_PER_WRONG_VERDICT,
            "one in {one_in}: {others} other segments refused"
        );
    }
}

/// Guards against refusing segments that are present at crashes by chance where it is known which requests had them.
#[test]
fn crashes_for_another_reason_refuse_no_segment_of_known_requests() {
    const SEEDS: u64 = 400;
    let patterns = [Pattern::Rolling(200), Pattern::AtOnce(100), Pattern::Loop];
    for pattern in patterns {
        let mut runs = 0;
        for seed in 0..SEEDS {
            let mut simulation = Simulation::with_requests(seed);
            simulation.run(pattern);
            runs += u64::from(!simulation.refused.is_empty());
        }
        println!("{pattern:?}: segments refused in {runs} of {SEEDS} runs");
        assert!(
            runs <= SEEDS / MIN_RUNS_PER_WRONG_VERDICT,
            "{pattern:?}: segments refused in {runs} runs"
        );
    }
}
