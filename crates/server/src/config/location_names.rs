//! The names of zones and machine types. The controller identifies both by their positions in the settings.

use crate::config::setting_names::{MACHINE_TYPES, ZONES};
use pebblevane::settings::Settings;

/// The zones and machine types that the settings list.
pub struct LocationNames {
    zones: Vec<String>,
    machine_types: Vec<String>,
}

impl LocationNames {
    /// Reads both lists. Each ends before its first missing or empty entry.
    pub fn read(settings: &Settings) -> LocationNames {
        LocationNames { zones: name_list(settings, ZONES), machine_types: name_list(settings, MACHINE_TYPES) }
    }

    /// The position of a zone in the settings; `None` if they do not list it.
    pub fn zone_index(&self, zone: &str) -> Option<usize> {
        self.zones.iter().position(|known| known == zone)
    }

    /// The position of a machine type in the settings; `None` if they do not list it.
    pub fn machine_type_index(&self, machine_type: &str) -> Option<usize> {
        self.machine_types.iter().position(|known| known == machine_type)
    }
}

fn name_list(settings: &Settings, list: &str) -> Vec<String> {
    let names = (0..).map(|position| settings.text(&format!("{list}.{position}")).to_string());
    names.take_while(|name| !name.is_empty()).collect()
}
