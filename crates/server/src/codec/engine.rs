//! Encoding of requests to engines and parsing of their messages.
//!
//! A message of an engine consists of a line `<id> <kind> <fields> <payload length>`, the payload and a line end. The
//! names of the protocol appear only in this module.

use pebblevane::interface::{ActualCost, LoadReport, ProgressUpdate};
use pebblevane::time::TimeDelta;
use thiserror::Error;

/// The maximum length of the line of a message, including its line end.
const MAX_LINE_BYTES: usize = 4096;
/// The maximum length of the payload of a message.
const MAX_PAYLOAD_BYTES: usize = 6_000;
const COLUMNS_PER_ROW: usize = 3;
const LINE_END: &[u8] = b"\r\n";

const KIND_REQUEST: &str = "REQ";
const KIND_STOP: &str = "STOP";
const KIND_FETCH: &str = "FETCH";
const KIND_END: &str = "END";
const KIND_STATUS: &str = "STAT";
const KIND_HELLO: &str = "HELO";

const KIND_HIT: &str = "HIT";
const KIND_PART: &str = "PART";
const KIND_INFO: &str = "INFO";
const KIND_SHED: &str = "SHED";
const KIND_FAULT: &str = "FAULT";
const KIND_LATE: &str = "LATE";
const KIND_PONG: &str = "PONG";
const KIND_SICK: &str = "SICK";

const FIELD_CLASS: &str = "cls";
const FIELD_TIMEOUT_MS: &str = "limit";
const FIELD_PRIORITY: &str = "urgency";

const FIELD_PAGE_COUNT: &str = "sheets";
const FIELD_PAGE_NUMBER: &str = "sheet";
const FIELD_WORK_MS: &str = "toil";
const FIELD_MEMORY_MB: &str = "room";
const FIELD_LOAD_REPORT: &str = "meter";

const FIELD_PROGRESS_KIND: &str = "tell";
const FIELD_PROGRESS_VALUE: &str = "val";
const PROGRESS_ADVANCE: &str = "advance";
const PROGRESS_DISK: &str = "disk";
const PROGRESS_STALL: &str = "stall";
const STALL_FOR_MEMORY: f64 = 1.0;
const STALL_FOR_BULK_LOAD: f64 = 2.0;

// Some values of load reports have more than one name.
const REPORT_JOBS_IN_FLIGHT: [&str; 2] = ["inflight", "concurrent"];
const REPORT_PROCESSOR_UTILIZATION: [&str; 2] = ["util", "load_share"];
const REPORT_MEMORY_UTILIZATION: [&str; 1] = ["x0"];

/// What a health check requests from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckKind {
    /// Whether the engine is healthy.
    Liveness,
    /// Whether the engine is healthy, and a load report.
    LoadReport,
}

/// A message of an engine, without the id of the request that it answers.
#[derive(Debug, PartialEq)]
pub enum EngineMessage {
    /// The job has completed; the result's other pages can be fetched.
    FirstPage {
        /// The complete rows of page 0.
        page: Vec<u8>,
        /// The number of pages of the result, including this one.
        page_count: u32,
        /// What the job cost, if the engine reports it.
        actual_cost: Option<ActualCost>,
        /// The engine's load, if the engine reports it.
        load_report: Option<LoadReport>,
    },
    /// A page that was fetched.
    FurtherPage {
        /// The complete rows of the page.
        page: Vec<u8>,
        /// The position of the page in the result; that of the first page is 0.
        page_number: u32,
    },
    /// A progress update; `None` if it is of an unknown kind.
    Progress(Option<ProgressUpdate>),
    /// The engine lacks the capacity for the request and did not run it.
    Overloaded(Option<LoadReport>),
    /// The request failed; it may have run.
    Failed(Option<LoadReport>),
    /// The request was received after its deadline and was not run.
    Expired(Option<LoadReport>),
    /// A health check found the engine healthy.
    Healthy(Option<LoadReport>),
    /// A health check found the engine unhealthy.
    Unhealthy(Option<LoadReport>),
}

/// A message that was parsed from the bytes of a connection.
#[derive(Debug, PartialEq)]
pub struct ParsedMessage {
    /// The length of the message in bytes.
    pub length: usize,
    /// The id of the request that it answers.
    pub id: String,
    /// The kind of the message and its fields.
    pub message: EngineMessage,
}

/// Why received bytes violate the engine protocol. The connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EngineProtocolError {
    /// No line end was found within the maximum length of a line.
    #[error("no line end within {MAX_LINE_BYTES} bytes")]
    UnterminatedLine,
    /// The line isn't UTF-8 or doesn't end with CR LF.
    #[error("line is not UTF-8 or does not end with CR LF")]
    LineNotText,
    /// The line doesn't consist of an id, a kind, fields and a payload length.
    #[error("line does not consist of id, kind, fields and payload length")]
    MalformedLine,
    /// The payload length is not a number or exceeds the maximum.
    #[error("payload length is not a number or exceeds {MAX_PAYLOAD_BYTES} bytes")]
    InvalidLength,
    /// The payload is not followed by CR LF.
    #[error("payload is not followed by CR LF")]
    UnterminatedPayload,
    /// The payload doesn't consist of complete rows with the expected number of columns.
    #[error("payload does not consist of complete rows")]
    MalformedRows,
    /// A first page has no valid number of pages.
    #[error("page count is missing or malformed")]
    InvalidPageCount,
    /// A further page has no valid page number.
    #[error("page number is missing or malformed")]
    InvalidPageNumber,
    /// The kind of the message is unknown.
    #[error("unknown message kind")]
    UnknownKind,
}

/// Encodes a request that times out at the engine after `timeout` (at least 1 ms).
pub fn encode_request(
    id: &str,
    class: &str,
    timeout: TimeDelta,
    priority: Option<u8>,
    statement: &[u8],
) -> Vec<u8> {
    let timeout_ms = (timeout.as_millis_f64().floor() as i64).max(1);
    let priority = priority.map(|priority| format!(",{FIELD_PRIORITY}={priority}")).unwrap_or_default();
    let length = statement.len();
    let line = format!(
        "{KIND_REQUEST} {id} {FIELD_CLASS}={class},{FIELD_TIMEOUT_MS}={timeout_ms}{priority} {length}\r\n"
    );
    [line.as_bytes(), statement, LINE_END].concat()
}

/// Encodes the cancellation of a request that has not completed.
pub fn encode_stop(id: &str) -> Vec<u8> {
    format!("{KIND_STOP} {id}\r\n").into()
}

/// Encodes the request for a further page of a result.
pub fn encode_fetch(id: &str, page_number: u32) -> Vec<u8> {
    format!("{KIND_FETCH} {id} {page_number}\r\n").into()
}

/// Encodes the notification that further pages of a result will not be fetched.
pub fn encode_end(id: &str) -> Vec<u8> {
    format!("{KIND_END} {id}\r\n").into()
}

/// Encodes a health check with this id.
pub fn encode_health_check(id: &str, kind: HealthCheckKind) -> Vec<u8> {
    let message_kind = match kind {
        HealthCheckKind::Liveness => KIND_HELLO,
        HealthCheckKind::LoadReport => KIND_STATUS,
    };
    format!("{message_kind} {id}\r\n").into()
}

/// Parses the first message; `None` if it is incomplete.
///
/// # Errors
/// If the bytes are not the beginning of a valid message.
pub fn parse_message(bytes: &[u8]) -> Result<Option<ParsedMessage>, EngineProtocolError> {
    let Some(line_length) = bytes.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        let too_long = bytes.len() >= MAX_LINE_BYTES;
        return if too_long { Err(EngineProtocolError::UnterminatedLine) } else { Ok(None) };
    };
    let line = parse_line(&bytes[..line_length])?;
    let payload_start = line_length + 1;
    let length = payload_start + line.payload_length + LINE_END.len();
    let Some(payload) = bytes.get(payload_start..length) else { return Ok(None) };
    let page = payload.strip_suffix(LINE_END).ok_or(EngineProtocolError::UnterminatedPayload)?;
    if !is_page(page) {
        return Err(EngineProtocolError::MalformedRows);
    }
    let message = parse_body(line.kind, &line.fields, page)?;
    Ok(Some(ParsedMessage { length, id: line.id.to_string(), message }))
}

/// The four parts of a message's line.
struct Line<'a> {
    id: &'a str,
    kind: &'a str,
    fields: Fields<'a>,
    payload_length: usize,
}

/// The fields of a line, such as `sheets=2,toil=12.5`.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn text(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn number(&self, name: &str) -> Option<f64> {
        let value = self.text(name)?.parse::<f64>().ok()?;
        value.is_finite().then_some(value)
    }

    fn load_report(&self) -> Option<LoadReport> {
        self.text(FIELD_LOAD_REPORT).and_then(parse_load_report)
    }

    fn actual_cost(&self) -> Option<ActualCost> {
        let work_ms = self.number(FIELD_WORK_MS)?;
        let memory_mb = self.number(FIELD_MEMORY_MB)?;
        Some(ActualCost { work: TimeDelta::from_millis_f64(work_ms), memory_mb })
    }

    /// The number of pages of the result. Without it, the first page could not be distinguished from a complete result.
    fn page_count(&self) -> Result<u32, EngineProtocolError> {
        let count = self.text(FIELD_PAGE_COUNT).and_then(parse_digits);
        count.filter(|count| *count > 0).ok_or(EngineProtocolError::InvalidPageCount)
    }

    fn page_number(&self) -> Result<u32, EngineProtocolError> {
        let number = self.text(FIELD_PAGE_NUMBER).and_then(parse_digits);
        number.ok_or(EngineProtocolError::InvalidPageNumber)
    }

    fn progress(&self) -> Option<ProgressUpdate> {
        let value = self.number(FIELD_PROGRESS_VALUE)?;
        match self.text(FIELD_PROGRESS_KIND)? {
            PROGRESS_ADVANCE => Some(ProgressUpdate::CompletedFraction(value)),
            PROGRESS_DISK => Some(ProgressUpdate::SpillingToDisk(value)),
            PROGRESS_STALL if value == STALL_FOR_MEMORY => Some(ProgressUpdate::WaitingForMemory),
            PROGRESS_STALL if value == STALL_FOR_BULK_LOAD => Some(ProgressUpdate::WaitingForBulkLoad),
            _ => None,
        }
    }
}

fn parse_line(line: &[u8]) -> Result<Line<'_>, EngineProtocolError> {
    let text = line.strip_suffix(b"\r").and_then(|line| std::str::from_utf8(line).ok());
    let text = text.ok_or(EngineProtocolError::LineNotText)?;
    let parts: Vec<&str> = text.split(' ').collect();
    let [id, kind, fields, length] = parts[..] else { return Err(EngineProtocolError::MalformedLine) };
    let length = length.parse::<usize>().ok().filter(|length| *length <= MAX_PAYLOAD_BYTES);
    let payload_length = length.ok_or(EngineProtocolError::InvalidLength)?;
    Ok(Line { id, kind, fields: Fields(fields), payload_length })
}

fn parse_body(kind: &str, fields: &Fields, page: &[u8]) -> Result<EngineMessage, EngineProtocolError> {
    Ok(match kind {
        KIND_HIT => EngineMessage::FirstPage {
            page: page.to_vec(),
            page_count: fields.page_count()?,
            actual_cost: fields.actual_cost(),
            load_report: fields.load_report(),
        },
        KIND_PART => EngineMessage::FurtherPage { page: page.to_vec(), page_number: fields.page_number()? },
        KIND_INFO => EngineMessage::Progress(fields.progress()),
        KIND_SHED => EngineMessage::Overloaded(fields.load_report()),
        KIND_FAULT => EngineMessage::Failed(fields.load_report()),
        KIND_LATE => EngineMessage::Expired(fields.load_report()),
        KIND_PONG => EngineMessage::Healthy(fields.load_report()),
        KIND_SICK => EngineMessage::Unhealthy(fields.load_report()),
        _ => return Err(EngineProtocolError::UnknownKind),
    })
}

/// Parses a number that consists of digits alone; a sign is malformed.
fn parse_digits(text: &str) -> Option<u32> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Whether these are complete rows of text, with a tab between columns and a line feed after each row.
fn is_page(page: &[u8]) -> bool {
    std::str::from_utf8(page).is_ok_and(|text| text.split_inclusive('\n').all(is_row))
}

fn is_row(row: &str) -> bool {
    let Some(row) = row.strip_suffix('\n') else { return false };
    let columns: Vec<&str> = row.split('\t').collect();
    columns.len() == COLUMNS_PER_ROW && !columns.iter().any(|column| column.chars().any(char::is_control))
}

/// Parses a load report such as `inflight:7;util:0.61`; `None` if it contains no numbers.
fn parse_load_report(text: &str) -> Option<LoadReport> {
    let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
    let numbers = pairs.filter_map(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
    let numbers: Vec<(&str, f64)> = numbers.filter(|(_, value)| value.is_finite()).collect();
    let value = |names: &[&str]| {
        let number = numbers.iter().find(|(name, _)| names.contains(name));
        number.map(|(_, value)| *value)
    };
    (!numbers.is_empty()).then(|| LoadReport {
        jobs_in_flight: value(&REPORT_JOBS_IN_FLIGHT),
        processor_utilization: value(&REPORT_PROCESSOR_UTILIZATION),
        memory_utilization: value(&REPORT_MEMORY_UTILIZATION),
    })
}
