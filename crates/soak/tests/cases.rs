//! Schedules that have failed before, played with the program that cargo has built next to this test.

use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Held during a play: all plays use the same addresses.
static PLAY: Mutex<()> = Mutex::new(());

/// Plays a schedule of `cases/` and expects it to pass. The soak prints the totals on its last line.
fn play(case: &str) {
    let _guard = PLAY.lock().unwrap_or_else(PoisonError::into_inner);
    let soak = Path::new(env!("CARGO_BIN_EXE_pebblevane-soak"));
    let program = soak.with_file_name("pebblevane");
    assert!(program.exists(), "no program at {}: the whole workspace is to be tested", program.display());
    let schedule = Path::new(env!("CARGO_MANIFEST_DIR")).join("cases").join(case);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(case);
    let output = Command::new(soak)
        .arg("--plans")
        .arg(schedule)
        .arg("--program")
        .arg(program)
        .arg("--folder")
        .arg(folder)
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && printed.ends_with("1 passed, 0 failed\n"), "{printed}");
}

/// A start must not fail because creating a thread, opening a socket or accepting a connection fails temporarily. Eight
/// gateways are restarted while a share of these calls fails.
#[test]
fn starts_under_failing_calls() {
    play("starts-under-failing-calls.json");
}

/// A fault stops and restarts gateways while all gateways are stopped at the end. It must wait for a stop that is under
/// way: it started the next process of a gateway beside the one that was ending, whose end then counted as a crash.
#[test]
fn overlapping_stops() {
    play("overlapping-stops.json");
}
