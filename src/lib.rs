//! pebblevane decides when and on which engine a job runs, and whether it runs at all.
//!
//! [`interface`] holds the plain types that go in and out, [`controller`] routes events to the concerns that decide.
//! The modules depend on each other in one direction: estimators and settings; jobs, classes and engines; one
//! module a concern; the state that holds them together; the modules that carry a job through its life; the controller.

#![warn(missing_docs)]

pub mod controller;
pub mod interface;
pub mod settings;
pub mod time;

mod admission;
mod candidates;
mod completion;
mod concurrency;
mod dispatch;
mod draining;
mod endpoints;
mod engine;
mod estimators;
mod feedback;
mod health;
mod job;
mod job_class;
mod key_order;
mod maintenance;
mod memory_factor;
mod memory_grant;
mod outlier;
mod placement;
mod pool;
mod retry;
mod rules;
mod selection;
mod slow_start;
mod state;
mod stuck_jobs;
mod timers;
mod traffic;
mod utilization;
mod waiting;
