//! Tests of the admission controller's decisions, without a network. Each file covers one concern.
//!
//! Rules are numbered as in `src/rules.rs`. The module [`harness`] describes the traces that tests compare.

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
mod placement_constraints;
mod retry_budget;
mod shutdown;
mod slow_start;
mod state_eviction;
