//! Decides what a planned shutdown stops: what is open when the process ends gets its final answer then, and what
//! can't be done by then at once.

use crate::admission;
use crate::interface::JobId;
use crate::state::ControllerState;
use crate::time::Timestamp;
use crate::timers::Timer;

/// Begins a shutdown: the process ends at `end`.
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
