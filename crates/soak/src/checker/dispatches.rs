//! Each dispatch by itself, and beside the earlier ones of its request: rules 1, 2, 3 and 6.

use super::{Checker, Rule, SLACK, micros, proves_unrun};
use crate::history::{At, Dispatch, Event, GatewayRun, Records, Request, RequestEnd};
use crate::schedule::{Group, Semantics};
use std::collections::BTreeMap;

/// An attempt may begin this long after its client has left.
const LEFT_FOR: At = 100_000;
/// An engine may be told so much more time than the client has left.
const DEADLINE_SLACK: At = 150_000;
/// What the bus has counts as told after this time.
const TOLD_AFTER: At = 7_000_000;

impl Checker<'_> {
    /// Checks all dispatches.
    pub(super) fn dispatches(&mut self) {
        let records = self.records;
        let mut by_id: BTreeMap<&str, Vec<&Dispatch>> = BTreeMap::new();
        for dispatch in &records.dispatches {
            by_id.entry(&dispatch.id).or_default().push(dispatch);
        }
        let drains = Drains::read(records);
        for (id, mut all) in by_id {
            all.sort_by_key(|dispatch| dispatch.at);
            let Some(request) = self.by_id.get(id).copied() else {
                self.found(
                    Rule::UnknownRequest,
                    all[0].at,
                    Some(id),
                    false,
                    "no client asked for it".to_string(),
                );
                continue;
            };
            for (position, dispatch) in all.iter().enumerate() {
                self.one_dispatch(request, dispatch, &drains);
                self.repeat(request, &all[..position], dispatch);
            }
        }
    }

    fn one_dispatch(&mut self, request: &Request, dispatch: &Dispatch, drains: &Drains) {
        let (id, at) = (Some(request.id.as_str()), dispatch.at);
        let due = request.sent + request.patience_ms * 1000;
        match &request.end {
            Some((left, RequestEnd::Left)) if at > left + LEFT_FOR + SLACK / 2 => {
                let late = (at - left) / 1000;
                self.found(
                    Rule::SentAfterClientLeft,
                    at,
                    id,
                    true,
                    format!("{late} ms after its client left"),
                );
            }
            Some((answered, end)) if *end != RequestEnd::Left && at > answered + SLACK => {
                self.found(Rule::SentAfterAnswer, at, id, true, format!("{end:?} at {answered}"));
            }
            _ => {}
        }
        if at > due + SLACK {
            self.found(Rule::SentAfterDeadline, at, id, true, format!("{} ms after", (at - due) / 1000));
        }
        let left = due.saturating_sub(at);
        if dispatch.limit_ms * 1000 > left + DEADLINE_SLACK + SLACK {
            let what = format!("told {} ms with {} ms left", dispatch.limit_ms, left / 1000);
            self.found(Rule::DeadlineTooLong, at, id, true, what);
        }
        let class = &self.schedule.classes[request.class];
        if self.knows(dispatch)
            && class.zone.is_some_and(|zone| zone != self.schedule.zone_of(dispatch.engine))
        {
            self.found(
                Rule::Placement,
                at,
                id,
                false,
                format!("class {} on {}", class.name, dispatch.engine),
            );
        }
        let until = drains.until(dispatch, micros(self.schedule.rules.drain_grace));
        if let Some(until) = until.filter(|until| at > until + SLACK) {
            let late = (at - until) / 1000;
            let what = format!("to draining engine {}, {late} ms past its grace", dispatch.engine);
            self.found(Rule::Drain, at, id, true, what);
        }
    }

    /// Whether the gateway had been told which engine listens where it sent this: before, it can't know that another one
    /// has taken the address.
    fn knows(&self, dispatch: &Dispatch) -> bool {
        let told = self.told.get(&(dispatch.from, dispatch.engine, dispatch.engine_run));
        told.is_some_and(|told| told + SLACK / 2 <= dispatch.at)
    }

    fn repeat(&mut self, request: &Request, before: &[&Dispatch], dispatch: &Dispatch) {
        let (id, at) = (Some(request.id.as_str()), dispatch.at);
        if let Some(out) = before.iter().find(|other| other.end.is_none_or(|(end, _)| end > at + SLACK / 2)) {
            let what = format!("on engine {} beside one on engine {}", dispatch.engine, out.engine);
            self.found(Rule::TwoOut, at, id, true, what);
        }
        let Some(ran) = before.iter().find(|other| !proves_unrun(other)) else { return };
        match self.schedule.classes[request.class].semantics {
            Semantics::Restartable => {}
            Semantics::RunOnce => {
                let what =
                    format!("engine {} ended it {:?}, then engine {}", ran.engine, ran.end, dispatch.engine);
                self.found(Rule::RunOnceAgain, at, id, false, what);
            }
            Semantics::Keyed => {
                if at > ran.at + micros(self.schedule.rules.dedup_window) + SLACK {
                    let late = (at - ran.at) / 1000;
                    self.found(Rule::KeyedOutsideWindow, at, id, true, format!("{late} ms after the first"));
                }
                let group = |engine: usize| match self.schedule.group {
                    Group::Zone => self.schedule.zone_of(engine),
                    Group::Cell => self.schedule.cell_of(engine),
                    Group::All => 0,
                };
                if group(ran.engine) != group(dispatch.engine) && self.knows(dispatch) {
                    let what = format!("engine {} after engine {}", dispatch.engine, ran.engine);
                    self.found(Rule::KeyedOutsideGroup, at, id, false, what);
                }
            }
        }
    }
}

/// When drains were in the bus, and when each gateway was told.
struct Drains {
    published: BTreeMap<(usize, u32), At>,
    told: BTreeMap<(GatewayRun, usize, u32), At>,
}

impl Drains {
    fn read(records: &Records) -> Drains {
        let mut drains = Drains { published: BTreeMap::new(), told: BTreeMap::new() };
        for (at, event) in &records.events {
            match event {
                Event::Drained { engine, run } => {
                    drains.published.entry((*engine, *run)).or_insert(*at);
                }
                // One that is listed as in service again no longer drains.
                Event::StartListed { engine, run } => drop(drains.published.remove(&(*engine, *run))),
                Event::Told { to, engine, run, drained: true } => {
                    drains.told.entry((*to, *engine, *run)).or_insert(*at);
                }
                _ => {}
            }
        }
        drains
    }

    /// Until when a gateway may send there, if it drains.
    fn until(&self, dispatch: &Dispatch, grace: At) -> Option<At> {
        let published = self.published.get(&(dispatch.engine, dispatch.engine_run))?;
        let told = self.told.get(&(dispatch.from, dispatch.engine, dispatch.engine_run));
        Some(told.copied().unwrap_or(At::MAX).min(published + TOLD_AFTER) + grace)
    }
}
