//! Follows the event bus: connects, asks for what comes after the last event it has, and reads on. A gap, a
//! connection that falls silent or one that ends leads to a new one after a spread pause.

use crate::desk::Desk;
use crate::memory::counts;
use crate::wire::bus::{self, Line};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const CONNECT: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_millis(2500); // two heartbeats and a half
const PAUSE_MS: u64 = 50;
const LONGEST_PAUSE_MS: u64 = 800;
const LONGEST_LINE: u64 = 4 * 1024 * 1024;

pub fn follow(desk: &Arc<Desk>, address: SocketAddr, mut last: u64, seed: u64) {
    let mut spread = seed | 1;
    let (mut pause, mut gap) = (PAUSE_MS, None);
    loop {
        let before = last;
        let why = listen(desk, address, &mut last, &mut gap);
        tracing::info!("event bus: {why}; the last event is {last}");
        desk.list_lost();
        pause = if last > before { PAUSE_MS } else { (pause * 2).min(LONGEST_PAUSE_MS) };
        // Workload managers that lost the bus together do not come back together.
        spread = spread.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        std::thread::sleep(Duration::from_millis(pause / 2 + (spread >> 33) % pause));
    }
}

/// Reads one connection to its end; says why it ended.
fn listen(desk: &Desk, address: SocketAddr, last: &mut u64, gap: &mut Option<u64>) -> String {
    let connected = TcpStream::connect_timeout(&address, CONNECT).and_then(|mut stream| {
        stream.set_read_timeout(Some(SILENCE))?;
        stream.set_write_timeout(Some(CONNECT))?;
        stream.write_all(format!("from {last}\n").as_bytes())?;
        Ok(stream)
    });
    let mut stream = match connected {
        Ok(stream) => BufReader::new(stream),
        Err(e) => return format!("cannot connect: {e}"),
    };
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        match stream.by_ref().take(LONGEST_LINE).read_until(b'\n', &mut bytes) {
            Ok(0) => return "the connection ended".to_string(),
            Ok(_) if !bytes.ends_with(b"\n") => return "a line was cut or is too long".to_string(),
            Ok(_) => {}
            Err(e) => return format!("no line came in time: {e}"),
        }
        match bus::line(&String::from_utf8_lossy(&bytes)) {
            Ok(Line::Beat(told)) if told > *last => return format!("event {told} is there but did not come"),
            Ok(Line::Beat(_)) => {}
            Ok(Line::Event(event)) if event.offset <= *last => {}
            // Where the same gap comes again, what is missing can't be had: better to miss it than all that follows.
            Ok(Line::Event(event))
                if event.offset > *last + 1 && !event.complete && gap.replace(*last) != Some(*last) =>
            {
                return format!("event {} came after {last}", event.offset);
            }
            Ok(Line::Event(event)) => {
                *last = event.offset;
                for why in &event.odd {
                    counts::ODD_EVENTS.add();
                    tracing::warn!("event bus: an entry of event {last} is passed over: {why}");
                }
                desk.listed(event);
            }
            Err(why) => {
                counts::ODD_EVENTS.add();
                tracing::warn!("event bus: a line is passed over: {why}");
            }
        }
    }
}
