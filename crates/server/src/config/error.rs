//! Why a configuration can't be used.

use crate::config::setting_names::{CLASSES, ENV_CONFIG_PATH, INITIAL_EVENTS};
use pebblevane_adapter_common::FieldError;
use std::io;

/// A configuration that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable with the path of the configuration file is not set.
    #[error("{ENV_CONFIG_PATH} is not set; it must be the path of the configuration file")]
    PathMissing,
    /// The configuration file can't be read.
    #[error("{ENV_CONFIG_PATH}: cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration file is not JSON.
    #[error("configuration: not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An address is malformed.
    #[error("{origin}: field {field} is {found:?}, an address with a port is wanted")]
    Address {
        /// The object that contains the field.
        origin: &'static str,
        /// The name of the field.
        field: &'static str,
        /// The malformed address.
        found: String,
    },
    /// One of the initial events is malformed.
    #[error("configuration: field {INITIAL_EVENTS}: {0}")]
    InitialEvents(#[source] FieldError),
    /// The settings contain no job class with a name, or none with a latency objective.
    #[error("settings: field {CLASSES} is missing or empty, reservation types are wanted")]
    NoClasses,
}
