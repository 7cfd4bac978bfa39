//! The schedule of faults. The same seed, duration and size give the same schedule.

use std::ops::Range;

use platform::stub::{Cut, Faults, Mode};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::retry_schedule::retry_schedule;

/// Minimum duration of a run, in seconds: shorter ones have no time for each phase.
pub const MIN_SECONDS: u64 = 50;
/// Number of upstreams of each service.
pub const UPSTREAMS_PER_SERVICE: usize = 3;
/// Number of all upstreams.
pub const UPSTREAMS: usize = 2 * UPSTREAMS_PER_SERVICE;
/// Number of keys that are removed one after the other.
pub const REMOVABLE_KEYS: usize = 3;
/// When the first fault begins, in milliseconds.
const FIRST_FAULT_MS: u64 = 7_000;
/// When an upstream takes the address of another one before that, while there is no other fault, and when an
/// upstream of the other service then begins to answer 421 falsely; and how long each lasts. In milliseconds.
const TAKE_OVER_AT_MS: u64 = 1_500;
const TAKE_OVER_MS: u64 = 1_500;
const FALSE_MISDIRECTS_AT_MS: u64 = 4_000;
const FALSE_MISDIRECTS_MS: u64 = 1_000;
/// Time before the end at which all instances are killed, in milliseconds.
const KILL_ALL_BEFORE_END_MS: u64 = 22_000;
/// Time without other faults around the planned stop that is checked strictly, in milliseconds.
const QUIET_MS: u64 = 10_000;
/// Duration of a fault, in milliseconds.
const FAULT_MS: Range<u64> = 300..4_000;
/// Time between the beginnings of two faults, in milliseconds, unless they begin together.
const GAP_MS: Range<u64> = 200..1_500;
/// Duration of the outage of the store in which a holder of tokens is killed, in milliseconds; how long after its
/// beginning, and how long the holder is down. The outage goes on when the holder starts again.
const TOKEN_OUTAGE_MS: u64 = 4_000;
const HOLDER_KILL_AFTER_MS: u64 = 1_000;
const HOLDER_DOWN_MS: u64 = 1_000;
/// When an upstream with buffered responses answers with the id of another request in each run, and for how long, in
/// milliseconds: the drawn faults alone rarely contain it.
const WRONG_ID_AT_MS: u64 = FIRST_FAULT_MS + 1_000;
const WRONG_ID_MS: u64 = 1_500;
/// Time from the removal of a key until the store has the version before it again, and for how long, in
/// milliseconds: instances have learnt of the removal by then.
const OLDER_CONFIG_AFTER_MS: u64 = 3_000;
const OLDER_CONFIG_MS: u64 = 1_000;
/// Number of requests of a burst: several times what the slots of all engines take.
pub const BURST_REQUESTS: usize = 60;
/// Time from a burst to the planned stop of its instance, in milliseconds: most of its requests still wait.
const BURST_BEFORE_STOP_MS: u64 = 150;
/// Delay of an upstream that hangs, in milliseconds: longer than callers wait.
const HANG_MS: u64 = 6_000;
/// Share of faults that begin together with the one before.
const OVERLAP_SHARE: f64 = 0.3;

/// The ways in which paths are cut.
const CUTS: [Cut; 6] = [
    Cut::Hang,
    Cut::HangReplies,
    Cut::Reset,
    Cut::Refuse,
    Cut::RefuseNew,
    Cut::Delay(150),
];

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Each call is refused.
    Unavailable,
    /// Calls hang.
    Silent,
    /// Writes take effect late, in milliseconds.
    Slow(u64),
    /// This number of writes take effect without a response.
    LostResponses(u32),
    /// This number of writes take effect late without a response.
    LateWrites(u32),
    /// Watches report nothing.
    StalledWatches,
    /// Lists are stale.
    StaleLists,
    /// The history is dropped.
    Compacted,
}

impl StoreFault {
    /// Returns the faults to inject.
    pub fn faults(self) -> Faults {
        let none = Faults::default();
        match self {
            StoreFault::Unavailable => Faults {
                unavailable: true,
                ..none
            },
            StoreFault::Silent => Faults {
                unresponsive: true,
                ..none
            },
            StoreFault::Slow(ms) => Faults {
                slow_commit_ms: ms,
                ..none
            },
            StoreFault::LostResponses(count) => Faults {
                lost_responses: count,
                ..none
            },
            StoreFault::LateWrites(count) => Faults {
                delayed_commits: Some((count, 1_000)),
                ..none
            },
            StoreFault::StalledWatches => Faults {
                stall_watches: true,
                ..none
            },
            StoreFault::StaleLists => Faults {
                stale_lists: true,
                ..none
            },
            StoreFault::Compacted => none,
        }
    }
}

/// Which paths of an instance are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathKind {
    /// From its callers.
    Callers,
    /// To the store.
    Store,
    /// To all upstreams.
    Upstreams,
}

/// The direction of paths between an instance and others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the instance.
    Out,
    /// To the instance.
    In,
    /// Both of them.
    Both,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is paused and continues.
    Pause {
        /// The instance.
        instance: usize,
    },
    /// An instance is killed and started again.
    Kill {
        /// The instance.
        instance: usize,
    },
    /// The instance that holds the most tokens of the customer `tight` is killed and started again.
    KillHolder,
    /// The instance that keeps the accounts of the most attempts at engines is killed and started again.
    KillOwner,
    /// It is paused and continues.
    PauseOwner,
    /// An instance is stopped as planned and started again.
    Stop {
        /// The instance.
        instance: usize,
    },
    /// Paths of an instance are cut.
    Cut {
        /// The instance.
        instance: usize,
        /// Which of its paths.
        path: PathKind,
        /// How they are cut.
        cut: Cut,
    },
    /// Paths between an instance and others are cut: their calls, the requests that they forward for each
    /// other, and their datagrams.
    CutPeers {
        /// The instance.
        instance: usize,
        /// The other instance; all others if there is none.
        other: Option<usize>,
        /// Which of the paths.
        direction: Direction,
        /// How they are cut.
        cut: Cut,
    },
    /// The store has a fault.
    Store(StoreFault),
    /// An upstream misbehaves.
    Upstream {
        /// The upstream.
        upstream: usize,
        /// How it handles requests.
        mode: Mode,
    },
    /// An upstream is suspended. It reads afterwards what was sent to it, also what was given up meanwhile.
    SuspendUpstream {
        /// The upstream.
        upstream: usize,
    },
    /// An upstream mishandles some requests, while its health checks succeed.
    Grey {
        /// The upstream.
        upstream: usize,
        /// How it handles them.
        mode: Mode,
        /// The percentage of these requests.
        percent: usize,
    },
    /// An upstream crashes and starts again under the same id, at another address.
    RestartUpstream {
        /// The upstream.
        upstream: usize,
    },
    /// Another upstream takes the address of one that has crashed, and answers 421 to requests for that one. At the
    /// end the first one is back, at a new address.
    TakeOverAddress {
        /// The upstream that crashes.
        upstream: usize,
    },
    /// An upstream answers 421 to all requests although they are for it.
    FalseMisdirects {
        /// The upstream.
        upstream: usize,
    },
    /// A version of the configuration without this key comes into force.
    RemoveKey(usize),
    /// The store has the version of the configuration before the latest one for some time.
    OlderConfig,
    /// Callers of an instance send many streams at once, so that some wait and their callers leave. This is load
    /// that the fleet must cope with, and no fault.
    Burst {
        /// The instance.
        instance: usize,
    },
    /// All instances are killed at once and started again.
    KillAll,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, in milliseconds since the start of the run.
    pub at: u64,
    /// How long it lasts, in milliseconds; 0 if it has no duration.
    pub duration: u64,
    /// What happens.
    pub fault: Fault,
}

/// Which faults a run contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plan {
    /// All kinds.
    #[default]
    Any,
    /// Upstreams of whole services that fail, and instances that are killed, suspended, stopped or cut off meanwhile.
    Retries,
}

impl Plan {
    /// Returns the schedule of a run, in the order of the times.
    pub fn steps(self, seed: u64, seconds: u64, instances: usize) -> Vec<Step> {
        match self {
            Plan::Any => schedule(seed, seconds, instances),
            Plan::Retries => retry_schedule(seed, seconds, instances),
        }
    }
}

/// Returns the schedule of a run with all kinds of faults, in the order of the times.
pub fn schedule(seed: u64, seconds: u64, instances: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let kill_all_at = seconds * 1_000 - KILL_ALL_BEFORE_END_MS;
    let quiet_from = (FIRST_FAULT_MS + kill_all_at - QUIET_MS) / 2;
    let quiet = quiet_from..quiet_from + QUIET_MS;
    let mut steps = address_faults(&mut rng).to_vec();
    steps.extend(storm(&mut rng, FIRST_FAULT_MS..quiet.start, instances));
    let instance = rng.random_range(0..instances);
    let stop_at = quiet.start + QUIET_MS / 2;
    for (at, fault) in [
        (stop_at - BURST_BEFORE_STOP_MS, Fault::Burst { instance }),
        (stop_at, Fault::Stop { instance }),
    ] {
        let duration = 0;
        steps.push(Step {
            at,
            duration,
            fault,
        });
    }
    steps.extend(lost_tokens(quiet.end));
    steps.extend(storm(&mut rng, quiet.end..kill_all_at, instances));
    steps.push(Step {
        at: kill_all_at,
        duration: 0,
        fault: Fault::KillAll,
    });
    for key in 0..REMOVABLE_KEYS {
        let at = FIRST_FAULT_MS + (kill_all_at - FIRST_FAULT_MS) * key as u64 / 4;
        steps.push(Step {
            at,
            duration: 0,
            fault: Fault::RemoveKey(key),
        });
        steps.push(Step {
            at: at + OLDER_CONFIG_AFTER_MS,
            duration: OLDER_CONFIG_MS,
            fault: Fault::OlderConfig,
        });
    }
    steps.push(Step {
        at: WRONG_ID_AT_MS,
        duration: WRONG_ID_MS,
        fault: Fault::Upstream {
            upstream: rng.random_range(0..UPSTREAMS_PER_SERVICE),
            mode: Mode::WrongId,
        },
    });
    steps.sort_by_key(|s| s.at);
    steps
}

/// Returns the faults of the addresses of upstreams that come without others.
fn address_faults(rng: &mut ChaCha8Rng) -> [Step; 2] {
    let upstream = rng.random_range(0..UPSTREAMS);
    let of_other_service = (upstream + UPSTREAMS_PER_SERVICE) % UPSTREAMS;
    [
        Step {
            at: TAKE_OVER_AT_MS,
            duration: TAKE_OVER_MS,
            fault: Fault::TakeOverAddress { upstream },
        },
        Step {
            at: FALSE_MISDIRECTS_AT_MS,
            duration: FALSE_MISDIRECTS_MS,
            fault: Fault::FalseMisdirects {
                upstream: of_other_service,
            },
        },
    ]
}

/// Returns an outage of the store in which the holder of a customer's tokens is killed.
fn lost_tokens(at: u64) -> [Step; 2] {
    [
        Step {
            at,
            duration: TOKEN_OUTAGE_MS,
            fault: Fault::Store(StoreFault::Unavailable),
        },
        Step {
            at: at + HOLDER_KILL_AFTER_MS,
            duration: HOLDER_DOWN_MS,
            fault: Fault::KillHolder,
        },
    ]
}

/// Returns faults that begin and end within a span, in series and overlapping.
fn storm(rng: &mut ChaCha8Rng, span: Range<u64>, instances: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = span.start;
    while at < span.end {
        let duration = rng.random_range(FAULT_MS).min(span.end - at);
        let fault = random_fault(rng, instances);
        steps.push(Step {
            at,
            duration,
            fault,
        });
        if !rng.random_bool(OVERLAP_SHARE) {
            at += rng.random_range(GAP_MS);
        }
    }
    steps
}

fn random_fault(rng: &mut ChaCha8Rng, instances: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    let upstream = rng.random_range(0..UPSTREAMS);
    match rng.random_range(0..23) {
        0 | 1 => Fault::Pause { instance },
        2 => Fault::Kill { instance },
        3 => Fault::Stop { instance },
        4..=6 => Fault::Cut {
            instance,
            path: pick(
                rng,
                &[PathKind::Callers, PathKind::Store, PathKind::Upstreams],
            ),
            cut: pick(rng, &CUTS),
        },
        7 | 8 => Fault::Store(pick(
            rng,
            &[
                StoreFault::Unavailable,
                StoreFault::Silent,
                StoreFault::Slow(300),
                StoreFault::LostResponses(3),
                StoreFault::LateWrites(3),
                StoreFault::StalledWatches,
                StoreFault::StaleLists,
                StoreFault::Compacted,
            ],
        )),
        9 => Fault::RestartUpstream { upstream },
        22 => Fault::OlderConfig,
        19 => Fault::KillHolder,
        20 => Fault::KillOwner,
        21 => Fault::PauseOwner,
        17 => Fault::TakeOverAddress { upstream },
        18 => Fault::FalseMisdirects { upstream },
        10 | 11 => Fault::Burst { instance },
        12..=14 => Fault::CutPeers {
            instance,
            other: random_other(rng, instance, instances),
            direction: pick(rng, &[Direction::Out, Direction::In, Direction::Both]),
            cut: pick(rng, &CUTS),
        },
        _ => Fault::Upstream {
            upstream,
            mode: pick(
                rng,
                &[
                    Mode::NotExecuted,
                    Mode::Error,
                    Mode::NoResponse,
                    Mode::Delayed(800),
                    Mode::Delayed(HANG_MS),
                    Mode::Truncated(3),
                    Mode::ExtraResponse,
                    Mode::WrongId,
                    Mode::NoSeal,
                    Mode::CloseDelimitedTruncated(2),
                    Mode::CloseDelimitedReset(4),
                ],
            ),
        },
    }
}

/// Returns an instance other than this one, or none for all others.
fn random_other(rng: &mut ChaCha8Rng, instance: usize, instances: usize) -> Option<usize> {
    let distance = rng.random_range(0..instances);
    (distance > 0).then_some((instance + distance) % instances)
}

/// Returns a random one of some values.
///
/// # Panics
///
/// Panics if there are none.
pub(crate) fn pick<T: Copy>(rng: &mut ChaCha8Rng, values: &[T]) -> T {
    *values.choose(rng).expect("values to choose from")
}
