//! Walks the engines in the hashed order of a job's table group and collects those that the job may be sent to.

use super::REPLICATION_FACTOR;
use super::capacity::CapacityTest;
use super::order::{WalkStart, gateway_is_full, warming_engines_with_own_slot};
use crate::concurrency::LoadVisibility;
use crate::engine::Engine;
use crate::health::MIN_CHECK_INTERVAL;
use crate::interface::{EngineId, JobId};
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::rules;
use crate::settings::RetrySafety;
use crate::state::ControllerState;

/// Number of preferred engines with capacity at which the walk ends; selection compares two.
const PAIR_SIZE: usize = 2;
/// Maximum number of eligible engines that a new job's walk visits, in addition to the number of engines that serve its
/// table group. The walk is limited only in a large gateway fleet with load reports.
const MIN_WALK_DEPTH: f64 = 2.0;
/// Number of eligible engines by which that maximum grows while a job waits through its slack, the time that it can
/// wait and still meet its latency objective.
const WALK_DEPTH_OVER_SLACK: f64 = 6.0;
/// Number of jobs of other table groups that are assumed to have been seen when a group's share of the traffic is
/// estimated: with few jobs seen, the share is close to 0.
const PRIOR_JOBS_OF_OTHER_GROUPS: f64 = 20.0;

/// Preference among eligible engines, best first. The discriminant is the index in the lists of [`Candidates`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Tier {
    /// There is no reason to avoid it.
    Preferred = 0,
    /// A bulk load locks the job's tables there. For a bulk load, this is also the tier of the engine that readers of
    /// its tables visit first.
    Locked = 1,
    /// The job's last dispatch went there, the engine may be overloaded, or it may be faulty and the job must not run
    /// twice.
    LastResort = 2,
}

const TIER_COUNT: usize = 3;

/// The engines found by a walk.
#[derive(Default)]
pub struct Candidates {
    /// Engines that the job may be sent to, by tier.
    pub eligible: [Vec<EngineId>; TIER_COUNT],
    /// Eligible engines that have capacity, by tier.
    pub available: [Vec<EngineId>; TIER_COUNT],
    /// Available engines of the first tier in this gateway's location; empty if location makes no difference.
    pub local: Vec<EngineId>,
    /// Engines whose health check has to finish before the job is sent.
    pub to_check: Vec<EngineId>,
}

impl Candidates {
    /// Whether no engine has capacity.
    pub fn has_none_available(&self) -> bool {
        self.available.iter().all(Vec::is_empty)
    }

    /// Index of the first tier with an eligible engine, or with an available one if `only_available`.
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
    /// Maximum number of eligible engines that the walk visits.
    max_depth: usize,
    /// Engines need a recent load report, which comes with a health check, before they are considered.
    needs_checks: bool,
    /// The job may start health checks.
    may_start_checks: bool,
    /// Engines in this gateway's location are preferred: dispatches to other locations have a price, and the pool is
    /// not saturated.
    prefers_local: bool,
}

impl<'a> Walk<'a> {
    /// A walk for this job along its table group's order; `draw` is a random number in [0, 1).
    pub fn new(state: &'a ControllerState, id: JobId, order: &'a [EngineId], draw: f64) -> Walk<'a> {
        let job = &state.jobs[&id];
        let (class, visibility) = (state.class_of(job), state.visibility());
        let share = state.traffic.share_of_table_group(job.request.table_group, PRIOR_JOBS_OF_OTHER_GROUPS);
        let replicas = REPLICATION_FACTOR * order.len() as f64 * share;
        let test = CapacityTest::new(state, job, order.len());
        let settings = &state.settings;
        let reports_are_pulled = settings.permissions.health_checks && settings.reports.are_pulled;
        Walk {
            start: WalkStart::new(state, job, &test, replicas, draw),
            max_depth: max_depth(state, job, visibility, replicas),
            needs_checks: visibility.gateway_fleet_is_large || reports_are_pulled,
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

    /// Walks until enough engines are found.
    pub fn run(&self) -> Candidates {
        let mut found = Candidates::default();
        let warming = warming_engines_with_own_slot(self.state);
        let is_full = gateway_is_full(self.state, &self.test);
        let others = self.start.walk(self.order).filter(|id| !is_full && !warming.contains(id));
        for id in warming.iter().copied().chain(others) {
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

    /// Adds an eligible engine; returns whether enough engines are found.
    fn visit(&self, id: EngineId, found: &mut Candidates) -> bool {
        let engine = &self.state.pool.engines[&id];
        let tier = self.tier(id, engine);
        found.eligible[tier as usize].push(id);
        if self.must_check_first(engine, found) {
            found.to_check.push(id);
            return found.to_check.len() + found.available[Tier::Preferred as usize].len() >= PAIR_SIZE;
        }
        if !self.test.has_capacity(engine) {
            return false;
        }
        found.available[tier as usize].push(id);
        if tier != Tier::Preferred {
            return false;
        }
        if !self.prefers_local {
            return found.available[Tier::Preferred as usize].len() == PAIR_SIZE;
        }
        if Some(engine.endpoint.location) == self.state.settings.location {
            found.local.push(id);
        }
        found.local.len() == PAIR_SIZE
    }

    fn tier(&self, id: EngineId, engine: &Engine) -> Tier {
        let class = &self.class.settings;
        let is_risky = engine.ejection.half_open && class.retry_safety == RetrySafety::RunOnce;
        // Without load reports the slowdown of an engine decays slowly. Such an engine is not excluded, as its share of
        // the work limits what it gets, but it comes last.
        let is_slowed_down = || self.visibility.lacks_load_reports && self.test.is_slowed_down(engine);
        if self.job.last_engine == Some(id) || is_risky || is_slowed_down() {
            return Tier::LastResort;
        }
        let readers_try_first = class.locks_tables && self.order.first() == Some(&id);
        let is_locked = || {
            engine.has_locked_tables(self.job.request.table_group, self.state.now)
                && (class.waits_for_bulk_loads || class.locks_tables)
        };
        if readers_try_first || is_locked() { Tier::Locked } else { Tier::Preferred }
    }

    /// Whether an engine needs a recent load report before it is considered, and a health check that brings one is in
    /// flight or may be started.
    fn must_check_first(&self, engine: &Engine, found: &Candidates) -> bool {
        let now = self.state.now;
        let is_due = || {
            self.may_start_checks
                && now - engine.health_check.sent_at > MIN_CHECK_INTERVAL
                && self.state.health_checks.has_token_after(found.to_check.len())
        };
        self.needs_checks
            && now - engine.reported.reported_at > MIN_CHECK_INTERVAL
            && (engine.health_check.in_flight || is_due())
    }
}

/// Whether a job of this class may start health checks. In a large gateway fleet the budget may not cover both
/// engines of every job's pair: when it runs low, only classes of at least the mean priority weight may use it. Other
/// jobs do not wait for a load report, unless a check is already in flight.
fn may_start_checks(state: &ControllerState, class: &JobClass, visibility: LoadVisibility) -> bool {
    !visibility.gateway_fleet_is_large
        || state.health_checks.has_unreserved_tokens()
        || class.settings.priority_weight >= state.traffic.priority_weight.mean_or(0.0)
}

/// Maximum number of eligible engines that a job's walk visits. It is limited in a large gateway fleet with load
/// reports and grows while the job waits, so that the job first waits for the engines at the start of its order,
/// which have its tables in memory. Table groups with more traffic use more engines.
fn max_depth(state: &ControllerState, job: &PendingJob, visibility: LoadVisibility, replicas: f64) -> usize {
    if !visibility.gateway_fleet_is_large || visibility.lacks_load_reports {
        return usize::MAX;
    }
    let waited_ms = (state.now - job.submitted_at).as_millis_f64();
    let slack_ms = (job.objective_deadline - job.submitted_at).as_millis_f64() - job.run_ms;
    let waited = waited_ms / slack_ms.max(1.0);
    (MIN_WALK_DEPTH + replicas.floor() + WALK_DEPTH_OVER_SLACK * waited) as usize
}
