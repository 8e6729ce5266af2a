//! Handles requests that wait too long, and closes idle and silent connections.

use super::connection_choice::Sharing;
use super::in_flight::{InFlightRequest, RequestKind};
use super::results::IdUse;
use super::{ConnectionPool, PoolContext};
use crate::engine::connection_error::ConnectionLostReason;
use crate::engine::ids::{EngineConnectionId, EngineRequestId};
use crate::engine::request::HealthCheckResult;
use pebblevane::interface::DispatchStatus;
use std::time::{Duration, Instant};

/// A connection counts as silent after this number of progress intervals without a message.
const SILENT_AFTER_INTERVALS: f64 = 2.5;

impl ConnectionPool {
    /// The earliest of the requests' timeouts that the pool enforces.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        self.in_flight.values().filter_map(InFlightRequest::deadline).min()
    }

    /// Handles the requests that have timed out.
    pub(crate) fn handle_timeouts(&mut self, now: Instant, context: &PoolContext) {
        let late = self.in_flight.iter().filter(|(_, request)| request.has_timed_out(now));
        for id in late.map(|(id, _)| *id).collect::<Vec<EngineRequestId>>() {
            self.handle_timeout(id, now, context);
        }
    }

    fn handle_timeout(&mut self, id: EngineRequestId, now: Instant, context: &PoolContext) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        // Handling another request may have sent this one in the meantime.
        if !request.has_timed_out(now) {
            return;
        }
        if request.connection.is_none() && !request.may_share {
            // Connecting takes too long, so the request shares an existing connection.
            request.may_share = true;
            request.due = now + context.settings.dial_timeout;
            return self.share_connection(id, context);
        }
        if matches!(request.kind, RequestKind::HealthCheck(_)) && request.connection.is_some() {
            request.finish_health_check(HealthCheckResult::unanswered(DispatchStatus::TimedOut));
            self.remove_request(id, IdUse::Retired);
        } else {
            self.fail_request(id);
        }
    }

    fn share_connection(&mut self, id: EngineRequestId, context: &PoolContext) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let connection = self.choose_connection(&request.wire_id, Sharing::Allowed, context);
        if let Some(connection) = connection {
            self.waiting.retain(|waiting| *waiting != id);
            self.send_on(id, connection, context);
        }
    }

    /// Closes connections that have been idle for too long, and silent ones.
    pub(crate) fn sweep(&mut self, context: &PoolContext) {
        self.close_idle(context.settings.idle_timeout);
        self.close_silent(context);
    }

    fn close_idle(&mut self, idle_timeout: Duration) {
        let reuse_limit = self.reuse_limit.get(idle_timeout);
        self.reuse_limit.raise_if_due(idle_timeout);
        self.connections.retain(|_, connection| {
            let keep = !connection.is_idle() || connection.is_fresh(reuse_limit, idle_timeout);
            if !keep {
                connection.shut_down();
            }
            keep
        });
    }

    /// Closes the connections on which progress updates are expected but nothing is received, while the engine sends on
    /// others. If all are silent, the engine itself may have failed; the admission controller decides that.
    fn close_silent(&mut self, context: &PoolContext) {
        let Some(interval) = context.settings.progress_interval else { return };
        let is_engine_active =
            self.connections.values().any(|connection| connection.last_received.elapsed() < interval);
        if !is_engine_active {
            return;
        }
        let limit = interval.mul_f64(SILENT_AFTER_INTERVALS);
        let silent = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.is_idle() && connection.silent_for() > limit);
        for id in silent.map(|(id, _)| *id).collect::<Vec<EngineConnectionId>>() {
            self.close_connection(id, &ConnectionLostReason::Silent, context);
        }
    }
}
