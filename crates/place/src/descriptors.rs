//! How a process divides its file descriptors: one that has none left accepts no connection, and connects to no
//! upstream, peer or store.

/// Percentages of the descriptors for connections of callers, to upstreams, of other instances, and of operators at
/// each of their listeners. The rest is for connections to other instances and to the store, listeners and files.
const CALLERS_PCT: u64 = 60;
const UPSTREAMS_PCT: u64 = 25;
const INSTANCES_PCT: u64 = 7;
const OPERATORS_PCT: u64 = 2;

/// The maximum numbers of connections of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Of callers, and of instances whose requests are forwarded.
    pub callers: usize,
    /// To upstreams, and to instances that forward requests.
    pub upstreams: usize,
    /// Of other instances that call this one.
    pub instances: usize,
    /// Of load balancers and operators, at each of their listeners.
    pub operators: usize,
}

impl Descriptors {
    /// Divides a number of descriptors.
    pub fn divide(max_fds: u64) -> Descriptors {
        let share = |pct: u64| ((max_fds * pct / 100) as usize).max(1);
        Descriptors {
            callers: share(CALLERS_PCT),
            upstreams: share(UPSTREAMS_PCT),
            instances: share(INSTANCES_PCT),
            operators: share(OPERATORS_PCT),
        }
    }
}
