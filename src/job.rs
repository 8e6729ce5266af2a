//! A job from its submission to its release: a typed state machine, and what is known of its dispatch in flight.

use crate::interface::{EngineId, Job, ProgressUpdate};
use crate::time::{TimeDelta, Timestamp};

/// How a job runs, as far as its memory goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionMode {
    /// It has the memory that it needs.
    InMemory,
    /// It spills to disk.
    Spilled,
}

/// What was known when an engine was chosen within a pair.
#[derive(Clone, Copy, Debug)]
pub struct PairChoice {
    /// The two engines.
    pub pair: [EngineId; 2],
    /// The job's features x.
    pub features: [f64; 3],
    /// The speed score's margin s.
    pub margin: f64,
}

/// A dispatch that is in flight.
#[derive(Debug)]
pub struct InFlightDispatch {
    /// Where it was sent.
    pub engine: EngineId,
    /// Its number among the job's dispatches, from 0.
    pub attempt: u32,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// How its engine was chosen, if there were two.
    pub choice: Option<PairChoice>,
    /// Memory (MB) that it may take.
    pub memory_mb: f64,
    /// The fraction of the work that is known to be done.
    pub completed_fraction: f64,
    /// When its engine last sent progress, or when it was sent.
    pub last_update_at: Timestamp,
    /// It was cancelled.
    pub cancelled: bool,
    /// It waited for a bulk load.
    pub waited_for_bulk_load: bool,
    /// It has spilled to disk.
    pub spilled: bool,
}

impl InFlightDispatch {
    /// A dispatch that is sent now.
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

    /// Notes progress that the engine sent.
    pub fn update(&mut self, now: Timestamp, progress: ProgressUpdate) {
        self.last_update_at = now;
        self.waited_for_bulk_load |= progress == ProgressUpdate::WaitingForBulkLoad;
        self.spilled |= matches!(progress, ProgressUpdate::SpillingToDisk(_));
        if let ProgressUpdate::CompletedFraction(fraction) = progress {
            self.completed_fraction = fraction;
        }
    }

    /// How the job runs, as far as its memory goes.
    pub fn mode(&self) -> ExecutionMode {
        if self.spilled { ExecutionMode::Spilled } else { ExecutionMode::InMemory }
    }

    /// How long ago it was sent.
    pub fn age(&self, now: Timestamp) -> TimeDelta {
        now - self.sent_at
    }
}

/// Where a job is on its way.
#[derive(Debug, Default)]
pub enum JobState {
    /// It is about to be placed, or over.
    #[default]
    Ready,
    /// It waits at this gateway for an engine.
    Waiting,
    /// It was dispatched and the result is outstanding.
    InFlight(InFlightDispatch),
}

/// The first dispatch of a job that may have run.
#[derive(Clone, Copy, Debug)]
pub struct PossibleRun {
    /// Where it was sent.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// What a job is estimated to need and to be worth.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobEstimates {
    /// Work, in milliseconds on one thread.
    pub work_ms: f64,
    /// The same spread over its threads: how long it runs on an unloaded engine (ms).
    pub run_ms: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Value per second of its work.
    pub value_rate: f64,
}

/// A job's times.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobTimes {
    /// When it was submitted.
    pub submitted_at: Timestamp,
    /// When its client stops waiting or the process ends.
    pub deadline: Timestamp,
    /// When it misses its latency objective.
    pub objective_deadline: Timestamp,
}

/// A job that was submitted and not yet released.
#[derive(Debug)]
pub struct PendingJob {
    /// The job as it was submitted.
    pub request: Job,
    /// When it was submitted.
    pub submitted_at: Timestamp,
    /// When its client stops waiting or the process ends.
    pub deadline: Timestamp,
    /// When it misses its latency objective.
    pub objective_deadline: Timestamp,
    /// Estimated work, in milliseconds on one thread.
    pub work_ms: f64,
    /// How long it runs on an unloaded engine (ms); exact once an engine has reported the work.
    pub run_ms: f64,
    /// Value per second of its work.
    pub value_rate: f64,
    /// Estimated memory (MB).
    pub memory_mb: f64,
    /// How often it was dispatched.
    pub dispatch_count: u32,
    /// The first dispatch that may have run.
    pub possible_run: Option<PossibleRun>,
    /// When a dispatch last ended without it being known whether it ran.
    pub outcome_unknown_at: Option<Timestamp>,
    /// The engine that it was last sent to.
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

    /// It has its final answer, though a dispatch may still be in flight.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// It waits at this gateway and has no final answer.
    pub fn is_waiting(&self) -> bool {
        self.is_queued() && !self.finished
    }

    /// It is among the waiting jobs.
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

    /// Its dispatch in flight, to be changed.
    pub fn in_flight_mut(&mut self) -> Option<&mut InFlightDispatch> {
        match &mut self.state {
            JobState::InFlight(dispatch) => Some(dispatch),
            JobState::Ready | JobState::Waiting => None,
        }
    }

    /// Its dispatch in flight, if it has no final answer.
    pub fn active_dispatch(&self) -> Option<&InFlightDispatch> {
        self.in_flight().filter(|_| !self.finished)
    }

    /// It has its final answer and nothing in flight.
    pub fn is_releasable(&self) -> bool {
        self.finished && self.in_flight().is_none()
    }

    /// It joins the waiting jobs; returns whether it was not among them before.
    pub fn start_waiting(&mut self) -> bool {
        let was_queued = self.is_queued();
        self.state = JobState::Waiting;
        !was_queued
    }

    /// It leaves the waiting jobs, to be placed.
    pub fn stop_waiting(&mut self) {
        self.state = JobState::Ready;
    }

    /// It was dispatched.
    pub fn dispatched(&mut self, dispatch: InFlightDispatch) {
        self.dispatch_count += 1;
        self.last_engine = Some(dispatch.engine);
        self.state = JobState::InFlight(dispatch);
    }

    /// The result of this attempt is there: takes the dispatch, if it is the one in flight.
    pub fn take_dispatch(&mut self, attempt: u32) -> Option<InFlightDispatch> {
        match std::mem::take(&mut self.state) {
            JobState::InFlight(dispatch) if dispatch.attempt == attempt => Some(dispatch),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// It has its final answer.
    pub fn finish(&mut self) {
        self.finished = true;
    }

    /// It has to be over by this time.
    pub fn limit_deadline(&mut self, end: Timestamp) {
        self.deadline = self.deadline.min(end);
        self.objective_deadline = self.objective_deadline.min(end);
    }

    /// The engines that its dispatches concern.
    pub fn engines(&self) -> impl Iterator<Item = EngineId> {
        let in_flight = self.in_flight().map(|dispatch| dispatch.engine);
        in_flight.into_iter().chain(self.possible_run.map(|run| run.engine))
    }
}
