//! The arithmetic behind the decisions: averages, windows, a posterior and a random number generator.
//!
//! Section numbers in this module refer to Wu et al., "AQD: Online Adaptive Query Dispatcher for HTAP Databases",
//! PVLDB 19(7).

mod decaying_average;
mod deviation_covariance;
mod ewma;
mod linear_posterior;
mod mean_successive_difference;
mod pcg32;
mod sliding_window;

pub use decaying_average::DecayingAverage;
pub use deviation_covariance::DeviationCovariance;
pub use ewma::{sigmoid, update_ewma};
pub use linear_posterior::LinearPosterior;
pub use mean_successive_difference::MeanSuccessiveDifference;
pub use pcg32::{Pcg32, mix64};
pub use sliding_window::SlidingWindow;
