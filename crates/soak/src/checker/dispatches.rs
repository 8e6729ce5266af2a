//! Checks each dispatch by itself and against the earlier dispatches of its request: rules 1, 2, 3 and 6.

use super::{Checker, Notifications, Rule, TOLERANCE_US, micros, proves_not_run};
use crate::history::{Dispatch, Event, Micros, Records, Request, RequestEnd};
use crate::schedule::{DeduplicationScope, RetrySafety};
use std::collections::BTreeMap;

/// A dispatch may still be sent this long after its client has abandoned the request.
const ABANDONED_GRACE_US: Micros = 100_000;
/// A dispatch's time limit may exceed the time left until the client's timeout by this much.
const TIME_LIMIT_TOLERANCE_US: Micros = 150_000;
/// This long after a drain was published, a gateway is expected to know of it even if the bus has not notified it.
const DRAIN_NOTIFICATION_TIMEOUT_US: Micros = 7_000_000;

impl Checker<'_> {
    pub(super) fn check_dispatches(&mut self) {
        let records = self.records;
        let mut dispatches_by_id: BTreeMap<&str, Vec<&Dispatch>> = BTreeMap::new();
        for dispatch in &records.dispatches {
            dispatches_by_id.entry(&dispatch.id).or_default().push(dispatch);
        }
        let drains = Drains::read(records);
        for (id, mut dispatches) in dispatches_by_id {
            dispatches.sort_by_key(|dispatch| dispatch.received_at);
            let Some(request) = self.requests_by_id.get(id).copied() else {
                self.report(
                    Rule::UnknownRequest,
                    dispatches[0].received_at,
                    Some(id),
                    false,
                    "no client sent this request".to_string(),
                );
                continue;
            };
            for (position, dispatch) in dispatches.iter().enumerate() {
                self.check_dispatch(request, dispatch, &drains);
                self.check_retry(request, &dispatches[..position], dispatch);
            }
        }
    }

    fn check_dispatch(&mut self, request: &Request, dispatch: &Dispatch, drains: &Drains) {
        let (id, at) = (Some(request.id.as_str()), dispatch.received_at);
        let deadline = request.sent_at + request.timeout_ms * 1000;
        match &request.end {
            Some((abandoned, RequestEnd::Abandoned))
                if at > abandoned + ABANDONED_GRACE_US + TOLERANCE_US / 2 =>
            {
                let late_ms = (at - abandoned) / 1000;
                self.report(
                    Rule::SentAfterClientLeft,
                    at,
                    id,
                    true,
                    format!("{late_ms} ms after its client abandoned it"),
                );
            }
            Some((answered, end)) if *end != RequestEnd::Abandoned && at > answered + TOLERANCE_US => {
                self.report(Rule::SentAfterAnswer, at, id, true, format!("{end:?} at {answered}"));
            }
            _ => {}
        }
        if at > deadline + TOLERANCE_US {
            let late_ms = (at - deadline) / 1000;
            self.report(Rule::SentAfterDeadline, at, id, true, format!("{late_ms} ms after"));
        }
        let time_left = deadline.saturating_sub(at);
        if dispatch.limit_ms * 1000 > time_left + TIME_LIMIT_TOLERANCE_US + TOLERANCE_US {
            let description =
                format!("time limit {} ms with {} ms left", dispatch.limit_ms, time_left / 1000);
            self.report(Rule::DeadlineTooLong, at, id, true, description);
        }
        let class = &self.schedule.classes[request.class];
        if self.knows_engine(dispatch)
            && class.zone.is_some_and(|zone| zone != self.schedule.zone_of(dispatch.engine))
        {
            self.report(
                Rule::Placement,
                at,
                id,
                false,
                format!("class {} on engine {}", class.name, dispatch.engine),
            );
        }
        let grace_end = drains.grace_end(dispatch, micros(self.schedule.rules.drain_grace));
        if let Some(grace_end) = grace_end.filter(|grace_end| at > grace_end + TOLERANCE_US) {
            let late_ms = (at - grace_end) / 1000;
            let description = format!("to draining engine {}, {late_ms} ms past its grace", dispatch.engine);
            self.report(Rule::Drain, at, id, true, description);
        }
    }

    /// Whether the gateway had been notified which engine listens at the address of this dispatch. Before that, it
    /// can't know that another engine has taken over the address.
    fn knows_engine(&self, dispatch: &Dispatch) -> bool {
        let engine_run = (dispatch.from, dispatch.engine, dispatch.engine_run);
        let notified = self.in_service_notifications.get(&engine_run);
        notified.is_some_and(|notified| notified + TOLERANCE_US / 2 <= dispatch.received_at)
    }

    /// Checks a dispatch against the earlier dispatches of its request.
    fn check_retry(&mut self, request: &Request, earlier: &[&Dispatch], dispatch: &Dispatch) {
        let (id, at) = (Some(request.id.as_str()), dispatch.received_at);
        let is_in_flight = |other: &&&Dispatch| other.end.is_none_or(|(end, _)| end > at + TOLERANCE_US / 2);
        if let Some(in_flight) = earlier.iter().find(is_in_flight) {
            let description =
                format!("on engine {} while in flight on engine {}", dispatch.engine, in_flight.engine);
            self.report(Rule::TwoOut, at, id, true, description);
        }
        let Some(first) = earlier.iter().find(|other| !proves_not_run(other)) else { return };
        match self.schedule.classes[request.class].retry_safety {
            RetrySafety::Restartable => {}
            RetrySafety::RunOnce => {
                let description = format!(
                    "sent to engine {}, ended {:?}, then sent to engine {}",
                    first.engine, first.end, dispatch.engine
                );
                self.report(Rule::RunOnceAgain, at, id, false, description);
            }
            RetrySafety::IdempotencyKey => {
                if at > first.received_at + micros(self.schedule.rules.deduplication_window) + TOLERANCE_US {
                    let late_ms = (at - first.received_at) / 1000;
                    let description = format!("{late_ms} ms after the first");
                    self.report(Rule::KeyedOutsideWindow, at, id, true, description);
                }
                let group_of = |engine: usize| match self.schedule.deduplication_scope {
                    DeduplicationScope::Zone => self.schedule.zone_of(engine),
                    DeduplicationScope::Cell => self.schedule.cell_of(engine),
                    DeduplicationScope::All => 0,
                };
                if group_of(first.engine) != group_of(dispatch.engine) && self.knows_engine(dispatch) {
                    let description = format!("engine {} after engine {}", dispatch.engine, first.engine);
                    self.report(Rule::KeyedOutsideGroup, at, id, false, description);
                }
            }
        }
    }
}

/// When engines began to drain.
struct Drains {
    /// When the drain of an engine's run was published on the event bus.
    published: BTreeMap<(usize, u32), Micros>,
    notified: Notifications,
}

impl Drains {
    fn read(records: &Records) -> Drains {
        let mut drains = Drains { published: BTreeMap::new(), notified: BTreeMap::new() };
        for (at, event) in &records.events {
            match event {
                Event::Drained { engine, run } => {
                    drains.published.entry((*engine, *run)).or_insert(*at);
                }
                // An engine that is listed as in service again no longer drains.
                Event::ListedInService { engine, run } => drop(drains.published.remove(&(*engine, *run))),
                Event::Notified { to, engine, run, drained: true } => {
                    drains.notified.entry((*to, *engine, *run)).or_insert(*at);
                }
                _ => {}
            }
        }
        drains
    }

    /// Until when the gateway may send to the dispatch's engine; `None` if the engine doesn't drain.
    fn grace_end(&self, dispatch: &Dispatch, grace: Micros) -> Option<Micros> {
        let published = self.published.get(&(dispatch.engine, dispatch.engine_run))?;
        let notified = self.notified.get(&(dispatch.from, dispatch.engine, dispatch.engine_run));
        Some(notified.copied().unwrap_or(Micros::MAX).min(published + DRAIN_NOTIFICATION_TIMEOUT_US) + grace)
    }
}
