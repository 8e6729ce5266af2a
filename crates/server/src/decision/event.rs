//! The events that the controller's thread handles.

use crate::codec::event_bus::Event;
use crate::job::AdmittedJob;
use pebblevane::interface::{DispatchResult, EngineId, Job, JobId, ProgressUpdate};
use pebblevane::time::Timestamp;

/// An event that the controller's thread handles.
pub(super) enum ControllerEvent {
    /// A client has submitted a job.
    JobSubmitted {
        id: JobId,
        job: Job,
        /// The earliest time at which the client's request can have arrived.
        arrived: Timestamp,
        admitted: Box<AdmittedJob>,
    },
    /// A dispatch has ended.
    DispatchFinished { id: JobId, attempt: u32, result: DispatchResult },
    /// A dispatch has made progress.
    DispatchProgress { id: JobId, attempt: u32, update: ProgressUpdate },
    /// A health check has ended.
    HealthCheckFinished { engine: EngineId, result: DispatchResult },
    /// The endpoint list has changed.
    EndpointsChanged {
        event: Event,
        /// When the list was last known to be complete before the change.
        last_complete: Option<Timestamp>,
    },
    /// The connection to the event bus was lost.
    EndpointListUnavailable,
    /// A graceful shutdown has begun.
    ShutdownBegun {
        /// The time by which all jobs must be answered.
        answered_by: Timestamp,
    },
    /// Clients have disconnected or cancelled jobs. The controller's handle holds the ids of the jobs.
    ClientsDisconnected,
}
