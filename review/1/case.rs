//! Case 1: a keyed job is applied in two groups of engines after a restart of its workload manager.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// The class `load`, keyed: engines of one zone drop repeats for 5 s.
const KEYED_LOAD: &str = r#"{"Aim":4000.0,"AimStretch":2.5,"DedupWindow":5000.0,"GiveUp":20000.0,"Group":"zone","LateValue":0.5,"Name":"load","Semantics":"idempotency_key","Streamed":false,"Worth":12.0}"#;
const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1024 };
const JOBS: usize = 12;

/// What the engines of all zones have done.
#[derive(Default)]
struct World {
    /// The zones in which each job was applied.
    applied: Mutex<BTreeMap<String, BTreeSet<&'static str>>>,
    /// Whether connections are reset under the first run of each job.
    resets: AtomicBool,
}

/// The process behind one address. Another process may take its place.
struct Process {
    identity: Mutex<(&'static str, &'static str)>,
    connections: Mutex<Vec<EngineConnection>>,
    world: Arc<World>,
    record: Arc<Record>,
}

impl Process {
    fn start(
        name: &'static str,
        zone: &'static str,
        world: &Arc<World>,
        record: &Arc<Record>,
    ) -> (Arc<Process>, u16) {
        let process = Arc::new(Process {
            identity: Mutex::new((name, zone)),
            connections: Mutex::default(),
            world: world.clone(),
            record: record.clone(),
        });
        let port = serve_engine(process.clone());
        record.line(&format!("engine {name}, {zone}: listens on port {port}"));
        (process, port)
    }

    /// The process dies, which resets its connections, and another one starts at its address.
    fn replace(&self, name: &'static str, zone: &'static str) {
        let old = std::mem::replace(&mut *lock(&self.identity), (name, zone)).0;
        lock(&self.connections).drain(..).for_each(|connection| connection.reset());
        self.record.line(&format!("engine {old} has died; engine {name}, {zone}, has taken its address"));
    }
}

impl Engine for Process {
    fn request(self: &Arc<Self>, connection: EngineConnection, id: &str, fields: &str, _statement: &[u8]) {
        let (name, zone) = *lock(&self.identity);
        lock(&self.connections).push(connection.clone());
        let (is_first_run, is_repeat) = {
            let mut applied = lock(&self.world.applied);
            let zones = applied.entry(id.to_string()).or_default();
            (zones.is_empty(), !zones.insert(zone))
        };
        let done = if is_repeat { "a repeat, dropped" } else { "APPLIED" };
        self.record.line(&format!("engine {name}, {zone}: REQ {id} {fields}: {done}"));
        sleep_ms(20);
        if is_first_run && self.world.resets.load(SeqCst) {
            self.record.line(&format!("engine {name}, {zone}: connection reset under {id}"));
            lock(&self.connections).clear();
            return connection.reset();
        }
        connection.answer(
            id,
            "HIT",
            "sheets=1,toil=20.0,room=16",
            format!("{id}\t{name}\tdone\n").as_bytes(),
        );
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    exit_on_panic();
    exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let world = Arc::new(World::default());
    let (at_x, x) = Process::start("s-9f3c20aa", "hall-a", &world, &record);
    let (_, y) = Process::start("s-5c00c41f", "hall-a", &world, &record);
    let (_, z) = Process::start("s-7d41a0c3", "hall-b", &world, &record);
    let bus = Bus::start(
        &[
            entry("s-9f3c20aa", x, "hall-a", "in_service", 0),
            entry("s-5c00c41f", y, "hall-a", "in_service", 0),
            entry("s-7d41a0c3", z, "hall-b", "in_service", 0),
        ],
        &record,
    );
    let mut managers = start_managers(LIMITS, KEYED_LOAD, &bus, &record);

    record.line("-- all is well: six jobs");
    send_jobs(&managers[0], 6, "calm", &record);

    record.line("-- an engine dies, and one of the other zone starts at its address; the list tells of the start first");
    at_x.replace("s-1b77d0e2", "hall-b");
    bus.publish(&[entry("s-1b77d0e2", x, "hall-b", "in_service", unix_ms())]);
    sleep_ms(700);
    if trouble() {
        record.line("-- the workload manager is killed and started again; `known` holds both events");
        managers[0].kill();
        managers[0].start(&bus);
    }

    record.line("-- connections are reset under requests that have begun");
    world.resets.store(true, SeqCst);
    let jobs = send_jobs(&managers[0], JOBS, "later", &record);
    bus.publish(&[entry("s-9f3c20aa", x, "hall-a", "terminated", 0)]);
    sleep_ms(300);
    if !managers[0].is_running() {
        record.result("the workload manager has ended");
        return BROKEN;
    }

    let applied = lock(&world.applied);
    let zones_of = |job: &String| applied.get(job).map_or(0, BTreeSet::len);
    let twice: Vec<&String> = jobs.iter().filter(|job| zones_of(job) > 1).collect();
    for job in &twice {
        record.line(&format!("BROKEN: job {job} was applied in {:?}", applied[*job]));
    }
    let run = jobs.iter().filter(|job| zones_of(job) > 0).count();
    record.result(&format!("{} of {run} keyed jobs that ran were applied in both zones", twice.len()));
    match (twice.is_empty(), run) {
        (_, 0) => COULD_NOT_RUN,
        (true, _) => HELD,
        (false, _) => BROKEN,
    }
}

/// Sends jobs one after another on a new connection, and returns their ids.
fn send_jobs(manager: &Manager, count: usize, name: &str, record: &Arc<Record>) -> Vec<String> {
    let client = Client::connect(name, manager.port, record);
    let jobs: Vec<String> = (0..count).map(|_| new_job_id()).collect();
    for (number, job) in jobs.iter().enumerate() {
        let statement = format!("insert into sales_{number}.orders select * from staging.new");
        client.submit("load", job, 16_000, statement.as_bytes());
        sleep_ms(250);
    }
    sleep_ms(500);
    client.close();
    jobs
}
