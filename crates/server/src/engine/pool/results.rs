//! Ends requests: by a message of the engine, by cancellation, or by the loss of their connection.

use super::in_flight::{InFlightRequest, RequestKind};
use super::{ConnectionPool, PoolContext};
use crate::codec::engine::{EngineMessage, encode_end, encode_stop};
use crate::engine::connection::EngineConnection;
use crate::engine::connection_error::ConnectionLostReason;
use crate::engine::connection_input::ReceivedMessage;
use crate::engine::ids::{EngineConnectionId, EngineRequestId};
use crate::engine::request::{DispatchEvent, HealthCheckResult};
use crate::telemetry::counters;
use pebblevane::interface::DispatchStatus;
use pebblevane::time::TimeDelta;
use std::time::{Duration, Instant};

/// If a connection ends within this time after it became busy, without any message, it is assumed to have been stale
/// before that. Most answers take longer.
const STALE_DETECTION_WINDOW: Duration = Duration::from_millis(20);

/// Whether the id of a request that has ended may be used again on its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum IdUse {
    Reusable,
    /// A late answer with this id may still arrive.
    Retired,
}

impl ConnectionPool {
    /// Handles a message that was received on a connection.
    pub(super) fn handle_message(&mut self, connection: EngineConnectionId, received: ReceivedMessage) {
        let ReceivedMessage { wire_id, message, read_at } = received;
        let Some(connection) = self.connections.get_mut(&connection) else { return };
        connection.last_received = Instant::now();
        let Some(id) = connection.requests.get(wire_id.as_str()).copied() else {
            counters::UNEXPECTED_ENGINE_MESSAGES.increment();
            return;
        };
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        let ended = match request.kind {
            RequestKind::HealthCheck(_) => request.health_check_message(&message, read_at),
            RequestKind::Dispatch { .. } => request.dispatch_message(message),
        };
        if let Some(id_use) = ended {
            self.remove_request(id, id_use);
        }
    }

    /// Removes a request from its connection, or from the queue if it waits for one.
    pub(super) fn remove_request(&mut self, id: EngineRequestId, id_use: IdUse) -> Option<InFlightRequest> {
        let request = self.in_flight.remove(&id)?;
        match request.connection.and_then(|connection| self.connections.get_mut(&connection)) {
            Some(connection) => {
                connection.end_request(&request.wire_id);
                if id_use == IdUse::Retired {
                    connection.retire_id(request.wire_id.clone());
                }
            }
            None => self.waiting.retain(|waiting| *waiting != id),
        }
        Some(request)
    }

    /// Cancels a dispatch, or releases its result at the engine if the first page was received. If the engine has been
    /// silent on the connection for a while, it may not read a cancellation. The connection is then closed instead,
    /// unless other requests are in flight on it.
    pub(super) fn cancel(&mut self, id: EngineRequestId, context: &PoolContext) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let Some(connection) = request.connection else {
            self.remove_request(id, IdUse::Reusable);
            return;
        };
        let is_silent = |connection: &EngineConnection| {
            connection.requests.len() == 1 && connection.silent_for() > context.settings.dial_timeout
        };
        if request.has_first_page {
            self.write_for(id, encode_end, context);
        } else if self.connections.get(&connection).is_some_and(is_silent) {
            self.remove_request(id, IdUse::Retired);
            return self.close_connection(connection, &ConnectionLostReason::CancelledWhileSilent, context);
        } else {
            self.write_for(id, encode_stop, context);
        }
        self.remove_request(id, IdUse::Retired);
    }

    /// Fails all requests that wait for a connection.
    pub(super) fn fail_waiting(&mut self) {
        for id in std::mem::take(&mut self.waiting) {
            self.fail_request(id);
        }
    }

    /// Ends a request whose connection was lost, or that was never sent on one.
    pub(super) fn fail_request(&mut self, id: EngineRequestId) {
        let Some(request) = self.remove_request(id, IdUse::Retired) else { return };
        let had_connection = request.connection.is_some();
        match request.kind {
            RequestKind::Dispatch { events, .. } if had_connection => self.lost_dispatches.push(events),
            RequestKind::Dispatch { events, gate, .. } => {
                // A dispatch that was withheld by this program is not the engine's fault.
                let engine_reachable = gate.is_withheld();
                let lost = DispatchEvent::Lost { status: DispatchStatus::Unreachable, engine_reachable };
                // This fails if the job has already finished.
                let _ = events.try_send(lost);
            }
            RequestKind::HealthCheck(callback) => {
                let status =
                    if had_connection { DispatchStatus::ConnectionLost } else { DispatchStatus::Unreachable };
                if let Some(callback) = callback {
                    callback(HealthCheckResult::unanswered(status));
                }
            }
        }
    }

    /// Closes a connection and fails the requests in flight on it.
    pub(super) fn close_connection(
        &mut self,
        id: EngineConnectionId,
        reason: &ConnectionLostReason,
        context: &PoolContext,
    ) {
        let Some(connection) = self.connections.remove(&id) else { return };
        connection.shut_down();
        counters::ENGINE_CONNECTIONS_LOST.increment();
        if !connection.is_idle() {
            self.lower_reuse_limit_if_stale(&connection);
            self.fault_log.report(&self.name, "connection lost", connection.requests.len(), reason);
        }
        let mut requests: Vec<EngineRequestId> = connection.requests.into_values().collect();
        requests.sort_unstable();
        for request in requests {
            self.fail_request(request);
        }
        self.probe_after_loss(context);
    }

    /// Lowers the reuse limit if the connection was stale, since others that have been idle for as long may be stale
    /// too.
    fn lower_reuse_limit_if_stale(&mut self, connection: &EngineConnection) {
        let was_silent = connection.last_received <= connection.last_change;
        let ended_at_once = was_silent && connection.last_change.elapsed() < STALE_DETECTION_WINDOW;
        if let Some(idle_before_use) = connection.idle_before_use.filter(|_| ended_at_once) {
            self.reuse_limit.lower(idle_before_use);
        }
    }

    /// Connects to the engine after the loss of a connection, to distinguish a failure of the connection from a failure
    /// of the engine: an engine that has crashed accepts no connections.
    fn probe_after_loss(&mut self, context: &PoolContext) {
        let needs_probe = !self.lost_dispatches.is_empty() && self.dials_in_progress == 0;
        if needs_probe && !self.start_dial(context) {
            let engine_reachable = false;
            self.report_lost_dispatches(engine_reachable);
        }
    }

    /// Reports the dispatches whose connections were lost, and whether the engine accepts a new connection.
    pub(super) fn report_lost_dispatches(&mut self, engine_reachable: bool) {
        for events in std::mem::take(&mut self.lost_dispatches) {
            let lost = DispatchEvent::Lost { status: DispatchStatus::ConnectionLost, engine_reachable };
            // This fails if the job has already finished.
            let _ = events.try_send(lost);
        }
    }
}

impl InFlightRequest {
    /// Passes on the result of a health check. If the check has ended, returns whether its id may be used again.
    fn health_check_message(&mut self, message: &EngineMessage, read_at: Instant) -> Option<IdUse> {
        let (status, load_report) = match message {
            EngineMessage::Healthy(report) => (DispatchStatus::Completed, *report),
            EngineMessage::Unhealthy(report) | EngineMessage::Failed(report) => {
                (DispatchStatus::Failed, *report)
            }
            EngineMessage::Overloaded(report) => (DispatchStatus::Overloaded, *report),
            _ => return None,
        };
        let elapsed = TimeDelta(read_at.saturating_duration_since(self.sent_at).as_micros() as i64);
        self.finish_health_check(HealthCheckResult { status, load_report, elapsed });
        Some(IdUse::Reusable)
    }

    /// Calls back with the result of a health check, once.
    pub(super) fn finish_health_check(&mut self, result: HealthCheckResult) {
        let RequestKind::HealthCheck(callback) = &mut self.kind else { return };
        if let Some(callback) = callback.take() {
            callback(result);
        }
    }

    /// Passes on a message about a dispatch to its job. If the dispatch has ended, returns whether its id may be used
    /// again.
    fn dispatch_message(&mut self, message: EngineMessage) -> Option<IdUse> {
        let RequestKind::Dispatch { events, .. } = &self.kind else { return None };
        let ended = match &message {
            EngineMessage::FirstPage { .. } if self.has_first_page => {
                counters::UNEXPECTED_ENGINE_MESSAGES.increment();
                return None;
            }
            EngineMessage::FirstPage { page_count, .. } => {
                self.has_first_page = true;
                (*page_count <= 1).then_some(IdUse::Reusable)
            }
            EngineMessage::Progress(None) => return None,
            EngineMessage::Progress(Some(_)) | EngineMessage::FurtherPage { .. } => None,
            _ => Some(IdUse::Retired),
        };
        // If the engine sends more messages than the channel can hold, the job misses some, and its timeout ends the
        // dispatch.
        if events.try_send(DispatchEvent::Message(message)).is_err() {
            counters::UNEXPECTED_ENGINE_MESSAGES.increment();
        }
        ended
    }
}
