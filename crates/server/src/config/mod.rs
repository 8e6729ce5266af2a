//! The configuration, checked before anything starts.

pub mod connection_settings;
mod location_names;
pub mod retry_semantics;
mod setting_names;

pub use location_names::LocationNames;

use crate::codec::event_bus::{self, Event};
use crate::limits::Limits;
use connection_settings::ConnectionSettings;
use pebblevane::settings::Settings;
use pebblevane::time::TimeDelta;
use pebblevane_adapter_common::{FieldResult, Fields, settings};
use retry_semantics::RetrySemantics;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::time::Duration;

/// With fewer descriptors nothing is left for engines.
const FEWEST_SOCKETS: usize = 100;
/// With less memory nothing is left for jobs.
const LEAST_MEMORY_MB: usize = 24;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub event_bus: SocketAddr,
    /// The number of the last event that `initial_events` holds.
    pub last_event: u64,
    pub initial_events: Vec<Event>,
    pub settings: Settings,
}

impl Config {
    pub fn read(var: impl Fn(&str) -> Option<String>) -> FieldResult<Config> {
        let path = var("NODE_CONFIG").ok_or("NODE_CONFIG is not set, the path of a file is wanted")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: cannot read {path}: {e}"))?;
        let json: Json = serde_json::from_str(&text).map_err(|e| format!("configuration: not JSON: {e}"))?;
        let fields = Fields { name: "configuration", json: &json };
        let address = |of: &str, field: &str, told: &str| {
            told.parse()
                .map_err(|_| format!("{of}: field {field} is {told:?}, an address with a port is wanted"))
        };
        let listen = match var("NODE_LISTEN") {
            Some(told) => address("environment", "NODE_LISTEN", &told)?,
            None => address("configuration", "listen", fields.text("listen")?)?,
        };
        let known = fields.object("known")?;
        let in_known = |why: String| format!("configuration: field known: {why}");
        let events = known.list("batch")?.iter().map(event_bus::event);
        let events = events.collect::<FieldResult<Vec<Event>>>().map_err(in_known)?;
        if let Some(why) = events.iter().flat_map(|event| &event.malformed).next() {
            return Err(in_known(why.clone()));
        }
        let limits = fields.object("limits")?;
        let at_least = |field: &str, least: usize| match limits.whole(field)? as usize {
            enough if enough >= least => Ok(enough),
            _ => Err(limits.wrong(field, &format!("at least {least}"))),
        };
        let flat = settings(fields.object("settings")?.json);
        if flat.entries("Classes", "Name") == 0 || flat.entries("Classes", "Aim") == 0 {
            return Err("settings: field Classes is missing or empty, reservation types are wanted".into());
        }
        let seed = fields.text("seed")?;
        Ok(Config {
            name: match var("NODE_NAME") {
                Some(name) => name,
                None => fields.text("name")?.to_string(),
            },
            listen,
            seed: u64::from_str_radix(seed, 16).map_err(|_| fields.wrong("seed", "a hexadecimal number"))?,
            limits: Limits {
                sockets: at_least("sockets", FEWEST_SOCKETS)?,
                memory_mb: at_least("memory_mb", LEAST_MEMORY_MB)?,
            },
            event_bus: address("configuration", "bus", fields.text("bus")?)?,
            last_event: known.whole("offset")?,
            initial_events: events,
            settings: flat,
        })
    }

    pub fn class_names(&self) -> Vec<String> {
        let types = 0..self.settings.entries("Classes", "Name");
        types.map(|i| self.settings.text(&format!("Classes.{i}.Name")).to_string()).collect()
    }

    /// What the settings say of repeating each type's jobs.
    pub fn retry_semantics(&self) -> Vec<RetrySemantics> {
        let types = 0..self.settings.entries("Classes", "Name");
        types.map(|i| RetrySemantics::read(&self.settings, i)).collect()
    }

    /// How long a client waits at most, as far as the settings tell.
    pub fn longest_client_timeout(&self) -> TimeDelta {
        let types = 0..self.settings.entries("Classes", "Name");
        let waits = types.map(|i| self.settings.number(&format!("Classes.{i}.GiveUp")).unwrap_or(f64::MAX));
        TimeDelta::from_millis_f64(waits.fold(0.0, f64::max))
    }

    /// How connections to engines are kept. One that has been idle nearly as long as engines allow is not
    /// used again, since its end may be under way.
    pub fn connection_settings(&self, connections: usize) -> ConnectionSettings {
        let span = |name: &str, absent: f64| {
            let told = self.settings.number(name).filter(|ms| *ms > 0.0).unwrap_or(absent);
            Duration::from_micros((told * 1000.0) as u64)
        };
        ConnectionSettings {
            streams: self.settings.number("Ceilings.StreamsPerConn").unwrap_or(32.0).max(1.0) as usize,
            dial: span("Ceilings.DialTimeout", 250.0),
            idle: span("Ceilings.ConnIdle", 15_000.0) * 3 / 4,
            notes: Some(span("Extra.Progress", 0.0)).filter(|notes| !notes.is_zero()),
            connections,
            reports: self.settings.text("Report.How") == "pull",
        }
    }
}
