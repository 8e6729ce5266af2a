//! The job classes of the tests, and the jobs that tests submit to the controller.

use pebblevane::interface::Job;
use pebblevane::settings::{Settings, Value};
use pebblevane::time::TimeDelta;

// Positions of the job classes in the settings.
pub const LOOKUP: usize = 0;
pub const NON_IDEMPOTENT: usize = 1;
pub const KEYED: usize = 2;
pub const ORDERED: usize = 3;
pub const CONFINED: usize = 4;
pub const BULK_LOAD: usize = 5;

/// Memory that a client estimates unless a test sets another value, and that engines report as used.
pub const DEFAULT_MEMORY_MB: f64 = 200.0;
/// Work that a client estimates unless a test sets another value.
const DEFAULT_COST_MS: f64 = 100.0;
/// How long a client waits unless a test sets another value.
const DEFAULT_CLIENT_TIMEOUT_MS: f64 = 4000.0;
/// Latency objective of each class unless a test sets another value.
const LATENCY_OBJECTIVE_MS: f64 = 1000.0;
/// How long engines remember an idempotency key.
const DEDUPLICATION_WINDOW_MS: f64 = 2000.0;
/// The only location in which jobs of the class [`CONFINED`] may run: that of the engines with odd numbers.
const CONFINED_TO_LOCATION: f64 = 1.0;

/// A job class: its position in the settings and, as the settings name it, its retry safety.
pub struct JobClass {
    index: usize,
    retry_safety: &'static str,
}

pub const ALL_CLASSES: [JobClass; 6] = [
    JobClass { index: LOOKUP, retry_safety: "read_like" },
    JobClass { index: NON_IDEMPOTENT, retry_safety: "non_idempotent" },
    JobClass { index: KEYED, retry_safety: "idempotency_key" },
    JobClass { index: ORDERED, retry_safety: "read_like" },
    JobClass { index: CONFINED, retry_safety: "read_like" },
    JobClass { index: BULK_LOAD, retry_safety: "non_idempotent" },
];

impl JobClass {
    pub fn write_settings(&self, settings: &mut Settings) {
        let index = self.index;
        let mut set = |path: String, value: Value| drop(settings.0.insert(path, value));
        set(format!("Classes.{index}.Aim"), Value::Number(LATENCY_OBJECTIVE_MS));
        set(format!("Classes.{index}.Worth"), Value::Number(1.0));
        set(format!("Classes.{index}.DedupWindow"), Value::Number(DEDUPLICATION_WINDOW_MS));
        set(format!("Classes.{index}.Semantics"), Value::Text(self.retry_safety.to_string()));
        set(format!("Classes.{index}.Group"), Value::Text("zone".to_string()));
        set(format!("Classes.{index}.ByArrival"), Value::Flag(index == ORDERED));
        set(format!("Extra.ClassThreads.{index}"), Value::Number(1.0));
        set(format!("Extra.IsLoad.{index}"), Value::Flag(index == BULK_LOAD));
        set(format!("Extra.WaitsForLoads.{index}"), Value::Flag(index == LOOKUP));
        if index == CONFINED {
            set(format!("Classes.{index}.ConfinedTo.0"), Value::Number(CONFINED_TO_LOCATION));
        }
    }
}

/// A job as a client submits it.
#[derive(Clone, Copy)]
pub struct JobSpec {
    class: usize,
    table_group: u64,
    key: Option<u64>,
    cost_ms: Option<f64>,
    client_timeout_ms: f64,
    memory_mb: f64,
}

impl JobSpec {
    fn new(class: usize, table_group: u64) -> JobSpec {
        JobSpec {
            class,
            table_group,
            key: None,
            cost_ms: Some(DEFAULT_COST_MS),
            client_timeout_ms: DEFAULT_CLIENT_TIMEOUT_MS,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
    /// Sets the work that the client estimates.
    pub fn cost_ms(self, cost: f64) -> JobSpec {
        JobSpec { cost_ms: Some(cost), ..self }
    }
    /// Sets the ordering key, which is used only if the class is ordered by key.
    pub fn key(self, key: u64) -> JobSpec {
        JobSpec { key: Some(key), ..self }
    }
    /// Removes the client's estimate of the work.
    pub fn without_cost(self) -> JobSpec {
        JobSpec { cost_ms: None, ..self }
    }
    /// Sets how long the client waits.
    pub fn client_timeout_ms(self, timeout: f64) -> JobSpec {
        JobSpec { client_timeout_ms: timeout, ..self }
    }
    /// Sets the memory that the client estimates.
    pub fn memory_mb(self, memory: f64) -> JobSpec {
        JobSpec { memory_mb: memory, ..self }
    }
}

impl From<JobSpec> for Job {
    fn from(spec: JobSpec) -> Job {
        Job {
            class: spec.class,
            table_group: spec.table_group,
            key: spec.key,
            time_left: TimeDelta::from_millis_f64(spec.client_timeout_ms),
            cost: spec.cost_ms.map(TimeDelta::from_millis_f64),
            memory_mb: Some(spec.memory_mb),
            ..Job::default()
        }
    }
}

/// A read. It is restartable and waits at the engine while a bulk load locks its tables.
pub fn lookup(table_group: u64) -> JobSpec {
    JobSpec::new(LOOKUP, table_group)
}

/// A write that must not run twice.
pub fn non_idempotent(table_group: u64) -> JobSpec {
    JobSpec::new(NON_IDEMPOTENT, table_group)
}

/// A write with an idempotency key: the engines of one location recognize duplicates within the deduplication window.
pub fn keyed(table_group: u64) -> JobSpec {
    JobSpec::new(KEYED, table_group)
}

/// A read of a class that is ordered by key: it runs after the jobs of its key that arrived before it.
pub fn ordered(table_group: u64, key: u64) -> JobSpec {
    JobSpec { key: Some(key), ..JobSpec::new(ORDERED, table_group) }
}

/// A job that may only run on engines of one location.
pub fn confined(table_group: u64) -> JobSpec {
    JobSpec::new(CONFINED, table_group)
}

/// A bulk load, which locks the tables of its group and must not run twice.
pub fn bulk_load(table_group: u64) -> JobSpec {
    JobSpec::new(BULK_LOAD, table_group)
}
