//! The configuration of the process, checked before anything starts.
//!
//! It is read from a JSON file whose path is in the environment. It contains the controller's settings, some of which
//! the server reads itself.

pub mod engine_connection_settings;
mod error;
mod name_positions;
pub mod retry_safety;
mod setting_names;

pub use engine_connection_settings::EngineConnectionSettings;
pub use error::ConfigError;
pub use name_positions::NamePositions;
pub use retry_safety::{DeduplicationScope, RetrySafety};

use crate::codec::event_bus::{self, Event};
use crate::limits::Limits;
use pebblevane::settings::Settings;
use pebblevane::time::TimeDelta;
use pebblevane_adapter_common::{FieldError, Fields, Wanted, flatten_settings};
use serde_json::Value as Json;
use setting_names::{
    CLASS_CLIENT_TIMEOUT, CLASS_LATENCY_OBJECTIVE, CLASS_NAME, CLASSES, ENV_CONFIG_PATH, ENV_LISTEN,
    ENV_NAME, EVENT_BUS, INITIAL_EVENTS, INITIAL_EVENTS_LAST, INITIAL_EVENTS_LIST, LIMITS, LIMITS_MEMORY_MB,
    LIMITS_SOCKETS, LISTEN, NAME, SEED, SETTINGS,
};
use std::net::SocketAddr;

/// The name for the environment in errors.
const ENVIRONMENT: &str = "environment";
/// The name for the outermost object of the configuration file in errors.
const CONFIGURATION: &str = "configuration";
/// The minimum descriptor limit. With fewer descriptors, none would be left for engines.
const MIN_SOCKETS: usize = 100;
/// The minimum memory limit. With less memory, none would be left for jobs.
const MIN_MEMORY_MB: usize = 24;
/// The seed is written in hexadecimal digits.
const SEED_RADIX: u32 = 16;

/// The configuration of the process.
pub struct Config {
    /// The name of this process in the log.
    pub name: String,
    /// The address on which to listen for clients.
    pub listen: SocketAddr,
    /// The seed of the controller's random numbers.
    pub seed: u64,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The address of the event bus.
    pub event_bus: SocketAddr,
    /// The number of the last event that `initial_events` includes.
    pub last_event: u64,
    /// The events of the event bus that are known at the start.
    pub initial_events: Vec<Event>,
    /// The controller's settings.
    pub settings: Settings,
}

impl Config {
    /// Reads the file whose path is in the environment; `variable` reads an environment variable.
    ///
    /// # Errors
    /// If the file can't be read, or a field of it is missing, malformed or out of range.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let json = read_file(variable(ENV_CONFIG_PATH))?;
        let fields = Fields { name: CONFIGURATION, json: &json };
        let listen = match variable(ENV_LISTEN) {
            Some(address) => parse_address(ENVIRONMENT, ENV_LISTEN, &address)?,
            None => parse_address(CONFIGURATION, LISTEN, fields.text(LISTEN)?)?,
        };
        let initial = fields.object(INITIAL_EVENTS)?;
        let initial_events = read_initial_events(initial)?;
        let limits = fields.object(LIMITS)?;
        let settings = read_settings(fields)?;
        let seed = fields.text(SEED)?;
        Ok(Config {
            name: match variable(ENV_NAME) {
                Some(name) => name,
                None => fields.text(NAME)?.to_string(),
            },
            listen,
            seed: u64::from_str_radix(seed, SEED_RADIX)
                .map_err(|_| fields.error(SEED, Wanted::Described("a hexadecimal number")))?,
            limits: Limits {
                sockets: at_least(limits, LIMITS_SOCKETS, MIN_SOCKETS)?,
                memory_mb: at_least(limits, LIMITS_MEMORY_MB, MIN_MEMORY_MB)?,
            },
            event_bus: parse_address(CONFIGURATION, EVENT_BUS, fields.text(EVENT_BUS)?)?,
            last_event: initial.whole(INITIAL_EVENTS_LAST)?,
            initial_events,
            settings,
        })
    }

    /// The names of the job classes, in the order of the settings.
    pub fn class_names(&self) -> Vec<String> {
        let positions = self.class_positions();
        positions.map(|position| self.settings.text(&class_field(position, CLASS_NAME)).to_string()).collect()
    }

    /// Whether the jobs of each class may be retried, in the order of the settings.
    pub fn retry_safety(&self) -> Vec<RetrySafety> {
        let positions = self.class_positions();
        positions.map(|position| RetrySafety::read(&self.settings, position)).collect()
    }

    /// The longest client timeout of all classes. A class without one counts as unlimited.
    pub fn longest_client_timeout(&self) -> TimeDelta {
        let timeouts_ms = self.class_positions().map(|position| {
            self.settings.number(&class_field(position, CLASS_CLIENT_TIMEOUT)).unwrap_or(f64::MAX)
        });
        TimeDelta::from_millis_f64(timeouts_ms.fold(0.0, f64::max))
    }

    /// The settings of connections to engines; `max_connections` is the limit for a single engine.
    pub fn engine_connection_settings(&self, max_connections: usize) -> EngineConnectionSettings {
        EngineConnectionSettings::read(&self.settings, max_connections)
    }

    fn class_positions(&self) -> std::ops::Range<usize> {
        0..self.settings.entry_count(CLASSES, CLASS_NAME)
    }
}

fn class_field(position: usize, name: &str) -> String {
    format!("{CLASSES}.{position}.{name}")
}

fn read_file(path: Option<String>) -> Result<Json, ConfigError> {
    let path = path.ok_or(ConfigError::PathMissing)?;
    match std::fs::read_to_string(&path) {
        Ok(text) => serde_json::from_str(&text).map_err(ConfigError::NotJson),
        Err(source) => Err(ConfigError::Unreadable { path, source }),
    }
}

fn parse_address(
    origin: &'static str,
    field: &'static str,
    address: &str,
) -> Result<SocketAddr, ConfigError> {
    let malformed = |_| ConfigError::Address { origin, field, found: address.to_string() };
    address.parse().map_err(malformed)
}

/// Reads the initial events. Unlike those of the event bus, they may contain no malformed entry.
fn read_initial_events(initial: Fields) -> Result<Vec<Event>, ConfigError> {
    let events = initial.list(INITIAL_EVENTS_LIST)?.iter().map(event_bus::decode_event);
    let events: Vec<Event> = events.collect::<Result<_, FieldError>>().map_err(ConfigError::InitialEvents)?;
    match events.iter().flat_map(|event| &event.malformed).next() {
        Some(error) => Err(ConfigError::InitialEvents(error.clone())),
        None => Ok(events),
    }
}

fn read_settings(fields: Fields) -> Result<Settings, ConfigError> {
    let settings = flatten_settings(fields.object(SETTINGS)?.json);
    let has_classes = settings.entry_count(CLASSES, CLASS_NAME) > 0;
    let has_objectives = settings.entry_count(CLASSES, CLASS_LATENCY_OBJECTIVE) > 0;
    if has_classes && has_objectives { Ok(settings) } else { Err(ConfigError::NoClasses) }
}

fn at_least(limits: Fields, field: &str, minimum: usize) -> Result<usize, FieldError> {
    let value = limits.whole(field)? as usize;
    if value >= minimum { Ok(value) } else { Err(limits.error(field, Wanted::AtLeast(minimum))) }
}
