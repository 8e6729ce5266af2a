//! What the parts of a play share: the schedule, the history and the addresses. Each gateway has an IP address of its
//! own for its connections with clients, engines and the event bus, so that a fault can be injected between certain
//! gateways and engines.

use crate::bus::Bus;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::history::{GatewayRun, History};
use crate::schedule::Schedule;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU16, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime};

/// The shared state of a play.
pub struct Testbed {
    pub schedule: Schedule,
    pub history: History,
    /// The start of the play, from which all times of the schedule count.
    pub started: Instant,
    /// Holds configurations, logs and control files.
    pub folder: PathBuf,
    /// The program under test.
    pub program: PathBuf,
    engines: Mutex<Vec<Arc<Engine>>>,
    pub bus: Bus,
    pub gateways: Vec<Gateway>,
    /// The next unused port of this play.
    next_port: AtomicU16,
    /// Difference of the clock that stamps the engines' starts from the system's.
    pub engine_clock_offset_us: AtomicI64,
    /// Whether the clients' traffic has ended.
    pub traffic_ended: AtomicBool,
    /// Whether the final stop of all gateways has begun.
    pub final_stop: AtomicBool,
}

/// Locks a mutex, also if a task has panicked while it held the lock.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// This port at the IP address of a gateway's connections. The gateway listens at that IP address for clients, and
/// connects to it to reach engines and the event bus, which listen at all IP addresses.
pub fn gateway_address(gateway: usize, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, (gateway + 1) as u8, 1)), port)
}

/// The gateway that has connected to this address of an engine or of the event bus, see [`gateway_address`].
pub fn gateway_of(local: SocketAddr) -> Option<usize> {
    match local.ip() {
        IpAddr::V4(ip) => Some(usize::from(ip.octets()[2]).checked_sub(1)?),
        IpAddr::V6(_) => None,
    }
}

impl Testbed {
    /// A testbed whose ports start at `port`.
    pub fn new(schedule: Schedule, folder: PathBuf, program: PathBuf, port: u16) -> Testbed {
        let gateways = (0..schedule.gateways).map(|gateway| Gateway::new(gateway, port)).collect();
        Testbed {
            schedule,
            history: History::start(),
            started: Instant::now(),
            folder,
            program,
            engines: Mutex::default(),
            bus: Bus::default(),
            gateways,
            // The first port is used by all gateways, each at its own IP address.
            next_port: AtomicU16::new(port + 1),
            engine_clock_offset_us: AtomicI64::new(0),
            traffic_ended: AtomicBool::new(false),
            final_stop: AtomicBool::new(false),
        }
    }

    pub fn new_port(&self) -> u16 {
        self.next_port.fetch_add(1, SeqCst)
    }

    pub fn has_traffic_ended(&self) -> bool {
        self.traffic_ended.load(SeqCst)
    }

    /// Whether gateways are no longer restarted: traffic has ended, or continues only until the gateways have stopped.
    pub fn is_ending(&self) -> bool {
        self.has_traffic_ended() || self.schedule.stop.steady_clients && self.final_stop.load(SeqCst)
    }

    pub fn engine(&self, index: usize) -> Option<Arc<Engine>> {
        locked(&self.engines).get(index).cloned()
    }

    /// Adds an engine with the next index. It must be started.
    pub fn add_engine(&self) -> Arc<Engine> {
        let mut engines = locked(&self.engines);
        let index = engines.len();
        let engine = Arc::new(Engine::new(index, self.schedule.zone_of(index)));
        engines.push(engine.clone());
        engine
    }

    /// Ends all engines and the event bus at the end of the play.
    pub fn close(&self) {
        let engines = locked(&self.engines).clone();
        for engine in &engines {
            engine.die(self);
        }
        self.bus.stop();
    }

    /// The current process of a gateway, or the last one if none is running.
    pub fn run_of(&self, gateway: usize) -> GatewayRun {
        GatewayRun { gateway, run: self.gateways[gateway].run() }
    }

    /// Unix time (ms) of the clock that stamps the engines' starts.
    pub fn engine_clock_ms(&self) -> i64 {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (unix.as_micros() as i64 + self.engine_clock_offset_us.load(SeqCst)) / 1000
    }
}
