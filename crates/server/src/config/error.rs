//! Why a configuration can't be used.

use crate::config::setting_names::{CLASSES, ENV_CONFIG_PATH, INITIAL_EVENTS};
use pebblevane_adapter_common::FieldError;
use std::io;

/// A configuration that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment names no configuration file.
    #[error("{ENV_CONFIG_PATH} is not set, the path of a file is wanted")]
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
        /// Its value.
        found: String,
    },
    /// An event that is known at the start is malformed.
    #[error("configuration: field {INITIAL_EVENTS}: {0}")]
    InitialEvents(#[source] FieldError),
    /// The settings name no job class.
    #[error("settings: field {CLASSES} is missing or empty, reservation types are wanted")]
    NoClasses,
}
