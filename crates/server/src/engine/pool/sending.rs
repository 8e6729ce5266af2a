//! Writes to connections, after a last check before the first byte of each request.

use super::in_flight::RequestKind;
use super::{ConnectionPool, PoolContext};
use crate::codec::engine::{HealthCheckKind, encode_fetch, encode_health_check, encode_request};
use crate::engine::connection::EngineConnection;
use crate::engine::connection_error::ConnectionLostReason;
use crate::engine::ids::{EngineConnectionId, EngineRequestId};
use crate::engine::request::EngineRequest;
use crate::engine::send_gate::SendGate;
use pebblevane::time::Timestamp;
use std::io;
use std::sync::atomic::Ordering::SeqCst;

impl ConnectionPool {
    /// Writes a request to this connection if it may still be sent.
    pub(super) fn send_on(
        &mut self,
        id: EngineRequestId,
        connection_id: EngineConnectionId,
        context: &PoolContext,
    ) {
        if self.is_stale(connection_id) {
            self.close_connection(connection_id, &ConnectionLostReason::UnexpectedInput, context);
            self.waiting.push_front(id);
            return self.assign_waiting(context);
        }
        if !self.in_flight.contains_key(&id) || !self.connections.contains_key(&connection_id) {
            return;
        }
        let Some(bytes) = self.encode_if_permitted(id, connection_id, context) else {
            return self.fail_request(id);
        };
        match self.begin_request(id, connection_id, &bytes, context) {
            Ok(count) if count == bytes.len() => {}
            Ok(count) => self.write(connection_id, &bytes[count..], context),
            Err(e) => self.retry_unsent(id, connection_id, e, context),
        }
    }

    /// Whether the connection is idle, and has ended or received unexpected input. A request that is written to a
    /// connection that has ended is lost, and it is unknown whether it ran. The rest of an incomplete message would
    /// corrupt the answer.
    fn is_stale(&self, id: EngineConnectionId) -> bool {
        let is_stale =
            |connection: &EngineConnection| connection.is_idle() && connection.has_unexpected_input();
        self.connections.get(&id).is_some_and(is_stale)
    }

    /// Returns the bytes of a request, and claims it for sending if it is a dispatch; `None` if it may no longer be
    /// sent.
    fn encode_if_permitted(
        &self,
        id: EngineRequestId,
        connection: EngineConnectionId,
        context: &PoolContext,
    ) -> Option<Vec<u8>> {
        let in_flight = self.in_flight.get(&id)?;
        match &in_flight.kind {
            RequestKind::Dispatch { request, gate, .. } => {
                let now = (context.now)();
                if !self.claim_dispatch(request, gate, now) {
                    return None;
                }
                gate.record_write();
                let job = &request.id;
                tracing::debug!(%job, engine = %self.name, connection = connection.0, "dispatch sent");
                let timeout = request.deadline - now;
                Some(encode_request(job, &request.class, timeout, request.priority, &request.statement))
            }
            RequestKind::HealthCheck(_) => {
                let kind = if context.settings.request_load_reports {
                    HealthCheckKind::LoadReport
                } else {
                    HealthCheckKind::Liveness
                };
                Some(encode_health_check(&in_flight.wire_id, kind))
            }
        }
    }

    /// Claims a dispatch for sending. Returns false, and withholds it, if one of these applies:
    ///
    /// - its client is no longer waiting;
    /// - its `begin_by` has passed;
    /// - the engine is draining;
    /// - the job has withheld it;
    /// - the job's ledger does not permit it.
    fn claim_dispatch(&self, request: &EngineRequest, gate: &SendGate, now: Timestamp) -> bool {
        let is_obsolete = !request.liveness.is_waiting() || now >= request.begin_by;
        if is_obsolete || !self.accepts_dispatches.load(SeqCst) || !gate.try_begin_send() {
            tracing::debug!(job = %request.id, engine = %self.name, "dispatch withheld");
            gate.withhold_if_queued();
            return false;
        }
        let is_permitted = request.ledger.try_record_send(now, request.deadline);
        if !is_permitted {
            gate.withhold();
        }
        is_permitted
    }

    /// Records the request as in flight and writes as much of it as the socket buffer has space for. Returns the number
    /// of bytes written.
    fn begin_request(
        &mut self,
        id: EngineRequestId,
        connection_id: EngineConnectionId,
        bytes: &[u8],
        context: &PoolContext,
    ) -> io::Result<usize> {
        let Some(request) = self.in_flight.get_mut(&id) else { return Ok(bytes.len()) };
        let Some(connection) = self.connections.get_mut(&connection_id) else { return Ok(bytes.len()) };
        connection.begin_request(request.wire_id.clone(), id);
        request.begin_on(connection_id, context.settings.dial_timeout);
        connection.write_some(bytes)
    }

    /// Queues a request of which nothing was sent for another connection, or fails it after too many failed
    /// connections.
    fn retry_unsent(
        &mut self,
        id: EngineRequestId,
        connection_id: EngineConnectionId,
        error: io::Error,
        context: &PoolContext,
    ) {
        let Some(request) = self.in_flight.get_mut(&id) else { return };
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.requests.remove(&request.wire_id);
        }
        let may_retry = request.record_failed_connection();
        if let RequestKind::Dispatch { request, gate, .. } = &request.kind {
            if may_retry {
                gate.requeue_unsent();
            } else {
                gate.withhold_unsent();
            }
            request.ledger.record_unsent();
        }
        self.close_connection(connection_id, &ConnectionLostReason::WriteRefused(error), context);
        if may_retry {
            self.waiting.push_back(id);
            self.assign_waiting(context);
        } else {
            self.fail_request(id);
        }
    }

    /// Requests a further page of a dispatch's result.
    pub(super) fn fetch_page(&mut self, id: EngineRequestId, page_number: u32, context: &PoolContext) {
        self.write_for(id, |wire_id| encode_fetch(wire_id, page_number), context);
    }

    /// Writes a protocol line about a request to its connection, if it has one.
    pub(super) fn write_for(
        &mut self,
        id: EngineRequestId,
        encode: impl Fn(&str) -> Vec<u8>,
        context: &PoolContext,
    ) {
        let Some(request) = self.in_flight.get(&id) else { return };
        let Some(connection) = request.connection else { return };
        let bytes = encode(&request.wire_id);
        self.write(connection, &bytes, context);
    }

    fn write(&mut self, id: EngineConnectionId, bytes: &[u8], context: &PoolContext) {
        let Some(connection) = self.connections.get(&id) else { return };
        if let Err(e) = connection.write_all(bytes) {
            self.close_connection(id, &ConnectionLostReason::WriteIncomplete(e), context);
        }
    }
}
