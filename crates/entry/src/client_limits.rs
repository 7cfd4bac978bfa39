//! What the clients of an instance's listeners may use, from the limits of its process and its machine.

use conf::Settings;
use place::{ClientMemory, Descriptors};
use rustix::process::{getrlimit, Resource};
use web::{Limits, Memory};

use crate::peer_clients::MAX_MESSAGE_BYTES;

/// Memory limit of a process that can't read how much its machine has, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 1_024;
/// Number of descriptors of a process without a limit of its own.
const DEFAULT_FDS: u64 = 1 << 20;
/// Maximum size of the headers of a request, in bytes.
const HEADER_BYTES: usize = 16 << 10;
/// Maximum size of the body of an operator's request, in bytes.
const OPERATOR_BODY_BYTES: usize = 64 << 20;
/// Size of the receive buffer of a connection, in bytes: what a link of 50 Mbit/s carries within 5 ms.
const BUFFER_BYTES: usize = 32 << 10;

/// What the clients of the listeners may use.
pub(crate) struct ClientLimits {
    pub(crate) callers: Limits,
    pub(crate) operators: Limits,
    pub(crate) instances: Limits,
}

impl ClientLimits {
    /// Divides the memory and the descriptors that the settings name, or those of the machine and the process.
    pub(crate) fn new(settings: &Settings) -> ClientLimits {
        let fleet = settings.fleet.as_ref();
        let memory_mb = fleet.and_then(|f| f.memory_mb).or_else(machine_memory_mb);
        let memory = ClientMemory::divide(memory_mb.unwrap_or(DEFAULT_MEMORY_MB));
        let max_fds = fleet.and_then(|f| f.max_fds);
        let max_fds = max_fds.or_else(|| getrlimit(Resource::Nofile).current);
        let descriptors = Descriptors::divide(max_fds.unwrap_or(DEFAULT_FDS));
        let limits = |connections, body_bytes, memory| Limits {
            connections,
            header_bytes: HEADER_BYTES,
            body_bytes,
            receive_buffer_bytes: BUFFER_BYTES,
            memory: Memory::new(memory),
        };
        ClientLimits {
            callers: limits(
                descriptors.callers.min(memory.connections),
                settings.body_limit() as usize,
                memory.callers,
            )
            .with_room_for_heads(),
            operators: limits(descriptors.operators, OPERATOR_BODY_BYTES, memory.operators),
            instances: limits(
                descriptors.instances,
                MAX_MESSAGE_BYTES as usize,
                memory.instances,
            ),
        }
    }
}

/// Returns the memory of the machine in megabytes, or of the control group of this process if that has less.
fn machine_memory_mb() -> Option<u64> {
    let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let total_kb = total.and_then(|t| t.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    let group = std::fs::read_to_string("/sys/fs/cgroup/memory.max").unwrap_or_default();
    let group_bytes = group.trim().parse::<u64>().ok();
    let limits = [total_kb.map(|kb| kb >> 10), group_bytes.map(|b| b >> 20)];
    limits.into_iter().flatten().min()
}
