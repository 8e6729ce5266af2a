//! The client's side of the client protocol.

use crate::history::{Request, RequestEnd};
use crate::testbed::Testbed;
use rmp::{decode, encode};
use std::io::Cursor;

/// A request that submits a job.
pub(super) fn encode_request(testbed: &Testbed, message_number: u32, request: &Request) -> Vec<u8> {
    let class = &testbed.schedule.classes[request.class];
    let timeout = request.timeout_ms.to_string();
    let fields = [("i", request.id.as_str()), ("d", &timeout), ("h", "20.0"), ("mem", "16")];
    let mut bytes = vec![0x94, 0];
    // Writing to a vector can't fail.
    let _ = encode::write_uint(&mut bytes, message_number.into());
    let _ = encode::write_str(&mut bytes, &class.name);
    let _ = encode::write_array_len(&mut bytes, 2);
    let _ = encode::write_map_len(&mut bytes, fields.len() as u32);
    for part in fields.iter().flat_map(|(name, value)| [name, value]) {
        let _ = encode::write_str(&mut bytes, part);
    }
    let group = request.id.bytes().fold(0u32, |sum, byte| sum * 31 % 97 + u32::from(byte)) % 23;
    let _ = encode::write_bin(&mut bytes, format!("select * from sales_{group}.orders").as_bytes());
    bytes
}

/// The cancellation of a request.
pub(super) fn encode_cancellation(message_number: u32) -> Vec<u8> {
    let mut bytes = b"\x93\x02\xa6forget\x91".to_vec();
    // Writing to a vector can't fail.
    let _ = encode::write_uint(&mut bytes, message_number.into());
    bytes
}

/// The first answer, if it is complete: its length in bytes, its message number and the end that it means.
pub(super) fn decode_answer(bytes: &[u8]) -> Option<(usize, u32, RequestEnd)> {
    let mut from = Cursor::new(bytes);
    let text = |from: &mut Cursor<&[u8]>, length: u32| {
        let start = from.position() as usize;
        let text = bytes.get(start..start + length as usize)?;
        from.set_position((start + length as usize) as u64);
        Some(String::from_utf8_lossy(text).to_string())
    };
    decode::read_array_len(&mut from).ok()?;
    decode::read_int::<u8, _>(&mut from).ok()?;
    let message_number: u32 = decode::read_int(&mut from).ok()?;
    let is_result = *bytes.get(from.position() as usize)? == 0xc0;
    if is_result {
        decode::read_nil(&mut from).ok()?;
    }
    decode::read_array_len(&mut from).ok()?;
    let end = if is_result {
        let length = decode::read_bin_len(&mut from).ok()?;
        RequestEnd::Done { rows: text(&mut from, length)? }
    } else {
        let length = decode::read_str_len(&mut from).ok()?;
        match text(&mut from, length)? {
            why if why == "Busy" => RequestEnd::Busy,
            reason => RequestEnd::Failed { reason },
        }
    };
    for _ in 0..2 * decode::read_map_len(&mut from).ok()? {
        let length = decode::read_str_len(&mut from).ok()?;
        text(&mut from, length)?;
    }
    if !is_result {
        decode::read_nil(&mut from).ok()?;
    }
    Some((from.position() as usize, message_number, end))
}
