//! The program under test, and stand-ins for the engines, the event bus and the clients. Apart from answers to health
//! checks and heartbeats, stand-ins send only what a test makes them send. Tests wait until they observe an effect,
//! rather than for a fixed time.

pub mod client;
pub mod config;
pub mod engines;
pub mod event_bus;
pub mod program;
pub mod unread_answers;

use client::Client;
use engines::EngineStandIns;
use event_bus::EventBusStandIn;
use program::Program;
use std::time::Duration;

/// The maximum wait for an expected line, answer or connection; far longer than any of them takes.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The program with one engine, the event bus and one client.
pub struct SingleEngine {
    pub engines: EngineStandIns,
    pub bus: EventBusStandIn,
    pub program: Program,
    pub client: Client,
}

impl SingleEngine {
    pub fn start() -> SingleEngine {
        let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
        let program = Program::start(&engines, &bus);
        let client = program.connect();
        SingleEngine { engines, bus, program, client }
    }
}
