//! The workload manager: the decision module on sockets. It reads its configuration, tells the module what
//! engines are known, listens to clients and to the event bus, and ends when it is told to.

mod job;
mod memory;
mod module;
mod service;
mod startup;
mod wire;
mod workers;

use crossbeam_channel::{bounded, select};
use memory::budget::{Budget, Shares};
use memory::owners::Owners;
use service::config::Config;
use service::{acceptor, bus, client_connection, clock, reload, shutdown};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use startup::patiently;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

const STACK: usize = 64 * 1024;
const SIGNALS: usize = 16; // signals that wait to be heeded

/// Starts a thread.
fn thread(name: &str, stack: usize, what: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.to_string()).stack_size(stack).spawn(what).map(drop)
}

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
    let signals = patiently(|| Signals::new([SIGTERM, SIGINT, SIGHUP]))
        .map_err(|e| format!("cannot wait for signals: {e}"));
    match signals.and_then(|signals| run(signals, Config::read(environment)?)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("pebblevane: {trouble}");
            ExitCode::FAILURE
        }
    }
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn run(mut signals: Signals, mut config: Config) -> Result<(), String> {
    let cannot = |what: &'static str| move |e: std::io::Error| format!("cannot {what}: {e}");
    let (types, rules) = (config.types(), config.repeat_rules());
    let shares = Shares::of(config.limits);
    let (sockets, terms) = (Budget::new(shares.engines), config.terms(shares.engine));
    let owners = Owners::start(terms, sockets, clock::now).map_err(cannot("start the engines' thread"))?;
    let module = module::Module::start(
        config.settings.clone(),
        config.seed,
        std::mem::take(&mut config.known),
        owners,
    )
    .map_err(cannot("start the module's thread"))?;
    let health = Arc::new(shutdown::Health::default());
    let shared = client_connection::Shared::new(module.clone(), health.clone(), types, rules, &shares);
    let listener = patiently(|| TcpListener::bind(config.listen))
        .map_err(|e| format!("field listen: cannot listen on {}: {e}", config.listen))?;
    let listens = listener.local_addr().map_err(cannot("listen"))?;
    let clients = acceptor::Acceptor::new(shared, listener).map_err(cannot("listen"))?;
    let ((left, all_left), (heard, signal)) = (bounded(1), bounded(SIGNALS));
    let serve = move || {
        clients.run();
        let _ = left.send(());
    };
    startup::thread("clients", STACK, serve).map_err(cannot("start a thread"))?;
    let bus = Arc::new(bus::Bus::new(config.bus, shares.list_line));
    let (follower, teller, offset, seed) = (bus.clone(), module.clone(), config.offset, config.seed);
    startup::thread("event bus", STACK, move || follower.follow(&teller, offset, seed))
        .map_err(cannot("start a thread"))?;
    let listen = move || signals.forever().take_while(|signal| heard.send(*signal).is_ok()).for_each(drop);
    startup::thread("signals", STACK, listen).map_err(cannot("start a thread"))?;
    tracing::info!("{} listens on {listens}", config.name);
    let longest_wait = config.longest_wait();
    let mut reload = reload::Reload::new(config, bus);
    // Signals are heard to the end: a stop takes seconds, and the event bus may move meanwhile.
    loop {
        let again = reload.again().unwrap_or(Duration::from_secs(3600));
        select! {
            recv(signal) -> signal => match signal {
                Ok(SIGHUP) => reload.begin(Config::read(environment)),
                Ok(_) => shutdown::begin(&module, &health, longest_wait),
                Err(_) => return Err("the thread that waits for signals has ended".to_string()),
            },
            recv(all_left) -> _ => break,
            default(again) => reload.read(Config::read(environment)),
        }
    }
    tracing::info!("stopped with {} jobs open", module.open.load(SeqCst));
    Ok(())
}
