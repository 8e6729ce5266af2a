//! Soak test of pebblevane: dozens of real processes on loopback with engines, an event bus and clients of this test's
//! own, under faults that overlap, checked from the history that all of them record.

mod answers;
mod bus;
mod checker;
mod client;
mod engine;
mod faults;
mod gateway;
mod history;
mod report;
mod run;
mod schedule;
mod testbed;

use clap::Parser;
use run::{PlayError, Played};
use schedule::Schedule;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// Plays side by side have ports of their own from here on, so many each, below those that the system gives out: an
/// engine that is away for a moment finds its port free when it comes back.
const FIRST_PORT: u16 = 10_000;
const PORTS_A_PLAY: u64 = 100;
const PLAYS: u64 = 220;

/// Plays seeds and checks their histories.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Seeds to play, from the first one on.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Processes of the program in each play.
    #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(1..=200))]
    processes: u64,
    /// Seconds of traffic in each play; a few more go by until all have stopped.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Begin no new play after so many minutes.
    #[arg(long)]
    minutes: Option<f64>,
    /// Plays side by side.
    #[arg(long, default_value_t = 2)]
    side_by_side: usize,
    /// The program under test.
    #[arg(long, default_value = "target/release/pebblevane")]
    program: PathBuf,
    /// Where logs and histories lie.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
    /// Keep the histories of plays that passed, too.
    #[arg(long)]
    keep: bool,
    /// Play these schedules, as --print-plans prints them, in place of seeds.
    #[arg(long, num_args = 1..)]
    plans: Vec<PathBuf>,
    /// Only print what the seeds would play.
    #[arg(long)]
    print_plans: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.print_plans {
        for seed in arguments.all_seeds() {
            let schedule = Schedule::from_seed(seed, arguments.processes as usize, arguments.seconds);
            println!("{}", serde_json::to_string(&schedule).unwrap_or_else(|e| e.to_string()));
        }
        return ExitCode::SUCCESS;
    }
    if !arguments.program.exists() {
        eprintln!("pebblevane-soak: no program at {}, build it first", arguments.program.display());
        return ExitCode::from(2);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.map(|runtime| runtime.block_on(play_all(arguments))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("pebblevane-soak: cannot start: {e}");
            ExitCode::from(2)
        }
    }
}

impl Arguments {
    fn all_seeds(&self) -> std::ops::Range<u64> {
        let seeds = if self.plans.is_empty() { self.seeds } else { 0 };
        self.first_seed..self.first_seed + seeds
    }
}

/// Plays all seeds; says whether none failed.
async fn play_all(arguments: Arguments) -> bool {
    let arguments = Arc::new(arguments);
    let places = Arc::new(Semaphore::new(arguments.side_by_side.max(1)));
    let began = Instant::now();
    let mut plays = vec![];
    for seed in arguments.all_seeds() {
        let Ok(place) = places.clone().acquire_owned().await else { break };
        let over = |minutes: &f64| began.elapsed() > Duration::from_secs_f64(minutes * 60.0);
        if arguments.minutes.as_ref().is_some_and(over) {
            break;
        }
        let arguments = arguments.clone();
        plays.push(tokio::spawn(async move {
            let _place = place;
            let schedule = Schedule::from_seed(seed, arguments.processes as usize, arguments.seconds);
            play_one(schedule, &arguments).await
        }));
    }
    for path in &arguments.plans {
        let arguments = arguments.clone();
        let schedule = match read_schedule(path) {
            Ok(schedule) => schedule,
            Err(e) => {
                println!("not played: {}: {e}", path.display());
                return false;
            }
        };
        let Ok(place) = places.clone().acquire_owned().await else { break };
        plays.push(tokio::spawn(async move {
            let _place = place;
            play_one(schedule, &arguments).await
        }));
    }
    let (mut passed, mut failed, mut rules) = (0, 0, BTreeMap::new());
    for play in plays {
        match play.await {
            Ok(Ok(broken)) if broken.is_empty() => passed += 1,
            Ok(Ok(broken)) => {
                failed += 1;
                for rule in broken {
                    *rules.entry(rule).or_insert(0u32) += 1;
                }
            }
            Ok(Err(e)) => {
                failed += 1;
                println!("not played: {e}");
            }
            Err(e) => {
                failed += 1;
                println!("the test itself failed: {e}");
            }
        }
    }
    for (rule, count) in rules {
        println!("{rule}: {count} violations");
    }
    println!("{passed} passed, {failed} failed");
    failed == 0
}

fn read_schedule(path: &Path) -> std::io::Result<Schedule> {
    Ok(serde_json::from_str(&std::fs::read_to_string(path)?)?)
}

/// Plays a schedule and prints how it went; returns the rules that were broken.
async fn play_one(schedule: Schedule, arguments: &Arguments) -> Result<Vec<String>, PlayError> {
    let seed = schedule.seed;
    let folder = arguments.folder.join(format!("seed-{seed}"));
    let port = FIRST_PORT + (seed % PLAYS * PORTS_A_PLAY) as u16;
    let played = run::play(schedule, &folder, &arguments.program, port).await?;
    let broken: Vec<String> =
        played.verdict.certain_violations().map(|violation| format!("{:?}", violation.rule)).collect();
    println!("{}", report::line(&played));
    if broken.is_empty() && !arguments.keep {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        print!("{}", report::details(&played, &folder));
        keep(&played, &folder);
    }
    Ok(broken)
}

/// Leaves what is needed to read a play later.
fn keep(played: &Played, folder: &Path) {
    let all =
        serde_json::json!({"plan": played.schedule, "books": played.records, "verdict": played.verdict});
    if let Err(e) = std::fs::write(folder.join("play.json"), all.to_string()) {
        println!("cannot keep the history: {e}");
    }
}
