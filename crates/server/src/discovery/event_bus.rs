//! Follows the event bus: connects, asks for what comes after the last event it has, and reads on. A gap, a
//! connection that falls silent or one that ends leads to a new one, and so does a new address.

use crate::codec::event_bus::{self, Event, Line};
use crate::lifecycle::clock;
use crate::telemetry::counters;
use crossbeam_channel::{Receiver, Sender, bounded};
use pebblevane::time::Timestamp;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_millis(800);
const SILENCE: Duration = Duration::from_millis(2200); // two heartbeats and a bit, for a whole line
/// A connection that has just been made and never speaks: its first heartbeat is due within a second. Two such ones
/// after one that fell silent, and a connect that fails, leave what a drain told to be known within 7 s.
const FIRST_LINE: Duration = Duration::from_millis(1500);
const PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 800;

/// Whoever is told what the event bus brings.
pub trait EndpointListener {
    /// The endpoint list has changed; `complete` is when it was last known to be complete before that.
    fn endpoints_changed(&self, event: Event, complete: Option<Timestamp>);
    /// The connection to the event bus was lost.
    fn connection_lost(&self);
}

/// Where the bus is, and the connection to it. The address may change while the program runs.
pub struct EventBusFollower {
    at: Mutex<At>,
    /// The longest line that is read, in bytes.
    longest_line: usize,
    moved: (Sender<()>, Receiver<()>),
}

struct At {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl EventBusFollower {
    pub fn new(address: SocketAddr, longest_line: usize) -> EventBusFollower {
        EventBusFollower { at: Mutex::new(At { address, stream: None }), longest_line, moved: bounded(1) }
    }

    fn at(&self) -> MutexGuard<'_, At> {
        self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves the old address at once, whether the follower reads, connects or pauses.
    pub fn move_to(&self, address: SocketAddr) {
        let mut at = self.at();
        if at.address == address {
            return;
        }
        at.address = address;
        if let Some(stream) = at.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = self.moved.0.try_send(());
    }

    fn connect(&self, last: u64) -> std::io::Result<TcpStream> {
        let address = self.at().address;
        let mut stream = TcpStream::connect_timeout(&address, CONNECT)?;
        stream.set_write_timeout(Some(CONNECT))?;
        stream.write_all(format!("from {last}\n").as_bytes())?;
        let mut at = self.at();
        if at.address != address {
            return Err(std::io::Error::other("the address has changed meanwhile"));
        }
        at.stream = Some(stream.try_clone()?);
        Ok(stream)
    }

    pub fn follow(&self, listener: &impl EndpointListener, mut last: u64, seed: u64) {
        let mut spread = seed | 1;
        let (mut pause, mut gap, mut complete) = (PAUSE_MS, None, None);
        loop {
            let (before, begun) = (last, Instant::now());
            let why = self.listen(listener, self.connect(last), &mut last, &mut gap, &mut complete);
            self.at().stream = None;
            tracing::info!(reason = %why, last_event = last, "event bus connection lost");
            listener.connection_lost();
            // A connection that served for a while is made anew at once: what it would have told counts as told soon.
            let served = last > before || begun.elapsed() > SILENCE;
            pause = if served { PAUSE_MS } else { (pause * 2).min(LONGEST_PAUSE_MS) };
            // Workload managers that lost the bus together do not come back together.
            spread = spread.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let pause_ms = pause / 2 + (spread >> 33) % pause;
            if self.moved.1.recv_timeout(Duration::from_millis(pause_ms)).is_ok() {
                pause = PAUSE_MS;
            }
        }
    }

    /// Reads one connection to its end; says why it ended. `complete` is when the list was last known to be complete.
    fn listen(
        &self,
        listener: &impl EndpointListener,
        connected: std::io::Result<TcpStream>,
        last: &mut u64,
        gap: &mut Option<u64>,
        complete: &mut Option<Timestamp>,
    ) -> String {
        let mut stream = match connected {
            Ok(stream) => BufReader::new(stream),
            Err(e) => return format!("cannot connect: {e}"),
        };
        let (mut bytes, mut within) = (Vec::new(), FIRST_LINE);
        loop {
            if let Err(why) = read_line(&mut stream, &mut bytes, within, self.longest_line) {
                return why;
            }
            within = SILENCE;
            match event_bus::line(&String::from_utf8_lossy(&bytes)) {
                Ok(Line::Heartbeat(told)) if told > *last => {
                    return format!("event {told} is there but did not come");
                }
                Ok(Line::Heartbeat(_)) => *complete = Some(clock::now()),
                Ok(Line::Event(event)) if event.offset <= *last => {}
                // Where the same gap comes again, what is missing can't be had: better to miss it than all that follows.
                Ok(Line::Event(event))
                    if event.offset > *last + 1 && !event.complete && gap.replace(*last) != Some(*last) =>
                {
                    return format!("event {} came after {last}", event.offset);
                }
                Ok(Line::Event(event)) => {
                    *last = event.offset;
                    for why in &event.malformed {
                        counters::MALFORMED_EVENTS.increment();
                        tracing::warn!(event = *last, reason = %why, "malformed endpoint ignored");
                    }
                    listener.endpoints_changed(event, *complete);
                }
                Err(why) => {
                    counters::MALFORMED_EVENTS.increment();
                    tracing::warn!(reason = %why, "malformed event bus line ignored");
                }
            }
        }
    }
}

/// Reads one line within this time, however slowly its bytes come.
fn read_line(
    stream: &mut BufReader<TcpStream>,
    bytes: &mut Vec<u8>,
    within: Duration,
    longest: usize,
) -> Result<(), String> {
    bytes.clear();
    let due = Instant::now() + within;
    loop {
        let left = due.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.get_ref().set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
        let piece = match stream.fill_buf() {
            Ok(piece) => piece,
            // A program that was stopped for a moment, as one with part of a core is, reads on.
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) => return Err(format!("no line came in time: {e}")),
        };
        if piece.is_empty() {
            return Err("the connection ended".to_string());
        }
        let end = piece.iter().position(|byte| *byte == b'\n');
        let count = end.map_or(piece.len(), |at| at + 1);
        bytes.extend_from_slice(&piece[..count]);
        stream.consume(count);
        if end.is_some() {
            return Ok(());
        }
        if bytes.len() > longest {
            return Err(format!("a line is longer than {longest} bytes"));
        }
        if Instant::now() >= due {
            return Err("a line does not come to its end".to_string());
        }
    }
}
