//! The errors that end the adapter: malformed input, and failed reads and writes.

use crate::codec::wire_names::events::{ENDPOINT_LIST_UPDATE, JOB_SUBMITTED};
use crate::codec::wire_names::instance_fields::LIST_NUMBER;
use crate::codec::wire_names::job_fields::CLASS;
use crate::codec::wire_names::{EVENTS, INSTANCE_NAME};
use pebblevane_adapter_common::FieldError;
use std::io;

/// An event that is malformed or names something unknown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The event is not an object with the event's name as its only key.
    #[error("field {EVENTS}: an event must be an object with one key")]
    NotOneKey,
    /// The instance has not been started, or has ended.
    #[error("{event}: field {INSTANCE_NAME} names the unknown instance {instance}")]
    UnknownInstance {
        /// The name of the event.
        event: String,
        /// The name of the instance.
        instance: String,
    },
    /// The settings of the instance have no job class at this position.
    #[error("{JOB_SUBMITTED}: field {CLASS} names the unknown class {class}")]
    UnknownClass {
        /// The position of the class that the event names.
        class: usize,
    },
    /// No endpoint list with this number has been defined.
    #[error("{ENDPOINT_LIST_UPDATE}: field {LIST_NUMBER} names the unknown list {list}")]
    UnknownEndpointList {
        /// The number of the endpoint list.
        list: u64,
    },
}

/// A batch that is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line is not valid JSON.
    #[error("the batch is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The batch's number is missing or malformed.
    #[error(transparent)]
    BatchNumber(FieldError),
    /// Another field of the batch, or one of its events, is malformed.
    #[error("batch {number}: {source}")]
    Event {
        /// The batch's number.
        number: u64,
        /// The error of the field or event.
        source: EventError,
    },
}

/// Why the adapter ends before the end of its input.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// Standard input could not be read.
    #[error("line {line}: cannot read: {source}")]
    Read {
        /// The number of the input line, from 1.
        line: u64,
        /// The error of the system call.
        source: io::Error,
    },
    /// A batch could not be handled.
    #[error("line {line}: {source}")]
    Batch {
        /// The number of the input line, from 1.
        line: u64,
        /// The error of the batch.
        source: BatchError,
    },
    /// The reply could not be written to standard output.
    #[error("line {line}: cannot write the reply: {source}")]
    Write {
        /// The number of the input line, from 1.
        line: u64,
        /// The error of the system call.
        source: io::Error,
    },
}
