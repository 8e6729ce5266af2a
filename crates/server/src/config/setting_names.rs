//! The names of the environment variables, configuration fields and settings that the server reads.

/// The environment variable with the path of the configuration file.
pub(super) const ENV_CONFIG_PATH: &str = "NODE_CONFIG";
/// The environment variable with the address to listen on. It overrides the address in the file.
pub(super) const ENV_LISTEN: &str = "NODE_LISTEN";
/// The environment variable with the name of this process. It overrides the name in the file.
pub(super) const ENV_NAME: &str = "NODE_NAME";

/// The name of this process.
pub(super) const NAME: &str = "name";
/// The address to listen on.
pub(super) const LISTEN: &str = "listen";
/// The address of the event bus.
pub(super) const EVENT_BUS: &str = "bus";
/// The seed of the controller's random numbers, in hexadecimal digits.
pub(super) const SEED: &str = "seed";
/// The resource limits of the process.
pub(super) const LIMITS: &str = "limits";
/// In [`LIMITS`]: the maximum number of open file descriptors.
pub(super) const LIMITS_SOCKETS: &str = "sockets";
/// In [`LIMITS`]: the maximum resident memory, in mebibytes.
pub(super) const LIMITS_MEMORY_MB: &str = "memory_mb";
/// The events of the event bus that are known at the start.
pub(super) const INITIAL_EVENTS: &str = "known";
/// In [`INITIAL_EVENTS`]: the number of the last event.
pub(super) const INITIAL_EVENTS_LAST: &str = "offset";
/// In [`INITIAL_EVENTS`]: the list of events.
pub(super) const INITIAL_EVENTS_LIST: &str = "batch";
/// The controller's settings.
pub(super) const SETTINGS: &str = "settings";

/// The list of job classes.
pub(super) const CLASSES: &str = "Classes";
/// Of a class: its name.
pub(super) const CLASS_NAME: &str = "Name";
/// Of a class: its latency objective.
pub(super) const CLASS_LATENCY_OBJECTIVE: &str = "Aim";
/// Of a class: how long clients wait for an answer, in milliseconds.
pub(super) const CLASS_CLIENT_TIMEOUT: &str = "GiveUp";
/// Of a class: whether its jobs may be retried.
pub(super) const CLASS_RETRY_SAFETY: &str = "Semantics";
/// A value of [`CLASS_RETRY_SAFETY`]: a retry is harmless at any time.
pub(super) const RETRY_SAFETY_RESTARTABLE: &str = "read_like";
/// A value of [`CLASS_RETRY_SAFETY`]: a retry is harmless within [`CLASS_DEDUPLICATION_WINDOW`].
pub(super) const RETRY_SAFETY_IDEMPOTENCY_KEY: &str = "idempotency_key";
/// Of a class: how long engines remember an idempotency key, in milliseconds.
pub(super) const CLASS_DEDUPLICATION_WINDOW: &str = "DedupWindow";
/// Of a class: which engines know the idempotency key of a job that one of them has run.
pub(super) const CLASS_DEDUPLICATION_SCOPE: &str = "Group";
/// A value of [`CLASS_DEDUPLICATION_SCOPE`]: all engines.
pub(super) const DEDUPLICATION_SCOPE_ALL: &str = "all";

/// The maximum number of requests in flight on one connection to an engine.
pub(super) const STREAMS_PER_CONNECTION: &str = "Ceilings.StreamsPerConn";
/// The timeout for connecting to an engine, in milliseconds.
pub(super) const DIAL_TIMEOUT: &str = "Ceilings.DialTimeout";
/// The time after which engines close idle connections, in milliseconds.
pub(super) const CONNECTION_IDLE_TIMEOUT: &str = "Ceilings.ConnIdle";
/// The interval at which engines send progress updates, in milliseconds.
pub(super) const PROGRESS_INTERVAL: &str = "Extra.Progress";
/// How engines' load reports are obtained.
pub(super) const LOAD_REPORT_MODE: &str = "Report.How";
/// A value of [`LOAD_REPORT_MODE`]: health checks request them.
pub(super) const LOAD_REPORT_PULL: &str = "pull";
/// The list of the names of locations.
pub(super) const LOCATIONS: &str = "Zones";
/// The list of the names of machine types.
pub(super) const MACHINE_TYPES: &str = "Flavors";
