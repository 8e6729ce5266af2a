//! What holds for many dispatches within a window of time: rules 4 and 7.

use super::{Checker, Rule, micros};
use crate::history::{At, Dispatch, Event, GatewayRun};
use std::collections::{BTreeMap, BTreeSet};

/// A dispatch may wait this long for a connection between the gateway's count and the engine's.
const CONNECTING: At = 300_000;

impl Checker<'_> {
    /// Dispatches beyond a job's first, by gateway, in every window.
    pub(super) fn budgets(&mut self) {
        let records = self.records;
        let window = micros(self.schedule.rules.budget_window);
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut extras: BTreeMap<GatewayRun, Vec<At>> = BTreeMap::new();
        let mut sorted: Vec<&Dispatch> = records.dispatches.iter().collect();
        sorted.sort_by_key(|dispatch| dispatch.at);
        for dispatch in sorted {
            if !seen.insert(&dispatch.id) {
                extras.entry(dispatch.from).or_default().push(dispatch.at);
            }
        }
        for (run, extras) in extras {
            let jobs: Vec<At> = records
                .requests
                .iter()
                .filter(|request| request.to == run)
                .map(|request| request.sent)
                .collect();
            for at in &extras {
                // What counts is when they were sent; a connection may have taken a while to come up.
                let near = extras
                    .iter()
                    .filter(|extra| (at + CONNECTING..=at + window).contains(&(**extra + window)));
                let count = near.count() as f64;
                let from = at.saturating_sub(window + CONNECTING);
                let taken = jobs.iter().filter(|job| (from..=*at).contains(job)).count() as f64;
                let most = self.schedule.rules.spare_attempts + self.schedule.rules.extra_ratio * taken;
                if count > most + 1e-9 {
                    let what = format!("{run:?}: {count} further dispatches where {most:.1} are allowed");
                    self.found(Rule::Budget, *at, None, true, what);
                }
            }
        }
    }

    /// Dispatches to engines that have just started: in no window more than the settings allow and chance may add.
    pub(super) fn cold_engines(&mut self) {
        let records = self.records;
        let (rules, schedule) = (&self.schedule.rules, self.schedule);
        let work: u64 = schedule.classes.iter().map(|class| class.work_ms).sum();
        let mean_work = work as f64 / schedule.classes.len() as f64;
        let (warm, window) = (micros(rules.warm_after), micros(rules.overload_for));
        let mut broken = vec![];
        for (started, event) in &records.events {
            let Event::EngineStarted { engine, run } = event else { continue };
            if *run == 0 && *engine < schedule.engines {
                continue;
            }
            let mut came: Vec<&Dispatch> = records.dispatches.iter().collect();
            came.retain(|d| d.engine == *engine && d.engine_run == *run && d.at < started + warm);
            came.sort_by_key(|dispatch| dispatch.at);
            let knows = |dispatch: &&&Dispatch| {
                let told = self.told.get(&(dispatch.from, *engine, *run));
                told.is_some_and(|told| *told <= dispatch.at)
            };
            for last in &came {
                let within: Vec<&&Dispatch> =
                    came.iter().filter(|d| d.at <= last.at && d.at + window > last.at).collect();
                let age = (last.at - started) as f64 / warm as f64;
                let share = rules.start_capacity + (1.0 - rules.start_capacity) * age.min(1.0);
                let n = rules.fall_multiple * schedule.cores * share * (window as f64 / 1000.0) / mean_work;
                let most = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
                let known = within.iter().filter(|d| knows(d)).count();
                if within.len() as f64 > most && known * 3 > within.len() * 2 {
                    let what = format!(
                        "engine {engine} run {run}: {} dispatches of {most:.1}, {known} told",
                        within.len()
                    );
                    broken.push((last.at, what));
                    break;
                }
            }
        }
        for (at, what) in broken {
            self.found(Rule::ColdEngine, at, None, true, what);
        }
    }
}
