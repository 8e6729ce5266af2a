//! The client protocol, MessagePack-RPC: finding the end of a message, decoding requests, encoding replies.
//!
//! A request is `[0, id, method, [fields, statement]]` with a job class as its method, a notification is
//! `[2, method, parameters]`, a reply is `[1, id, error, result]`. This module holds every name of the protocol.

mod decode;
mod encode;
mod frame;

pub use decode::{contains_cancellation, decode, decode_request_id};
pub use encode::{RESULT_OVERHEAD_BYTES, encode};
pub use frame::{Frame, FrameScanner, MAX_MESSAGE_BYTES, ScanProgress, frame};

use pebblevane::time::TimeDelta;
use thiserror::Error;

const REQUEST_TYPE: u8 = 0;
const RESPONSE_TYPE: u64 = 1;
const NOTIFICATION_TYPE: u8 = 2;
const REQUEST_PARTS: u32 = 4;
const RESPONSE_PARTS: u32 = 4;
const NOTIFICATION_PARTS: u32 = 3;

const METHOD_HEALTH_CHECK: &str = "isWell";
const METHOD_CANCEL: &str = "forget";

const FIELD_JOB_ID: &str = "i";
const FIELD_CLIENT_TIMEOUT_MS: &str = "d";
const FIELD_ESTIMATED_COST_MS: &str = "h";
const FIELD_MEMORY_MB: &str = "mem";
const FIELD_IS_RETRY: &str = "r";
/// The value of a flag field if the flag is set.
const FLAG_SET: &str = "1";

const ERROR_REJECTED: &str = "Busy";
const ERROR_FAILED: &str = "Failed";
const DETAIL_RETRY_AFTER_MS: &str = "w";
const DETAIL_REASON: &str = "why";

/// The number by which a client matches a reply to its request. It is unique among the open requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u32);

/// A message of a client.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// A request to run a job.
    Submit(ClientRequest),
    /// The client is no longer waiting for the answers to these requests.
    Cancel(Vec<RequestId>),
    /// The client asks whether the process accepts jobs.
    HealthCheck(RequestId),
    /// A request that could be decoded but is invalid.
    Invalid {
        /// The id of the request, for the answer.
        request_id: RequestId,
        /// What is wrong with it.
        reason: InvalidRequest,
    },
    /// A request that was discarded unread, because there was no memory for it.
    Discarded(RequestId),
    /// A notification with an unknown method.
    UnknownNotification,
}

impl Message {
    /// The id of the request, if this message is one.
    pub fn request_id(&self) -> Option<RequestId> {
        match self {
            Message::Submit(request) => Some(request.request_id),
            Message::HealthCheck(request_id)
            | Message::Discarded(request_id)
            | Message::Invalid { request_id, .. } => Some(*request_id),
            Message::Cancel(_) | Message::UnknownNotification => None,
        }
    }
}

/// A job, as described by its client.
#[derive(Debug, PartialEq)]
pub struct ClientRequest {
    /// The id of the request on its connection.
    pub request_id: RequestId,
    /// The client's own id of the job, 16 hexadecimal digits. It is passed to engines unchanged.
    pub client_job_id: Box<str>,
    /// The position of the job class in the settings.
    pub class: usize,
    /// How long the client waits for the answer.
    pub client_timeout: TimeDelta,
    /// Whether the client has submitted this job before.
    pub is_retry: bool,
    /// The client's estimate of the work of all threads, as execution time on a single thread.
    pub estimated_cost: Option<TimeDelta>,
    /// The client's estimate of the memory that the job needs, in megabytes.
    pub memory_mb: Option<f64>,
    /// The text of the query.
    pub statement: Box<[u8]>,
}

/// Why received bytes violate the client protocol. The connection is then closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A value exceeds the size limit of its type, or has a type that the protocol does not use.
    #[error("a value is too long or of an unsupported type")]
    UnsupportedValue,
    /// The outermost value is not a list of three or four entries.
    #[error("neither a request nor a notification")]
    NotAMessage,
    /// The message exceeds the limit on bytes or on values.
    #[error("message too long")]
    MessageTooLong,
    /// Lists and maps are nested more deeply than the limit.
    #[error("message nested too deeply")]
    NestedTooDeep,
    /// The message is complete, but is neither a valid request nor a valid notification.
    #[error("unknown message type")]
    UnknownMessageType,
    /// The id of a request equals that of an open request of the same connection.
    #[error("duplicate request id")]
    DuplicateRequestId,
}

/// Why a request is invalid. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    /// The settings have no job class with the name of the method.
    #[error("unknown reservation type {}", .0.escape_debug())]
    UnknownClass(String),
    /// The parameters are not a list of fields and statement.
    #[error("the list of fields and body is missing or odd")]
    MalformedParameters,
    /// The fields are not a map.
    #[error("the map of fields is missing or odd")]
    MalformedFieldMap,
    /// The name of a field is not a string.
    #[error("the name of a field is missing or odd")]
    MalformedFieldName,
    /// A field is missing, not a string, or out of range.
    #[error("field {} is missing or odd", .0.escape_debug())]
    MalformedField(String),
    /// The statement is missing.
    #[error("the body is missing or odd")]
    MalformedStatement,
    /// The id of the job is that of an open job. Engines identify jobs by the clients' ids, so open jobs may not share
    /// one.
    #[error("field {FIELD_JOB_ID} is that of an open request")]
    DuplicateJobId,
    /// The id of the job is that of an ended job that may have run and must not run again.
    #[error("field {FIELD_JOB_ID} is that of a request that may have run")]
    JobMayHaveRun,
}

/// Why a job has no result. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FailureReason {
    /// The admission controller has cancelled the job permanently.
    #[error("cancelled")]
    Cancelled,
    /// The request is invalid.
    #[error(transparent)]
    InvalidRequest(#[from] InvalidRequest),
}

/// The answer to a request.
pub enum Reply<'a> {
    /// The job has run.
    Completed {
        /// Its complete result.
        rows: &'a [u8],
    },
    /// The job was not completed, and the client can safely submit it again.
    Rejected {
        /// How long to wait before submitting it again; with zero, the client decides.
        retry_after: TimeDelta,
    },
    /// The job has failed permanently.
    Failed {
        /// Why the job has failed.
        reason: FailureReason,
    },
    /// The answer to a health check: whether the process accepts jobs.
    Health(bool),
}

impl Reply<'_> {
    /// The name of the kind of reply in the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Reply::Completed { .. } => "done",
            Reply::Rejected { .. } => "throttled",
            Reply::Failed { .. } => "failed",
            Reply::Health(_) => "well",
        }
    }
}
