//! Starts the controller's thread.

use crate::codec::event_bus::Event;
use crate::decision::controller_thread::ControllerThread;
use crate::decision::handle::ControllerHandle;
use crate::engine::registry::EngineRegistry;
use crate::lifecycle::threads;
use crossbeam_channel::bounded;
use pebblevane::settings::Settings;
use std::io;
use std::sync::Arc;

/// The number of events that may be queued for the controller.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// The number of urgent events (about the endpoint list or a shutdown) that may be queued for the controller.
const URGENT_QUEUE_CAPACITY: usize = 16;
const CONTROLLER_STACK_BYTES: usize = 512 * 1024;

impl ControllerHandle {
    /// Starts the controller's thread. The controller knows the engines of `initial_events` before this returns. The
    /// thread is not joined, since it runs until the process ends.
    ///
    /// # Errors
    /// The system's error if it refuses to create the thread.
    pub fn start(
        settings: Settings,
        seed: u64,
        initial_events: Vec<Event>,
        registry: Arc<EngineRegistry>,
    ) -> io::Result<Arc<ControllerHandle>> {
        let (events, event_queue) = bounded(EVENT_QUEUE_CAPACITY);
        let (urgent_events, urgent_queue) = bounded(URGENT_QUEUE_CAPACITY);
        let handle = Arc::new(ControllerHandle::new(events, urgent_events));
        let (ready, started) = bounded(1);
        let thread_handle = handle.clone();
        threads::spawn_required("controller", CONTROLLER_STACK_BYTES, move || {
            let mut thread = ControllerThread::new(&settings, seed, thread_handle, registry);
            thread.load_initial_endpoints(initial_events);
            let _ = ready.send(());
            thread.run(&event_queue, &urgent_queue);
        })?;
        let _ = started.recv();
        Ok(handle)
    }
}
