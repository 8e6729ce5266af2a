//! Schedules that failed once, played again with the program as cargo has built it beside this test.

use std::path::Path;
use std::process::Command;

/// Plays a schedule of `cases/`; the soak test says on its last line how many plays passed.
fn play(case: &str) {
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
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && said.ends_with("1 passed, 0 failed\n"), "{said}");
}

/// Gateways that start while threads, sockets and accepts fail for a moment start all the same.
#[test]
fn starts_under_failing_calls() {
    play("starts-under-failing-calls.json");
}
