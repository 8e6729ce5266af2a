//! The messages of engines.

/// A message with this id, kind, fields and payload.
pub(super) fn message(id: &str, word: &str, fields: &str, payload: &str) -> Vec<u8> {
    format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len()).into_bytes()
}
