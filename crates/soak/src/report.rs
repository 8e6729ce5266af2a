//! Formats the result of a play as text for developers.

use crate::checker::Violation;
use crate::history::{Event, Micros};
use crate::run::Played;
use std::fmt::Write;
use std::path::Path;

/// Maximum number of violations that are described.
const MAX_VIOLATIONS: usize = 6;
/// Maximum number of lines that are shown of each log.
const MAX_LOG_LINES: usize = 60;

fn seconds(at: Micros) -> String {
    format!("{:>9.4}", at as f64 / 1e6)
}

/// Summarizes a play in one line.
pub fn summary(played: &Played) -> String {
    let verdict = &played.verdict;
    let certain = verdict.certain_violations().count();
    let uncertain = verdict.violations.len() - certain;
    let outcome = if certain == 0 { "passed".to_string() } else { format!("FAILED, {certain} violations") };
    let uncertain = if uncertain > 0 {
        format!(", {uncertain} uncertain because the soak lagged")
    } else {
        String::new()
    };
    format!(
        "seed {}: {outcome}{uncertain} ({} requests: {} done, {} busy, {} failed; {} dispatches; {} close races; \
         {} at killed gateways; {} on broken connections; {} late in a stop)",
        played.schedule.seed,
        verdict.requests,
        verdict.done,
        verdict.busy,
        verdict.failed,
        verdict.dispatches,
        verdict.close_races,
        verdict.at_killed_gateways,
        verdict.broken_connections,
        verdict.late_in_stop
    )
}

/// Describes the faults, the violations, and the first violation's request as all processes have recorded it.
pub fn details(played: &Played, folder: &Path) -> String {
    let mut text = String::new();
    for scheduled in &played.schedule.faults {
        let _ = writeln!(text, "  at {:>5} ms {:?}", scheduled.at_ms, scheduled.fault);
    }
    let verdict = &played.verdict;
    for violation in verdict.certain_violations().take(MAX_VIOLATIONS) {
        let _ = writeln!(text, "  {}", one_violation(violation));
    }
    let first = verdict.certain_violations().find(|violation| violation.id.is_some());
    if let Some(id) = first.and_then(|violation| violation.id.as_ref()) {
        let _ = writeln!(text, "  request {id}:");
        text += &timeline(played, id, folder);
    }
    text
}

fn one_violation(violation: &Violation) -> String {
    let id = violation.id.as_deref().unwrap_or("-");
    format!("{} {:?} {id}: {}", seconds(violation.at), violation.rule, violation.description)
}

/// All that clients, engines, logs and the supervisor have recorded about a request, in the order of time.
fn timeline(played: &Played, id: &str, folder: &Path) -> String {
    let mut lines: Vec<(Micros, String)> = vec![];
    for request in played.records.requests.iter().filter(|request| request.id == id) {
        let class = &played.schedule.classes[request.class].name;
        let description = format!(
            "client: {class}, {} ms, to {:?}, first on its connection {}",
            request.timeout_ms, request.to, request.is_first_on_connection
        );
        lines.push((request.sent_at, description));
        lines.extend(request.end.iter().map(|(at, end)| (*at, format!("client: {end:?}"))));
        let concerns = |event: &Event| match event {
            Event::GatewayStopping { run }
            | Event::GatewayKilled { run }
            | Event::GatewayFrozen { run }
            | Event::GatewayThawed { run }
            | Event::GatewayEnded { run, .. } => *run == request.to,
            _ => false,
        };
        let events = played.records.events.iter().filter(|(_, event)| concerns(event));
        lines.extend(events.map(|(at, event)| (*at, format!("supervisor: {event:?}"))));
    }
    for dispatch in played.records.dispatches.iter().filter(|dispatch| dispatch.id == id) {
        let (engine, run) = (dispatch.engine, dispatch.engine_run);
        lines.push((
            dispatch.received_at,
            format!("engine {engine} run {run}: read, limit {} ms", dispatch.limit_ms),
        ));
        lines.extend(
            dispatch.end.iter().map(|(at, end)| (*at, format!("engine {engine} run {run}: {end:?}"))),
        );
    }
    let logs = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for log in logs.filter(|file| file.path().extension().is_some_and(|ending| ending == "log")) {
        let name = log.file_name().to_string_lossy().to_string();
        let text = std::fs::read_to_string(log.path()).unwrap_or_default();
        for line in text.lines().filter(|line| line.contains(id)).take(MAX_LOG_LINES) {
            let (at, description) = line.split_once(' ').unwrap_or(("0", line));
            lines.push((at.parse().unwrap_or(0), format!("{name}: {description}")));
        }
    }
    lines.sort();
    let mut text = String::new();
    for (at, description) in lines {
        let _ = writeln!(text, "    {} {description}", seconds(at));
    }
    text
}
