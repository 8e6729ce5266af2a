//! What ends the adapter: input that can't be used, or a pipe that fails.

use crate::codec::wire_names::events::{DIRECTORY_UPDATE, INGRESS};
use crate::codec::wire_names::instance_fields::TABLE;
use crate::codec::wire_names::job_fields::TYPE;
use crate::codec::wire_names::{ARRIVALS, MANAGER_ID};
use pebblevane_adapter_common::FieldError;
use std::io;

/// An event that can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An event is no object with the event's name as its only key.
    #[error("field {ARRIVALS}: an event must be an object with one key")]
    NotOneKey,
    /// The instance has not begun, or has ended.
    #[error("{event}: field {MANAGER_ID} names the unknown instance {manager}")]
    UnknownInstance {
        /// The event's name.
        event: String,
        /// The instance's name.
        manager: String,
    },
    /// The settings hold no such class.
    #[error("{INGRESS}: field {TYPE} names the unknown class {class}")]
    UnknownClass {
        /// The number of the class.
        class: usize,
    },
    /// No list of this number was sent.
    #[error("{DIRECTORY_UPDATE}: field {TABLE} names the unknown list {table}")]
    UnknownTable {
        /// The number of the list.
        table: u64,
    },
}

/// A batch that can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line is no JSON.
    #[error("the batch is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The batch's number is missing or malformed.
    #[error(transparent)]
    Turn(FieldError),
    /// Something else of the batch can't be used.
    #[error("batch {turn}: {source}")]
    Event {
        /// The batch's number.
        turn: u64,
        /// What is wrong.
        source: EventError,
    },
}

/// What ends the adapter before its input does.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The input can't be read.
    #[error("line {line}: cannot read: {source}")]
    Read {
        /// The number of the line, from 1.
        line: u64,
        /// The system's error.
        source: io::Error,
    },
    /// A batch can't be used.
    #[error("line {line}: {source}")]
    Batch {
        /// The number of the line, from 1.
        line: u64,
        /// What is wrong.
        source: BatchError,
    },
    /// The reply can't be written.
    #[error("line {line}: cannot write the reply: {source}")]
    Write {
        /// The number of the line, from 1.
        line: u64,
        /// The system's error.
        source: io::Error,
    },
}
