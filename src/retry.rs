//! Retries: which jobs may be sent again, until when, how often and to which engines.

use crate::estimators::SlidingWindow;
use crate::interface::Endpoint;
use crate::job::PendingJob;
use crate::settings::{ClassSettings, ControllerSettings, DeduplicationScope, RetrySafety};
use crate::time::{TimeDelta, Timestamp};

/// Retry budget: limits the retries in a window by the number of jobs submitted in it.
#[derive(Default)]
pub struct RetryBudget {
    jobs: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Counts a submitted job.
    pub fn count_job(&mut self, settings: &ControllerSettings, now: Timestamp) {
        self.jobs.add(now, window(settings), 1.0);
    }

    /// Counts a retry that is sent.
    pub fn count_retry(&mut self, settings: &ControllerSettings, now: Timestamp) {
        self.retries.add(now, window(settings) + settings.answer_margin, 1.0);
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&self, settings: &ControllerSettings, now: Timestamp) -> bool {
        let contract = &settings.contract;
        let Some(window) = contract.retry_budget_window else { return true };
        let start = now - window;
        // The limit holds in every window, including both its ends. The margin therefore makes retries that are exactly
        // one window apart count together.
        let retries = self.retries.sum_since(start - settings.answer_margin);
        let jobs = self.jobs.sum_since(start);
        retries + 1.0 <= contract.min_retries + contract.retries_per_job * jobs
    }
}

fn window(settings: &ControllerSettings) -> TimeDelta {
    settings.contract.retry_budget_window.unwrap_or_default()
}

/// Latest time at which a dispatch of this job may begin; in the past if the job must not be dispatched again.
pub fn dispatch_deadline(job: &PendingJob, class: &ClassSettings, answer_margin: TimeDelta) -> Timestamp {
    match (job.possible_run, class.retry_safety) {
        (Some(_), RetrySafety::RunOnce) => Timestamp::default(),
        (Some(first), RetrySafety::IdempotencyKey) => {
            job.deadline.min(first.sent_at + class.deduplication_window) - answer_margin
        }
        _ => job.deadline - answer_margin,
    }
}

/// Whether the deadline, the retry safety and the number of dispatches of a job allow one more dispatch.
pub fn may_dispatch_again(
    job: &PendingJob,
    class: &ClassSettings,
    settings: &ControllerSettings,
    now: Timestamp,
) -> bool {
    f64::from(job.dispatch_count) < settings.max_dispatches_per_job
        && now < dispatch_deadline(job, class, settings.answer_margin)
}

/// Whether the engine `other` recognizes the idempotency keys of jobs that ran on `first`; `None` is an engine that is no
/// longer known.
pub fn shares_idempotency_keys(class: &ClassSettings, first: Option<&Endpoint>, other: &Endpoint) -> bool {
    match class.deduplication_scope {
        DeduplicationScope::Pool => true,
        DeduplicationScope::Location => first.is_some_and(|first| first.location == other.location),
        DeduplicationScope::Cell => first.is_some_and(|first| first.cell == other.cell),
    }
}

/// Whether a client can safely submit a job again that ended without a result: the job can't have run, or running it
/// again does no harm.
pub fn client_retry_is_harmless(job: &PendingJob, class: &ClassSettings) -> bool {
    let cannot_have_run = job.possible_run.is_none() && job.in_flight().is_none();
    let repeatable = match class.retry_safety {
        RetrySafety::Restartable => true,
        RetrySafety::IdempotencyKey => class.deduplication_scope == DeduplicationScope::Pool,
        RetrySafety::RunOnce => false,
    };
    cannot_have_run || repeatable
}
