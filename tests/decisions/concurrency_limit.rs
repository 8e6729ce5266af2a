//! How much a gateway has in flight at once under congestion, where it lacks load reports.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::{BULK_LOAD, LOOKUP, bulk_load, lookup};
use expect_test::expect;
use pebblevane::interface::{JobId, ProgressUpdate};
use std::fmt::Write as _;

/// The whole pool is congested and no gateway can know any engine's load: jobs complete late or not at all. What a
/// gateway has in flight shrinks to its equal share, and grows again when jobs take their usual time.
#[test]
fn without_load_reports_concurrency_shrinks_under_congestion_and_recovers() {
    let mut harness = ControllerHarness::builder()
        .engines(20)
        .large_gateway_fleet()
        .health_check_price(1.0)
        .latency_objective_ms(LOOKUP, 30_000.0)
        .reported_utilization(0.2, 20)
        .build();

    let mut in_flight: Vec<(f64, JobId)> = Vec::new();
    let mut seen = Vec::new();
    let mut known = 0;
    for tenth in 0..300 {
        // Jobs of 100 ms on their own: they take that long, then 2 s, then that long again.
        let duration = if (50..150).contains(&tenth) { 2000.0 } else { 100.0 };
        harness.submit(lookup(tenth).client_timeout_ms(60_000.0));
        harness.advance(100.0);
        let now = harness.now_ms();
        in_flight.extend(harness.dispatches[known..].iter().map(|sent| (now - 50.0, sent.job)));
        known = harness.dispatches.len();
        let (done, rest): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(sent, _)| now - sent >= duration);
        in_flight = rest;
        for (sent, job) in done {
            harness.complete(job, now - sent);
        }
        if [49, 149, 299].contains(&tenth) {
            seen.push(format!("{} sent, {} out", harness.dispatches.len(), in_flight.len()));
        }
    }

    expect!["50 sent, 1 out, 67 sent, 3 out, 300 sent, 1 out"].assert_eq(&seen.join(", "));
}

/// An equal share of the pool is little for a gateway with more than its share of the traffic: under long congestion it
/// keeps seven tenths of the work that arrives in flight, not one thread a core of an equal share.
#[test]
fn a_busy_gateway_keeps_its_quota_under_congestion() {
    let mut harness = ControllerHarness::builder()
        .engines(12)
        .large_gateway_fleet()
        .health_check_price(1.0)
        .latency_objective_ms(LOOKUP, 30_000.0)
        .reported_utilization(0.2, 12)
        .build();

    let mut in_flight: Vec<(f64, JobId)> = Vec::new();
    let mut known = 0;
    for job in 0..600 {
        harness.submit(lookup(job).client_timeout_ms(60_000.0));
        harness.advance(20.0);
        let now = harness.now_ms();
        in_flight.extend(harness.dispatches[known..].iter().map(|sent| (now, sent.job)));
        known = harness.dispatches.len();
        let (done, rest): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(sent, _)| now - sent >= 1000.0);
        in_flight = rest;
        for (sent, job) in done {
            harness.complete(job, now - sent);
        }
    }

    expect!["7 out"].assert_eq(&format!("{} out", in_flight.len()));
}

/// Large jobs that are stuck at one engine say nothing about the others, which get as many jobs as before.
#[test]
fn congestion_of_one_engine_does_not_reduce_dispatches_to_the_others() {
    let mut harness = ControllerHarness::builder()
        .engines(12)
        .large_gateway_fleet()
        .health_check_price(1.0)
        .threads_per_job(BULK_LOAD, 4.0)
        .latency_objective_ms(BULK_LOAD, 30_000.0)
        .reported_utilization(0.2, 12)
        .build();

    let large = bulk_load(11).client_timeout_ms(60_000.0).cost_ms(8000.0);
    let stuck: Vec<JobId> = (0..2).map(|_| harness.submit(large)).collect();
    let mut at_once = Vec::new();
    for job in 0..160 {
        let before = harness.dispatches.len();
        let id = harness.submit(lookup(job));
        at_once.push(harness.dispatches.len() - before);
        harness.advance(100.0);
        harness.complete(id, 100.0);
    }
    let at_once: Vec<usize> = at_once.chunks(40).map(|sent| sent.iter().sum()).collect();

    expect!["2 stuck, [39, 39, 39, 39]"].assert_eq(&format!("{} stuck, {at_once:?}", stuck.len()));
}

/// The jobs in flight are the arriving work times its slowdown. More of them means congestion long before one completes
/// or its progress update is due, and a gateway that has just started limits them all the same.
#[test]
fn jobs_in_flight_are_limited_by_the_work_that_arrives() {
    let mut harness = ControllerHarness::builder()
        .engines(40)
        .large_gateway_fleet()
        .health_check_price(1.0)
        .reported_utilization(0.2, 40)
        .build();

    let mut seen = Vec::new();
    for job in 0..160 {
        harness.submit(lookup(job));
        harness.advance(25.0);
        if job % 40 == 39 {
            seen.push(harness.dispatches.len());
        }
    }

    expect!["[8, 11, 11, 11]"].assert_eq(&format!("{seen:?}"));
}

/// A job that spills to disk takes a multiple of its billed work on an idle engine, too: that is no congestion. Where most
/// jobs do, since estimates of memory are too low, none is withheld or rejected for it; what takes longer still is
/// congestion.
#[test]
fn jobs_that_spill_to_disk_are_not_taken_for_congestion() {
    let mut lines = String::new();
    for slow in [1.0, 4.0] {
        let mut harness = ControllerHarness::builder()
            .engines(40)
            .large_gateway_fleet()
            .health_check_price(1.0)
            .progress_interval_ms(500.0)
            .reported_utilization(0.2, 40)
            .actual_work_ms(100.0)
            .build();
        let mut in_flight: Vec<(JobId, f64)> = Vec::new();
        let mut at_once = Vec::new();
        for job in 0..400 {
            let before = harness.dispatches.len();
            let id = harness.submit(lookup(job));
            at_once.push(harness.dispatches.len() - before);
            let spills = job % 10 < 7;
            if spills && at_once.last() == Some(&1) {
                harness.progress(attempt(id, 0), ProgressUpdate::SpillingToDisk(100.0));
            }
            let took = if spills { 300.0 } else { 110.0 };
            in_flight.push((id, harness.now_ms() + took * if job < 200 { 1.0 } else { slow }));
            for _ in 0..10 {
                harness.advance(5.0);
                let now = harness.now_ms();
                let (done, rest): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|(_, at)| *at <= now);
                in_flight = rest;
                for (id, at) in done {
                    let Some(sent_at) = harness.last_dispatch(id).map(|sent| sent.at_ms) else { continue };
                    harness.complete(id, at.max(sent_at + 1.0) - sent_at);
                }
            }
        }
        let at_once: Vec<usize> = at_once.chunks(100).map(|sent| sent.iter().sum()).collect();
        writeln!(lines, "{slow} times as long: {at_once:?} of 100 at once").unwrap();
    }

    expect![[r"
        1 times as long: [96, 97, 98, 97] of 100 at once
        4 times as long: [96, 97, 46, 35] of 100 at once
    "]]
    .assert_eq(&lines);
}
