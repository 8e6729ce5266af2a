//! Accepts client connections and reads what comes on each.

use crate::desk::Desk;
use crate::job::{LONGEST_RESULT, Life};
use crate::memory::budget::{Budget, Lease};
use crate::memory::clients::{Client, WRITE};
use crate::memory::counts;
use crate::service::clock;
use crate::service::stop::Health;
use crate::wire::client::{self as wire, Ask, Frame, Message, Reply};
use crate::wire::sql;
use crossbeam_channel::{Sender, bounded};
use pebblevane::interface::*;
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const IDLE: Duration = Duration::from_secs(30); // after this an idle connection is closed
const BACK_IN: Span = Span(1_000_000); // told with the fixed answer at the program's own limits

/// What all client connections share.
pub struct Door {
    pub desk: Arc<Desk>,
    pub health: Arc<Health>,
    pub types: Vec<String>,
    pub classes: Vec<Arc<str>>,
    /// Descriptors for clients, and bytes and threads for jobs.
    pub sockets: Arc<Budget>,
    pub bytes: Arc<Budget>,
    pub jobs: Arc<Budget>,
}

pub fn accept(door: &Arc<Door>, listener: &TcpListener) {
    loop {
        // At the limit connections wait in the listener's queue until another one ends.
        let Some(lease) = door.sockets.lease(1) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        match listener.accept() {
            Ok((stream, _)) => {
                let door = door.clone();
                let client = Arc::new(Client::new(stream, lease));
                if let Err(e) = crate::thread("client", crate::STACK, move || serve(&door, &client)) {
                    tracing::warn!("clients: no thread for a connection: {e}");
                }
            }
            Err(e) => {
                tracing::warn!("clients: cannot accept: {e}");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

fn serve(door: &Arc<Door>, client: &Arc<Client>) {
    if let Err(why) = read(door, client, &client.stream) {
        tracing::debug!("clients: a connection ended: {why}");
    }
    for job in client.leave() {
        counts::LEFT.add();
        door.desk.gone(job);
    }
}

/// Reads messages until the connection ends.
fn read(door: &Arc<Door>, client: &Arc<Client>, mut stream: &TcpStream) -> Result<(), String> {
    let told = |e: std::io::Error| e.to_string();
    stream.set_nodelay(true).map_err(told)?;
    stream.set_read_timeout(Some(IDLE)).map_err(told)?;
    stream.set_write_timeout(Some(WRITE)).map_err(told)?;
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    let mut begun = Instant::now();
    loop {
        let count = match stream.read(&mut piece) {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if bytes.is_empty() && !client.is_idle() {
                    continue;
                }
                return Err("idle".to_string());
            }
            Err(e) => return Err(e.to_string()),
        };
        if bytes.is_empty() {
            begun = Instant::now();
        }
        bytes.extend_from_slice(&piece[..count]);
        let arrived = clock::now();
        let mut done = 0;
        loop {
            match wire::frame(&bytes[done..]) {
                Frame::Whole(length) => {
                    let message = wire::decode(&bytes[done..done + length], &door.types);
                    done += length;
                    hear(door, client, message.ok_or("a message of another protocol")?, arrived)?;
                }
                Frame::Partial => break,
                Frame::Broken(why) => return Err(why.to_string()),
            }
        }
        bytes.drain(..done);
        if done > 0 {
            begun = Instant::now();
            bytes.shrink_to(4096);
        } else if begun.elapsed() > IDLE {
            return Err("a message that does not come to its end".to_string());
        }
    }
}

fn hear(door: &Arc<Door>, client: &Arc<Client>, message: Message, arrived: Moment) -> Result<(), String> {
    match message {
        Message::Job(ask) => take(door, client, ask, arrived)?,
        Message::Forget(ids) => {
            for job in ids.into_iter().filter_map(|id| client.forget(id)) {
                counts::LEFT.add();
                door.desk.gone(job);
            }
        }
        Message::IsWell(id) => client.write(id, &Reply::Well(door.health.is_well())),
        Message::Unusable(id, why) => {
            counts::UNUSABLE.add();
            client.write(id, &Reply::Failed(&why));
        }
        Message::Other => {}
    }
    Ok(())
}

/// Hands a job to the module and to a thread of its own.
fn take(door: &Arc<Door>, client: &Arc<Client>, ask: Ask, arrived: Moment) -> Result<(), String> {
    if client.is_open(ask.message) {
        // Whatever were answered under this id would be taken for the other request's answer.
        return Err("a message id that is open already".to_string());
    }
    let room = if client.has_room() { room(door, ask.statement.len()) } else { None };
    let Some((thread, lease)) = room else {
        // The one answer that the program gives by itself, for a job that the module never saw.
        counts::AT_LIMIT.add();
        client.write(ask.message, &Reply::Throttled(BACK_IN));
        return Ok(());
    };
    let job = Job {
        reservation: ask.reservation,
        left: ask.left,
        cost: ask.cost,
        memory_mb: ask.memory_mb,
        group: sql::group(&ask.statement).unwrap_or(0),
        repeat: ask.repeat,
        ..Job::default()
    };
    counts::TAKEN.add();
    let (id, steps) = door.desk.take(job, arrived);
    client.open(ask.message, id);
    let life = Life {
        id,
        steps,
        message: ask.message,
        name: ask.id,
        class: door.classes[ask.reservation].clone(),
        statement: ask.statement.into(),
        client: client.clone(),
        desk: door.desk.clone(),
        _lease: lease,
    };
    let _ = thread.send(life);
    Ok(())
}

/// A thread and the bytes for one more job, if the limits allow it.
fn room(door: &Door, statement: usize) -> Option<(Sender<Life>, Lease)> {
    let (place, bytes) = (door.jobs.lease(1)?, door.bytes.lease(statement + LONGEST_RESULT)?);
    let (thread, life) = bounded::<Life>(1);
    let live = move || {
        let _place = place;
        if let Ok(life) = life.recv() {
            life.live();
        }
    };
    crate::thread("job", crate::STACK, live).ok()?;
    Some((thread, bytes))
}
