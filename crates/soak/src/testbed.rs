//! What the parts of one play share: the schedule, the history, and who listens where. Each gateway has its own address for
//! everything it talks to, so that faults can be injected on each link by itself.

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

pub struct Testbed {
    pub schedule: Schedule,
    pub history: History,
    pub began: Instant,
    /// Where configurations, logs and control files lie.
    pub folder: PathBuf,
    pub program: PathBuf,
    engines: Mutex<Vec<Arc<Engine>>>,
    pub bus: Bus,
    pub gateways: Vec<Gateway>,
    /// The next port of this play that nobody has.
    next_port: AtomicU16,
    /// The clock that stamps engines' starts, less the system's (microseconds).
    pub stamp_offset_us: AtomicI64,
    /// Traffic has ended.
    pub over: AtomicBool,
    /// All gateways have been told to stop, for good.
    pub stopping: AtomicBool,
}

pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The address under which a gateway meets whoever listens on a port.
pub fn link_address(gateway: usize, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, (gateway + 1) as u8, 1)), port)
}

/// The gateway that came to this address of ours.
pub fn gateway_of(local: SocketAddr) -> Option<usize> {
    match local.ip() {
        IpAddr::V4(ip) => Some(usize::from(ip.octets()[2]).checked_sub(1)?),
        IpAddr::V6(_) => None,
    }
}

impl Testbed {
    pub fn new(schedule: Schedule, folder: PathBuf, program: PathBuf, port: u16) -> Testbed {
        let gateways = (0..schedule.gateways).map(|gateway| Gateway::new(gateway, port)).collect();
        Testbed {
            schedule,
            history: History::start(),
            began: Instant::now(),
            folder,
            program,
            engines: Mutex::default(),
            bus: Bus::default(),
            gateways,
            // The first one is the gateways', each at an address of its own.
            next_port: AtomicU16::new(port + 1),
            stamp_offset_us: AtomicI64::new(0),
            over: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    pub fn new_port(&self) -> u16 {
        self.next_port.fetch_add(1, SeqCst)
    }

    pub fn is_over(&self) -> bool {
        self.over.load(SeqCst)
    }

    /// Whether no gateway is to be started again: traffic is over, or goes on only to the gateways' ends.
    pub fn is_ending(&self) -> bool {
        self.is_over() || self.schedule.stop.steady_clients && self.stopping.load(SeqCst)
    }

    pub fn engine(&self, index: usize) -> Option<Arc<Engine>> {
        locked(&self.engines).get(index).cloned()
    }

    /// Adds an engine; returns it with its number.
    pub fn add_engine(&self) -> Arc<Engine> {
        let mut engines = locked(&self.engines);
        let index = engines.len();
        let engine = Arc::new(Engine::new(index, self.schedule.zone_of(index)));
        engines.push(engine.clone());
        engine
    }

    /// Ends all that listens: the play is over.
    pub fn close(&self) {
        let engines = locked(&self.engines).clone();
        for engine in &engines {
            engine.die(self);
        }
        self.bus.stop();
    }

    /// The run of a gateway's process that is under way.
    pub fn run_of(&self, gateway: usize) -> GatewayRun {
        GatewayRun { gateway, run: self.gateways[gateway].run() }
    }

    /// Unix time in milliseconds by the clock that stamps engines' starts.
    pub fn stamp_ms(&self) -> i64 {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (unix.as_micros() as i64 + self.stamp_offset_us.load(SeqCst)) / 1000
    }
}
