//! The positions of locations and machine types in the settings. The endpoint list identifies both by their names, the
//! controller by their positions.

use crate::config::setting_names::{LOCATIONS, MACHINE_TYPES};
use pebblevane::settings::Settings;

/// The names of the locations and machine types, in the order of the settings.
pub struct NamePositions {
    locations: Vec<String>,
    machine_types: Vec<String>,
}

impl NamePositions {
    /// Reads both lists. Each ends before its first missing or empty entry.
    pub fn read(settings: &Settings) -> NamePositions {
        NamePositions {
            locations: name_list(settings, LOCATIONS),
            machine_types: name_list(settings, MACHINE_TYPES),
        }
    }

    /// The position of a location in the settings; `None` if they do not list it.
    pub fn location(&self, name: &str) -> Option<usize> {
        self.locations.iter().position(|known| known == name)
    }

    /// The position of a machine type in the settings; `None` if they do not list it.
    pub fn machine_type(&self, name: &str) -> Option<usize> {
        self.machine_types.iter().position(|known| known == name)
    }
}

fn name_list(settings: &Settings, list: &str) -> Vec<String> {
    let names = (0..).map(|position| settings.text(&format!("{list}.{position}")).to_string());
    names.take_while(|name| !name.is_empty()).collect()
}
