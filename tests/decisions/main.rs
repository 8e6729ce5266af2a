//! The decisions of the admission controller, without a network: one file for each concern, one test for each rule.
//! The traces that tests compare are described in [`harness`].

mod admission;
mod builder;
mod bulk_loads;
mod cancellation;
mod concurrency_limit;
mod endpoint_list;
mod engine_selection;
mod final_answer;
mod harness;
mod health_checks;
mod idempotency;
mod jobs;
mod key_order;
mod memory_grants;
mod outlier_ejection;
mod placement;
mod retry_budget;
mod shutdown;
mod slow_start;
mod state_eviction;
