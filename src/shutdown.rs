//! Graceful shutdown of the process: waiting jobs that can't finish before the process ends get their final answer at
//! once. Other jobs that are still open shortly before the end get it then.

use crate::admission;
use crate::interface::JobId;
use crate::state::ControllerState;
use crate::time::Timestamp;
use crate::timers::Timer;

/// Begins a graceful shutdown of the process, which ends at `end`.
pub fn begin_shutdown(state: &mut ControllerState, end: Timestamp) {
    state.shutdown_at = end;
    for job in state.jobs.values_mut() {
        job.limit_deadline(end);
    }
    let open: Vec<JobId> = state.jobs.keys().copied().collect();
    let answer_deadline = end - state.settings.answer_margin;
    state.timers.schedule_at(answer_deadline, Timer::ShutdownDeadline(open));
    admission::place_waiting_jobs(state);
}
