//! Divides the configured limits of descriptors and memory among the parts of the program.

const MEBIBYTE: usize = 1024 * 1024;
/// The resident memory of an idle process, including free memory that the allocator retains.
const IDLE_PROCESS_BYTES: usize = 8 * MEBIBYTE;
/// The resident memory of a connection.
const CONNECTION_BYTES: usize = 4 * 1024;
/// The resident memory of an open job with its thread.
const JOB_BYTES: usize = 28 * 1024;
const MIN_OPEN_JOBS: usize = 64;
const MAX_OPEN_JOBS: usize = 1536;
const MIN_BUFFER_BYTES: usize = MEBIBYTE;
/// Descriptors for the listener, the event bus, the log, a connection that is being accepted, and the C library.
const RESERVED_DESCRIPTORS: usize = 24;
/// The descriptors for all engines, divided by this, are the usual maximum for a single engine.
const ENGINE_SHARE_DIVISOR: usize = 6;
const MIN_CONNECTIONS_PER_ENGINE: usize = 4;
const MAX_CONNECTIONS_PER_ENGINE: usize = 48;
/// The configured memory, divided by this, is the usual maximum for a line of the event bus. A line may contain the
/// complete endpoint list.
const EVENT_LINE_MEMORY_DIVISOR: usize = 16;
const MIN_EVENT_LINE_BYTES: usize = MEBIBYTE;

/// The configured limits of the whole process.
#[derive(Clone, Copy, PartialEq)]
pub struct Limits {
    /// The maximum number of open file descriptors, most of which are sockets.
    pub sockets: usize,
    /// The maximum resident memory, in mebibytes.
    pub memory_mb: usize,
}

/// The maximum that each part of the program may use.
pub struct ResourceQuotas {
    /// Client connections. By agreement, clients use a third of the descriptors. The quota is higher, so that further
    /// connections can be accepted and their jobs rejected.
    pub client_connections: usize,
    /// Connections to all engines together.
    pub engine_connections: usize,
    /// Connections to a single engine.
    pub connections_per_engine: usize,
    /// Jobs that are open at the same time.
    pub open_jobs: usize,
    /// Bytes of statements, results, incomplete messages, and answers that clients have not read yet.
    pub buffer_bytes: usize,
    /// Bytes of one line of the event bus.
    pub event_line_bytes: usize,
}

impl ResourceQuotas {
    /// Divides `limits` among the parts of the program.
    pub fn from_limits(limits: Limits) -> ResourceQuotas {
        let total_bytes = limits.memory_mb * MEBIBYTE;
        let client_connections = limits.sockets * 2 / 5;
        let engine_connections = limits.sockets.saturating_sub(client_connections + RESERVED_DESCRIPTORS);
        let connection_bytes = (client_connections + engine_connections) * CONNECTION_BYTES;
        let available_bytes = total_bytes.saturating_sub(IDLE_PROCESS_BYTES + connection_bytes);
        ResourceQuotas {
            client_connections,
            engine_connections,
            connections_per_engine: (engine_connections / ENGINE_SHARE_DIVISOR)
                .clamp(MIN_CONNECTIONS_PER_ENGINE, MAX_CONNECTIONS_PER_ENGINE),
            open_jobs: (available_bytes / 2 / JOB_BYTES).clamp(MIN_OPEN_JOBS, MAX_OPEN_JOBS),
            buffer_bytes: (available_bytes / 2).max(MIN_BUFFER_BYTES),
            event_line_bytes: (total_bytes / EVENT_LINE_MEMORY_DIVISOR).max(MIN_EVENT_LINE_BYTES),
        }
    }
}
