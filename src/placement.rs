//! Decides where a job may run at all: the locations and machine types that its class is confined to.

use crate::interface::Endpoint;
use crate::settings::ClassSettings;

/// Whether a class's jobs may run on this engine.
pub fn allows(class: &ClassSettings, endpoint: &Endpoint) -> bool {
    let contains =
        |list: &Option<Vec<usize>>, position| list.as_ref().is_none_or(|list| list.contains(&position));
    contains(&class.locations, endpoint.location) && contains(&class.machine_types, endpoint.machine_type)
}
