//! Placement constraints: the locations and machine types on which a job class may run.

use crate::interface::Endpoint;
use crate::settings::ClassSettings;

/// Whether jobs of a class may run on the engine with this endpoint.
pub fn allows(class: &ClassSettings, endpoint: &Endpoint) -> bool {
    let contains =
        |list: &Option<Vec<usize>>, position| list.as_ref().is_none_or(|list| list.contains(&position));
    contains(&class.locations, endpoint.location) && contains(&class.machine_types, endpoint.machine_type)
}
