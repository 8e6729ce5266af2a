//! A stand-in for the event bus, and the events that it sends, which contain endpoints.

use super::RECEIVE_TIMEOUT;
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Lifecycle states of an endpoint as the event bus names them: in service, draining, and gone.
pub const IN_SERVICE: &str = "in_service";
pub const TERMINATING: &str = "terminating";
pub const TERMINATED: &str = "terminated";

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// A connection of the program, and the line with which it subscribed.
struct Subscription {
    line: String,
    stream: TcpStream,
}

/// The event bus. It sends heartbeats on each connection until the connection is closed.
pub struct EventBusStandIn {
    pub address: String,
    last_offset: Arc<AtomicU64>,
    subscriptions: Receiver<Subscription>,
    connection: Option<TcpStream>,
}

impl EventBusStandIn {
    pub fn start() -> EventBusStandIn {
        EventBusStandIn::listen("127.0.0.1:0", 1)
    }
    /// Listens at this address. Heartbeats contain this offset as the last one, until
    /// [`EventBusStandIn::send_snapshot`] or [`EventBusStandIn::send_update`] sends an event with a higher one.
    pub fn listen(address: &str, last_offset: u64) -> EventBusStandIn {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let last_offset = Arc::new(AtomicU64::new(last_offset));
        let (sender, subscriptions) = channel();
        let heartbeat_offset = last_offset.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(&stream).read_line(&mut line);
                let (mut heartbeats, offset) = (stream.try_clone().unwrap(), heartbeat_offset.clone());
                // Sent before the test can send an event: it shows the program that its list is complete.
                if send_heartbeat(&mut heartbeats, &offset) {
                    std::thread::spawn(move || send_heartbeats(heartbeats, &offset));
                }
                let _ = sender.send(Subscription { line: line.trim_end().to_string(), stream });
            }
        });
        EventBusStandIn { address, last_offset, subscriptions, connection: None }
    }
    /// Waits until the program connects, and returns the line with which it subscribes.
    pub fn next_subscription(&mut self) -> String {
        let subscription = self
            .subscriptions
            .recv_timeout(RECEIVE_TIMEOUT)
            .expect("the program did not connect to the event bus");
        self.connection = Some(subscription.stream);
        subscription.line
    }
    /// Sends a line. If the program is not connected, waits until it connects.
    pub fn send_line(&mut self, line: &str) {
        if self.connection.is_none() {
            self.next_subscription();
        }
        self.send_raw(format!("{line}\n").as_bytes());
    }
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.connection.as_ref().unwrap().write_all(bytes).unwrap();
    }
    /// Sends an event with the complete endpoint list.
    pub fn send_snapshot(&mut self, offset: u64, endpoints: &[Json]) {
        self.send_event(offset, &snapshot_event(offset, endpoints));
    }
    /// Sends an event with the endpoints that have changed.
    pub fn send_update(&mut self, offset: u64, endpoints: &[Json]) {
        self.send_event(offset, &update_event(offset, endpoints));
    }
    fn send_event(&mut self, offset: u64, event: &Json) {
        self.send_line(&event.to_string());
        self.last_offset.fetch_max(offset, SeqCst);
    }
    /// Closes the connection to the program.
    pub fn disconnect(&mut self) {
        let _ = self.connection.take().expect("the event bus has a connection").shutdown(Shutdown::Both);
    }
}

/// Sends heartbeats at regular intervals, the first one after a pause, until the connection ends.
fn send_heartbeats(mut stream: TcpStream, offset: &AtomicU64) {
    loop {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        if !send_heartbeat(&mut stream, offset) {
            return;
        }
    }
}

/// Sends one heartbeat, and returns whether it could be written to the connection.
fn send_heartbeat(stream: &mut TcpStream, offset: &AtomicU64) -> bool {
    stream.write_all(format!("{{\"offset\":{}}}\n", offset.load(SeqCst)).as_bytes()).is_ok()
}

/// An event with the complete endpoint list.
pub fn snapshot_event(offset: u64, endpoints: &[Json]) -> Json {
    event(offset, true, endpoints)
}

/// An event with endpoints that have changed.
pub fn update_event(offset: u64, endpoints: &[Json]) -> Json {
    event(offset, false, endpoints)
}

fn event(offset: u64, reset: bool, endpoints: &[Json]) -> Json {
    json!({"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": endpoints}})
}

/// An entry of the endpoint list.
pub fn endpoint(name: &str, address: &str, state: &str) -> Json {
    json!({"instanceId": name, "hostPort": address, "zone": "east", "machineType": "std", "cell": 0,
        "lifecycle": state, "weight": 8, "startedAtMs": 0})
}
