//! The service: starts every thread, then handles signals until a graceful shutdown is over.

mod error;
mod reload;
mod startup;

pub use error::ServerError;

use crate::config::Config;
use crate::lifecycle::threads::{self, STACK_BYTES};
use crossbeam_channel::{Receiver, bounded, select};
use reload::ConfigReloader;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use startup::Service;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

/// Signals that may be queued.
const SIGNAL_QUEUE: usize = 16;
/// The longest wait for a signal.
const MAX_SIGNAL_WAIT: Duration = Duration::from_hours(1);

/// Reads an environment variable; `None` if it is not set or not valid Unicode.
pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Runs the service until a graceful shutdown is over. SIGHUP reloads the configuration, other signals begin the
/// shutdown.
///
/// # Errors
/// Whatever keeps the service from starting, or the end of the thread that receives signals.
pub fn run(signals: Signals, mut config: Config) -> Result<(), ServerError> {
    let service = Service::start(&mut config)?;
    let signals = receive_signals(signals)?;
    tracing::info!(name = %config.name, address = %service.address, "listening for clients");
    handle_signals(&service, &signals, config)?;
    let open_jobs = service.controller.open_jobs.load(SeqCst);
    tracing::info!(open_jobs, "graceful shutdown finished");
    Ok(())
}

/// Starts the thread that receives signals. It is not joined: it ends with the process, as signals are handled until
/// then.
fn receive_signals(mut signals: Signals) -> Result<Receiver<i32>, ServerError> {
    let (sender, receiver) = bounded(SIGNAL_QUEUE);
    let forward = move || {
        for signal in signals.forever() {
            if sender.send(signal).is_err() {
                return;
            }
        }
    };
    threads::spawn_required("signals", STACK_BYTES, forward)
        .map_err(ServerError::cannot("start a thread"))?;
    Ok(receiver)
}

/// Handles signals until all client connections have ended. A SIGHUP is also handled during a shutdown, which takes
/// seconds.
fn handle_signals(service: &Service, signals: &Receiver<i32>, config: Config) -> Result<(), ServerError> {
    let longest_client_timeout = config.longest_client_timeout();
    let mut reloader = ConfigReloader::new(config, service.event_bus.clone());
    loop {
        let wait = reloader.retry_after().unwrap_or(MAX_SIGNAL_WAIT);
        select! {
            recv(signals) -> signal => match signal {
                Ok(SIGHUP) => reloader.reload(),
                Ok(_) => service.begin_shutdown(longest_client_timeout),
                Err(_) => return Err(ServerError::SignalThreadEnded),
            },
            recv(service.clients_closed) -> _ => return Ok(()),
            default(wait) => reloader.retry(),
        }
    }
}
