//! The service: starts every thread, then handles signals until a graceful shutdown is over.

mod error;
mod reload;
mod signals;
mod startup;

pub use error::ServerError;
pub use signals::SignalHandlers;

use crate::config::Config;
use crossbeam_channel::select;
use reload::ConfigReloader;
use signals::{CHECK_INTERVAL, PendingSignals};
use startup::Service;
use std::sync::atomic::Ordering::SeqCst;

/// Reads an environment variable; `None` if it is not set or not valid Unicode.
pub fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Runs the service until a graceful shutdown is over. SIGHUP reloads the configuration, SIGTERM and SIGINT begin the
/// shutdown.
///
/// # Errors
/// If the service can't start, or the thread that signal handlers wake has ended.
pub fn run(handlers: SignalHandlers, mut config: Config) -> Result<(), ServerError> {
    let service = Service::start(&mut config)?;
    let signals = handlers.start().map_err(ServerError::cannot("start a thread"))?;
    tracing::info!(name = %config.name, address = %service.address, "listening for clients");
    handle_signals(&service, &signals, config)?;
    let open_jobs = service.controller.open_jobs.load(SeqCst);
    tracing::info!(open_jobs, "graceful shutdown finished");
    Ok(())
}

/// Handles signals until all client connections have ended. SIGHUP is also handled during a shutdown, which may take
/// several seconds.
fn handle_signals(service: &Service, signals: &PendingSignals, config: Config) -> Result<(), ServerError> {
    let longest_client_timeout = config.longest_client_timeout();
    let mut reloader = ConfigReloader::new(config, service.event_bus.clone());
    loop {
        select! {
            recv(signals.wakeups) -> wakeup => wakeup.map_err(|_| ServerError::SignalThreadEnded)?,
            recv(service.clients_closed) -> _ => return Ok(()),
            default(CHECK_INTERVAL) => reloader.retry(),
        }
        if signals.take_stop() {
            service.begin_shutdown(longest_client_timeout);
        }
        if signals.take_reload() {
            reloader.reload();
        }
    }
}
