//! Decodes complete messages.

use super::{
    ClientRequest, FIELD_CLIENT_TIMEOUT_MS, FIELD_ESTIMATED_COST_MS, FIELD_IS_RETRY, FIELD_JOB_ID,
    FIELD_MEMORY_MB, FLAG_SET, Frame, InvalidRequest, METHOD_CANCEL, METHOD_HEALTH_CHECK, Message,
    NOTIFICATION_PARTS, NOTIFICATION_TYPE, REQUEST_PARTS, REQUEST_TYPE, RequestId, frame,
};
use pebblevane::time::TimeDelta;
use rmp::{Marker, decode};

const JOB_ID_BYTES: usize = 16;
/// Client timeouts are less than this (one day).
const MAX_CLIENT_TIMEOUT_MS: f64 = 86_400_000.0;
/// Numbers in fields are less than this.
const NUMBER_LIMIT: f64 = 1e12;
/// The parameters of a job: the map of fields, and the statement. Further ones are ignored.
const MIN_PARAMETERS: u32 = 2;

/// Decodes a complete message, or returns `None` if it is neither a valid request nor a valid notification.
/// `class_names` are the names of the job classes, in the order of the settings.
pub fn decode(mut bytes: &[u8], class_names: &[String]) -> Option<Message> {
    let rest = &mut bytes;
    let parts = decode::read_array_len(rest).ok()?;
    let message_type: u8 = decode::read_int(rest).ok()?;
    match (message_type, parts) {
        (REQUEST_TYPE, REQUEST_PARTS) => decode_request(rest, class_names),
        (NOTIFICATION_TYPE, NOTIFICATION_PARTS) => decode_notification(rest),
        _ => None,
    }
}

/// Decodes the id of a request from the beginning of its message; `None` if this is not the beginning of a request.
pub fn decode_request_id(mut beginning: &[u8]) -> Option<RequestId> {
    let rest = &mut beginning;
    let parts = decode::read_array_len(rest).ok()?;
    let message_type: u8 = decode::read_int(rest).ok()?;
    let is_request = (message_type, parts) == (REQUEST_TYPE, REQUEST_PARTS);
    is_request.then(|| decode::read_int(rest).ok().map(RequestId)).flatten()
}

/// Whether any of the messages in `bytes` cancels the request. The last message may be incomplete and is then ignored.
pub fn contains_cancellation(mut bytes: &[u8], request_id: RequestId) -> bool {
    while let Frame::Complete(length) = frame(bytes) {
        let message = decode(&bytes[..length], &[]);
        if matches!(message, Some(Message::Cancel(cancelled)) if cancelled.contains(&request_id)) {
            return true;
        }
        bytes = &bytes[length..];
    }
    false
}

fn decode_request(rest: &mut &[u8], class_names: &[String]) -> Option<Message> {
    let request_id = RequestId(decode::read_int(rest).ok()?);
    let method = read_text(rest)?;
    if method == METHOD_HEALTH_CHECK {
        return Some(Message::HealthCheck(request_id));
    }
    let class = class_names.iter().position(|name| name == method);
    let request = class
        .ok_or_else(|| InvalidRequest::UnknownClass(method.to_string()))
        .and_then(|class| decode_job(rest, request_id, class));
    Some(match request {
        Ok(request) => Message::Submit(request),
        Err(reason) => Message::Invalid { request_id, reason },
    })
}

fn decode_notification(rest: &mut &[u8]) -> Option<Message> {
    if read_text(rest)? != METHOD_CANCEL {
        return Some(Message::UnknownNotification);
    }
    let count = decode::read_array_len(rest).ok()?;
    let request_ids = (0..count).map(|_| decode::read_int(rest).ok().map(RequestId));
    request_ids.collect::<Option<_>>().map(Message::Cancel)
}

fn decode_job(
    rest: &mut &[u8],
    request_id: RequestId,
    class: usize,
) -> Result<ClientRequest, InvalidRequest> {
    if decode::read_array_len(rest).ok().is_none_or(|count| count < MIN_PARAMETERS) {
        return Err(InvalidRequest::MalformedParameters);
    }
    let fields = JobFields::decode(rest)?;
    let statement = read_statement(rest).ok_or(InvalidRequest::MalformedStatement)?;
    let client_job_id = fields.client_job_id.ok_or_else(|| malformed(FIELD_JOB_ID))?;
    let client_timeout_ms = fields.client_timeout_ms.ok_or_else(|| malformed(FIELD_CLIENT_TIMEOUT_MS))?;
    Ok(ClientRequest {
        request_id,
        client_job_id,
        class,
        client_timeout: TimeDelta::from_millis_f64(client_timeout_ms),
        is_retry: fields.is_retry,
        estimated_cost: fields.estimated_cost_ms.map(TimeDelta::from_millis_f64),
        memory_mb: fields.memory_mb.filter(|memory_mb| *memory_mb > 0.0),
        statement: statement.into(),
    })
}

/// The fields of a job; `None` for those that are missing or out of range.
#[derive(Default)]
struct JobFields {
    client_job_id: Option<Box<str>>,
    client_timeout_ms: Option<f64>,
    estimated_cost_ms: Option<f64>,
    memory_mb: Option<f64>,
    is_retry: bool,
}

impl JobFields {
    fn decode(rest: &mut &[u8]) -> Result<JobFields, InvalidRequest> {
        let mut fields = JobFields::default();
        let count = decode::read_map_len(rest).map_err(|_| InvalidRequest::MalformedFieldMap)?;
        for _ in 0..count {
            let name = read_text(rest).ok_or(InvalidRequest::MalformedFieldName)?;
            let value = read_text(rest).ok_or_else(|| malformed(name))?;
            fields.set(name, value)?;
        }
        Ok(fields)
    }

    /// Sets a field; one with an unknown name is ignored.
    fn set(&mut self, name: &str, value: &str) -> Result<(), InvalidRequest> {
        match name {
            FIELD_JOB_ID => self.client_job_id = is_job_id(value).then(|| value.into()),
            FIELD_CLIENT_TIMEOUT_MS => {
                let timeout_ms = parse_number(name, value)?;
                self.client_timeout_ms = Some(timeout_ms).filter(|ms| *ms < MAX_CLIENT_TIMEOUT_MS);
            }
            FIELD_ESTIMATED_COST_MS => self.estimated_cost_ms = Some(parse_number(name, value)?),
            FIELD_MEMORY_MB => self.memory_mb = Some(parse_number(name, value)?),
            FIELD_IS_RETRY => self.is_retry = value == FLAG_SET,
            _ => {}
        }
        Ok(())
    }
}

fn malformed(field: &str) -> InvalidRequest {
    InvalidRequest::MalformedField(field.to_string())
}

fn is_job_id(value: &str) -> bool {
    value.len() == JOB_ID_BYTES && value.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a number from 0 up to the limit, which is excluded.
fn parse_number(field: &str, value: &str) -> Result<f64, InvalidRequest> {
    let number = value.parse().ok().filter(|number| (0.0..NUMBER_LIMIT).contains(number));
    number.ok_or_else(|| malformed(field))
}

fn read_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let (text, after) = decode::read_str_from_slice(*rest).ok()?;
    *rest = after;
    Some(text)
}

/// Reads the statement, which may be sent as bytes or as text.
fn read_statement<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let marker = rest.first().map(|first| Marker::from_u8(*first))?;
    let length = match marker {
        Marker::Bin8 | Marker::Bin16 | Marker::Bin32 => decode::read_bin_len(rest).ok()?,
        _ => decode::read_str_len(rest).ok()?,
    };
    rest.get(..length as usize)
}
