//! pebblevane decides whether a job runs, when, and on which engine.
//!
//! [`interface`] contains the plain data types that callers use, and [`controller`] passes each event to the modules
//! that decide on it. The modules have no cyclic dependencies. Roughly from the bottom up, they are: estimators and
//! settings; the state of jobs, job classes and engines; one module for each kind of decision; the whole state; the
//! handling of jobs and events; the controller.

pub mod controller;
pub mod interface;
pub mod settings;
pub mod time;

// Arithmetic behind the decisions.
mod estimators;

// State of jobs, job classes and engines, and statistics of the arriving jobs.
mod engine;
mod job;
mod job_class;
mod memory_factor;
mod pool;
mod timers;
mod traffic;
mod utilization;
mod waiting;

// One module for each kind of decision, with the state that it needs.
mod concurrency;
mod health;
mod key_order;
mod memory_grant;
mod outlier;
mod placement_constraints;
mod retry;
mod selection;
mod slow_start;

// The whole state.
mod state;

// Handling of jobs and events, acting on the whole state.
mod admission;
mod candidates;
mod completion;
mod dispatch;
mod endpoints;
mod feedback;
mod maintenance;
mod rules;
mod shutdown;
mod slowdown;
mod stuck_jobs;
