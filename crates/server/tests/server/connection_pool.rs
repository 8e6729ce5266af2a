//! The pool of connections to engines alone, over real connections, without the controller and the program around it.
//! Rule 1: nothing is sent for a client that has left; rule 2: nor after the time by which it had to begin.

use crate::support::engines::UnacceptingEngine;
use expect_test::expect;
use pebblevane::time::TimeDelta;
use pebblevane_server::config::engine_connection_settings::EngineConnectionSettings;
use pebblevane_server::config::retry_safety::RetrySafety;
use pebblevane_server::engine::dispatch_ledger::DispatchLedger;
use pebblevane_server::engine::handle::{DispatchHandle, EngineHandle, EngineRequest};
use pebblevane_server::engine::registry::EngineRegistry;
use pebblevane_server::lifecycle::{clock, threads};
use pebblevane_server::limits::ResourceBudget;
use pebblevane_server::session::cancellation::CancellationToken;
use std::fmt::Write as _;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

/// Name of the thread that connects to an engine called `refused`; no other test of this binary has one.
const REFUSED_THREAD: &str = "dial refused";

/// Threads of that name can't be started while this is set.
static REFUSES_THREADS: AtomicBool = AtomicBool::new(false);

fn spawn_or_refuse(name: &str, stack_bytes: usize, body: Box<dyn FnOnce() + Send>) -> std::io::Result<()> {
    if name == REFUSED_THREAD && REFUSES_THREADS.load(SeqCst) {
        return Err(std::io::ErrorKind::WouldBlock.into());
    }
    threads::spawn(name, stack_bytes, body)
}

/// A pool that waits long for a connection and may have a few of them.
fn start_pool() -> Arc<EngineRegistry> {
    let settings = EngineConnectionSettings {
        streams_per_connection: 32,
        dial_timeout: Duration::from_secs(9),
        idle_timeout: Duration::from_secs(9),
        progress_interval: None,
        max_connections: 8,
        request_load_reports: false,
    };
    EngineRegistry::start(settings, ResourceBudget::new(8), clock::now, spawn_or_refuse).unwrap()
}

/// A dispatch that waits for a connection is checked again when that is established. Where its client has left, or it had
/// to begin earlier, it is never sent, though nobody has cancelled it yet, and the engine counts as reachable.
#[test]
fn a_dispatch_is_checked_again_before_its_first_byte() {
    let pool = start_pool();

    let rules = RetrySafety::RunOnce;
    let mut trace = String::new();
    for what in ["wanted", "left", "late"] {
        let unaccepting = UnacceptingEngine::start();
        let engine = EngineHandle::new(&pool, "e0", unaccepting.address.parse().unwrap());
        let wanted = Arc::new(CancellationToken::default());
        let far = clock::now() + TimeDelta(60_000_000);
        let request = EngineRequest {
            id: "0123456789abcdef".into(),
            class: "load".into(),
            deadline: far,
            begin_by: if what == "late" { clock::now() + TimeDelta(100_000) } else { far },
            liveness: wanted.clone(),
            ledger: Arc::new(DispatchLedger::new("0123456789abcdef", rules, far)),
            priority: None,
            statement: b"select 1".as_slice().into(),
        };
        let out: DispatchHandle = engine.send(request);
        match what {
            "left" => wanted.cancel(),
            "late" => std::thread::sleep(Duration::from_millis(150)),
            _ => {}
        }
        let mut stream = unaccepting.accept();
        let heard = if what == "wanted" {
            "out".to_string()
        } else {
            format!("{:?}", out.events.recv_timeout(Duration::from_secs(20)).unwrap())
        };
        let mut word = [0; 3];
        let read = if what == "wanted" { stream.read(&mut word).unwrap() } else { 0 };
        engine.engine_removed();
        drop(out);
        if what != "wanted" {
            // The pool has done with the job, and closes the connection on which nothing was ever written.
            assert_eq!(stream.read(&mut word).unwrap_or(0), 0);
        }
        writeln!(trace, "{what}: {heard}, {:?} read", String::from_utf8_lossy(&word[..read])).unwrap();
    }

    expect![[r#"
        wanted: out, "REQ" read
        left: Lost { status: Unreachable, engine_reachable: true }, "" read
        late: Lost { status: Unreachable, engine_reachable: true }, "" read
    "#]]
    .assert_eq(&trace);
}

/// While one connection is being established and no thread can be started for a second one, the pool goes on with its
/// other work: here with a dispatch that is cancelled.
#[test]
fn the_pool_goes_on_when_no_thread_can_be_started() {
    let far = clock::now() + TimeDelta(60_000_000);
    let pool = start_pool();
    let unaccepting = UnacceptingEngine::start();
    let engine = EngineHandle::new(&pool, "refused", unaccepting.address.parse().unwrap());
    let request = |id: &str| EngineRequest {
        id: id.into(),
        class: "load".into(),
        deadline: far,
        begin_by: far,
        liveness: Arc::new(CancellationToken::default()),
        ledger: Arc::new(DispatchLedger::new(id, RetrySafety::RunOnce, far)),
        priority: None,
        statement: b"select 1".as_slice().into(),
    };
    let first = engine.send(request("0000000000000001"));
    // Its connection is being established once a later command has been carried out.
    let ended = |cancelled: crossbeam_channel::Receiver<()>| {
        cancelled.recv_timeout(Duration::from_secs(5))
            == Err(crossbeam_channel::RecvTimeoutError::Disconnected)
    };
    let behind = EngineHandle::new(&pool, "behind", unaccepting.address.parse().unwrap());
    assert!(ended(behind.send(request("0000000000000002")).cancel()));
    REFUSES_THREADS.store(true, SeqCst);
    let second = engine.send(request("0000000000000003"));
    assert!(ended(second.cancel()), "the pool does nothing else");
    REFUSES_THREADS.store(false, SeqCst);

    assert!(ended(first.cancel()));
}

/// A job's thread may hand its dispatch over after the pool has learnt that the engine drains. The dispatch fails at once,
/// so that its job goes elsewhere, and does not wait for a connection first.
#[test]
fn a_dispatch_handed_over_after_its_engine_began_to_drain_fails_at_once() {
    let far = clock::now() + TimeDelta(60_000_000);
    let pool = start_pool();
    let unaccepting = UnacceptingEngine::start();
    let engine = EngineHandle::new(&pool, "draining", unaccepting.address.parse().unwrap());

    engine.set_accepts_dispatches(false);
    let dispatch = engine.send(EngineRequest {
        id: "0123456789abcdef".into(),
        class: "load".into(),
        deadline: far,
        begin_by: far,
        liveness: Arc::new(CancellationToken::default()),
        ledger: Arc::new(DispatchLedger::new("0123456789abcdef", RetrySafety::RunOnce, far)),
        priority: None,
        statement: b"select 1".as_slice().into(),
    });
    // Connecting to this engine fails after nine seconds.
    let event = dispatch.events.recv_timeout(Duration::from_secs(5));

    expect!["Ok(Lost { status: Unreachable, engine_reachable: true })"].assert_eq(&format!("{event:?}"));
}

/// The result of a health check may have to wait for the controller, and the controller may be recording a change of the
/// endpoint list just then. Neither waits for the other.
#[test]
fn a_change_of_the_endpoint_list_is_recorded_while_another_is_applied() {
    let pool = start_pool();
    let unaccepting = UnacceptingEngine::start();
    let engine = |name: &str| EngineHandle::new(&pool, name, unaccepting.address.parse().unwrap());
    let (checked, other) = (engine("checked"), engine("other"));
    let (recorded, was_recorded) = crossbeam_channel::bounded(1);

    // The check waits for a connection until its engine drains, so that its callback runs while that is applied.
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

    assert_eq!(was_recorded.recv_timeout(Duration::from_secs(20)), Ok(true));
}
