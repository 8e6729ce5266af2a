//! The configuration with which the program is started.

use super::engines::EngineStandIns;
use super::event_bus::{IN_SERVICE, endpoint, snapshot_event};
use serde_json::{Value as Json, json};

/// A configuration with two job classes (`lookup`, which may be retried, and `load`, which must not run twice),
/// generous limits and long timeouts. Tests change the fields that they depend on.
#[derive(Clone)]
pub struct ProgramConfig {
    json: Json,
}

impl ProgramConfig {
    /// A configuration whose initial endpoint list contains these engines as `e0`, `e1`, ...
    pub fn new(engines: &EngineStandIns, bus_address: &str) -> ProgramConfig {
        let known = engines.addresses.iter().enumerate();
        let known: Vec<Json> =
            known.map(|(i, address)| endpoint(&format!("e{i}"), address, IN_SERVICE)).collect();
        let class = |name: &str, semantics: &str| {
            json!({"Name": name, "Semantics": semantics, "Aim": 20000.0, "GiveUp": 20000.0, "Worth": 1.0,
                "Group": "all", "DedupWindow": 5000.0})
        };
        let json = json!({"name": "n0", "listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": bus_address,
            "known": {"offset": 1, "batch": [snapshot_event(1, &known)]},
            "settings": {"Classes": [class("lookup", "read_like"), class("load", "non_idempotent")],
                "Balancers": 1, "Tick": 5.0, "Zones": ["east"], "Flavors": ["std"], "MembershipMode": "push",
                "Extra": {"CpuOfKind": [64], "ClassThreads": [1, 1], "RanksHeeded": true, "Progress": 1000.0},
                "Report": {"How": "pull", "Names": ["load_share"]},
                "Ceilings": {"Cancelling": true, "Probes": false, "TryLimit": 5, "StreamsPerConn": 32,
                    "DialTimeout": 250.0, "ConnIdle": 15000.0}}});
        ProgramConfig { json }
    }
    /// Sets the field at this JSON pointer. Its parent must exist.
    pub fn set(mut self, pointer: &str, value: Json) -> ProgramConfig {
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        let parent = self.json.pointer_mut(parent).expect("the field's parent exists");
        match field.parse::<usize>() {
            Ok(index) => parent[index] = value,
            Err(_) => parent[field] = value,
        }
        self
    }
    /// Replaces the initial endpoint list.
    pub fn known_endpoints(self, endpoints: &[Json]) -> ProgramConfig {
        self.set("/known/batch", json!([snapshot_event(1, endpoints)]))
    }
    /// The limits of processor cores, memory and file descriptors.
    pub fn limits(self, cores: f64, memory_mb: u32, sockets: u32) -> ProgramConfig {
        self.set("/limits", json!({"cores": cores, "memory_mb": memory_mb, "sockets": sockets}))
    }
    /// The limit of file descriptors.
    pub fn socket_limit(self, sockets: u32) -> ProgramConfig {
        self.set("/limits/sockets", json!(sockets))
    }
    /// The timeout for connecting to an engine. Also the time without a message after which an engine connection counts
    /// as silent; if the only job on a silent connection is cancelled, the connection is closed.
    pub fn dial_timeout_ms(self, timeout: f64) -> ProgramConfig {
        self.set("/settings/Ceilings/DialTimeout", json!(timeout))
    }
    /// The maximum number of jobs that share a connection to an engine.
    pub fn jobs_per_connection(self, jobs: u32) -> ProgramConfig {
        self.set("/settings/Ceilings/StreamsPerConn", json!(jobs))
    }
    /// The clock tick. A job without a result gets its final answer two ticks before its deadline.
    pub fn timer_tick_ms(self, tick: f64) -> ProgramConfig {
        self.set("/settings/Tick", json!(tick))
    }
    /// The client timeout of both job classes.
    pub fn client_timeout_ms(self, timeout: f64) -> ProgramConfig {
        self.set("/settings/Classes/0/GiveUp", json!(timeout))
            .set("/settings/Classes/1/GiveUp", json!(timeout))
    }
    /// Gives jobs of the class `load` idempotency keys with this deduplication window.
    pub fn idempotency_key_for_loads(self, window_ms: f64) -> ProgramConfig {
        self.set("/settings/Classes/1/Semantics", json!("idempotency_key"))
            .set("/settings/Classes/1/DedupWindow", json!(window_ms))
    }
    /// The address at which the program listens for clients.
    pub fn listen(self, address: &str) -> ProgramConfig {
        self.set("/listen", json!(address))
    }
    /// The content of the configuration file.
    pub fn text(&self) -> String {
        self.json.to_string()
    }
}
