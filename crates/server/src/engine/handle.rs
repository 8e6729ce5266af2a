//! Handles on engines and dispatches: sending to an engine, cancelling, and what a job hears of its dispatch. The
//! engine's pool does the rest, in the `engines` thread.

pub use crate::engine::request::{DispatchEvent, EngineRequest, HealthCheckCallback, HealthCheckResult};

use crate::engine::command::PoolCommand;
use crate::engine::endpoint_updates::AddedEndpoint;
use crate::engine::ids::{PoolId, RequestId};
use crate::engine::registry::EngineRegistry;
use crate::engine::send_gate::SendGate;
use crossbeam_channel::{Receiver, bounded};
use pebblevane::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};

/// Events that may wait for one job. A channel takes memory for all that it may hold once it has gone round, so that
/// it is no larger than bursts.
const EVENTS_CAPACITY: usize = 32;

/// The handle on one engine.
pub struct EngineHandle {
    registry: Arc<EngineRegistry>,
    pool: PoolId,
    /// Shared with the pool, which looks at it before each first byte.
    accepts_dispatches: Arc<AtomicBool>,
    next_request: AtomicU64,
}

/// A job's handle on its dispatch. Dropping it cancels the dispatch, or ends what the engine holds of its result.
#[must_use = "dropping the handle cancels the dispatch"]
pub struct DispatchHandle {
    id: RequestId,
    engine: Arc<EngineHandle>,
    gate: Arc<SendGate>,
    /// What the job hears of the dispatch.
    pub events: Receiver<DispatchEvent>,
}

impl EngineHandle {
    /// Adds an engine at this address, which accepts dispatches from now on. `name` is for the log.
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

    /// Sets whether dispatches may be sent. Where they may not, those that wait for a connection are lost at once.
    pub fn set_accepts_dispatches(&self, accepts: bool) {
        if self.accepts_dispatches.swap(accepts, SeqCst) && !accepts {
            self.registry.update_endpoint(self.pool, |update| update.draining = true);
        }
    }

    /// Hands a dispatch over, which is sent as soon as there is a connection; waits while too many commands do.
    pub fn send(self: &Arc<Self>, request: EngineRequest) -> DispatchHandle {
        let (event_sender, events) = bounded(EVENTS_CAPACITY);
        let (id, gate) = (self.next_request_id(), Arc::new(SendGate::default()));
        let command = PoolCommand::Send { id, request, gate: gate.clone(), events: event_sender };
        self.registry.send_command(self.pool, command);
        DispatchHandle { id, engine: self.clone(), gate, events }
    }

    /// Sends a health check and calls back with its result. Returns false, and never calls back, where too many
    /// commands wait.
    #[must_use]
    pub fn check_health(&self, callback: HealthCheckCallback) -> bool {
        let id = self.next_request_id();
        self.registry.try_send_command(self.pool, PoolCommand::CheckHealth { id, callback })
    }

    /// Closes the connections that were made before this time, at which the engine has started anew.
    pub fn engine_restarted(&self, at: Timestamp) {
        self.registry.update_endpoint(self.pool, |update| update.restarted_at = Some(at));
    }

    /// Sends nothing more; what is in flight still ends by itself.
    pub fn engine_removed(&self) {
        self.accepts_dispatches.store(false, SeqCst);
        self.registry.update_endpoint(self.pool, |update| {
            update.draining = true;
            update.removed = true;
        });
    }

    fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, SeqCst))
    }
}

impl DispatchHandle {
    /// Asks for a further page of the result, which comes as an event.
    pub fn fetch_page(&self, page_number: u32) {
        self.send_command(PoolCommand::FetchPage { id: self.id, page_number });
    }

    /// Forbids sending from now on, whatever the dispatch's state. Returns whether it had not been claimed for sending
    /// before.
    pub fn forbid_sending(&self) -> bool {
        self.gate.withhold()
    }

    /// Withholds a dispatch that waits for a connection, and changes nothing otherwise. Returns whether it did wait.
    #[must_use]
    pub fn withhold_if_queued(&self) -> bool {
        self.gate.withhold_if_queued()
    }

    /// Whether a byte of the dispatch may have been sent.
    pub fn may_have_been_sent(&self) -> bool {
        self.gate.may_have_been_sent()
    }

    /// Cancels the dispatch. The receiver is disconnected once that is written: the job's next dispatch must not
    /// overtake it.
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
        self.forbid_sending();
        self.send_command(PoolCommand::Cancel { id: self.id, done: None });
    }
}
