//! Graceful shutdown of the process: waiting jobs that can't finish in time get their final answer at once. Other jobs
//! that are still open shortly before the time limit get it then.

use crate::admission;
use crate::interface::JobId;
use crate::state::ControllerState;
use crate::time::Timestamp;
use crate::timers::Timer;

/// Begins a graceful shutdown of the process: all jobs get their final answer before `answered_by`.
pub fn begin_shutdown(state: &mut ControllerState, answered_by: Timestamp) {
    state.answered_by = answered_by;
    for job in state.jobs.values_mut() {
        job.limit_deadlines(answered_by);
    }
    let open: Vec<JobId> = state.jobs.keys().copied().collect();
    let answer_deadline = answered_by - state.settings.answer_margin;
    state.timers.schedule_at(answer_deadline, Timer::ShutdownDeadline(open));
    admission::place_waiting_jobs(state);
}
