//! The engines' connection pools with real connections, but without the controller and the rest of the program. Nothing
//! may be sent for a client that has disconnected (rule 1), nor after the time by which a dispatch must begin (rule 2).

use crate::support::RECEIVE_TIMEOUT;
use crate::support::engines::UnacceptingEngine;
use expect_test::expect;
use pebblevane::time::TimeDelta;
use pebblevane_server::config::engine_connection_settings::EngineConnectionSettings;
use pebblevane_server::config::retry_safety::RetrySafety;
use pebblevane_server::engine::handle::{DispatchHandle, EngineHandle, EngineRequest};
use pebblevane_server::engine::registry::EngineRegistry;
use pebblevane_server::lifecycle::{clock, threads};
use pebblevane_server::limits::ResourceBudget;
use pebblevane_server::session::cancellation::CancellationToken;
use pebblevane_server::session::dispatch_ledger::DispatchLedger;
use std::fmt::Write as _;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

/// The dial timeout and the idle timeout. Longer than a test waits for a dispatch that must fail without a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(9);
/// The timeout of each dispatch; it is not reached.
const REQUEST_TIMEOUT: TimeDelta = TimeDelta::from_millis(60_000);
/// The time by which a dispatch must begin that is sent too late.
const LATE_BEGIN_TIMEOUT: TimeDelta = TimeDelta::from_millis(100);

/// The name of the thread that connects to an engine called `refused`. Only one test has such an engine.
const REFUSED_THREAD: &str = "dial refused";

/// While this is set, no thread named [`REFUSED_THREAD`] can be started.
static REFUSES_THREADS: AtomicBool = AtomicBool::new(false);

fn spawn_or_refuse(name: &str, stack_bytes: usize, body: Box<dyn FnOnce() + Send>) -> std::io::Result<()> {
    if name == REFUSED_THREAD && REFUSES_THREADS.load(SeqCst) {
        return Err(std::io::ErrorKind::WouldBlock.into());
    }
    threads::spawn(name, stack_bytes, body)
}

/// Starts the pools' thread, with up to eight connections.
fn start_registry() -> Arc<EngineRegistry> {
    let settings = EngineConnectionSettings {
        streams_per_connection: 32,
        dial_timeout: CONNECTION_TIMEOUT,
        idle_timeout: CONNECTION_TIMEOUT,
        progress_interval: None,
        max_connections: 8,
        request_load_reports: false,
    };
    EngineRegistry::start(settings, ResourceBudget::new(8), clock::now, spawn_or_refuse).unwrap()
}

/// A dispatch may wait long for a connection. If its client disconnects meanwhile, or the time by which it must begin
/// passes, it must not be sent when the connection is established, even if its cancellation has not been received yet.
/// The engine counts as reachable then, since the program itself has withheld the dispatch.
#[test]
fn a_dispatch_is_checked_again_before_its_first_byte() {
    let registry = start_registry();

    let mut trace = String::new();
    for case in ["client waits", "client disconnected", "too late"] {
        let unaccepting = UnacceptingEngine::start();
        let engine = EngineHandle::new(&registry, "e0", unaccepting.address.parse().unwrap());
        let liveness = Arc::new(CancellationToken::default());
        let deadline = clock::now() + REQUEST_TIMEOUT;
        let request = EngineRequest {
            id: "0123456789abcdef".into(),
            class: "load".into(),
            deadline,
            begin_by: if case == "too late" { clock::now() + LATE_BEGIN_TIMEOUT } else { deadline },
            liveness: liveness.clone(),
            ledger: Arc::new(DispatchLedger::new("0123456789abcdef", RetrySafety::RunOnce, deadline)),
            priority: None,
            statement: b"select 1".as_slice().into(),
        };
        let dispatch: DispatchHandle = engine.send(request);
        match case {
            "client disconnected" => liveness.cancel(),
            // Longer than LATE_BEGIN_TIMEOUT.
            "too late" => std::thread::sleep(Duration::from_millis(150)),
            _ => {}
        }
        let mut stream = unaccepting.accept();
        let event = if case == "client waits" {
            "sent".to_string()
        } else {
            format!("{:?}", dispatch.events.recv_timeout(RECEIVE_TIMEOUT).unwrap())
        };
        let mut word = [0; 3];
        let read = if case == "client waits" { stream.read(&mut word).unwrap() } else { 0 };
        engine.engine_removed();
        drop(dispatch);
        if case != "client waits" {
            // The pool closes the connection of the removed engine. Nothing was written on it.
            assert_eq!(stream.read(&mut word).unwrap_or(0), 0);
        }
        writeln!(trace, "{case}: {event}, {:?} read", String::from_utf8_lossy(&word[..read])).unwrap();
    }

    expect![[r#"
        client waits: sent, "REQ" read
        client disconnected: Lost { status: Unreachable, engine_reachable: true }, "" read
        too late: Lost { status: Unreachable, engine_reachable: true }, "" read
    "#]]
    .assert_eq(&trace);
}

/// One connection is being established, and no thread can be started to establish a second one. The pool's thread must
/// go on executing commands meanwhile, here the cancellation of a dispatch, instead of retrying until a thread starts.
#[test]
fn commands_are_executed_while_no_thread_can_be_started_to_connect() {
    let deadline = clock::now() + REQUEST_TIMEOUT;
    let registry = start_registry();
    let unaccepting = UnacceptingEngine::start();
    let engine = EngineHandle::new(&registry, "refused", unaccepting.address.parse().unwrap());
    let request = |id: &str| EngineRequest {
        id: id.into(),
        class: "load".into(),
        deadline,
        begin_by: deadline,
        liveness: Arc::new(CancellationToken::default()),
        ledger: Arc::new(DispatchLedger::new(id, RetrySafety::RunOnce, deadline)),
        priority: None,
        statement: b"select 1".as_slice().into(),
    };
    let first = engine.send(request("0000000000000001"));
    // Commands are executed in order: once a later one has been executed, the first connection is being established.
    let is_executed = |cancelled: crossbeam_channel::Receiver<()>| {
        cancelled.recv_timeout(Duration::from_secs(5))
            == Err(crossbeam_channel::RecvTimeoutError::Disconnected)
    };
    let behind = EngineHandle::new(&registry, "behind", unaccepting.address.parse().unwrap());
    assert!(is_executed(behind.send(request("0000000000000002")).cancel()));
    // The second dispatch needs a second connection, for which no thread can be started.
    REFUSES_THREADS.store(true, SeqCst);
    let second = engine.send(request("0000000000000003"));
    assert!(is_executed(second.cancel()), "the pool does not execute the cancellation");
    REFUSES_THREADS.store(false, SeqCst);

    assert!(is_executed(first.cancel()));
}

/// A job's thread may queue a dispatch after the pool was notified that the engine drains. If the dispatch then waited
/// for a connection before it fails, its job would be sent to another engine too late.
#[test]
fn a_dispatch_queued_after_its_engine_began_to_drain_fails_at_once() {
    let deadline = clock::now() + REQUEST_TIMEOUT;
    let registry = start_registry();
    let unaccepting = UnacceptingEngine::start();
    let engine = EngineHandle::new(&registry, "draining", unaccepting.address.parse().unwrap());

    engine.set_accepts_dispatches(false);
    let dispatch = engine.send(EngineRequest {
        id: "0123456789abcdef".into(),
        class: "load".into(),
        deadline,
        begin_by: deadline,
        liveness: Arc::new(CancellationToken::default()),
        ledger: Arc::new(DispatchLedger::new("0123456789abcdef", RetrySafety::RunOnce, deadline)),
        priority: None,
        statement: b"select 1".as_slice().into(),
    });
    // Connecting to this engine fails only after nine seconds.
    let event = dispatch.events.recv_timeout(Duration::from_secs(5));

    expect!["Ok(Lost { status: Unreachable, engine_reachable: true })"].assert_eq(&format!("{event:?}"));
}

/// While the pool applies a change of the endpoint list, the callback of a health check may block until the
/// controller's thread makes progress, and that thread may be recording another change. If the recording waited for the
/// first change to be applied, this would be a deadlock.
#[test]
fn a_change_of_the_endpoint_list_is_recorded_while_another_is_applied() {
    let registry = start_registry();
    let unaccepting = UnacceptingEngine::start();
    let engine = |name: &str| EngineHandle::new(&registry, name, unaccepting.address.parse().unwrap());
    let (checked, other) = (engine("checked"), engine("other"));
    let (recorded, was_recorded) = crossbeam_channel::bounded(1);

    // The check waits for a connection, so it ends, and calls back, while the removal of its engine is applied.
    let callback = move |_| {
        let (done, is_done) = crossbeam_channel::bounded(1);
        std::thread::spawn(move || {
            other.engine_restarted(clock::now());
            let _ = done.send(());
        });
        let _ = recorded.send(is_done.recv_timeout(Duration::from_secs(3)).is_ok());
    };
    assert!(checked.check_health(Box::new(callback)));
    checked.engine_removed();

    assert_eq!(was_recorded.recv_timeout(RECEIVE_TIMEOUT), Ok(true));
}
