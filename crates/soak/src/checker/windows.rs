//! Checks the number of dispatches within time windows: rules 4 and 7.

use super::{Checker, Rule, micros};
use crate::history::{Dispatch, Event, GatewayRun, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time between the moment when the gateway counts a dispatch and its arrival at the engine. The dispatch may
/// have to wait for a connection.
const CONNECT_DELAY_US: Micros = 300_000;

impl Checker<'_> {
    /// Checks that in every window each gateway process keeps to its budget of retries, which are the dispatches beyond
    /// a job's first.
    pub(super) fn check_retry_budgets(&mut self) {
        let records = self.records;
        let window = micros(self.schedule.rules.retry_budget_window);
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut retries_by_run: BTreeMap<GatewayRun, Vec<Micros>> = BTreeMap::new();
        let mut sorted: Vec<&Dispatch> = records.dispatches.iter().collect();
        sorted.sort_by_key(|dispatch| dispatch.received_at);
        for dispatch in sorted {
            if !seen.insert(&dispatch.id) {
                retries_by_run.entry(dispatch.from).or_default().push(dispatch.received_at);
            }
        }
        for (run, retries) in retries_by_run {
            let jobs: Vec<Micros> = records
                .requests
                .iter()
                .filter(|request| request.to == run)
                .map(|request| request.sent_at)
                .collect();
            for at in &retries {
                // The gateway counts a retry when it sends it, which is up to `CONNECT_DELAY_US` before the engine
                // receives it. Only retries that were certainly sent within one window are counted here.
                let in_window = retries
                    .iter()
                    .filter(|retry| (at + CONNECT_DELAY_US..=at + window).contains(&(**retry + window)));
                let count = in_window.count() as f64;
                let from = at.saturating_sub(window + CONNECT_DELAY_US);
                let job_count = jobs.iter().filter(|job| (from..=*at).contains(job)).count() as f64;
                let rules = &self.schedule.rules;
                let allowed = rules.min_retries + rules.retries_per_job * job_count;
                if count > allowed + 1e-9 {
                    let description = format!("{run:?}: {count} retries where {allowed:.1} are allowed");
                    self.report(Rule::Budget, *at, None, true, description);
                }
            }
        }
    }

    /// Checks that engines which have just started get, in any window, no more dispatches than the settings allow plus
    /// a margin for random variation.
    pub(super) fn check_cold_engines(&mut self) {
        let records = self.records;
        let (rules, schedule) = (&self.schedule.rules, self.schedule);
        let total_work_ms: u64 = schedule.classes.iter().map(|class| class.work_ms).sum();
        let mean_work_ms = total_work_ms as f64 / schedule.classes.len() as f64;
        let (warm_up, window) = (micros(rules.warm_up_time), micros(rules.warm_up_window));
        let mut violations = vec![];
        for (started, event) in &records.events {
            let Event::EngineStarted { engine, run } = event else { continue };
            // Engines that start with the play count as warm.
            if *run == 0 && *engine < schedule.engines {
                continue;
            }
            let mut received: Vec<&Dispatch> = records.dispatches.iter().collect();
            received
                .retain(|d| d.engine == *engine && d.engine_run == *run && d.received_at < started + warm_up);
            received.sort_by_key(|dispatch| dispatch.received_at);
            let is_from_notified = |dispatch: &&&Dispatch| {
                let notified = self.in_service_notifications.get(&(dispatch.from, *engine, *run));
                notified.is_some_and(|notified| *notified <= dispatch.received_at)
            };
            for last in &received {
                let in_window: Vec<&&Dispatch> = received
                    .iter()
                    .filter(|d| {
                        d.received_at <= last.received_at && d.received_at + window > last.received_at
                    })
                    .collect();
                let age = (last.received_at - started) as f64 / warm_up as f64;
                let initial = rules.initial_capacity_fraction;
                let capacity = initial + (1.0 - initial) * age.min(1.0);
                let allowed =
                    rules.warm_up_overload_factor * schedule.cores * capacity * (window as f64 / 1000.0)
                        / mean_work_ms;
                // The margin for random variation is wider if few dispatches are allowed.
                let limit = if allowed < 30.0 {
                    allowed + 3.0 * allowed.sqrt() + 3.0
                } else {
                    allowed + 2.0 * allowed.sqrt() + 2.0
                };
                // Gateways that have not been notified of the start can't hold back; a violation needs more than two
                // thirds of the dispatches from notified ones.
                let notified = in_window.iter().filter(|d| is_from_notified(d)).count();
                if in_window.len() as f64 > limit && notified * 3 > in_window.len() * 2 {
                    let description = format!(
                        "engine {engine} run {run}: {} dispatches where {limit:.1} are allowed, {notified} from \
                         notified gateways",
                        in_window.len()
                    );
                    violations.push((last.received_at, description));
                    break;
                }
            }
        }
        for (at, description) in violations {
            self.report(Rule::ColdEngine, at, None, true, description);
        }
    }
}
