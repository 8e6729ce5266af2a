//! What is kept in memory: byte and descriptor budgets, client connections and their open jobs, engines and
//! their connections. Each has one owner and one place that gives it back.

pub mod budget;
pub mod clients;
pub mod counts;
pub mod dispatch_ledger;
pub mod engine_connection;
pub mod engines;
pub mod invariants;
pub mod owner;
pub mod owners;
pub mod readers;
pub mod responder;
