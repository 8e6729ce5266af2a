//! Case 3: a part of a result is served as the whole result after noise in an answer.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::process::exit;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

const LIMITS: Limits = Limits { memory_mb: 192, sockets: 1024 };
const JOBS: usize = 60;
const PAGES: u32 = 3;
const ROWS_PER_PAGE: u32 = 20;
/// Of so many answers one arrives spoilt.
const SPOILT_EVERY: usize = 4;

/// What all engines have made: the results by job, one for each run.
#[derive(Default)]
struct World {
    results: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    answers: AtomicUsize,
    spoilt: AtomicUsize,
}

struct Site {
    name: &'static str,
    world: Arc<World>,
    record: Arc<Record>,
}

impl Site {
    fn page(&self, id: &str, page: u32) -> Vec<u8> {
        (0..ROWS_PER_PAGE)
            .map(|row| format!("{id}\t{}\tpage {page} row {row}\n", self.name))
            .collect::<String>()
            .into()
    }
}

impl Engine for Site {
    fn request(self: &Arc<Self>, connection: EngineConnection, id: &str, fields: &str, _statement: &[u8]) {
        sleep_ms(10);
        let whole = (0..PAGES).flat_map(|page| self.page(id, page)).collect();
        lock(&self.world.results).entry(id.to_string()).or_default().push(whole);
        let mut head = format!("sheets={PAGES},toil=10.0,room=16").into_bytes();
        let number = self.world.answers.fetch_add(1, SeqCst);
        let mut note = String::new();
        if trouble() && number % SPOILT_EVERY == SPOILT_EVERY - 1 {
            // Noise: one byte of the name of the first field arrives as another one, in each spoilt answer at another
            // place; in every seventh one no fields are left.
            match self.world.spoilt.fetch_add(1, SeqCst) % 7 {
                place @ 0..6 => head[place] ^= 0x03,
                _ => head = b"-".to_vec(),
            }
            note = format!(", arrives spoilt: HIT {}", String::from_utf8_lossy(&head));
        }
        self.record.line(&format!("engine {}: REQ {id} {fields}: ran, {PAGES} pages{note}", self.name));
        connection.answer(id, "HIT", std::str::from_utf8(&head).expect("still text"), &self.page(id, 0));
    }

    fn fetch(self: &Arc<Self>, connection: EngineConnection, id: &str, page: u32) {
        connection.answer(id, "PART", &format!("sheet={page}"), &self.page(id, page));
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
    let mut entries = Vec::new();
    for (name, zone) in [("s-1a", "hall-a"), ("s-2b", "hall-a"), ("s-3c", "hall-b")] {
        let port = serve_engine(Arc::new(Site { name, world: world.clone(), record: record.clone() }));
        entries.push(entry(name, port, zone, "in_service", 0));
    }
    let bus = Bus::start(&entries, &record);
    let mut managers = start_managers(LIMITS, RUN_ONCE_LOAD, &bus, &record);

    let client = Client::connect("u0", managers[0].port, &record);
    for number in 0..JOBS {
        let statement = format!("select * from sales_{number}.orders");
        client.submit("lookup", &new_job_id(), 4_000, statement.as_bytes());
        sleep_ms(80);
    }
    sleep_ms(1_000);
    if !managers[0].is_running() {
        record.result("the workload manager has ended");
        return BROKEN;
    }

    let (state, results) = (lock(&client.state), lock(&world.results));
    let (mut served, mut wrong) = (0, 0);
    for sent in &state.sent {
        for (_, answer) in &sent.answers {
            let Answer::Served(rows) = answer else { continue };
            served += 1;
            let made = results.get(&sent.job).map_or(&[][..], Vec::as_slice);
            if !made.contains(rows) {
                wrong += 1;
                let got = rows.iter().filter(|byte| **byte == b'\n').count();
                record.line(&format!(
                    "BROKEN: job {} was served {got} rows, its result has {}",
                    sent.job,
                    PAGES * ROWS_PER_PAGE
                ));
            }
        }
    }
    let spoilt = world.spoilt.load(SeqCst);
    record.result(&format!(
        "{wrong} of {served} results that were served are not whole; {spoilt} answers were spoilt"
    ));
    match (served, wrong) {
        (0, _) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
