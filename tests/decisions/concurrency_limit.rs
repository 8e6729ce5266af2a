//! The limit on the threads that a gateway has in flight, which applies without load reports.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::{BULK_LOAD, LOOKUP, bulk_load, lookup};
use expect_test::expect;
use pebblevane::interface::{JobId, ProgressUpdate};
use std::fmt::Write as _;

/// Guards against an overload of the whole pool that does not end: no gateway knows any engine's load, only that its
/// own jobs complete late or not at all. Meanwhile a gateway keeps no more in flight than its traffic needs on healthy
/// engines; when jobs take their usual time again, it sends all of them.
#[test]
fn without_load_reports_a_gateway_withholds_jobs_under_overload_and_recovers() {
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
        // Jobs take 100 ms on an unloaded engine. From 5 s to 15 s the pool is overloaded and they take 2 s.
        let duration = if (50..150).contains(&tenth) { 2000.0 } else { 100.0 };
        harness.submit(lookup(tenth).client_timeout_ms(60_000.0));
        harness.advance(100.0);
        let now = harness.now_ms();
        // A dispatch counts as sent in the middle of the last 100 ms.
        in_flight.extend(harness.dispatches[known..].iter().map(|sent| (now - 50.0, sent.job)));
        known = harness.dispatches.len();
        let (done, rest): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(sent, _)| now - sent >= duration);
        in_flight = rest;
        for (sent, job) in done {
            harness.complete(job, now - sent);
        }
        if [49, 149, 299].contains(&tenth) {
            seen.push(format!("{} sent, {} in flight", harness.dispatches.len(), in_flight.len()));
        }
    }

    expect!["50 sent, 1 in flight, 67 sent, 3 in flight, 300 sent, 1 in flight"].assert_eq(&seen.join(", "));
}

/// Guards against starving a gateway that has more than an equal share of the traffic. In a long overload its limit
/// does not fall below 0.7 times the threads that the arriving work needs without load. That is more than the minimum
/// by equal shares, one thread per core of its share.
#[test]
fn under_overload_the_limit_of_a_busy_gateway_follows_its_traffic() {
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

    expect!["7 in flight"].assert_eq(&format!("{} in flight", in_flight.len()));
}

/// Guards against a gateway that withholds jobs from all engines since large jobs are stuck at one of them. The
/// slowdown of that engine says nothing about the others, which have to get as many jobs as before.
#[test]
fn overload_of_one_engine_does_not_reduce_dispatches_to_the_others() {
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

/// Guards against a gateway that goes on sending during an overload because no job has completed and no progress update
/// is due yet. By Little's law the threads in flight are the rate of arriving work times the slowdown, so that too many
/// show an overload earlier. The limit applies right after the start of the gateway, too.
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

/// Guards against mistaking spills for an overload: a job that spills to disk takes a multiple of its actual work even
/// on an idle engine. If memory estimates are too low, so that most jobs spill, none may be withheld or rejected for
/// that. If all jobs take four times as long as that, it is an overload.
#[test]
fn jobs_that_spill_to_disk_do_not_count_as_overload() {
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
