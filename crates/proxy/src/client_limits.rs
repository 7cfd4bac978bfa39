//! What the clients of an instance's listeners may use, except for callers, whose requests share the memory for
//! requests.

use place::{ClientMemory, Descriptors};
use web::{Limits, Memory};

/// Memory limit of a process if the settings name none, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 1_024;
/// Maximum numbers of connections if the settings name no descriptors.
const DEFAULT_INSTANCES: usize = 1_024;
const DEFAULT_OPERATORS: usize = 64;
/// Maximum sizes of the headers and the body of a call of another instance, in bytes.
const CALL_HEADER_BYTES: usize = 8 << 10;
const CALL_BODY_BYTES: usize = 1 << 20;
/// Maximum size of the headers that load balancers and operators send, in bytes.
const OPERATOR_HEADER_BYTES: usize = 8 << 10;
/// Maximum size of their bodies, in bytes: none is read.
const OPERATOR_BODY_BYTES: usize = 1 << 10;
/// Sizes of receive buffers, in bytes: calls are short.
const CALL_BUFFER_BYTES: usize = 16 << 10;
const OPERATOR_BUFFER_BYTES: usize = 8 << 10;

/// What the clients of the listeners may use.
pub(crate) struct ClientLimits {
    pub(crate) instances: Limits,
    pub(crate) readiness: Limits,
    pub(crate) operators: Limits,
}

impl ClientLimits {
    /// Divides the memory and the descriptors of a process.
    pub(crate) fn new(memory_mb: Option<u64>, descriptors: Option<Descriptors>) -> ClientLimits {
        let memory = ClientMemory::divide(memory_mb.unwrap_or(DEFAULT_MEMORY_MB));
        let operators = || {
            Limits {
                connections: descriptors.map_or(DEFAULT_OPERATORS, |d| d.operators),
                header_bytes: OPERATOR_HEADER_BYTES,
                body_bytes: OPERATOR_BODY_BYTES,
                receive_buffer_bytes: OPERATOR_BUFFER_BYTES,
                memory: Memory::new(memory.reports),
            }
            .with_room_for_heads()
        };
        ClientLimits {
            instances: Limits {
                connections: descriptors.map_or(DEFAULT_INSTANCES, |d| d.instances),
                header_bytes: CALL_HEADER_BYTES,
                body_bytes: CALL_BODY_BYTES,
                receive_buffer_bytes: CALL_BUFFER_BYTES,
                memory: Memory::new(memory.instances),
            },
            readiness: operators(),
            operators: operators(),
        }
    }
}
