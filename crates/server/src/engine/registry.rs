//! The handle on the `engines` thread, which owns the pools of all engines. One thread serves them all, because with a
//! thread for each engine, hundreds of gateways on one machine would exhaust its thread ids.

use crate::config::engine_connection_settings::EngineConnectionSettings;
use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::dialer::Dialer;
use crate::engine::endpoint_updates::{EndpointUpdate, EndpointUpdates};
use crate::engine::ids::PoolId;
use crate::engine::pool::PoolContext;
use crate::engine::registry_loop::RegistryLoop;
use crate::engine::socket_poller::SocketPoller;
use crate::lifecycle::threads::{SMALL_STACK_BYTES, SpawnThread, spawn_required};
use crate::limits::ResourceBudget;
use crossbeam_channel::{Sender, bounded};
use pebblevane::time::Timestamp;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

/// The number of messages that may be queued for the `engines` thread. After some use, a bounded channel occupies
/// memory for its full capacity, so this is no larger than a burst requires.
const MESSAGE_QUEUE_CAPACITY: usize = 2048;

/// The handle on the `engines` thread, through which engines are added and commands are sent to their pools.
pub struct EngineRegistry {
    messages: Sender<RegistryMessage>,
    updates: Arc<EndpointUpdates>,
    next_pool: AtomicU64,
}

impl EngineRegistry {
    /// Starts the threads that serve engines. They run to the program's end and are not joined.
    ///
    /// `descriptors` limits the total number of connections to all engines, `now` reads the program's clock, and
    /// `spawn_thread` starts the threads that connect.
    ///
    /// # Errors
    /// The system's error if it refuses a thread or a poller.
    pub fn start(
        settings: EngineConnectionSettings,
        descriptors: Arc<ResourceBudget>,
        now: fn() -> Timestamp,
        spawn_thread: SpawnThread,
    ) -> io::Result<Arc<EngineRegistry>> {
        let (messages, inbox) = bounded(MESSAGE_QUEUE_CAPACITY);
        let updates = Arc::new(EndpointUpdates::default());
        let dialer = Dialer { spawn_thread, timeout: settings.dial_timeout, messages: messages.clone() };
        let poller = SocketPoller::start()?;
        let context = PoolContext { settings, descriptors, poller, now, dialer, messages: messages.clone() };
        let registry_loop = RegistryLoop::new(updates.clone(), inbox, context);
        spawn_required("engines", SMALL_STACK_BYTES, move || registry_loop.run())?;
        Ok(Arc::new(EngineRegistry { messages, updates, next_pool: AtomicU64::new(0) }))
    }

    /// Returns the number for a new engine's pool.
    pub(crate) fn next_pool_id(&self) -> PoolId {
        PoolId(self.next_pool.fetch_add(1, SeqCst))
    }

    /// Queues a command. Blocks while the queue is full.
    pub(crate) fn send_command(&self, pool: PoolId, command: PoolCommand) {
        // The `engines` thread ends only with the program.
        let _ = self.messages.send(RegistryMessage::Command { pool, command });
    }

    /// Queues a command unless the queue is full. Returns whether it was queued.
    #[must_use]
    pub(crate) fn try_send_command(&self, pool: PoolId, command: PoolCommand) -> bool {
        self.messages.try_send(RegistryMessage::Command { pool, command }).is_ok()
    }

    /// Records a change of the endpoint list, which takes effect before any command that is queued later.
    pub(crate) fn update_endpoint(&self, pool: PoolId, change: impl FnOnce(&mut EndpointUpdate)) {
        self.updates.record(pool, change);
        // If the queue is full, the thread is awake and applies updates before it handles its next message.
        let _ = self.messages.try_send(RegistryMessage::Wakeup);
    }
}
