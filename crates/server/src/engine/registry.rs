//! The way to the `engines` thread, which owns the pools of all engines. A thread an engine would cost little in one
//! program, but hundreds of gateways that know many engines run a machine out of thread numbers.

use crate::config::connection_settings::ConnectionSettings;
use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::dialer::Dialer;
use crate::engine::endpoint_updates::{EndpointUpdate, EndpointUpdates};
use crate::engine::ids::PoolId;
use crate::engine::pool::PoolContext;
use crate::engine::registry_loop::RegistryLoop;
use crate::engine::socket_poller::SocketPoller;
use crate::lifecycle::threads::{STACK_BYTES, SpawnThread, spawn_required};
use crate::limits::ResourceBudget;
use crossbeam_channel::{Sender, bounded};
use pebblevane::time::Timestamp;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// Messages that may wait for the `engines` thread. A channel takes memory for all that it may hold once it has gone
/// round, so that it is no larger than bursts.
const MESSAGES_CAPACITY: usize = 2048;

/// The handle on the `engines` thread.
pub struct EngineRegistry {
    messages: Sender<RegistryMessage>,
    updates: Arc<EndpointUpdates>,
    next_pool: AtomicU64,
}

impl EngineRegistry {
    /// Starts the threads that serve engines. They run to the program's end and are not joined.
    ///
    /// `descriptors` bounds the connections to all engines together; `now` reads the program's clock; `spawn_thread`
    /// starts the threads that connect.
    ///
    /// # Errors
    /// What the system says where it refuses a thread or what polling needs.
    pub fn start(
        settings: ConnectionSettings,
        descriptors: Arc<ResourceBudget>,
        now: fn() -> Timestamp,
        spawn_thread: SpawnThread,
    ) -> io::Result<Arc<EngineRegistry>> {
        let (messages, inbox) = bounded(MESSAGES_CAPACITY);
        let updates = Arc::new(EndpointUpdates::default());
        let dialer = Dialer { spawn_thread, timeout: settings.dial_timeout, messages: messages.clone() };
        let poller = SocketPoller::start()?;
        let context = PoolContext { settings, descriptors, poller, now, dialer, messages: messages.clone() };
        let registry_loop = RegistryLoop::new(updates.clone(), inbox, context);
        spawn_required("engines", STACK_BYTES, move || registry_loop.run())?;
        Ok(Arc::new(EngineRegistry { messages, updates, next_pool: AtomicU64::new(0) }))
    }

    /// A number for a new engine's pool.
    pub(crate) fn next_pool_id(&self) -> PoolId {
        PoolId(self.next_pool.fetch_add(1, SeqCst))
    }

    /// Hands a command over; waits while too many do.
    pub(crate) fn send_command(&self, pool: PoolId, command: PoolCommand) {
        // The `engines` thread ends only with the program.
        let _ = self.messages.send(RegistryMessage::Command { pool, command });
    }

    /// Hands a command over unless too many wait. Returns whether it did.
    #[must_use]
    pub(crate) fn try_send_command(&self, pool: PoolId, command: PoolCommand) -> bool {
        self.messages.try_send(RegistryMessage::Command { pool, command }).is_ok()
    }

    /// Records a change of the endpoint list. It takes effect before any command that is handed over later.
    pub(crate) fn update_endpoint(&self, pool: PoolId, change: impl FnOnce(&mut EndpointUpdate)) {
        self.updates.record(pool, change);
        // Where too many messages wait, the thread is awake and looks before the next of them.
        let _ = self.messages.try_send(RegistryMessage::Wakeup);
    }
}
