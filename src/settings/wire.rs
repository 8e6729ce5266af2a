//! Reads the typed settings from the flat map; the only module that contains the external names.
//!
//! Nothing is rejected here: a value that is absent or of another type is replaced by its default.

use super::flat::Settings;
use super::typed::{
    ClassSettings, ContractSettings, ControllerSettings, DeduplicationScope, EngineCapabilities, MachineType,
    Permissions, ReportSettings, RetrySafety,
};
use crate::time::TimeDelta;
use std::collections::{BTreeMap, BTreeSet};

/// Names of settings that are followed by the position of a machine type.
const CORES_OF_MACHINE_TYPE: &str = "Extra.CpuOfKind";
const MEMORY_OF_MACHINE_TYPE: &str = "Extra.RamOfKindMb";

/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;

impl From<&Settings> for ControllerSettings {
    fn from(flat: &Settings) -> ControllerSettings {
        let classes = 0..flat.entry_count("Classes", "Aim");
        ControllerSettings {
            gateway_count: flat.number("Balancers").unwrap_or(1.0).max(1.0),
            gateway_ordinal: flat.number("Ordinal").unwrap_or(0.0),
            location: position(flat.number("Zone").unwrap_or(0.0)),
            answer_margin: TimeDelta::from_millis_f64(2.0 * flat.number("Tick").unwrap_or(1.0)),
            polls_endpoint_list: flat.text("MembershipMode") == "ask",
            max_dispatches_per_job: flat.number("Ceilings.TryLimit").unwrap_or(f64::INFINITY),
            health_check_price: flat.number("Deductions.Probe").unwrap_or(0.0),
            location_crossing_price: flat.number("Deductions.CrossZone").unwrap_or(0.0),
            progress_interval: flat
                .number("Extra.Progress")
                .filter(|interval| *interval > 0.0)
                .map(TimeDelta::from_millis_f64),
            max_memory_fraction_per_job: flat.number("Extra.MostGrant").unwrap_or(1.0),
            permissions: read_permissions(flat),
            engine_capabilities: read_engine_capabilities(flat),
            reports: read_reports(flat),
            contract: read_contract(flat),
            classes: classes.map(|position| read_class(flat, position)).collect(),
            machine_types: read_machine_types(flat),
        }
    }
}

/// Converts a number to a position in a list; `None` if it is negative or fractional.
fn position(number: f64) -> Option<usize> {
    (number >= 0.0 && number.fract() == 0.0).then_some(number as usize)
}

fn read_permissions(flat: &Settings) -> Permissions {
    Permissions {
        health_checks: flat.flag("Ceilings.Probes"),
        cancellation: flat.flag("Ceilings.Cancelling"),
    }
}

fn read_engine_capabilities(flat: &Settings) -> EngineCapabilities {
    EngineCapabilities {
        priorities: flat.flag("Extra.RanksHeeded"),
        memory_grants: flat.flag("Extra.GrantsCount"),
    }
}

fn read_reports(flat: &Settings) -> ReportSettings {
    let is_total_load =
        |position| matches!(flat.text(&format!("Report.Names.{position}")), "concurrent" | "load_share");
    ReportSettings {
        include_total_load: (0..MAX_REPORT_VALUES).any(is_total_load),
        are_pulled: flat.text("Report.How") == "pull",
    }
}

fn read_contract(flat: &Settings) -> ContractSettings {
    let number = |name: &str| flat.number(&format!("Contract.{name}"));
    let number_or_zero = |name: &str| number(name).unwrap_or(0.0);
    let time = |name: &str| TimeDelta::from_millis_f64(number_or_zero(name));
    ContractSettings {
        retry_budget_window: number("BudgetWindow").map(TimeDelta::from_millis_f64),
        min_retries: number_or_zero("SpareAttempts"),
        retries_per_job: number_or_zero("ExtraRatio"),
        key_quiet_time: time("OrderPause"),
        warm_up_time: time("WarmAfter"),
        initial_capacity_fraction: number_or_zero("StartCapacity"),
        warm_up_overload_factor: number_or_zero("FallMultiple"),
        warm_up_window: time("OverloadFor"),
    }
}

fn read_class(flat: &Settings, class: usize) -> ClassSettings {
    let path = |name: &str| format!("Classes.{class}.{name}");
    let extra = |name: &str| format!("Extra.{name}.{class}");
    let number = |name: &str| flat.number(&path(name)).unwrap_or(0.0);
    let time = |name: &str| TimeDelta::from_millis_f64(number(name));
    let positions = |name: &str| {
        let numbers = flat.numbers(&path(name))?;
        Some(numbers.into_iter().filter_map(position).collect())
    };
    ClassSettings {
        retry_safety: read_retry_safety(flat.text(&path("Semantics"))),
        deduplication_scope: read_deduplication_scope(flat.text(&path("Group"))),
        deduplication_window: time("DedupWindow"),
        latency_objective: time("Aim"),
        objective_stretch: number("AimStretch"),
        client_timeout: flat.number(&path("GiveUp")).map_or(TimeDelta(i64::MAX), TimeDelta::from_millis_f64),
        priority_weight: number("Worth"),
        late_value_ratio: number("LateValue"),
        threads: flat.number(&extra("ClassThreads")).unwrap_or(1.0).max(1.0),
        locks_tables: flat.flag(&extra("IsLoad")),
        waits_for_bulk_loads: flat.flag(&extra("WaitsForLoads")),
        ordered_by_key: flat.flag(&path("ByArrival")),
        locations: positions("ConfinedTo"),
        machine_types: positions("BoundTo"),
    }
}

fn read_retry_safety(name: &str) -> RetrySafety {
    match name {
        "read_like" => RetrySafety::Restartable,
        "idempotency_key" => RetrySafety::IdempotencyKey,
        _ => RetrySafety::RunOnce,
    }
}

fn read_deduplication_scope(name: &str) -> DeduplicationScope {
    match name {
        "all" => DeduplicationScope::Pool,
        "zone" => DeduplicationScope::Location,
        _ => DeduplicationScope::Cell,
    }
}

fn read_machine_types(flat: &Settings) -> BTreeMap<usize, MachineType> {
    let positions: BTreeSet<usize> = flat.0.keys().filter_map(|path| machine_type_of(path)).collect();
    let read = |machine_type: usize| MachineType {
        cores: flat.number(&format!("{CORES_OF_MACHINE_TYPE}.{machine_type}")),
        memory_mb: flat.number(&format!("{MEMORY_OF_MACHINE_TYPE}.{machine_type}")),
    };
    positions.into_iter().map(|machine_type| (machine_type, read(machine_type))).collect()
}

/// The position of the machine type that a setting describes; `None` for other settings.
fn machine_type_of(path: &str) -> Option<usize> {
    let (name, position) = path.rsplit_once('.')?;
    let known = name == CORES_OF_MACHINE_TYPE || name == MEMORY_OF_MACHINE_TYPE;
    if known { position.parse().ok() } else { None }
}
