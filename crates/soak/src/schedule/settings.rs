//! The settings of the gateways in a schedule's deployment.

use super::{Class, DeduplicationScope, RetrySafety, Schedule};
use serde_json::{Value as Json, json};
use std::time::Duration;

impl Schedule {
    /// The settings that a gateway is started with.
    pub fn settings(&self, gateway: usize) -> Json {
        let classes: Vec<Json> = self.classes.iter().map(|class| self.class_settings(class)).collect();
        let zones: Vec<String> = (0..self.zones).map(Schedule::zone_name).collect();
        let rules = &self.rules;
        let ms = |span: Duration| span.as_millis() as f64;
        json!({
            "Classes": classes, "Balancers": self.gateways, "Ordinal": gateway, "Tick": 5.0,
            "Zones": zones, "Zone": gateway % self.zones, "Flavors": ["std"], "MembershipMode": "push",
            "Extra": {"CpuOfKind": [self.cores], "ClassThreads": [1, 1, 1, 1], "RanksHeeded": true,
                "Progress": 300.0},
            "Report": {"How": "pull", "Names": ["load_share"]},
            "Deductions": {"Probe": 0.02, "CrossZone": 0.02},
            "Ceilings": {"Cancelling": true, "Probes": true, "TryLimit": 5, "StreamsPerConn": 32,
                "DialTimeout": 250.0, "ConnIdle": 5000.0},
            "Contract": {"FallMultiple": rules.warm_up_overload_factor, "OverloadFor": ms(rules.warm_up_window),
                "StartCapacity": rules.initial_capacity_fraction, "WarmAfter": ms(rules.warm_up_time),
                "BudgetWindow": ms(rules.retry_budget_window), "SpareAttempts": rules.min_retries,
                "ExtraRatio": rules.retries_per_job, "DrainGrace": ms(rules.drain_grace)},
        })
    }

    fn class_settings(&self, class: &Class) -> Json {
        let semantics = match class.retry_safety {
            RetrySafety::Restartable => "read_like",
            RetrySafety::IdempotencyKey => "idempotency_key",
            RetrySafety::RunOnce => "non_idempotent",
        };
        let group = match self.deduplication_scope {
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
            DeduplicationScope::All => "all",
        };
        let mut settings = json!({"Name": class.name, "Semantics": semantics, "Aim": class.timeout_ms[0],
            "GiveUp": class.timeout_ms[1], "Worth": 1.0, "Group": group,
            "DedupWindow": self.rules.deduplication_window.as_millis() as f64});
        if let Some(zone) = class.zone {
            settings["ConfinedTo"] = json!([zone]);
        }
        settings
    }
}
