//! Stand-ins for what the program talks to (engines, the event bus and clients) and the program under test. Stand-ins do
//! only what a test tells them to, and tests wait for what they see, never for a time to pass.

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

/// Longer than anything takes that comes at all.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// One engine, the event bus, the program and a client of it.
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
