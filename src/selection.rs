//! Selects one engine of a pair for a job, by the fusion of speed score (with its Thompson residual) and balance score
//! (AQD, section 4 and Algorithm 1).

use crate::engine::Engine;
use crate::estimators::{DeviationCovariance, LinearPosterior, Pcg32, sigmoid, update_ewma};
use crate::interface::EngineId;
use crate::job::{PairChoice, PendingJob};
use crate::job_class::JobClass;
use crate::pool::EnginePool;
use crate::time::{TimeDelta, Timestamp};
use crate::traffic::{Traffic, WORK_TIME_CONSTANT};
use crate::utilization::MAX_REPORT_AGE;

/// α, the fraction by which a new latency moves a latency average.
const LATENCY_STEP: f64 = 0.03;
/// λ, the ridge of the residual's posterior.
const POSTERIOR_RIDGE: f64 = 0.5;
/// σ, the scale of the residual's standard deviation.
const POSTERIOR_SPREAD: f64 = 0.1;
/// K, the number of recent deviations from which the covariance is estimated.
const MAX_DEVIATIONS: usize = 128;
/// Added to the covariance's diagonal to keep it regular when deviations hardly vary.
const COVARIANCE_RIDGE: f64 = 1e-3;
/// S, the minimum interval between steps of the target share.
const TARGET_INTERVAL: TimeDelta = TimeDelta::from_millis(2_000);
/// c, the size of the target share's first step for a deviation of 1.
const TARGET_STEP: f64 = 0.05;
/// b, subtracted from the relative arrival rate λ/λ0 in the fusion weight ω.
const RATE_SHIFT: f64 = 1.0;
/// Lower bound of the fusion weight ω.
const MIN_SPEED_WEIGHT: f64 = 0.4;
/// Difference between the upper and the lower bound of ω.
const SPEED_WEIGHT_RANGE: f64 = 0.3;
/// Divisor that scales the logarithmic features to about 1.
const FEATURE_SCALE: f64 = 10.0;

/// Learned state of the selection within a pair.
pub struct Selection {
    posterior: LinearPosterior,
    deviations: DeviationCovariance,
    /// γ, the first engine's target shares of the processor and memory use of both.
    target: [f64; 2],
    /// t, the number of steps of the target since it was last restarted.
    target_steps: f64,
    target_stepped_at: Timestamp,
}

/// The state that a selection within a pair uses.
pub struct SelectionContext<'a> {
    /// Time of the event that is being handled.
    pub now: Timestamp,
    /// Number of gateways that share the pool.
    pub gateway_count: f64,
    /// The job classes, for their mean latencies.
    pub classes: &'a [JobClass],
    /// The pool, for the load and the latencies of both engines.
    pub pool: &'a mut EnginePool,
    /// Recent arrivals, for the fusion weight.
    pub traffic: &'a mut Traffic,
    /// Random number generator for the Thompson residual.
    pub random: &'a mut Pcg32,
}

impl Selection {
    /// The initial state, before any result.
    pub fn new(now: Timestamp) -> Selection {
        Selection {
            posterior: LinearPosterior::new(POSTERIOR_RIDGE),
            deviations: DeviationCovariance::default(),
            target: [0.5; 2],
            target_steps: 0.0,
            target_stepped_at: now,
        }
    }

    /// Selects an engine by the fusion of the scores: the second one if ω·z + (1−ω)·r > 0.
    pub fn choose(
        &mut self,
        pair: [EngineId; 2],
        job: &PendingJob,
        context: &mut SelectionContext,
    ) -> (EngineId, PairChoice) {
        let features = features(job);
        let class = job.request.class;
        let [first, second] =
            pair.map(|engine| expected_latency_ms(context.pool, context.classes, engine, class));
        let margin = (1.0 + first).ln() - (1.0 + second).ln();
        let theta = self.posterior.draw(POSTERIOR_SPREAD, context.random);
        let residual: f64 = (0..features.len()).map(|i| features[i] * theta[i]).sum();
        let speed_score = (margin + residual).tanh();
        let balance_score = self.balance_score(pair, context);
        let speed_weight = speed_weight(context);
        let second_wins = speed_weight * speed_score + (1.0 - speed_weight) * balance_score > 0.0;
        (pair[usize::from(second_wins)], PairChoice { pair, features, margin })
    }

    /// r = tanh(±d): d is the Mahalanobis length of the first engine's deviation from its target shares; its sign is
    /// that of the processor's deviation.
    fn balance_score(&mut self, pair: [EngineId; 2], context: &mut SelectionContext) -> f64 {
        for id in pair {
            if let Some(engine) = context.pool.engines.get_mut(&id) {
                engine.recent_work.decay_to(context.now, WORK_TIME_CONSTANT);
            }
        }
        let engines = pair.map(|id| &context.pool.engines[&id]);
        let processor = processor_share(engines, context.now, context.pool.gateway_fleet_is_large());
        let memory = share_of_first(
            engines,
            context.now,
            |engine| engine.reported.memory,
            |engine| engine.in_flight.memory_mb / engine.memory_mb.max(1.0),
        );
        let deviation = [processor - self.target[0], memory - self.target[1]];
        self.deviations.push(deviation, MAX_DEVIATIONS);
        let length = self.deviations.squared_length(deviation, COVARIANCE_RIDGE).max(0.0).sqrt();
        (deviation[0].signum() * length).tanh()
    }

    /// Updates the residual's posterior after a completed dispatch. `latency_ms` is the measured latency of the
    /// selected engine and the mean latency of the other one.
    pub fn learn(&mut self, choice: &PairChoice, latency_ms: [f64; 2]) {
        let [first, second] = latency_ms;
        let gap = (1.0 + first).ln() - (1.0 + second).ln();
        self.posterior.learn(choice.features, gap - choice.margin);
    }

    /// Moves γ by c/√t times the mean deviation, against it, at most once per [`TARGET_INTERVAL`].
    pub fn step_target(&mut self, now: Timestamp) {
        if now - self.target_stepped_at < TARGET_INTERVAL {
            return;
        }
        self.target_stepped_at = now;
        self.target_steps += 1.0;
        for (target, deviation) in self.target.iter_mut().zip(self.deviations.mean()) {
            *target = (*target - TARGET_STEP / self.target_steps.sqrt() * deviation).clamp(0.0, 1.0);
        }
    }

    /// Restarts the step size of the target after the pool has changed.
    pub fn restart_target_steps(&mut self) {
        self.target_steps = 0.0;
    }
}

/// The job's features x: a constant, work and memory. Logarithms keep single very large jobs from dominating θ.
fn features(job: &PendingJob) -> [f64; 3] {
    [1.0, (1.0 + job.work_ms).ln() / FEATURE_SCALE, (1.0 + job.memory_mb).ln() / FEATURE_SCALE]
}

/// ω, the weight of the speed score. It grows with the ratio of the arrival rate to λ0, the rate at which this
/// gateway's mean jobs would keep the cores of its equal share of the pool busy.
fn speed_weight(context: &mut SelectionContext) -> f64 {
    let rate = context.traffic.update_arrival_rate(context.now);
    let work_ms = context.traffic.arrivals.mean_or(1.0).max(1.0);
    let full_rate = context.pool.running_cores * 1000.0 / work_ms / context.gateway_count;
    MIN_SPEED_WEIGHT + SPEED_WEIGHT_RANGE * sigmoid(rate / full_rate.max(1e-3) - RATE_SHIFT)
}

fn processor_share(engines: [&Engine; 2], now: Timestamp, gateway_fleet_is_large: bool) -> f64 {
    let reported = |engine: &Engine| engine.reported.processor;
    if gateway_fleet_is_large {
        // In a large gateway fleet each gateway has few jobs in flight: recently dispatched work is a better estimate.
        share_of_first(engines, now, reported, |engine| engine.recent_work.sum() / engine.cores)
    } else {
        share_of_first(engines, now, reported, |engine| engine.in_flight.threads / engine.cores)
    }
}

/// The first engine's share of the use of both engines: as reported if both reports are recent, otherwise that of this
/// gateway alone.
fn share_of_first(
    engines: [&Engine; 2],
    now: Timestamp,
    reported: impl Fn(&Engine) -> Option<f64>,
    own: impl Fn(&Engine) -> f64,
) -> f64 {
    let is_fresh = |engine: &Engine| now - engine.reported.reported_at < MAX_REPORT_AGE;
    let [first, second] = match engines.map(|engine| reported(engine).filter(|_| is_fresh(engine))) {
        [Some(first), Some(second)] => [first, second],
        _ => engines.map(own),
    };
    let both = first + second;
    if both > 1e-9 { first / both } else { 0.5 }
}

/// Expected latency (ms) of a dispatch of this class on an engine: the engine's mean, or else that of the class.
pub fn expected_latency_ms(pool: &EnginePool, classes: &[JobClass], engine: EngineId, class: usize) -> f64 {
    let own = pool.engines.get(&engine).and_then(|engine| engine.class_latency_ms[class]);
    own.or(classes[class].latency_ms).unwrap_or(0.0)
}

/// Adds the latency of a completed dispatch to the averages of the class and the engine.
pub fn observe_latency(engine: &mut Engine, class: &mut JobClass, class_index: usize, elapsed_ms: f64) {
    let initial = *class.latency_ms.get_or_insert(elapsed_ms);
    update_ewma(&mut class.latency_ms, initial, LATENCY_STEP, elapsed_ms);
    update_ewma(&mut engine.class_latency_ms[class_index], initial, LATENCY_STEP, elapsed_ms);
}
