//! pebblevane decides when and on which engine a job runs, and whether it runs at all.
//!
//! [`interface`] holds the plain types that go in and out, [`controller`] routes events to the concerns that decide.
//! The modules depend on each other in one direction: estimators and settings; jobs, classes and engines; one
//! module a concern; the state that holds them together; the modules that carry a job through its life; the controller.

pub mod controller;
pub mod interface;
pub mod settings;
pub mod time;

// Arithmetic.
mod estimators;

// What is known: of jobs, of engines, of the stream of jobs.
mod engine;
mod job;
mod job_class;
mod memory_factor;
mod pool;
mod timers;
mod traffic;
mod utilization;
mod waiting;

// What is decided, each with its own state.
mod concurrency;
mod health;
mod key_order;
mod memory_grant;
mod outlier;
mod placement;
mod retry;
mod selection;
mod slow_start;

// All state together.
mod state;

// How a job is carried through its life.
mod admission;
mod candidates;
mod completion;
mod dispatch;
mod draining;
mod endpoints;
mod feedback;
mod maintenance;
mod rules;
mod slowdown;
mod stuck_jobs;
