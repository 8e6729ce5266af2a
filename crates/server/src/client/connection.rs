//! A client connection as it is read: its messages, the admission of jobs, and when it is of no more use.

use crate::codec::client::{self as wire, ClientRequest, Frame, Message, Reply};
use crate::codec::sql;
use crate::config::retry_semantics::RetrySemantics;
use crate::decision::{ControllerHandle, RETRY_AFTER};
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::job::{AdmittedJob, USUAL_RESULT_BYTES};
use crate::lifecycle::clock;
use crate::lifecycle::shutdown::ShutdownState;
use crate::limits::{Permit, ResourceBudget, ResourceQuotas};
use crate::session::client_session::{ClientJobIds, ClientSession};
use crate::session::responder::Responder;
use crate::telemetry::counters;
use pebblevane::interface::*;
use pebblevane::time::*;
use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SMALL: usize = 4096; // bytes of an unfinished message that are not counted
/// After each message of no use the next one is read this much later, up to a limit, and to a lower one where
/// something is open: a client that takes that back is heard well within the 0.1 s in which it still may be sent.
const PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: u32 = 20;
const LONGEST_PAUSE_OPEN: u32 = 4;
const TURN: usize = 4; // pieces of one connection before others have their turn

/// What all client connections share.
pub struct Shared {
    pub module: Arc<ControllerHandle>,
    pub health: Arc<ShutdownState>,
    pub types: Vec<String>,
    pub classes: Vec<Arc<str>>,
    /// What the settings say of repeating each type's jobs.
    pub rules: Vec<RetrySemantics>,
    pub names: Arc<ClientJobIds>,
    /// Descriptors for clients; bytes and threads for jobs.
    pub sockets: Arc<ResourceBudget>,
    pub bytes: Arc<ResourceBudget>,
    pub jobs: Arc<ResourceBudget>,
}

impl Shared {
    pub fn new(
        module: Arc<ControllerHandle>,
        health: Arc<ShutdownState>,
        types: Vec<String>,
        rules: Vec<RetrySemantics>,
        shares: &ResourceQuotas,
    ) -> Shared {
        Shared {
            module,
            health,
            classes: types.iter().map(|name| name.as_str().into()).collect(),
            types,
            rules,
            names: Arc::default(),
            sockets: ResourceBudget::new(shares.client_connections),
            bytes: ResourceBudget::new(shares.buffer_bytes),
            jobs: ResourceBudget::new(shares.open_jobs),
        }
    }
}

/// How long a connection may be silent: before its first message, within a message, and between messages.
pub struct IdleLimits {
    pub first: Duration,
    pub rest: Duration,
    pub idle: Duration,
}

/// A connection as far as it has been read.
pub struct ClientConnection {
    pub client: Arc<ClientSession>,
    pub bytes: Vec<u8>,
    pub held: Permit,
    /// Since when a message is due: the first since it was accepted, one that has begun since its first byte.
    pub owes: Option<Instant>,
    /// The pass that accepted it, and since when it may have waited for that.
    pub accepted: (u64, Timestamp),
    /// No whole message has come on it: its first request may be on its way.
    pub fresh: bool,
    pub useless: u32,
    /// Nothing is read before this.
    pub pauses_until: Option<Instant>,
    pub closing: Option<ClosingConnection>,
}

/// A connection on its way to its end: nothing that comes is dealt with any more.
pub struct ClosingConnection {
    /// Since when its end has been sent; none while answers are still to leave.
    pub ended: Option<Instant>,
    /// Bytes that are still read.
    pub left: usize,
}

/// Why nothing more is read of a connection.
pub enum End {
    /// Its client has left.
    Left(String),
    /// What came is of no protocol that is spoken here.
    Odd(String),
}

impl From<&str> for End {
    fn from(why: &str) -> End {
        End::Odd(why.to_string())
    }
}

impl ClientConnection {
    /// How long it has been of no use, if longer than that is borne.
    pub fn useless_for(&self, patience: &IdleLimits) -> Option<Duration> {
        let idle_for = self.client.idle_for().filter(|_| self.closing.is_none())?;
        let (silent_for, borne) = match self.owes {
            Some(since) if self.bytes.is_empty() => (since.elapsed(), patience.first),
            Some(since) => (since.elapsed(), patience.rest),
            None => (idle_for, patience.idle),
        };
        Some(silent_for).filter(|silent_for| *silent_for > borne)
    }

    /// Whether nothing is open on it, nothing is on its way to its client and no message has begun.
    pub fn rests(&self) -> bool {
        self.closing.is_none() && self.bytes.is_empty() && self.client.rests()
    }

    /// Reads what is there, then deals with it: a client that has left behind its messages, or taken them back, is
    /// heard before any of them is taken. Says whether more may be there.
    pub fn read(&mut self, shared: &Shared, piece: &mut [u8], arrived: Timestamp) -> Result<bool, End> {
        let client = self.client.clone();
        let mut position = client.reading();
        let more = self.read_and_handle(shared, piece, arrived);
        position.midway = !self.bytes.is_empty();
        more
    }

    fn read_and_handle(
        &mut self,
        shared: &Shared,
        piece: &mut [u8],
        arrived: Timestamp,
    ) -> Result<bool, End> {
        let mut more = true;
        for _ in 0..TURN {
            let count = match (&self.client.stream).read(piece) {
                Ok(0) => return Err(End::Left("the client closed it".to_string())),
                Ok(count) => count,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    more = false;
                    break;
                }
                Err(e) => return Err(End::Left(e.to_string())),
            };
            if let Some(closing) = &mut self.closing {
                closing.left = closing.left.saturating_sub(count);
                if closing.left == 0 {
                    return Err(End::Left("the client goes on behind the end".to_string()));
                }
                continue;
            }
            self.client.speaks();
            if self.bytes.is_empty() {
                self.owes = Some(Instant::now());
            }
            self.bytes.extend_from_slice(&piece[..count]);
        }
        if self.closing.is_some() {
            return Ok(more);
        }
        let useless = self.useless;
        self.handle_buffered(shared, arrived)?;
        if self.useless > useless {
            // Whoever sends what is of no use at full speed waits; nobody else does.
            let most = if self.client.rests() { LONGEST_PAUSE } else { LONGEST_PAUSE_OPEN };
            self.pauses_until = Some(Instant::now() + PAUSE * self.useless.min(most));
            return Ok(false);
        }
        Ok(more)
    }

    /// Deals with all messages that have come whole.
    fn handle_buffered(&mut self, shared: &Shared, arrived: Timestamp) -> Result<(), End> {
        let (mut done, mut messages, mut broken) = (0, Vec::new(), None);
        loop {
            match wire::frame(&self.bytes[done..]) {
                Frame::Complete(length) => {
                    let message = wire::decode(&self.bytes[done..done + length], &shared.types);
                    done += length;
                    let Some(message) = message else {
                        broken = Some("a message of another protocol");
                        break;
                    };
                    messages.push(message);
                }
                Frame::Partial => break,
                Frame::Broken(why) => {
                    broken = Some(why);
                    break;
                }
            }
        }
        // Where each number is taken back last: a job that stands before that is never taken.
        let mut taken_back = HashMap::new();
        for (at, message) in messages.iter().enumerate() {
            if let Message::Forget(numbers) = message {
                taken_back.extend(numbers.iter().map(|number| (*number, at)));
            }
        }
        for (at, message) in messages.into_iter().enumerate() {
            if let Message::Submit(ask) = &message
                && taken_back.get(&ask.request_id).is_some_and(|later| *later > at)
                && !self.client.is_open(ask.request_id)
            {
                counters::JOBS_ABANDONED.increment();
                continue;
            }
            let used = handle(shared, &self.client, message, arrived)?;
            self.useless = if used { 0 } else { self.useless + 1 };
        }
        if let Some(why) = broken {
            return Err(why.into());
        }
        self.bytes.drain(..done);
        if done > 0 {
            self.bytes.shrink_to(SMALL);
            (self.owes, self.fresh) = (None, false);
        }
        if !self.bytes.is_empty() {
            self.owes.get_or_insert_with(Instant::now);
        }
        let past = self.bytes.len().saturating_sub(SMALL);
        if !self.held.grow_to(past) {
            return Err("no bytes are left for an unfinished message".into());
        }
        self.held.shrink_to(past);
        Ok(())
    }
}

/// Deals with one message; says whether it was of use.
fn handle(
    shared: &Shared,
    client: &Arc<ClientSession>,
    message: Message,
    arrived: Timestamp,
) -> Result<bool, End> {
    // Whatever were answered under the number of an open request would be taken for that one's answer.
    let number = match &message {
        Message::Submit(ask) => Some(ask.request_id),
        Message::IsWell(id) | Message::Unusable(id, _) => Some(*id),
        Message::Forget(_) | Message::Other => None,
    };
    if number.is_some_and(|number| client.is_open(number)) {
        return Err("a message id that is open already".into());
    }
    match message {
        Message::Submit(ask) => return Ok(take(shared, client, ask, arrived)),
        Message::Forget(ids) => {
            for job in ids.into_iter().filter_map(|id| client.forget(id)) {
                counters::JOBS_ABANDONED.increment();
                shared.module.client_disconnected(job);
            }
        }
        Message::IsWell(id) => client.write(id, &Reply::Health(shared.health.is_healthy())),
        Message::Unusable(id, why) => {
            counters::INVALID_REQUESTS.increment();
            client.write(id, &Reply::Failed { reason: &why });
            return Ok(false);
        }
        Message::Other => return Ok(false),
    }
    Ok(true)
}

/// Hands a job to the module and to a thread of its own; says whether it could.
fn take(shared: &Shared, client: &Arc<ClientSession>, ask: ClientRequest, arrived: Timestamp) -> bool {
    let Some(taken) = shared.names.take(&ask.job_id) else {
        counters::INVALID_REQUESTS.increment();
        client.write(ask.request_id, &Reply::Failed { reason: "field i is that of an open request" });
        return false;
    };
    let place = client.has_room().then(|| shared.jobs.acquire(1)).flatten();
    let bytes = shared.bytes.acquire(ask.statement.len() + USUAL_RESULT_BYTES);
    let Some((place, bytes)) = place.zip(bytes) else {
        // The one answer that the program gives by itself, for a job that the module never saw.
        counters::LOCAL_LIMIT_REJECTIONS.increment();
        client.write(ask.request_id, &Reply::Rejected { retry_after: RETRY_AFTER });
        return false;
    };
    let job = Job {
        class: ask.class,
        time_left: ask.client_timeout,
        cost: ask.estimated_cost,
        memory_mb: ask.memory_mb,
        table_group: sql::group(&ask.statement).unwrap_or(0),
        is_retry: ask.is_retry,
        ..Job::default()
    };
    let deadline = arrived + ask.client_timeout;
    tracing::debug!(job = %ask.job_id, left_ms = (deadline - clock::now()).as_millis_f64(), "job submitted");
    let admitted = AdmittedJob {
        responder: Arc::new(Responder::new(client.clone(), ask.request_id, &ask.job_id, taken, deadline)),
        ledger: Arc::new(DispatchLedger::new(&ask.job_id, shared.rules[ask.class], deadline)),
        client_job_id: ask.job_id,
        class: shared.classes[ask.class].clone(),
        statement: ask.statement.into(),
        memory: bytes,
        _job_slot: place,
    };
    let taken = shared.module.submit(job, arrived, admitted);
    if taken {
        counters::JOBS_ADMITTED.increment()
    } else {
        counters::LOCAL_LIMIT_REJECTIONS.increment()
    }
    taken
}
