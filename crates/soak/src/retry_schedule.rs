//! Schedules of faults in which instances retry as much as they may.

use std::ops::Range;

use platform::stub::{Cut, Mode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::schedule::{
    pick, Direction, Fault, PathKind, Step, StoreFault, UPSTREAMS, UPSTREAMS_PER_SERVICE,
};

/// When the first fault may begin, and how long before the end of a run the last ones begin, in milliseconds.
const FIRST_FAULT_MS: u64 = 4_000;
const LAST_FAULT_BEFORE_END_MS: u64 = 8_000;
/// Time for which the upstreams of a service fail, in milliseconds, and between two such times. The longer ones contain
/// whole windows of the retry budget.
const OUTAGE_MS: Range<u64> = 4_000..25_000;
const OUTAGE_GAP_MS: Range<u64> = 300..9_000;
/// Percentages of the requests that fail: an upstream with the last one fails its health checks as well.
const FAILING_PERCENTS: [usize; 4] = [60, 80, 90, 100];
/// Share of these times at which some of the upstreams are suspended as well.
const SUSPENDED_SHARE: f64 = 0.4;
/// Time between two faults of instances, in milliseconds.
const GAP_MS: Range<u64> = 300..5_000;
/// Time for which instances or upstreams are suspended, and instances are down or cut off, in milliseconds.
const PAUSE_MS: Range<u64> = 300..8_000;
const DOWN_MS: Range<u64> = 0..2_000;
const REMOVED_MS: Range<u64> = 5_000..15_000;
const CUT_MS: Range<u64> = 300..6_000;
/// Share of the faults of instances that affect all of them, and share beside which the store is unavailable.
const ALL_SHARE: f64 = 0.6;
const STORE_OUTAGE_SHARE: f64 = 0.1;

/// What happens to instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Pause,
    Kill,
    /// They are killed and stay away for several seconds.
    Remove,
    /// They are stopped as planned, one after the other.
    StopInTurn,
    Cut,
    CutPeers,
}

/// The kinds, by how often they are drawn.
const KINDS: [Kind; 10] = [
    Kind::Pause,
    Kind::Pause,
    Kind::Pause,
    Kind::Pause,
    Kind::Kill,
    Kind::Kill,
    Kind::Remove,
    Kind::StopInTurn,
    Kind::Cut,
    Kind::CutPeers,
];

/// Returns the schedule of a seed, in the order of the times.
pub(crate) fn retry_schedule(seed: u64, seconds: u64, instances: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let span = FIRST_FAULT_MS..seconds * 1_000 - LAST_FAULT_BEFORE_END_MS;
    let mut steps = Vec::new();
    let (desk, pool) = (0..UPSTREAMS_PER_SERVICE, UPSTREAMS_PER_SERVICE..UPSTREAMS);
    for upstreams in [desk, pool] {
        steps.extend(outages(&mut rng, &span, upstreams));
    }
    let mut at = span.start;
    while at < span.end {
        steps.extend(instance_faults(&mut rng, at, instances));
        at += rng.random_range(GAP_MS);
    }
    steps.sort_by_key(|s| s.at);
    steps
}

/// Returns times at which these upstreams fail.
fn outages(rng: &mut ChaCha8Rng, span: &Range<u64>, upstreams: Range<usize>) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = span.start + rng.random_range(OUTAGE_GAP_MS);
    while at < span.end {
        let duration = rng.random_range(OUTAGE_MS).min(span.end - at);
        let modes = [Mode::NotExecuted, Mode::NoResponse, Mode::Truncated(3)];
        let (mode, percent) = (pick(rng, &modes), pick(rng, &FAILING_PERCENTS));
        let fault = |upstream| match percent {
            100 => Fault::Upstream { upstream, mode },
            _ => Fault::Grey {
                upstream,
                mode,
                percent,
            },
        };
        steps.extend(upstreams.clone().map(|upstream| Step {
            at,
            duration,
            fault: fault(upstream),
        }));
        if rng.random_bool(SUSPENDED_SHARE) {
            let suspended = rng.random_range(1..=upstreams.len());
            let suspended_at = at + rng.random_range(0..duration);
            let length = rng.random_range(PAUSE_MS);
            steps.extend(upstreams.clone().take(suspended).map(|upstream| Step {
                at: suspended_at,
                duration: length,
                fault: Fault::SuspendUpstream { upstream },
            }));
        }
        at += duration + rng.random_range(OUTAGE_GAP_MS);
    }
    steps
}

/// Returns a fault of one instance, of several or of all, which begins at a time.
fn instance_faults(rng: &mut ChaCha8Rng, at: u64, instances: usize) -> Vec<Step> {
    let kind = pick(rng, &KINDS);
    let duration = match kind {
        Kind::Pause => rng.random_range(PAUSE_MS),
        Kind::Kill => rng.random_range(DOWN_MS),
        Kind::Remove => rng.random_range(REMOVED_MS),
        Kind::StopInTurn => 0,
        Kind::Cut | Kind::CutPeers => rng.random_range(CUT_MS),
    };
    let first = rng.random_range(0..instances);
    // If all were removed, no instance would be left for seconds.
    let affects_all = rng.random_bool(ALL_SHARE) && kind != Kind::Remove;
    let count = match affects_all {
        true => instances,
        false => rng.random_range(1..=instances.div_ceil(2)),
    };
    let gap_ms = match kind {
        Kind::StopInTurn => rng.random_range(GAP_MS),
        _ => 0,
    };
    let path = pick(
        rng,
        &[PathKind::Store, PathKind::Upstreams, PathKind::Callers],
    );
    let cut = pick(rng, &[Cut::Hang, Cut::Reset, Cut::Refuse, Cut::Delay(150)]);
    let fault = |instance| match kind {
        Kind::Pause => Fault::Pause { instance },
        Kind::Kill | Kind::Remove => Fault::Kill { instance },
        Kind::StopInTurn => Fault::Stop { instance },
        Kind::Cut => Fault::Cut {
            instance,
            path,
            cut,
        },
        Kind::CutPeers => Fault::CutPeers {
            instance,
            other: None,
            direction: Direction::Both,
            cut,
        },
    };
    let affected = (first..first + count).map(|i| i % instances);
    let steps = (0..).zip(affected).map(|(n, instance)| Step {
        at: at + n * gap_ms,
        duration,
        fault: fault(instance),
    });
    let mut steps: Vec<Step> = steps.collect();
    if rng.random_bool(STORE_OUTAGE_SHARE) {
        steps.push(Step {
            at,
            duration: rng.random_range(CUT_MS),
            fault: Fault::Store(StoreFault::Unavailable),
        });
    }
    steps
}
