//! Sets up a [`ControllerHarness`]: the settings of its gateway, its engines and what they report.

use crate::harness::{ControllerHarness, LoadReports, running};
use crate::jobs::ALL_CLASSES;
use pebblevane::controller::AdmissionController;
use pebblevane::settings::{Settings, Value};
use pebblevane::time::Timestamp;

/// Seed of the gateway with ordinal 0; others add their ordinal.
const BASE_SEED: u64 = 7;

/// How engines that have just started are protected.
pub struct SlowStart {
    pub start_capacity: f64,
    pub warm_up_ms: f64,
    pub overload_window_ms: f64,
}

/// Limits retries and hedged requests together.
pub struct RetryBudget {
    pub window_ms: f64,
    pub spare_attempts: f64,
    pub extra_ratio: f64,
}

/// What a test asks of its harness. Without more it is one of two gateways, with no engines.
pub struct HarnessBuilder {
    settings: Settings,
    engines: u32,
    ordinal: u32,
    pub(crate) load_reports: LoadReports,
    pub(crate) engines_reachable: bool,
    pub(crate) billed_work_ms: Option<f64>,
}

impl HarnessBuilder {
    pub(crate) fn new() -> HarnessBuilder {
        HarnessBuilder {
            settings: default_settings(),
            engines: 0,
            ordinal: 0,
            load_reports: LoadReports::JobsInFlight(Vec::new()),
            engines_reachable: false,
            billed_work_ms: None,
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
    /// How many gateways share the engines.
    pub fn gateways(self, count: u32) -> Self {
        self.setting("Balancers", f64::from(count))
    }
    /// Which of the gateways this one is; each draws other random numbers.
    pub fn gateway_ordinal(self, ordinal: u32) -> Self {
        HarnessBuilder { ordinal, ..self }.setting("Ordinal", f64::from(ordinal))
    }
    /// One of 40 gateways, which may send health checks.
    pub fn large_fleet(self) -> Self {
        self.gateways(40).health_checks(true)
    }
    /// Whether the gateway may send health checks.
    pub fn health_checks(self, allowed: bool) -> Self {
        self.flag("Ceilings.Probes", allowed)
    }
    /// What a health check costs; expensive ones are sent rarely.
    pub fn health_check_price(self, price: f64) -> Self {
        self.setting("Deductions.Probe", price)
    }
    /// Engines' reports don't tell their load.
    pub fn without_load_in_reports(self) -> Self {
        self.setting("Report.Names.0", 0.0)
    }
    /// How much memory an engine has.
    pub fn engine_memory_mb(self, memory: f64) -> Self {
        self.setting("Extra.RamOfKindMb.0", memory)
    }
    /// Jobs are dispatched with a memory grant.
    pub fn memory_grants(self) -> Self {
        self.flag("Extra.GrantsCount", true)
    }
    /// How often engines send progress updates.
    pub fn progress_interval_ms(self, interval: f64) -> Self {
        self.setting("Extra.Progress", interval)
    }
    pub fn latency_objective_ms(self, class: usize, objective: f64) -> Self {
        self.setting(&format!("Classes.{class}.Aim"), objective)
    }
    /// How long the settings say that clients of the class wait.
    pub fn client_timeout_ms(self, class: usize, timeout: f64) -> Self {
        self.setting(&format!("Classes.{class}.GiveUp"), timeout)
    }
    /// How much the latency objective of the class grows with a job's estimated work.
    pub fn objective_stretch(self, class: usize, stretch: f64) -> Self {
        self.setting(&format!("Classes.{class}.AimStretch"), stretch)
    }
    /// How much of its value a job of the class keeps when it misses its latency objective.
    pub fn late_value_ratio(self, class: usize, ratio: f64) -> Self {
        self.setting(&format!("Classes.{class}.LateValue"), ratio)
    }
    /// How many of an engine's threads a job of the class uses.
    pub fn threads_per_job(self, class: usize, threads: f64) -> Self {
        self.setting(&format!("Extra.ClassThreads.{class}"), threads)
    }
    pub fn slow_start(self, slow_start: &SlowStart) -> Self {
        self.setting("Contract.FallMultiple", 2.0)
            .setting("Contract.OverloadFor", slow_start.overload_window_ms)
            .setting("Contract.StartCapacity", slow_start.start_capacity)
            .setting("Contract.WarmAfter", slow_start.warm_up_ms)
    }
    pub fn retry_budget(self, budget: &RetryBudget) -> Self {
        self.setting("Contract.BudgetWindow", budget.window_ms)
            .setting("Contract.SpareAttempts", budget.spare_attempts)
            .setting("Contract.ExtraRatio", budget.extra_ratio)
    }
    /// How long a key stays quiet after a dispatch whose outcome is unknown.
    pub fn key_quiet_ms(self, quiet: f64) -> Self {
        self.setting("Contract.OrderPause", quiet)
    }
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
    /// Engines accept new connections even where one has just been lost.
    pub fn engines_reachable(self) -> Self {
        HarnessBuilder { engines_reachable: true, ..self }
    }
    /// Engines report this much work for each finished dispatch; none without.
    pub fn billed_work_ms(self, work: f64) -> Self {
        HarnessBuilder { billed_work_ms: Some(work), ..self }
    }
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
