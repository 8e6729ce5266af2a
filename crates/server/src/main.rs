//! The program `pebblevane`: sets up logging, signals and the panic hook, then runs the service.

use pebblevane_server::config::Config;
use pebblevane_server::lifecycle::clock;
use pebblevane_server::lifecycle::startup::retry_transient_errors;
use pebblevane_server::server;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;

fn main() -> ExitCode {
    clock::now();
    let level = std::env::var("PEBBLEVANE_LOG").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_ansi(false)
        .with_target(false)
        .init();
    // A thread that panics may have left a job without an answer: the whole program ends, and says why.
    std::panic::set_hook(Box::new(|info| {
        eprintln!("pebblevane: {info}");
        std::process::abort();
    }));
    // Signals are waited for before anything starts: none may end the program unheard.
    let signals = retry_transient_errors(|| Signals::new([SIGTERM, SIGINT, SIGHUP]))
        .map_err(|e| format!("cannot wait for signals: {e}"));
    match signals.and_then(|signals| {
        server::run(signals, Config::read(server::environment).map_err(|e| e.to_string())?)
    }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("pebblevane: {trouble}");
            ExitCode::FAILURE
        }
    }
}
