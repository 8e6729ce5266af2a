//! Puts the parts of the service together: starts every thread, then waits for signals.

pub mod reload;

use crate::client::{acceptor, connection};
use crate::config::Config;
use crate::decision::ControllerHandle;
use crate::discovery::event_bus;
use crate::engine::registry::EngineRegistry;
use crate::lifecycle::startup::retry_transient_errors;
use crate::lifecycle::threads::{self, STACK_BYTES};
use crate::lifecycle::{clock, shutdown};
use crate::limits::{ResourceBudget, ResourceQuotas};
use crossbeam_channel::{bounded, select};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

/// Signals that wait to be handled.
const SIGNAL_QUEUE: usize = 16;

/// Reads a variable of the environment.
pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Runs the service until a stop has come to its end.
///
/// # Errors
/// What the system or the configuration keeps from starting, or a signal thread that ended.
pub fn run(mut signals: Signals, mut config: Config) -> Result<(), String> {
    let cannot = |what: &'static str| move |e: std::io::Error| format!("cannot {what}: {e}");
    let (types, rules) = (config.class_names(), config.retry_semantics());
    let shares = ResourceQuotas::from_limits(config.limits);
    let (sockets, terms) = (
        ResourceBudget::new(shares.engine_connections),
        config.connection_settings(shares.connections_per_engine),
    );
    let owners = EngineRegistry::start(terms, sockets, clock::now, threads::spawn)
        .map_err(cannot("start the engines' thread"))?;
    let module = ControllerHandle::start(
        config.settings.clone(),
        config.seed,
        std::mem::take(&mut config.initial_events),
        owners,
    )
    .map_err(cannot("start the module's thread"))?;
    let health = Arc::new(shutdown::ShutdownState::default());
    let shared = connection::Shared::new(module.clone(), health.clone(), types, rules, &shares);
    let listener = retry_transient_errors(|| TcpListener::bind(config.listen))
        .map_err(|e| format!("field listen: cannot listen on {}: {e}", config.listen))?;
    let listens = listener.local_addr().map_err(cannot("listen"))?;
    let clients = acceptor::Acceptor::new(shared, listener).map_err(cannot("listen"))?;
    let ((left, all_left), (heard, signal)) = (bounded(1), bounded(SIGNAL_QUEUE));
    let serve = move || {
        clients.run();
        let _ = left.send(());
    };
    threads::spawn_required("clients", STACK_BYTES, serve).map_err(cannot("start a thread"))?;
    let bus = Arc::new(event_bus::EventBusFollower::new(config.event_bus, shares.event_line_bytes));
    let (follower, teller, offset, seed) = (bus.clone(), module.clone(), config.last_event, config.seed);
    threads::spawn_required("event bus", STACK_BYTES, move || follower.follow(&*teller, offset, seed))
        .map_err(cannot("start a thread"))?;
    let listen = move || signals.forever().take_while(|signal| heard.send(*signal).is_ok()).for_each(drop);
    threads::spawn_required("signals", STACK_BYTES, listen).map_err(cannot("start a thread"))?;
    tracing::info!(name = %config.name, address = %listens, "listening for clients");
    let longest_wait = config.longest_client_timeout();
    let mut reload = reload::ConfigReloader::new(config, bus);
    // Signals are heard to the end: a stop takes seconds, and the event bus may move meanwhile.
    loop {
        let again = reload.again().unwrap_or(Duration::from_secs(3600));
        select! {
            recv(signal) -> signal => match signal {
                Ok(SIGHUP) => reload.begin(Config::read(environment)),
                Ok(_) => {
                    if let Some(schedule) = health.begin(longest_wait) {
                        module.begin_shutdown(schedule.answered_by);
                        tracing::info!(open_jobs = module.open_jobs.load(SeqCst), "graceful shutdown started");
                    }
                }
                Err(_) => return Err("the thread that waits for signals has ended".to_string()),
            },
            recv(all_left) -> _ => break,
            default(again) => reload.read(Config::read(environment)),
        }
    }
    tracing::info!(open_jobs = module.open_jobs.load(SeqCst), "graceful shutdown finished");
    Ok(())
}
