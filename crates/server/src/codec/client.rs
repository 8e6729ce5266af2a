//! MessagePack-RPC as clients speak it.

use pebblevane::time::TimeDelta;
use rmp::Marker;
use rmp::{decode, encode};

/// The longest message, and the most that one may nest and hold: checked before anything is kept of it.
pub const LONGEST: usize = 128 * 1024;
const DEEPEST: usize = 6;
const LONGEST_TEXT: usize = 4096;
const MOST_ENTRIES: usize = 64;
const MOST_ITEMS: usize = 512;
const LONGEST_WAIT_MS: f64 = 86_400_000.0;

/// What the bytes at hand hold.
#[derive(Debug, PartialEq)]
pub enum Frame {
    Complete(usize),
    Partial,
    Broken(&'static str),
}

/// One message of a client.
#[derive(Debug, PartialEq)]
pub enum Message {
    Submit(ClientRequest),
    Forget(Vec<u32>),
    IsWell(u32),
    /// It can be read but not used.
    Unusable(u32, String),
    /// A notification of a sort not known here.
    Other,
}

/// A job as the client words it.
#[derive(Debug, PartialEq)]
pub struct ClientRequest {
    pub request_id: u32,
    /// Goes on to the engines unchanged.
    pub job_id: Box<str>,
    pub class: usize,
    pub client_timeout: TimeDelta,
    pub is_retry: bool,
    pub estimated_cost: Option<TimeDelta>,
    pub memory_mb: Option<f64>,
    pub statement: Box<[u8]>,
}

/// Finds the end of the first message without decoding it.
pub fn frame(bytes: &[u8]) -> Frame {
    let mut open = [0usize; DEEPEST];
    open[0] = 1;
    let (mut depth, mut at, mut items) = (0, 0, 0);
    loop {
        while open[depth] == 0 {
            if depth == 0 {
                return Frame::Complete(at);
            }
            depth -= 1;
        }
        let Some(&first) = bytes.get(at) else { return Frame::Partial };
        let marker = Marker::from_u8(first);
        let width = match marker {
            Marker::Str8 | Marker::Bin8 => 1,
            Marker::Str16 | Marker::Bin16 | Marker::Array16 | Marker::Map16 => 2,
            Marker::Str32 | Marker::Bin32 | Marker::Array32 | Marker::Map32 => 4,
            _ => 0,
        };
        let Some(told) = bytes.get(at + 1..at + 1 + width) else { return Frame::Partial };
        let told = told.iter().fold(0usize, |sum, byte| sum << 8 | usize::from(*byte));
        let (payload, entries) = match marker {
            Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => (0, 0),
            Marker::U8 | Marker::I8 => (1, 0),
            Marker::U16 | Marker::I16 => (2, 0),
            Marker::U32 | Marker::I32 | Marker::F32 => (4, 0),
            Marker::U64 | Marker::I64 | Marker::F64 => (8, 0),
            Marker::FixStr(length) => (usize::from(length), 0),
            Marker::Str8 | Marker::Str16 | Marker::Str32 if told <= LONGEST_TEXT => (told, 0),
            Marker::Bin8 | Marker::Bin16 | Marker::Bin32 if told <= LONGEST => (told, 0),
            Marker::FixArray(count) => (0, usize::from(count)),
            Marker::FixMap(count) => (0, 2 * usize::from(count)),
            Marker::Array16 | Marker::Array32 if told <= MOST_ENTRIES => (0, told),
            Marker::Map16 | Marker::Map32 if told <= MOST_ENTRIES => (0, 2 * told),
            _ => return Frame::Broken("a value that is too long or of no known sort"),
        };
        if at == 0 && !matches!(marker, Marker::FixArray(3 | 4)) {
            return Frame::Broken("no request and no notification");
        }
        items += 1;
        at += 1 + width + payload;
        open[depth] -= 1;
        if items > MOST_ITEMS || at > LONGEST {
            return Frame::Broken("a message that is too long");
        }
        if entries > 0 {
            depth += 1;
            if depth == DEEPEST {
                return Frame::Broken("a message that nests too deep");
            }
            open[depth] = entries;
        }
        if at > bytes.len() {
            return Frame::Partial;
        }
    }
}

/// Whether one of these messages, the last of which may be cut, takes a request back.
pub fn takes_back(mut bytes: &[u8], request: u32) -> bool {
    while let Frame::Complete(length) = frame(bytes) {
        if matches!(decode(&bytes[..length], &[]), Some(Message::Forget(taken)) if taken.contains(&request)) {
            return true;
        }
        bytes = &bytes[length..];
    }
    false
}

/// Decodes a whole message; none if it is no message of this protocol. `types` are the names of the
/// reservation types.
pub fn decode(mut bytes: &[u8], types: &[String]) -> Option<Message> {
    let rest = &mut bytes;
    let parts = decode::read_array_len(rest).ok()?;
    let sort: u8 = decode::read_int(rest).ok()?;
    match (sort, parts) {
        (0, 4) => {
            let message: u32 = decode::read_int(rest).ok()?;
            let unusable = |why: String| Some(Message::Unusable(message, why));
            let method = text(rest)?;
            if method == "isWell" {
                return Some(Message::IsWell(message));
            }
            let Some(reservation) = types.iter().position(|name| name == method) else {
                return unusable(format!("unknown reservation type {}", method.escape_debug()));
            };
            match ask(rest, message, reservation) {
                Ok(ask) => Some(Message::Submit(ask)),
                Err(why) => unusable(why),
            }
        }
        (2, 3) => {
            if text(rest)? != "forget" {
                return Some(Message::Other);
            }
            let count = decode::read_array_len(rest).ok()?;
            (0..count).map(|_| decode::read_int(rest).ok()).collect::<Option<_>>().map(Message::Forget)
        }
        _ => None,
    }
}

fn ask(rest: &mut &[u8], message: u32, reservation: usize) -> Result<ClientRequest, String> {
    let off = |what: &str| format!("{what} is missing or odd");
    if decode::read_array_len(rest).ok().is_none_or(|count| count < 2) {
        return Err(off("the list of fields and body"));
    }
    let (mut id, mut left, mut cost, mut memory, mut repeat) = (None, None, None, None, false);
    for _ in 0..decode::read_map_len(rest).map_err(|_| off("the map of fields"))? {
        let name = text(rest).ok_or_else(|| off("the name of a field"))?;
        let value = text(rest).ok_or_else(|| off(&format!("field {}", name.escape_debug())))?;
        let number = |least: f64| match value.parse::<f64>() {
            Ok(number) if number.is_finite() && (least..1e12).contains(&number) => Ok(Some(number)),
            _ => Err(off(&format!("field {name}"))),
        };
        match name {
            "i" => {
                let hex = value.len() == 16 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
                id = hex.then(|| value.into());
            }
            "d" => left = number(0.0)?.filter(|ms| *ms < LONGEST_WAIT_MS),
            "h" => cost = number(0.0)?,
            "mem" => memory = number(0.0)?,
            "r" => repeat = value == "1",
            _ => {}
        }
    }
    let statement = match Marker::from_u8(*rest.first().unwrap_or(&0)) {
        Marker::Bin8 | Marker::Bin16 | Marker::Bin32 => decode::read_bin_len(rest).ok(),
        _ => decode::read_str_len(rest).ok(),
    };
    let statement =
        statement.and_then(|length| rest.get(..length as usize)).ok_or_else(|| off("the body"))?;
    Ok(ClientRequest {
        request_id: message,
        job_id: id.ok_or_else(|| off("field i"))?,
        class: reservation,
        client_timeout: TimeDelta::from_millis_f64(left.ok_or_else(|| off("field d"))?),
        is_retry: repeat,
        estimated_cost: cost.map(TimeDelta::from_millis_f64),
        memory_mb: memory.filter(|memory| *memory > 0.0),
        statement: statement.into(),
    })
}

fn text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let (text, after) = decode::read_str_from_slice(*rest).ok()?;
    *rest = after;
    Some(text)
}

/// How an answer to a job reads.
pub enum Reply<'a> {
    Completed { rows: &'a [u8] },
    Rejected { retry_after: TimeDelta },
    Failed { reason: &'a str },
    Health(bool),
}

impl Reply<'_> {
    /// Its sort in a word, for the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Reply::Completed { .. } => "done",
            Reply::Rejected { .. } => "throttled",
            Reply::Failed { .. } => "failed",
            Reply::Health(_) => "well",
        }
    }
}

pub fn encode(message: u32, reply: &Reply) -> Vec<u8> {
    let mut bytes =
        Vec::with_capacity(if let Reply::Completed { rows } = reply { rows.len() + 32 } else { 64 });
    // A Vec takes every write.
    let _ = write(&mut bytes, message, reply);
    bytes
}

fn write(to: &mut Vec<u8>, message: u32, reply: &Reply) -> Result<(), Box<dyn std::error::Error>> {
    encode::write_array_len(to, 4)?;
    encode::write_uint(to, 1)?;
    encode::write_uint(to, u64::from(message))?;
    if let Reply::Completed { .. } | Reply::Health(_) = reply {
        encode::write_nil(to)?;
    }
    encode::write_array_len(to, 2)?;
    match reply {
        Reply::Completed { rows } => encode::write_bin(to, rows)?,
        Reply::Health(healthy) => encode::write_bool(to, *healthy)?,
        Reply::Rejected { .. } => encode::write_str(to, "Busy")?,
        Reply::Failed { .. } => encode::write_str(to, "Failed")?,
    }
    match reply {
        Reply::Rejected { retry_after } if retry_after.0 > 0 => {
            encode::write_map_len(to, 1)?;
            encode::write_str(to, "w")?;
            encode::write_str(to, &format!("{:.0}", retry_after.as_millis_f64().ceil()))?;
        }
        Reply::Failed { reason } if !reason.is_empty() => {
            encode::write_map_len(to, 1)?;
            encode::write_str(to, "why")?;
            encode::write_str(to, reason)?;
        }
        _ => drop(encode::write_map_len(to, 0)?),
    }
    if let Reply::Rejected { .. } | Reply::Failed { .. } = reply {
        encode::write_nil(to)?;
    }
    Ok(())
}
