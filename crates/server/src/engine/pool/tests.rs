//! Tests of a pool with orders of events that can't be forced from outside the program.

use super::in_flight::{InFlightRequest, RequestKind};
use super::{ConnectionPool, PoolContext};
use crate::config::engine_connection_settings::EngineConnectionSettings;
use crate::config::retry_safety::RetrySafety;
use crate::engine::connection::EngineConnection;
use crate::engine::connection_input::ConnectionInput;
use crate::engine::dialer::Dialer;
use crate::engine::endpoint_updates::AddedEndpoint;
use crate::engine::ids::{EngineConnectionId, EngineRequestId, PoolId};
use crate::engine::request::EngineRequest;
use crate::engine::send_gate::SendGate;
use crate::engine::socket_poller::SocketPoller;
use crate::lifecycle::clock;
use crate::limits::ResourceBudget;
use crate::session::cancellation::CancellationToken;
use crate::session::dispatch_ledger::DispatchLedger;
use crossbeam_channel::bounded;
use pebblevane::time::TimeDelta;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

/// The dial timeout, and the idle timeout of connections.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection of which the sending side is shut down, so that writes to it fail.
const BROKEN: EngineConnectionId = EngineConnectionId(1);
const USABLE: EngineConnectionId = EngineConnectionId(2);

/// The context of a pool that cannot start threads to connect with, so that it has to use its existing connections.
fn context_without_threads() -> PoolContext {
    let (messages, _) = bounded(64);
    let settings = EngineConnectionSettings {
        streams_per_connection: 32,
        dial_timeout: DIAL_TIMEOUT,
        idle_timeout: DIAL_TIMEOUT,
        progress_interval: None,
        max_connections: 8,
        request_load_reports: false,
    };
    let refuse = |_: &str, _: usize, _: Box<dyn FnOnce() + Send>| Err(std::io::ErrorKind::WouldBlock.into());
    PoolContext {
        settings,
        descriptors: ResourceBudget::new(8),
        poller: SocketPoller::start().unwrap(),
        now: clock::now,
        dialer: Dialer { spawn_thread: refuse, timeout: DIAL_TIMEOUT, messages: messages.clone() },
        messages,
    }
}

/// A dispatch that has waited as long as it may for a connection of its own.
fn late_dispatch(id: EngineRequestId) -> InFlightRequest {
    let wire_id: Box<str> = format!("{:016x}", id.0).into();
    let deadline = clock::now() + TimeDelta::from_millis(60_000);
    let request = EngineRequest {
        id: wire_id.clone(),
        class: "load".into(),
        deadline,
        begin_by: deadline,
        liveness: Arc::new(CancellationToken::default()),
        ledger: Arc::new(DispatchLedger::new(&wire_id, RetrySafety::RunOnce, deadline)),
        priority: None,
        statement: b"select 1".as_slice().into(),
    };
    let (events, _) = bounded(1);
    let kind = RequestKind::Dispatch { request, gate: Arc::new(SendGate::default()), events };
    let mut waiting = InFlightRequest::waiting(wire_id, kind, DIAL_TIMEOUT);
    waiting.due = Instant::now();
    waiting
}

/// A pool with the connections [`BROKEN`] and [`USABLE`], and one request in flight on each. Also returns the engine's
/// ends of the connections, which are closed when dropped.
fn pool_with_two_connections(context: &PoolContext) -> (ConnectionPool, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepts_dispatches = Arc::new(AtomicBool::new(true));
    let endpoint = AddedEndpoint { name: "e0".to_string(), address, accepts_dispatches };
    let mut pool = ConnectionPool::new(PoolId(0), endpoint);
    let mut engine_ends = Vec::new();
    for id in [BROKEN, USABLE] {
        let stream = Arc::new(TcpStream::connect(address).unwrap());
        stream.set_nonblocking(true).unwrap();
        if id == BROKEN {
            stream.shutdown(Shutdown::Write).unwrap();
        }
        engine_ends.push(listener.accept().unwrap().0);
        let input = Arc::new(ConnectionInput::new(stream.clone()));
        let permit = context.descriptors.acquire(1).unwrap();
        let mut connection = EngineConnection::new(stream, input, clock::now(), permit);
        connection.begin_request(format!("busy{}", id.0).into(), EngineRequestId(id.0));
        pool.connections.insert(id, connection);
    }
    // Of connections with equally many requests, the pool chooses the one that received a message last.
    pool.connections.get_mut(&BROKEN).unwrap().last_received = Instant::now() + DIAL_TIMEOUT;
    (pool, engine_ends)
}

/// Several dispatches have waited as long as they may. When the first one is written, its connection turns out to be
/// broken, and all of them are then sent on the other connection. If the pool went on to handle the rest as still
/// waiting, it would fail dispatches that were just sent.
#[test]
fn a_late_dispatch_that_was_just_sent_is_not_failed() {
    let context = context_without_threads();
    let (mut pool, _engine_ends) = pool_with_two_connections(&context);
    let late: Vec<EngineRequestId> = (10..14).map(EngineRequestId).collect();
    for id in &late {
        pool.in_flight.insert(*id, late_dispatch(*id));
        pool.waiting.push_back(*id);
    }

    pool.handle_timeouts(Instant::now(), &context);

    let sent_on = |id: &EngineRequestId| pool.in_flight.get(id).and_then(|request| request.connection);
    assert_eq!(late.iter().map(sent_on).collect::<Vec<_>>(), [Some(USABLE); 4]);
}
