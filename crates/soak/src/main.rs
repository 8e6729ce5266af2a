//! Soak test of pebblevane: runs dozens of its processes on loopback, with simulated engines, event bus and clients,
//! and injects faults that overlap. All parts record a history, which is checked afterwards.
//!
//! A play is one execution of a schedule. The schedule is derived from a seed or read from a file.

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

/// The first port of all plays. Concurrent plays use separate ports. All ports are below the range from which the
/// system assigns ports to connections, so that the port of an engine is still free when the engine restarts.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that are reserved for each play.
const PORTS_PER_PLAY: u64 = 100;
/// Number of port ranges; seeds that differ by a multiple of this share one.
const PORT_RANGES: u64 = 220;

/// Runs pebblevane under random faults and checks the recorded histories.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Number of seeds to play.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The first seed; the others follow it.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Number of processes of the program in each play.
    #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(1..=200))]
    processes: u64,
    /// Seconds of traffic in each play. Stopping all processes takes a few more.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Start no new play of a seed after this many minutes.
    #[arg(long)]
    minutes: Option<f64>,
    /// Number of concurrent plays.
    #[arg(long, default_value_t = 2)]
    side_by_side: usize,
    /// The program under test.
    #[arg(long, default_value = "target/release/pebblevane")]
    program: PathBuf,
    /// Folder for logs and histories.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
    /// Also keep the logs and histories of plays that passed.
    #[arg(long)]
    keep: bool,
    /// Play the schedules in these files instead of seeds, one in each file, as --print-plans prints them.
    #[arg(long, num_args = 1..)]
    plans: Vec<PathBuf>,
    /// Only print the schedules of the seeds.
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

/// Plays all seeds or schedules and prints the totals. Returns whether all passed.
async fn play_all(arguments: Arguments) -> bool {
    let arguments = Arc::new(arguments);
    let permits = Arc::new(Semaphore::new(arguments.side_by_side.max(1)));
    let start = Instant::now();
    let mut plays = vec![];
    for seed in arguments.all_seeds() {
        let Ok(permit) = permits.clone().acquire_owned().await else { break };
        let is_time_up = |minutes: &f64| start.elapsed() > Duration::from_secs_f64(minutes * 60.0);
        if arguments.minutes.as_ref().is_some_and(is_time_up) {
            break;
        }
        let arguments = arguments.clone();
        plays.push(tokio::spawn(async move {
            let _permit = permit;
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
        let Ok(permit) = permits.clone().acquire_owned().await else { break };
        plays.push(tokio::spawn(async move {
            let _permit = permit;
            play_one(schedule, &arguments).await
        }));
    }
    let (mut passed, mut failed, mut rules) = (0, 0, BTreeMap::new());
    for play in plays {
        match play.await {
            Ok(Ok(violated)) if violated.is_empty() => passed += 1,
            Ok(Ok(violated)) => {
                failed += 1;
                for rule in violated {
                    *rules.entry(rule).or_insert(0u32) += 1;
                }
            }
            Ok(Err(e)) => {
                failed += 1;
                println!("not played: {e}");
            }
            Err(e) => {
                failed += 1;
                println!("the soak itself failed: {e}");
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

/// Plays a schedule and prints the result. Returns the rule of each violation.
async fn play_one(schedule: Schedule, arguments: &Arguments) -> Result<Vec<String>, PlayError> {
    let seed = schedule.seed;
    let folder = arguments.folder.join(format!("seed-{seed}"));
    let port = FIRST_PORT + (seed % PORT_RANGES * PORTS_PER_PLAY) as u16;
    let played = run::play(schedule, &folder, &arguments.program, port).await?;
    let violated: Vec<String> =
        played.verdict.certain_violations().map(|violation| format!("{:?}", violation.rule)).collect();
    println!("{}", report::summary(&played));
    if violated.is_empty() && !arguments.keep {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        print!("{}", report::details(&played, &folder));
        write_play(&played, &folder);
    }
    Ok(violated)
}

/// Writes a file with all data of a play.
fn write_play(played: &Played, folder: &Path) {
    let all =
        serde_json::json!({"plan": played.schedule, "books": played.records, "verdict": played.verdict});
    if let Err(e) = std::fs::write(folder.join("play.json"), all.to_string()) {
        println!("cannot write the history: {e}");
    }
}
