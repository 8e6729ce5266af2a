//! One connection to an engine: what is out on it, and whether it may be used again.

use crate::limits::Permit;
use pebblevane::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Ids used up on one connection, after which it takes nothing new.
pub const SPENT: usize = 64;

pub struct EngineConnection {
    pub stream: Arc<TcpStream>,
    /// An answer has begun that has not come whole.
    pub midway: Arc<AtomicBool>,
    pub ids: HashMap<Box<str>, u64>,
    /// Ids that were given up here: a late answer may still come under them.
    pub spent: HashSet<Box<str>>,
    /// When it last began or ended to have nothing out.
    pub since: Instant,
    /// How long it had rested before what is out on it; none on its first use.
    pub rested: Option<Duration>,
    pub used: bool,
    /// When something last came from it.
    pub heard: Instant,
    pub opened: Timestamp,
    pub _lease: Permit,
}

impl EngineConnection {
    /// One that has never been used is as good as a new one until it is idle too long.
    pub fn is_fresh(&self, fresh_for: Duration, idle: Duration) -> bool {
        self.since.elapsed() < if self.used { fresh_for } else { idle }
    }

    /// Whether nothing has come on it, read or not, that is not whole or is its end.
    pub fn is_quiet(&self) -> bool {
        let nothing = |e: std::io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted);
        !self.midway.load(SeqCst) && self.stream.peek(&mut [0]).is_err_and(nothing)
    }

    /// How long it could have spoken and has not.
    pub fn quiet_for(&self) -> Duration {
        self.heard.max(self.since).elapsed()
    }
}
