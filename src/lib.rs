//! pebblevane decides when and on which engine a job runs, and whether it runs at all.
//!
//! [`interface`] holds the plain types that go in and out, [`logic`] every decision.

pub mod interface;
pub mod logic;
mod state;
