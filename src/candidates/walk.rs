//! Walks the engines in order and gathers those that a job may choose from.

use super::REPLICATION_FACTOR;
use super::capacity::CapacityTest;
use super::order::{WalkStart, gateway_is_full, warming_engines_of_own_turn};
use crate::concurrency::LoadVisibility;
use crate::engine::Engine;
use crate::health::MAX_CHECK_AGE;
use crate::interface::{EngineId, JobId};
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::rules;
use crate::settings::RetrySafety;
use crate::state::ControllerState;

/// The walk ends with this many preferred engines.
const PAIR: usize = 2;
/// Engines of a table group that its jobs try at once in a large fleet.
const MIN_DEPTH: f64 = 2.0;
/// Engines further along the order that a job tries while it waits out its slack.
const DEPTH_OVER_SLACK: f64 = 6.0;
/// Jobs of other groups that are presumed in a table group's share of the traffic.
const PRIOR_JOBS_OF_OTHER_GROUPS: f64 = 20.0;

/// How willingly an engine is chosen; the number of a tier is its position in the lists of [`Candidates`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Tier {
    /// There is no reason against it.
    Preferred = 0,
    /// A bulk load locks the job's tables there, or it is one that the tables' readers try first.
    Locked = 1,
    /// The last one tried, or one in doubt.
    LastResort = 2,
}

const TIERS: usize = 3;

/// What a walk has found.
#[derive(Default)]
pub struct Candidates {
    /// Engines that may be sent to, by tier.
    pub eligible: [Vec<EngineId>; TIERS],
    /// Those that have capacity, by tier.
    pub available: [Vec<EngineId>; TIERS],
    /// Those of the first tier that are in this gateway's location, where that matters.
    pub local: Vec<EngineId>,
    /// Engines that are to be health-checked first.
    pub to_check: Vec<EngineId>,
}

impl Candidates {
    /// No engine has capacity.
    pub fn has_none_available(&self) -> bool {
        self.available.iter().all(Vec::is_empty)
    }

    /// The first tier with any engine; one with capacity where the gateway rests on its own figures.
    pub fn best_tier(&self, only_available: bool) -> usize {
        let found = if only_available { &self.available } else { &self.eligible };
        found.iter().position(|engines| !engines.is_empty()).unwrap_or(0)
    }

    fn eligible_count(&self) -> usize {
        self.eligible.iter().map(Vec::len).sum()
    }
}

/// A walk along the engines for one job.
pub struct Walk<'a> {
    state: &'a ControllerState,
    id: JobId,
    job: &'a PendingJob,
    class: &'a JobClass,
    order: &'a [EngineId],
    visibility: LoadVisibility,
    test: CapacityTest<'a>,
    start: WalkStart,
    /// The most eligible engines that the walk tries.
    max_depth: usize,
    /// Reports come with health checks, and the engines of the pair need fresh ones.
    needs_checks: bool,
    /// The job may cause health checks.
    may_start_checks: bool,
    /// Crossing locations has a price, and the pool is well enough to heed it.
    prefers_local: bool,
}

impl<'a> Walk<'a> {
    /// A walk for this job along its table group's order; `draw` is a number in [0, 1).
    pub fn new(state: &'a ControllerState, id: JobId, order: &'a [EngineId], draw: f64) -> Walk<'a> {
        let job = &state.jobs[&id];
        let (class, visibility) = (state.class_of(job), state.visibility());
        let share = state.traffic.share_of_table_group(job.request.table_group, PRIOR_JOBS_OF_OTHER_GROUPS);
        let replicas = REPLICATION_FACTOR * order.len() as f64 * share;
        let test = CapacityTest::new(state, job, order.len());
        let settings = &state.settings;
        let pulls = settings.permissions.health_checks && settings.reports.are_pulled;
        Walk {
            start: WalkStart::new(state, job, &test, replicas, draw),
            max_depth: max_depth(state, job, visibility, replicas),
            needs_checks: visibility.gateway_fleet_is_large || pulls,
            may_start_checks: may_start_checks(state, class, visibility),
            prefers_local: !state.concurrency.saturated && settings.location_crossing_price > 0.0,
            state,
            id,
            job,
            class,
            order,
            visibility,
            test,
        }
    }

    /// Walks until there are enough engines.
    pub fn run(&self) -> Candidates {
        let mut found = Candidates::default();
        let own_turn = warming_engines_of_own_turn(self.state);
        let is_full = gateway_is_full(self.state, &self.test);
        let others = self.start.walk(self.order).filter(|id| !is_full && !own_turn.contains(id));
        for id in own_turn.iter().copied().chain(others) {
            if !self.is_eligible(id) {
                continue;
            }
            if found.eligible_count() >= self.max_depth || self.visit(id, &mut found) {
                break;
            }
        }
        found
    }

    /// Whether the job may be sent to this engine now.
    fn is_eligible(&self, id: EngineId) -> bool {
        let engine = &self.state.pool.engines[&id];
        !engine.ejection.is_closed_to_dispatches(self.state.now)
            && engine.limit.overloaded_until <= self.state.now
            && rules::may_dispatch_to(self.state, self.id, id)
    }

    /// Adds an eligible engine; returns whether there are enough.
    fn visit(&self, id: EngineId, found: &mut Candidates) -> bool {
        let engine = &self.state.pool.engines[&id];
        let tier = self.tier(id, engine);
        found.eligible[tier as usize].push(id);
        if self.must_check_first(engine, found) {
            found.to_check.push(id);
            return found.to_check.len() + found.available[Tier::Preferred as usize].len() >= PAIR;
        }
        if !self.test.has_capacity(engine) {
            return false;
        }
        found.available[tier as usize].push(id);
        if tier != Tier::Preferred {
            return false;
        }
        if !self.prefers_local {
            return found.available[Tier::Preferred as usize].len() == PAIR;
        }
        if Some(engine.endpoint.location) == self.state.settings.location {
            found.local.push(id);
        }
        found.local.len() == PAIR
    }

    fn tier(&self, id: EngineId, engine: &Engine) -> Tier {
        let class = &self.class.settings;
        let in_doubt = engine.ejection.half_open && class.retry_safety == RetrySafety::RunOnce;
        // An overload is remembered for long: such engines come last, and their share of the work bounds what they get.
        let is_slowed_down = || self.visibility.lacks_load_reports && self.test.is_slowed_down(engine);
        if self.job.last_engine == Some(id) || in_doubt || is_slowed_down() {
            return Tier::LastResort;
        }
        let readers_try_first = class.locks_tables && self.order.first() == Some(&id);
        let is_locked = || {
            engine.has_locked_tables(self.job.request.table_group, self.state.now)
                && (class.waits_for_bulk_loads || class.locks_tables)
        };
        if readers_try_first || is_locked() { Tier::Locked } else { Tier::Preferred }
    }

    /// Whether an engine needs a fresh report before it is weighed, and one is on its way or may be asked for.
    fn must_check_first(&self, engine: &Engine, found: &Candidates) -> bool {
        let now = self.state.now;
        let is_due = || {
            self.may_start_checks
                && now - engine.health_check.sent_at > MAX_CHECK_AGE
                && self.state.health_checks.has_token_besides(found.to_check.len())
        };
        self.needs_checks
            && now - engine.reported.reported_at > MAX_CHECK_AGE
            && (engine.health_check.in_flight || is_due())
    }
}

/// Where not every pair can be checked, jobs of more value come first, and none waits for reports.
fn may_start_checks(state: &ControllerState, class: &JobClass, visibility: LoadVisibility) -> bool {
    !visibility.gateway_fleet_is_large
        || state.health_checks.has_tokens_for_all()
        || class.settings.priority_weight >= state.traffic.priority_weight.mean_or(0.0)
}

/// How far a job walks: in a large fleet it waits a little for the engines whose tables are in memory, and groups with
/// much traffic have as many engines as that asks for.
fn max_depth(state: &ControllerState, job: &PendingJob, visibility: LoadVisibility, replicas: f64) -> usize {
    if !visibility.gateway_fleet_is_large || visibility.lacks_load_reports {
        return usize::MAX;
    }
    let waited_ms = (state.now - job.submitted_at).as_millis_f64();
    let slack_ms = (job.objective_deadline - job.submitted_at).as_millis_f64() - job.run_ms;
    let waited = waited_ms / slack_ms.max(1.0);
    (MIN_DEPTH + replicas.floor() + DEPTH_OVER_SLACK * waited) as usize
}
