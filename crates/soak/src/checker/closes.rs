//! Requests whose connection ended before their answer: which of these ends the protocol allows.

use super::{Checker, Rule, SLACK};
use crate::history::{At, Dispatch, Request};
use crate::schedule::Fault;

/// A request that crosses the end of a used connection within this time is sent again by its client.
const CROSSING: At = 50_000;
/// Requests may come this long after SIGTERM: on used connections, and on fresh ones.
const COMING: At = 700_000;
const COMING_FRESH: At = 1_500_000;
/// A request that comes later than that meets the end of its connection within this time, where it gets no answer.
const AT_ONCE: At = 100_000;
/// Whatever a fault has done shows within this time of the fault's end.
const AFTERMATH: At = 1_000_000;

impl Checker<'_> {
    /// Checks a request whose connection ended at this time.
    pub(super) fn closed(&mut self, request: &Request, dispatches: &[&Dispatch], at: At, reset: bool) {
        if self.runs.killed.get(&request.to).is_some_and(|killed| *killed < at + SLACK) {
            self.verdict.killed += 1;
            return;
        }
        if self.is_broken(request, at) {
            self.verdict.broken_connections += 1;
            return;
        }
        let coming = if request.fresh { COMING_FRESH } else { COMING };
        let too_late = |stopping: &At| request.sent > stopping + coming;
        if self.runs.stopping.get(&request.to).is_some_and(too_late) {
            return self.closed_after_stop(request, dispatches, at);
        }
        let crossed = !request.fresh && !reset && at.saturating_sub(request.sent) <= CROSSING + SLACK / 2;
        if crossed || request.fresh && self.is_flooded(request.to.gateway, request.sent) {
            self.verdict.crossings += 1;
            return;
        }
        let after = (at - request.sent) / 1000;
        let how = if reset { "reset" } else { "closed" };
        self.found(Rule::Lost, at, Some(&request.id), true, format!("{how} with no answer after {after} ms"));
    }

    /// A request that comes after the last moment of a stop may meet the end of its connection, at once and unsent.
    fn closed_after_stop(&mut self, request: &Request, dispatches: &[&Dispatch], at: At) {
        self.verdict.after_stop += 1;
        let silent_for = at.saturating_sub(request.sent);
        if silent_for > AT_ONCE + SLACK {
            let what = format!("late in a stop: closed after {} ms of silence", silent_for / 1000);
            self.found(Rule::Lost, at, Some(&request.id), true, what);
        }
        if let Some(sent) = dispatches.first() {
            let what = format!("late in a stop: sent to engine {}, then closed with no answer", sent.engine);
            self.found(Rule::Lost, at, Some(&request.id), false, what);
        }
    }

    /// Whether a call on the request's connection may have been made to fail. Its client is owed the end in its own time.
    fn is_broken(&self, request: &Request, at: At) -> bool {
        let in_time = at <= request.sent + request.patience_ms * 1000 + SLACK;
        let breaks_clients = |fault: &Fault| match fault {
            Fault::FailClientCalls { gateways, for_ms, .. } if gateways.contains(&request.to.gateway) => {
                Some(*for_ms)
            }
            _ => None,
        };
        in_time && self.overlaps(request.sent, at, breaks_clients)
    }

    /// Whether idle connections hold a gateway's descriptors: new connections may be shut unread then.
    fn is_flooded(&self, gateway: usize, at: At) -> bool {
        let floods = |fault: &Fault| match fault {
            Fault::IdleFlood { gateways, for_ms, .. } if gateways.contains(&gateway) => Some(*for_ms),
            _ => None,
        };
        self.overlaps(at, at, floods)
    }

    /// Whether a fault that lasts for `duration_ms`, or its aftermath, falls into this time.
    fn overlaps(&self, from: At, to: At, duration_ms: impl Fn(&Fault) -> Option<u64>) -> bool {
        self.schedule.faults.iter().any(|scheduled| {
            let begins = scheduled.at_ms * 1000;
            let lasts = duration_ms(&scheduled.fault);
            lasts.is_some_and(|lasts| begins <= to && from < begins + lasts * 1000 + AFTERMATH)
        })
    }
}
