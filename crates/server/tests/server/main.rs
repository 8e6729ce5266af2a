//! Tests of the program over its sockets, with stand-ins for engines, the event bus and clients, and tests of those of
//! its parts that need no running program. Each file covers one area, and each test one rule or fault.
//!
//! Many tests are about races: a request, an answer or a signal arrives between two steps of the program. They force
//! the harmful order in each run: a stand-in delays a byte or an answer until the test sends it, or the program is
//! suspended so that it then finds several events at once. Tests sleep only to bring the program into such a state, not
//! to prove anything by the time that has passed.

mod arrival_time;
mod cancellation;
mod client_codec;
mod client_connections;
mod configuration_reload;
mod connection_pool;
mod deadlines;
mod decoding;
mod dispatch_outcomes;
mod engine_codec;
mod engine_connections;
mod event_bus;
mod limits;
mod memory_exhaustion;
mod repeated_ids;
mod requests;
mod resource_budgets;
mod results;
mod reused_addresses;
mod shutdown;
mod slow_event_bus;
mod start_time_converter;
mod support;
