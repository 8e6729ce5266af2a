//! Encodes replies.

use super::{
    DETAIL_REASON, DETAIL_RETRY_AFTER_MS, ERROR_FAILED, ERROR_REJECTED, RESPONSE_PARTS, RESPONSE_TYPE, Reply,
    RequestId,
};
use pebblevane::time::TimeDelta;
use rmp::encode;
use std::error::Error;

type WriteResult = Result<(), Box<dyn Error>>;

/// An upper bound on the bytes of a reply in addition to the rows of its result.
pub const RESULT_OVERHEAD_BYTES: usize = 32;
/// The usual size of a reply without rows.
const USUAL_REPLY_BYTES: usize = 64;

/// Encodes the reply to a request.
pub fn encode(request_id: RequestId, reply: &Reply) -> Vec<u8> {
    let capacity = match reply {
        Reply::Completed { rows } => rows.len() + RESULT_OVERHEAD_BYTES,
        _ => USUAL_REPLY_BYTES,
    };
    let mut bytes = Vec::with_capacity(capacity);
    // Writing to a Vec does not fail.
    let _ = write_reply(&mut bytes, request_id, reply);
    bytes
}

fn write_reply(to: &mut Vec<u8>, request_id: RequestId, reply: &Reply) -> WriteResult {
    encode::write_array_len(to, RESPONSE_PARTS)?;
    encode::write_uint(to, RESPONSE_TYPE)?;
    encode::write_uint(to, u64::from(request_id.0))?;
    match reply {
        Reply::Completed { rows } => {
            write_success_header(to)?;
            encode::write_bin(to, rows)?;
            write_details(to, None)
        }
        Reply::Health(healthy) => {
            write_success_header(to)?;
            encode::write_bool(to, *healthy)?;
            write_details(to, None)
        }
        Reply::Rejected { retry_after } => write_error(to, ERROR_REJECTED, retry_after_detail(*retry_after)),
        Reply::Failed { reason } => {
            write_error(to, ERROR_FAILED, Some(Detail { name: DETAIL_REASON, value: reason.to_string() }))
        }
    }
}

/// The entry in the map of details at the end of an error or result.
struct Detail {
    name: &'static str,
    value: String,
}

fn retry_after_detail(retry_after: TimeDelta) -> Option<Detail> {
    let value = format!("{:.0}", retry_after.as_millis_f64().ceil());
    (retry_after.0 > 0).then_some(Detail { name: DETAIL_RETRY_AFTER_MS, value })
}

/// Writes that there is no error, and the beginning of a result with two entries: its value and its details.
fn write_success_header(to: &mut Vec<u8>) -> WriteResult {
    encode::write_nil(to)?;
    encode::write_array_len(to, 2)?;
    Ok(())
}

/// Writes an error with two entries, its name and its details, and that there is no result.
fn write_error(to: &mut Vec<u8>, name: &str, detail: Option<Detail>) -> WriteResult {
    encode::write_array_len(to, 2)?;
    encode::write_str(to, name)?;
    write_details(to, detail)?;
    encode::write_nil(to)?;
    Ok(())
}

fn write_details(to: &mut Vec<u8>, detail: Option<Detail>) -> WriteResult {
    encode::write_map_len(to, u32::from(detail.is_some()))?;
    if let Some(Detail { name, value }) = detail {
        encode::write_str(to, name)?;
        encode::write_str(to, &value)?;
    }
    Ok(())
}
