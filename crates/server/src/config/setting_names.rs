//! The names under which the environment, the configuration file and the settings hold what the server reads.

/// The list of the names of zones.
pub(super) const ZONES: &str = "Zones";
/// The list of the names of machine types.
pub(super) const MACHINE_TYPES: &str = "Flavors";
