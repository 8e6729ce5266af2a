//! Handles on engines and dispatches, through which other threads send dispatches and health checks to an engine,
//! cancel dispatches, and receive their events. The engine's pool executes the commands in the `engines` thread.

pub use crate::engine::request::{DispatchEvent, EngineRequest, HealthCheckCallback, HealthCheckResult};

use crate::engine::command::PoolCommand;
use crate::engine::endpoint_updates::AddedEndpoint;
use crate::engine::ids::{EngineRequestId, PoolId};
use crate::engine::registry::EngineRegistry;
use crate::engine::send_gate::SendGate;
use crossbeam_channel::{Receiver, bounded};
use pebblevane::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};

/// The number of events that may be queued for one dispatch. After some use, a bounded channel occupies memory for its
/// full capacity, so this is no larger than a burst requires.
const EVENT_QUEUE_CAPACITY: usize = 32;

/// The handle on one engine.
pub struct EngineHandle {
    registry: Arc<EngineRegistry>,
    pool: PoolId,
    /// Shared with the pool, which checks it before the first byte of each dispatch.
    accepts_dispatches: Arc<AtomicBool>,
    next_request: AtomicU64,
}

/// A job's handle on its dispatch. Dropping it cancels the dispatch, or releases the result that the engine still
/// stores.
#[must_use = "dropping the handle cancels the dispatch"]
pub struct DispatchHandle {
    id: EngineRequestId,
    engine: Arc<EngineHandle>,
    gate: Arc<SendGate>,
    /// The events of the dispatch.
    pub events: Receiver<DispatchEvent>,
}

impl EngineHandle {
    /// Adds an engine at this address, to which dispatches may be sent from now on. `name` is for the log.
    pub fn new(registry: &Arc<EngineRegistry>, name: &str, address: SocketAddr) -> Arc<EngineHandle> {
        let pool = registry.next_pool_id();
        let accepts_dispatches = Arc::new(AtomicBool::new(true));
        let endpoint =
            AddedEndpoint { name: name.to_string(), address, accepts_dispatches: accepts_dispatches.clone() };
        registry.update_endpoint(pool, |update| update.added = Some(endpoint));
        Arc::new(EngineHandle {
            registry: registry.clone(),
            pool,
            accepts_dispatches,
            next_request: AtomicU64::new(0),
        })
    }

    /// Sets whether dispatches may be sent. If not, those that wait for a connection fail immediately.
    pub fn set_accepts_dispatches(&self, accepts: bool) {
        if self.accepts_dispatches.swap(accepts, SeqCst) && !accepts {
            self.registry.update_endpoint(self.pool, |update| update.draining = true);
        }
    }

    /// Queues a dispatch, which is sent as soon as a connection is available. Blocks while the command queue is full.
    pub fn send(self: &Arc<Self>, request: EngineRequest) -> DispatchHandle {
        let (event_sender, events) = bounded(EVENT_QUEUE_CAPACITY);
        let (id, gate) = (self.next_request_id(), Arc::new(SendGate::default()));
        let command = PoolCommand::Send { id, request, gate: gate.clone(), events: event_sender };
        self.registry.send_command(self.pool, command);
        DispatchHandle { id, engine: self.clone(), gate, events }
    }

    /// Queues a health check, whose result is passed to the callback. Returns false, and never calls back, if the
    /// command queue is full.
    #[must_use]
    pub fn check_health(&self, callback: HealthCheckCallback) -> bool {
        let id = self.next_request_id();
        self.registry.try_send_command(self.pool, PoolCommand::CheckHealth { id, callback })
    }

    /// Closes the connections that were established before the engine restarted at this time.
    pub fn engine_restarted(&self, at: Timestamp) {
        self.registry.update_endpoint(self.pool, |update| update.restarted_at = Some(at));
    }

    /// Sends no further dispatches. Those in flight may still finish.
    pub fn engine_removed(&self) {
        self.accepts_dispatches.store(false, SeqCst);
        self.registry.update_endpoint(self.pool, |update| {
            update.draining = true;
            update.removed = true;
        });
    }

    fn next_request_id(&self) -> EngineRequestId {
        EngineRequestId(self.next_request.fetch_add(1, SeqCst))
    }
}

impl DispatchHandle {
    /// Requests a further page of the result, which is received as an event.
    pub fn fetch_page(&self, page_number: u32) {
        self.send_command(PoolCommand::FetchPage { id: self.id, page_number });
    }

    /// Withholds the dispatch, whatever its state: it is not sent, or sent again, from now on. Returns false if the
    /// pool had already begun to send it.
    pub fn withhold(&self) -> bool {
        self.gate.withhold()
    }

    /// Withholds the dispatch if it still waits for a connection. Returns whether it did wait.
    #[must_use]
    pub fn withhold_if_queued(&self) -> bool {
        self.gate.withhold_if_queued()
    }

    /// Whether a byte of the dispatch may have been sent.
    pub fn may_have_been_sent(&self) -> bool {
        self.gate.may_have_been_sent()
    }

    /// Cancels the dispatch. The receiver is disconnected once the cancellation has been written. The job's next
    /// dispatch has to wait for that, so that it is not sent before the cancellation.
    #[must_use = "the job's next dispatch has to wait for it"]
    pub fn cancel(&self) -> Receiver<()> {
        let (done, cancelled) = bounded(0);
        self.send_command(PoolCommand::Cancel { id: self.id, done: Some(done) });
        cancelled
    }

    fn send_command(&self, command: PoolCommand) {
        self.engine.registry.send_command(self.engine.pool, command);
    }
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        self.withhold();
        self.send_command(PoolCommand::Cancel { id: self.id, done: None });
    }
}
