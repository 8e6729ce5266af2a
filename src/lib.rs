//! pebblevane decides when and on which engine a job runs, and whether it runs at all.
//!
//! [`interface`] holds the plain types that go in and out, [`controller`] every decision.

pub mod controller;
mod estimators;
pub mod interface;
pub mod settings;
mod state;
pub mod time;
mod timers;
