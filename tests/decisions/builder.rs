//! Builds a [`ControllerHarness`]: the settings of its gateway, its engines and what they report.

use crate::harness::{ControllerHarness, LoadReports, running};
use crate::jobs::ALL_CLASSES;
use pebblevane::controller::AdmissionController;
use pebblevane::settings::{Settings, Value};
use pebblevane::time::Timestamp;

/// Random seed of the gateway with ordinal 0; other gateways add their ordinal.
const BASE_SEED: u64 = 7;

/// Settings of slow start. In each window a warming engine may be sent twice the work that it can do in that time.
pub struct SlowStart {
    /// Fraction of its full capacity that an engine has at its start.
    pub initial_capacity_fraction: f64,
    /// Time from an engine's start until it has its full capacity.
    pub warm_up_ms: f64,
    /// Window in which the work sent to a warming engine is limited.
    pub warm_up_window_ms: f64,
}

/// Settings of the retry budget.
pub struct RetryBudget {
    /// Window in which jobs and retries are counted.
    pub window_ms: f64,
    /// Retries allowed in any window, regardless of the number of jobs.
    pub min_retries: f64,
    /// Additional retries allowed per job submitted in the window.
    pub retries_per_job: f64,
}

/// Builds a [`ControllerHarness`]. By default the gateway is one of two that share a pool without engines.
pub struct HarnessBuilder {
    settings: Settings,
    engines: u32,
    ordinal: u32,
    pub(crate) load_reports: LoadReports,
    pub(crate) engines_reachable: bool,
    pub(crate) actual_work_ms: Option<f64>,
}

impl HarnessBuilder {
    pub(crate) fn new() -> HarnessBuilder {
        HarnessBuilder {
            settings: default_settings(),
            engines: 0,
            ordinal: 0,
            load_reports: LoadReports::JobsInFlight(Vec::new()),
            engines_reachable: false,
            actual_work_ms: None,
        }
    }
    /// Engines `0..count` are listed as running from the start.
    pub fn engines(self, count: u32) -> Self {
        HarnessBuilder { engines: count, ..self }
    }
    fn setting(mut self, path: &str, value: f64) -> Self {
        self.settings.0.insert(path.to_string(), Value::Number(value));
        self
    }
    fn flag(mut self, path: &str, value: bool) -> Self {
        self.settings.0.insert(path.to_string(), Value::Flag(value));
        self
    }
    /// Number of gateways that share the engines.
    pub fn gateways(self, count: u32) -> Self {
        self.setting("Balancers", f64::from(count))
    }
    /// Position of this gateway among the gateways, from 0. Each gateway draws other random numbers.
    pub fn gateway_ordinal(self, ordinal: u32) -> Self {
        HarnessBuilder { ordinal, ..self }.setting("Ordinal", f64::from(ordinal))
    }
    /// A large gateway fleet: 40 gateways, which may send health checks. The equal share of a gateway in the 16 threads
    /// of an engine is less than one thread.
    pub fn large_gateway_fleet(self) -> Self {
        self.gateways(40).health_checks(true)
    }
    /// Whether the gateway may send health checks.
    pub fn health_checks(self, allowed: bool) -> Self {
        self.flag("Ceilings.Probes", allowed)
    }
    /// Price of a health check, in points. If it exceeds 0.0125, a large gateway fleet lacks load reports: checks are
    /// too expensive for both engines of each job's pair.
    pub fn health_check_price(self, price: f64) -> Self {
        self.setting("Deductions.Probe", price)
    }
    /// Load reports do not include the load that all gateways cause.
    pub fn without_load_in_reports(self) -> Self {
        self.setting("Report.Names.0", 0.0)
    }
    /// Memory of each engine.
    pub fn engine_memory_mb(self, memory: f64) -> Self {
        self.setting("Extra.RamOfKindMb.0", memory)
    }
    /// Engines support memory grants, so that each dispatch has one.
    pub fn memory_grants(self) -> Self {
        self.flag("Extra.GrantsCount", true)
    }
    /// Interval at which engines send progress updates; by default they send none.
    pub fn progress_interval_ms(self, interval: f64) -> Self {
        self.setting("Extra.Progress", interval)
    }
    /// Latency objective of a job of the class without work.
    pub fn latency_objective_ms(self, class: usize, objective: f64) -> Self {
        self.setting(&format!("Classes.{class}.Aim"), objective)
    }
    /// Maximum time that clients wait for a job of the class.
    pub fn client_timeout_ms(self, class: usize, timeout: f64) -> Self {
        self.setting(&format!("Classes.{class}.GiveUp"), timeout)
    }
    /// How much the latency objective of the class grows with a job's estimated work: its run time, times this factor,
    /// is added.
    pub fn objective_stretch(self, class: usize, stretch: f64) -> Self {
        self.setting(&format!("Classes.{class}.AimStretch"), stretch)
    }
    /// Fraction of its value that an answer of the class still has if it misses its latency objective.
    pub fn late_value_ratio(self, class: usize, ratio: f64) -> Self {
        self.setting(&format!("Classes.{class}.LateValue"), ratio)
    }
    /// Number of an engine's threads that a job of the class uses.
    pub fn threads_per_job(self, class: usize, threads: f64) -> Self {
        self.setting(&format!("Extra.ClassThreads.{class}"), threads)
    }
    /// Limits the work that is sent to engines while they warm up.
    pub fn slow_start(self, slow_start: &SlowStart) -> Self {
        self.setting("Contract.FallMultiple", 2.0)
            .setting("Contract.OverloadFor", slow_start.warm_up_window_ms)
            .setting("Contract.StartCapacity", slow_start.initial_capacity_fraction)
            .setting("Contract.WarmAfter", slow_start.warm_up_ms)
    }
    /// Limits retries; without a budget they are unlimited.
    pub fn retry_budget(self, budget: &RetryBudget) -> Self {
        self.setting("Contract.BudgetWindow", budget.window_ms)
            .setting("Contract.SpareAttempts", budget.min_retries)
            .setting("Contract.ExtraRatio", budget.retries_per_job)
    }
    /// Duration of a key's quiet period after a dispatch whose outcome is unknown.
    pub fn key_quiet_ms(self, quiet: f64) -> Self {
        self.setting("Contract.OrderPause", quiet)
    }
    /// The load that engines report in answer to health checks; by default no engine answers them.
    pub fn load_reports(self, reports: LoadReports) -> Self {
        HarnessBuilder { load_reports: reports, ..self }
    }
    /// Engines `0..engines` all report this utilization.
    pub fn reported_utilization(self, utilization: f64, engines: usize) -> Self {
        self.load_reports(LoadReports::Utilization(vec![utilization; engines]))
    }
    /// Engines `0..engines` all report this many jobs in flight.
    pub fn reported_jobs_in_flight(self, jobs: f64, engines: usize) -> Self {
        self.load_reports(LoadReports::JobsInFlight(vec![jobs; engines]))
    }
    /// Engines accept new connections after one has been lost.
    pub fn engines_reachable(self) -> Self {
        HarnessBuilder { engines_reachable: true, ..self }
    }
    /// Actual work that engines report for each dispatch that ends; by default they report none.
    pub fn actual_work_ms(self, work: f64) -> Self {
        HarnessBuilder { actual_work_ms: Some(work), ..self }
    }
    /// Creates the harness and delivers the list of its engines at the time 0.
    pub fn build(mut self) -> ControllerHarness {
        let settings = std::mem::take(&mut self.settings);
        let seed = BASE_SEED + u64::from(self.ordinal);
        let controller = AdmissionController::new(Timestamp::from_millis_f64(0.0), seed, &settings);
        let engines = (0..self.engines).map(running).collect();
        let mut harness = ControllerHarness::new(controller, self);
        harness.replace_endpoints(engines);
        harness
    }
}

/// Engines have 8 cores, i.e. 16 threads. A clock tick is 5 ms, so that a job without a result gets its final answer
/// 10 ms before its deadline. A job is dispatched no more than 4 times.
fn default_settings() -> Settings {
    let mut settings = Settings::default();
    for class in ALL_CLASSES {
        class.write_settings(&mut settings);
    }
    let mut set = |path: &str, value: Value| drop(settings.0.insert(path.to_string(), value));
    set("Extra.CpuOfKind.0", Value::Number(8.0));
    set("Ceilings.Cancelling", Value::Flag(true));
    set("Report.Names.0", Value::Text("concurrent".to_string()));
    set("Balancers", Value::Number(2.0));
    set("Tick", Value::Number(5.0));
    set("Ceilings.TryLimit", Value::Number(4.0));
    settings
}
