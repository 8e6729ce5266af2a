//! The program `pebblevane`: sets up logging, the panic hook and signals, then runs the service.

use pebblevane_server::config::Config;
use pebblevane_server::lifecycle::clock;
use pebblevane_server::lifecycle::startup::retry_transient_errors;
use pebblevane_server::server::{self, ServerError, SignalHandlers};
use std::process::ExitCode;

/// The environment variable that holds the log level.
const LOG_LEVEL_VARIABLE: &str = "PEBBLEVANE_LOG";

fn main() -> ExitCode {
    // The first call starts the program's clock.
    clock::now();
    init_logging();
    abort_on_panic();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pebblevane: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ServerError> {
    // The signal handlers are installed first, so that no signal terminates the process abruptly.
    let signals = retry_transient_errors(SignalHandlers::install).map_err(ServerError::Signals)?;
    let config = Config::read(server::environment_variable)?;
    server::run(signals, config)
}

fn init_logging() {
    let level = server::environment_variable(LOG_LEVEL_VARIABLE).and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_ansi(false)
        .with_target(false)
        .init();
}

/// Aborts the process when a thread panics, since the jobs of that thread might otherwise never be answered.
fn abort_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("pebblevane: {info}");
        std::process::abort();
    }));
}
