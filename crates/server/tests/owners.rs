//! The owners of connections to engines alone, over real connections, without the module and the program around them.

#[allow(dead_code)] // each test file uses a part of them
mod helpers;
use expect_test::expect;
use helpers::Crowded;
use pebblevane::time::TimeDelta;
use pebblevane_server::config::connection_settings::ConnectionSettings;
use pebblevane_server::config::retry_semantics::RetrySemantics;
use pebblevane_server::engine::dispatch_ledger::DispatchLedger;
use pebblevane_server::engine::handle::{DispatchHandle, EngineHandle, EngineRequest};
use pebblevane_server::engine::registry::EngineRegistry;
use pebblevane_server::lifecycle::clock;
use pebblevane_server::lifecycle::threads;
use pebblevane_server::limits::ResourceBudget;
use pebblevane_server::session::cancellation::CancellationToken;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

/// Threads with such a name can't be made while this is set.
const REFUSED: &str = "dial refused";
static REFUSES: AtomicBool = AtomicBool::new(false);

fn spawn_or_refuse(name: &str, stack_bytes: usize, body: Box<dyn FnOnce() + Send>) -> std::io::Result<()> {
    if name == REFUSED && REFUSES.load(SeqCst) {
        return Err(std::io::ErrorKind::WouldBlock.into());
    }
    threads::spawn(name, stack_bytes, body)
}

/// Owners that wait long for a connection and have a few of them.
fn start_owners() -> Arc<EngineRegistry> {
    let terms = ConnectionSettings {
        streams: 32,
        dial: Duration::from_secs(9),
        idle: Duration::from_secs(9),
        notes: None,
        connections: 8,
        reports: false,
    };
    EngineRegistry::start(terms, ResourceBudget::new(8), clock::now, spawn_or_refuse).unwrap()
}

/// What waits for a connection is looked at once more when that has come up: what nobody wants any more, or what had to
/// begin before that, never leaves, though nobody has recalled it yet, and its engine is not at fault. The rest leaves.
#[test]
fn the_last_look_before_the_first_byte_knows_what_may_not_leave() {
    let owners = start_owners();
    let rules = RetrySemantics::RunOnce;
    let mut trace = String::new();
    for what in ["wanted", "left", "late"] {
        let crowded = Crowded::start();
        let engine = EngineHandle::new(&owners, "e0", crowded.address.parse().unwrap());
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
        let mut stream = crowded.accept();
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
            // Its owner is over with the job, and closes the connection on which nothing was ever written.
            assert_eq!(stream.read(&mut word).unwrap_or(0), 0);
        }
        trace += &format!("{what}: {heard}, {:?} read\n", String::from_utf8_lossy(&word[..read]));
    }
    expect![[r#"
        wanted: out, "REQ" read
        left: Lost { status: Unreachable, engine_reachable: true }, "" read
        late: Lost { status: Unreachable, engine_reachable: true }, "" read
    "#]]
    .assert_eq(&trace);
}

/// While one connection is being made and no thread can be made for a second one, the owners go on with what else there
/// is: here a dispatch that is given up.
#[test]
fn owners_go_on_where_no_thread_can_be_made() {
    let far = clock::now() + TimeDelta(60_000_000);
    let owners = start_owners();
    let crowded = Crowded::start();
    let engine = EngineHandle::new(&owners, "refused", crowded.address.parse().unwrap());
    let request = |id: &str| EngineRequest {
        id: id.into(),
        class: "load".into(),
        deadline: far,
        begin_by: far,
        liveness: Arc::new(CancellationToken::default()),
        ledger: Arc::new(DispatchLedger::new(id, RetrySemantics::RunOnce, far)),
        priority: None,
        statement: b"select 1".as_slice().into(),
    };
    let first = engine.send(request("0000000000000001"));
    // Its connection is under way once another order has been carried out behind it.
    let ended = |given_up: crossbeam_channel::Receiver<()>| {
        given_up.recv_timeout(Duration::from_secs(5))
            == Err(crossbeam_channel::RecvTimeoutError::Disconnected)
    };
    let behind = EngineHandle::new(&owners, "behind", crowded.address.parse().unwrap());
    assert!(ended(behind.send(request("0000000000000002")).cancel()));
    REFUSES.store(true, SeqCst);
    let second = engine.send(request("0000000000000003"));
    assert!(ended(second.cancel()), "the owners do nothing else");
    REFUSES.store(false, SeqCst);
    assert!(ended(first.cancel()));
}
