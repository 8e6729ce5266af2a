//! Checks requests whose connection ended before their answer: the protocol allows this only in a few situations.

use super::{Checker, Rule, TOLERANCE_US};
use crate::history::{Dispatch, Micros, Request};
use crate::schedule::Fault;

/// If a used connection closes this soon after a request, the request may have been sent before the client noticed;
/// clients of the protocol then send it again.
const CLOSE_RACE_US: Micros = 50_000;
/// How long after SIGTERM a gateway must still answer requests on connections that have carried requests.
const USED_CONNECTION_GRACE_US: Micros = 700_000;
/// The same for the first request on a connection.
const FIRST_REQUEST_GRACE_US: Micros = 1_500_000;
/// A connection on which a later request comes must be closed within this time if the request is not answered.
const LATE_CLOSE_TIMEOUT_US: Micros = 100_000;
/// Effects of a fault may show until this long after the fault's end.
const FAULT_EFFECT_DELAY_US: Micros = 1_000_000;

impl Checker<'_> {
    /// Checks a request whose connection ended at this time.
    pub(super) fn check_close(
        &mut self,
        request: &Request,
        dispatches: &[&Dispatch],
        at: Micros,
        reset: bool,
    ) {
        if self.processes.killed.get(&request.to).is_some_and(|killed| *killed < at + TOLERANCE_US) {
            self.verdict.at_killed_gateways += 1;
            return;
        }
        if self.may_have_failing_calls(request, at) {
            self.verdict.broken_connections += 1;
            return;
        }
        let grace =
            if request.is_first_on_connection { FIRST_REQUEST_GRACE_US } else { USED_CONNECTION_GRACE_US };
        let is_too_late = |stopping: &Micros| request.sent_at > stopping + grace;
        if self.processes.stopping.get(&request.to).is_some_and(is_too_late) {
            return self.check_late_close(request, dispatches, at);
        }
        let is_close_race = !request.is_first_on_connection
            && !reset
            && at.saturating_sub(request.sent_at) <= CLOSE_RACE_US + TOLERANCE_US / 2;
        let is_flooded =
            request.is_first_on_connection && self.is_flooded(request.to.gateway, request.sent_at);
        if is_close_race || is_flooded {
            self.verdict.close_races += 1;
            return;
        }
        let after_ms = (at - request.sent_at) / 1000;
        let how = if reset { "reset" } else { "closed" };
        let description = format!("{how} with no answer after {after_ms} ms");
        self.report(Rule::Lost, at, Some(&request.id), true, description);
    }

    /// Checks a request that was sent after the grace of a stop. Its connection may be closed, but without delay and
    /// only if the request was not dispatched.
    fn check_late_close(&mut self, request: &Request, dispatches: &[&Dispatch], at: Micros) {
        self.verdict.late_in_stop += 1;
        let silence = at.saturating_sub(request.sent_at);
        if silence > LATE_CLOSE_TIMEOUT_US + TOLERANCE_US {
            let description = format!("late in a stop: closed after {} ms of silence", silence / 1000);
            self.report(Rule::Lost, at, Some(&request.id), true, description);
        }
        if let Some(dispatch) = dispatches.first() {
            let description =
                format!("late in a stop: sent to engine {}, then closed with no answer", dispatch.engine);
            self.report(Rule::Lost, at, Some(&request.id), false, description);
        }
    }

    /// Whether an injected fault may have made a call on the request's connection fail. The gateway must then close the
    /// connection by the request's timeout.
    fn may_have_failing_calls(&self, request: &Request, at: Micros) -> bool {
        let is_in_time = at <= request.sent_at + request.timeout_ms * 1000 + TOLERANCE_US;
        let fails_client_calls = |fault: &Fault| match fault {
            Fault::FailClientCalls { gateways, for_ms, .. } if gateways.contains(&request.to.gateway) => {
                Some(*for_ms)
            }
            _ => None,
        };
        is_in_time && self.overlaps_fault(request.sent_at, at, fails_client_calls)
    }

    /// Whether idle connections may have used up a gateway's descriptors. It may then close new connections unread.
    fn is_flooded(&self, gateway: usize, at: Micros) -> bool {
        let floods = |fault: &Fault| match fault {
            Fault::IdleFlood { gateways, for_ms, .. } if gateways.contains(&gateway) => Some(*for_ms),
            _ => None,
        };
        self.overlaps_fault(at, at, floods)
    }

    /// Whether a fault for which `duration_ms` returns a duration has effects between these times.
    fn overlaps_fault(&self, from: Micros, to: Micros, duration_ms: impl Fn(&Fault) -> Option<u64>) -> bool {
        self.schedule.faults.iter().any(|scheduled| {
            let start = scheduled.at_ms * 1000;
            let duration_ms = duration_ms(&scheduled.fault);
            duration_ms.is_some_and(|duration_ms| {
                start <= to && from < start + duration_ms * 1000 + FAULT_EFFECT_DELAY_US
            })
        })
    }
}
