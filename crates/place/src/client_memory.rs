//! How a process divides its memory among the clients of its listeners.
//!
//! Clients that nobody controls may open many connections and send, on each of them, as much as they are let. A
//! process above its memory limit is killed together with the requests of all others, so what is received has a
//! share of the memory that does not grow with the number of clients.

/// Percentages of the memory limit for what is received from callers, from other instances and from operators, and for
/// each listener that only reports the state of the process.
const CALLERS_PCT: usize = 30;
const INSTANCES_PCT: usize = 6;
const OPERATORS_PCT: usize = 10;
const REPORTS_PCT: usize = 3;
/// Percentage of the memory limit that open connections of callers may use between requests, and memory of such a
/// connection with its buffers, in bytes.
const CONNECTIONS_PCT: usize = 15;
const CONNECTION_BYTES: usize = 16 << 10;

/// The memory for clients, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientMemory {
    /// For what is received from callers.
    pub callers: usize,
    /// For what is received from other instances.
    pub instances: usize,
    /// For what is received from operators, among it whole configurations.
    pub operators: usize,
    /// For each listener that only reports the state of the process.
    pub reports: usize,
    /// Maximum number of open connections of callers.
    pub connections: usize,
}

impl ClientMemory {
    /// Divides the memory of a process with a limit in megabytes.
    pub fn divide(memory_mb: u64) -> ClientMemory {
        let share = |pct: usize| ((memory_mb as usize) << 20) / 100 * pct;
        ClientMemory {
            callers: share(CALLERS_PCT),
            instances: share(INSTANCES_PCT),
            operators: share(OPERATORS_PCT),
            reports: share(REPORTS_PCT),
            connections: share(CONNECTIONS_PCT) / CONNECTION_BYTES,
        }
    }
}
