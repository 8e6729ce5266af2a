//! Starts the parts of the service in the order in which they depend on each other.
//!
//! None of their threads is joined; each ends with the process. The service ends once the clients' thread reports that
//! all client connections are closed.

use super::ServerError;
use crate::client::context::{ClientContext, ClientContextConfig};
use crate::client::event_loop::ClientEventLoop;
use crate::codec::event_bus::Event;
use crate::config::Config;
use crate::decision::ControllerHandle;
use crate::discovery::{EventBusAddress, EventBusFollower};
use crate::engine::registry::EngineRegistry;
use crate::lifecycle::clock;
use crate::lifecycle::shutdown::ShutdownState;
use crate::lifecycle::startup::retry_transient_errors;
use crate::lifecycle::threads::{self, SMALL_STACK_BYTES};
use crate::limits::{ResourceBudget, ResourceQuotas};
use crossbeam_channel::{Receiver, bounded};
use pebblevane::time::TimeDelta;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;

/// The running service.
pub(super) struct Service {
    pub controller: Arc<ControllerHandle>,
    /// The address of the event bus.
    pub event_bus: Arc<EventBusAddress>,
    /// The address to which clients connect.
    pub address: SocketAddr,
    /// Receives a message once all client connections have ended.
    pub clients_closed: Receiver<()>,
    shutdown: Arc<ShutdownState>,
}

impl Service {
    /// Starts all threads of the service except the one for signals. Moves the initial events out of `config`.
    pub fn start(config: &mut Config) -> Result<Service, ServerError> {
        let quotas = ResourceQuotas::from_limits(config.limits);
        let engines = start_engines(config, &quotas)?;
        let initial_events = std::mem::take(&mut config.initial_events);
        let controller = start_controller(config, initial_events, engines)?;
        let shutdown = Arc::new(ShutdownState::default());
        let context = ClientContext::new(ClientContextConfig {
            controller: controller.clone(),
            shutdown: shutdown.clone(),
            class_names: config.class_names(),
            retry_safety: config.retry_safety(),
            quotas: &quotas,
        });
        let listener = listen(config.listen)?;
        let address = listener.local_addr().map_err(ServerError::cannot("listen"))?;
        let clients_closed = start_clients(context, listener)?;
        let event_bus = start_event_bus(config, &quotas, controller.clone())?;
        Ok(Service { controller, event_bus, address, clients_closed, shutdown })
    }

    /// Begins a graceful shutdown, unless one has already begun.
    pub fn begin_shutdown(&self, longest_client_timeout: TimeDelta) {
        if let Some(schedule) = self.shutdown.begin(longest_client_timeout) {
            self.controller.begin_shutdown(schedule.answered_by);
            let open_jobs = self.controller.open_jobs.load(SeqCst);
            tracing::info!(open_jobs, "graceful shutdown started");
        }
    }
}

/// Starts the thread that handles all engine connections.
fn start_engines(config: &Config, quotas: &ResourceQuotas) -> Result<Arc<EngineRegistry>, ServerError> {
    let descriptors = ResourceBudget::new(quotas.engine_connections);
    let settings = config.engine_connection_settings(quotas.connections_per_engine);
    EngineRegistry::start(settings, descriptors, clock::now, threads::spawn)
        .map_err(ServerError::cannot("start the engines' thread"))
}

/// Starts the thread that owns the admission controller.
fn start_controller(
    config: &Config,
    initial_events: Vec<Event>,
    engines: Arc<EngineRegistry>,
) -> Result<Arc<ControllerHandle>, ServerError> {
    ControllerHandle::start(config.settings.clone(), config.seed, initial_events, engines)
        .map_err(ServerError::cannot("start the controller's thread"))
}

fn listen(address: SocketAddr) -> Result<TcpListener, ServerError> {
    retry_transient_errors(|| TcpListener::bind(address))
        .map_err(|source| ServerError::Listen { address, source })
}

/// Starts the thread that handles all client connections. The receiver gets a message when the thread ends.
fn start_clients(context: ClientContext, listener: TcpListener) -> Result<Receiver<()>, ServerError> {
    let event_loop = ClientEventLoop::new(context, listener).map_err(ServerError::cannot("listen"))?;
    let (closed, clients_closed) = bounded(1);
    let serve = move || {
        event_loop.run();
        // The receiver has been dropped if the service has ended with an error.
        let _ = closed.send(());
    };
    threads::spawn_required("clients", SMALL_STACK_BYTES, serve)
        .map_err(ServerError::cannot("start a thread"))?;
    Ok(clients_closed)
}

/// Starts the thread that follows the event bus, and returns the address of the bus.
fn start_event_bus(
    config: &Config,
    quotas: &ResourceQuotas,
    controller: Arc<ControllerHandle>,
) -> Result<Arc<EventBusAddress>, ServerError> {
    let (max_line_bytes, last_event, seed) = (quotas.event_line_bytes, config.last_event, config.seed);
    let mut follower = EventBusFollower::new(config.event_bus, max_line_bytes, last_event, seed)
        .map_err(ServerError::cannot("poll the event bus"))?;
    let address = follower.address();
    let follow = move || follower.follow(&*controller);
    threads::spawn_required("event bus", SMALL_STACK_BYTES, follow)
        .map_err(ServerError::cannot("start a thread"))?;
    Ok(address)
}
