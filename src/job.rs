//! A job from its submission to its release, as a state machine, and its dispatch in flight.

use crate::interface::{EngineId, Job, ProgressUpdate};
use crate::time::{TimeDelta, Timestamp};

/// Whether a job runs within its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionMode {
    /// The job has the memory that it needs.
    InMemory,
    /// The job spills to disk.
    Spilled,
}

/// The inputs of a choice between two engines, kept to learn from the result.
#[derive(Clone, Copy, Debug)]
pub struct PairChoice {
    /// The engines compared; a positive score is in favour of the second one.
    pub pair: [EngineId; 2],
    /// The job's features x, from which the Thompson residual is computed.
    pub features: [f64; 3],
    /// The margin s of the speed score: log of the first engine's expected latency minus that of the second's.
    pub margin: f64,
}

/// A dispatch that is in flight.
#[derive(Debug)]
pub struct InFlightDispatch {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// Its number among the job's dispatches, from 0.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// How its engine was chosen; `None` if there was only one candidate.
    pub choice: Option<PairChoice>,
    /// Memory (MB) that is counted for it at the engine: the grant, or the estimate if there is no grant, up to the
    /// engine's maximum for one job.
    pub memory_mb: f64,
    /// Completed fraction of the work, as last reported.
    pub completed_fraction: f64,
    /// When its engine last sent progress of it; before that, when it was sent.
    pub last_update_at: Timestamp,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether it has waited for a bulk load.
    pub waited_for_bulk_load: bool,
    /// Whether it has spilled to disk.
    pub spilled: bool,
}

impl InFlightDispatch {
    /// A dispatch that is sent at `now`, without progress yet.
    pub fn new(engine: EngineId, attempt: u32, now: Timestamp) -> InFlightDispatch {
        InFlightDispatch {
            engine,
            attempt,
            sent_at: now,
            choice: None,
            memory_mb: 0.0,
            completed_fraction: 0.0,
            last_update_at: now,
            cancelled: false,
            waited_for_bulk_load: false,
            spilled: false,
        }
    }

    /// Records progress that the engine sent.
    pub fn update(&mut self, now: Timestamp, progress: ProgressUpdate) {
        self.last_update_at = now;
        self.waited_for_bulk_load |= progress == ProgressUpdate::WaitingForBulkLoad;
        self.spilled |= matches!(progress, ProgressUpdate::SpillingToDisk(_));
        if let ProgressUpdate::CompletedFraction(fraction) = progress {
            self.completed_fraction = fraction;
        }
    }

    /// The execution mode, as far as reported.
    pub fn mode(&self) -> ExecutionMode {
        if self.spilled { ExecutionMode::Spilled } else { ExecutionMode::InMemory }
    }

    /// How long ago it was sent.
    pub fn age(&self, now: Timestamp) -> TimeDelta {
        now - self.sent_at
    }
}

/// The stage that a job has reached.
#[derive(Debug, Default)]
pub enum JobState {
    /// The job is about to be placed, or it has ended.
    #[default]
    Ready,
    /// The job waits at this gateway for an engine.
    Waiting,
    /// The job was dispatched and has no result yet.
    InFlight(InFlightDispatch),
}

/// The first of a job's dispatches that may have run.
#[derive(Clone, Copy, Debug)]
pub struct PossibleRun {
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// Estimated cost and value of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobEstimates {
    /// Work, in milliseconds on a single thread.
    pub work_ms: f64,
    /// Run time on an unloaded engine (ms): the work divided by the number of threads.
    pub run_ms: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Value (priority weight) per second of work.
    pub value_rate: f64,
}

/// Submission time and deadlines of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobTimes {
    /// When the job was submitted.
    pub submitted_at: Timestamp,
    /// When the client stops waiting, or the time limit of a graceful shutdown if that is earlier.
    pub deadline: Timestamp,
    /// End of the job's latency objective.
    pub objective_deadline: Timestamp,
}

/// A job that was submitted and is not yet released.
#[derive(Debug)]
pub struct PendingJob {
    /// The job as it was submitted.
    pub request: Job,
    /// When it was submitted.
    pub submitted_at: Timestamp,
    /// When its client stops waiting, or the time limit of a graceful shutdown if that is earlier.
    pub deadline: Timestamp,
    /// End of its latency objective.
    pub objective_deadline: Timestamp,
    /// Estimated work, in milliseconds on a single thread.
    pub work_ms: f64,
    /// Estimated run time on an unloaded engine (ms); exact once an engine has reported the actual work.
    pub run_ms: f64,
    /// Estimated value (priority weight) per second of work.
    pub value_rate: f64,
    /// Estimated memory (MB).
    pub memory_mb: f64,
    /// Number of its dispatches so far.
    pub dispatch_count: u32,
    /// The first of its dispatches that may have run.
    pub possible_run: Option<PossibleRun>,
    /// When a dispatch of it last ended with an unknown outcome: it may have run, or still run, at the engine.
    pub outcome_unknown_at: Option<Timestamp>,
    /// The engine of its last dispatch.
    pub last_engine: Option<EngineId>,
    state: JobState,
    finished: bool,
}

impl PendingJob {
    /// A job that is about to be placed.
    pub fn new(request: Job, estimates: JobEstimates, times: JobTimes) -> PendingJob {
        PendingJob {
            request,
            submitted_at: times.submitted_at,
            deadline: times.deadline,
            objective_deadline: times.objective_deadline,
            work_ms: estimates.work_ms,
            run_ms: estimates.run_ms,
            value_rate: estimates.value_rate,
            memory_mb: estimates.memory_mb,
            dispatch_count: 0,
            possible_run: None,
            outcome_unknown_at: None,
            last_engine: None,
            state: JobState::Ready,
            finished: false,
        }
    }

    /// Whether it has its final answer, or its client has disconnected or cancelled it. A dispatch may still be in
    /// flight.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether it waits at this gateway and is not finished.
    pub fn is_waiting(&self) -> bool {
        self.is_queued() && !self.finished
    }

    /// Whether it is among the waiting jobs, finished or not.
    pub fn is_queued(&self) -> bool {
        matches!(self.state, JobState::Waiting)
    }

    /// Its dispatch in flight.
    pub fn in_flight(&self) -> Option<&InFlightDispatch> {
        match &self.state {
            JobState::InFlight(dispatch) => Some(dispatch),
            JobState::Ready | JobState::Waiting => None,
        }
    }

    /// Its dispatch in flight, for changes.
    pub fn in_flight_mut(&mut self) -> Option<&mut InFlightDispatch> {
        match &mut self.state {
            JobState::InFlight(dispatch) => Some(dispatch),
            JobState::Ready | JobState::Waiting => None,
        }
    }

    /// Its dispatch in flight, unless the job is finished.
    pub fn active_dispatch(&self) -> Option<&InFlightDispatch> {
        self.in_flight().filter(|_| !self.finished)
    }

    /// Whether it is finished and has no dispatch in flight.
    pub fn is_releasable(&self) -> bool {
        self.finished && self.in_flight().is_none()
    }

    /// Marks it as waiting; returns whether it was not waiting before.
    pub fn start_waiting(&mut self) -> bool {
        let was_queued = self.is_queued();
        self.state = JobState::Waiting;
        !was_queued
    }

    /// Marks it as no longer waiting, before another attempt to place it.
    pub fn stop_waiting(&mut self) {
        self.state = JobState::Ready;
    }

    /// Records that it was dispatched.
    pub fn dispatched(&mut self, dispatch: InFlightDispatch) {
        self.dispatch_count += 1;
        self.last_engine = Some(dispatch.engine);
        self.state = JobState::InFlight(dispatch);
    }

    /// Removes and returns the dispatch in flight if it has this number, since its result has arrived.
    pub fn take_dispatch(&mut self, attempt: u32) -> Option<InFlightDispatch> {
        match std::mem::take(&mut self.state) {
            JobState::InFlight(dispatch) if dispatch.attempt == attempt => Some(dispatch),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// Records that it has its final answer, or that its client has disconnected or cancelled it.
    pub fn finish(&mut self) {
        self.finished = true;
    }

    /// Moves deadlines after `latest` to `latest`, the time limit of a graceful shutdown.
    pub fn limit_deadlines(&mut self, latest: Timestamp) {
        self.deadline = self.deadline.min(latest);
        self.objective_deadline = self.objective_deadline.min(latest);
    }

    /// The engines that must not be evicted while the job is open: of its dispatch in flight and its possible run.
    pub fn engines(&self) -> impl Iterator<Item = EngineId> {
        let in_flight = self.in_flight().map(|dispatch| dispatch.engine);
        in_flight.into_iter().chain(self.possible_run.map(|run| run.engine))
    }
}
