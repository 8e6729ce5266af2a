//! The program over sockets, with stand-ins for engines, the event bus and clients; and its parts that can be tested
//! without a program. One file for each concern, one test for each rule or fault.
//!
//! Many tests are about rare moments: a request, an answer or a signal that comes between two steps of the program. They
//! make the bad order happen every time: a stand-in holds a byte or a reply until told, and the program is suspended where
//! it has to find several things at once. Times are waited for only to bring the program to such a moment, never as proof.

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
mod requests;
mod resource_budgets;
mod results;
mod shutdown;
mod start_time_converter;
mod support;
