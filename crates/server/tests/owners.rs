//! The owners of connections to engines alone, over real connections, without the module and the program around them.

#[allow(dead_code)] // each test file uses a part of them
mod helpers;
#[allow(dead_code)] // the program uses what these tests don't
#[path = "../src/memory/mod.rs"]
mod memory;
#[allow(dead_code)]
#[path = "../src/service"]
mod service {
    pub mod clock;
    pub mod config;
}
#[allow(dead_code)]
#[path = "../src/wire/mod.rs"]
mod wire;

use expect_test::expect;
use helpers::Crowded;
use memory::budget::Budget;
use memory::clients::CancelToken;
use memory::dispatch_ledger::{DispatchLedger, RepeatRules};
use memory::engines::{DispatchHandle, Engine, Request, Terms};
use memory::owners::Owners;
use pebblevane::interface::Span;
use service::clock;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

const STACK: usize = 64 * 1024;

fn thread(name: &str, stack: usize, what: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.to_string()).stack_size(stack).spawn(what).map(drop)
}

/// What waits for a connection is looked at once more when that has come up: what nobody wants any more, or what had to
/// begin before that, never leaves, though nobody has recalled it yet, and its engine is not at fault. The rest leaves.
#[test]
fn the_last_look_before_the_first_byte_knows_what_may_not_leave() {
    let terms = Terms {
        streams: 32,
        dial: Duration::from_secs(9),
        idle: Duration::from_secs(9),
        notes: None,
        connections: 8,
        reports: false,
    };
    let owners = Owners::start(terms, Budget::new(8), clock::now).unwrap();
    let rules = RepeatRules::RunOnce;
    let mut trace = String::new();
    for what in ["wanted", "left", "late"] {
        let crowded = Crowded::start();
        let engine = Engine::new(&owners, "e0", crowded.address.parse().unwrap());
        let wanted = Arc::new(CancelToken::default());
        let far = clock::now() + Span(60_000_000);
        let request = Request {
            id: "0123456789abcdef".into(),
            class: "load".into(),
            ends: far,
            begin_by: if what == "late" { clock::now() + Span(100_000) } else { far },
            wanted: wanted.clone(),
            ledger: Arc::new(DispatchLedger::new("0123456789abcdef", rules, far)),
            rank: None,
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
            format!("{:?}", out.words.recv_timeout(Duration::from_secs(20)).unwrap())
        };
        let mut word = [0; 3];
        let read = if what == "wanted" { stream.read(&mut word).unwrap() } else { 0 };
        engine.gone();
        drop(out);
        if what != "wanted" {
            // Its owner is over with the job, and closes the connection on which nothing was ever written.
            assert_eq!(stream.read(&mut word).unwrap_or(0), 0);
        }
        trace += &format!("{what}: {heard}, {:?} read\n", String::from_utf8_lossy(&word[..read]));
    }
    expect![[r#"
        wanted: out, "REQ" read
        left: Lost(Unreachable, true), "" read
        late: Lost(Unreachable, true), "" read
    "#]]
    .assert_eq(&trace);
}
