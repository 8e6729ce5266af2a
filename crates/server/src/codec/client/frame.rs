//! Finds the end of a message, and enforces the limits on its size before any of it is decoded.

use super::ProtocolError;
use rmp::Marker;

/// The maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// The maximum number of levels of nesting. The outermost level contains only the message, so non-empty lists and maps,
/// including the message itself, may be nested five deep.
const MAX_NESTING_LEVELS: usize = 6;
/// The maximum length of a string, in bytes.
const MAX_STRING_BYTES: usize = 4096;
/// The maximum number of entries in a list or a map.
const MAX_ENTRIES: usize = 64;
/// The maximum number of values in a message, including lists, maps and the keys of maps.
const MAX_VALUES: usize = 512;

/// What is found at the beginning of the received bytes.
#[derive(Debug, PartialEq)]
pub enum Frame {
    /// A complete message of this many bytes.
    Complete(usize),
    /// The beginning of a message.
    Incomplete,
    /// Bytes that violate the protocol.
    Invalid(ProtocolError),
}

/// Finds the end of the first message without decoding the message.
pub fn frame(bytes: &[u8]) -> Frame {
    match FrameScanner::default().scan(bytes) {
        Ok(ScanProgress::Complete { scanned }) => Frame::Complete(scanned),
        Ok(ScanProgress::Incomplete { .. }) => Frame::Incomplete,
        Err(error) => Frame::Invalid(error),
    }
}

/// Finds the end of one message whose bytes arrive in parts. Bytes that have been scanned are not needed again.
#[derive(Default)]
pub struct FrameScanner {
    nesting: Nesting,
    /// The values whose headers have been read.
    values: usize,
    /// The length in bytes of these values.
    length: usize,
    /// The bytes of the last of these values that have not been scanned yet.
    unscanned: usize,
}

/// How far a message has been scanned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanProgress {
    /// The message ends after these bytes.
    Complete {
        /// How many bytes were scanned.
        scanned: usize,
    },
    /// The message goes on after these bytes.
    Incomplete {
        /// How many bytes were scanned. Any others are the beginning of a header, and have to be scanned again with the
        /// rest of it.
        scanned: usize,
    },
}

impl FrameScanner {
    /// Scans the bytes that follow those scanned before.
    ///
    /// # Errors
    /// If the bytes violate the protocol.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<ScanProgress, ProtocolError> {
        let mut scanned = 0;
        loop {
            let available = self.unscanned.min(bytes.len() - scanned);
            self.unscanned -= available;
            scanned += available;
            if self.unscanned > 0 {
                return Ok(ScanProgress::Incomplete { scanned });
            }
            if !self.nesting.expects_value() {
                return Ok(ScanProgress::Complete { scanned });
            }
            let Some(header) = ValueHeader::read(&bytes[scanned..])? else {
                return Ok(ScanProgress::Incomplete { scanned });
            };
            self.add_value(&header)?;
        }
    }

    fn add_value(&mut self, header: &ValueHeader) -> Result<(), ProtocolError> {
        if self.values == 0 && !header.begins_message() {
            return Err(ProtocolError::NotAMessage);
        }
        self.values += 1;
        self.length += header.length;
        if self.values > MAX_VALUES || self.length > MAX_MESSAGE_BYTES {
            return Err(ProtocolError::MessageTooLong);
        }
        self.unscanned = header.length;
        self.nesting.add_value(header.entries)
    }
}

/// The number of values still expected at each level of nesting.
struct Nesting {
    expected: [usize; MAX_NESTING_LEVELS],
    depth: usize,
}

impl Default for Nesting {
    /// Expects one value, the message.
    fn default() -> Nesting {
        let mut expected = [0; MAX_NESTING_LEVELS];
        expected[0] = 1;
        Nesting { expected, depth: 0 }
    }
}

impl Nesting {
    /// Leaves the levels that are complete, and returns false if all of them are.
    fn expects_value(&mut self) -> bool {
        while self.expected[self.depth] == 0 {
            if self.depth == 0 {
                return false;
            }
            self.depth -= 1;
        }
        true
    }

    /// Counts a value, and enters a new level if the value has entries of its own.
    fn add_value(&mut self, entries: usize) -> Result<(), ProtocolError> {
        self.expected[self.depth] -= 1;
        if entries == 0 {
            return Ok(());
        }
        self.depth += 1;
        if self.depth == MAX_NESTING_LEVELS {
            return Err(ProtocolError::NestedTooDeep);
        }
        self.expected[self.depth] = entries;
        Ok(())
    }
}

/// The first bytes of a value, which encode its type and size.
struct ValueHeader {
    marker: Marker,
    /// The length of the value in bytes, without its entries.
    length: usize,
    /// The number of values that it contains; 0 if it is not a list or map.
    entries: usize,
}

impl ValueHeader {
    /// The header at the beginning of `bytes`, or `None` if a part of it is missing.
    fn read(bytes: &[u8]) -> Result<Option<ValueHeader>, ProtocolError> {
        let Some(&first) = bytes.first() else { return Ok(None) };
        let marker = Marker::from_u8(first);
        let header_bytes = 1 + size_field_bytes(marker);
        let Some(size_field) = bytes.get(1..header_bytes) else { return Ok(None) };
        let size = size_field.iter().fold(0usize, |size, byte| size << 8 | usize::from(*byte));
        let (payload_bytes, entries) = match entries(marker, size) {
            Some(entries) => (0, entries),
            None => (payload_bytes(marker, size).ok_or(ProtocolError::UnsupportedValue)?, 0),
        };
        Ok(Some(ValueHeader { marker, length: header_bytes + payload_bytes, entries }))
    }

    fn begins_message(&self) -> bool {
        matches!(self.marker, Marker::FixArray(3 | 4))
    }
}

/// The number of bytes after the marker that encode the length of a string, or the number of entries of a list or map.
fn size_field_bytes(marker: Marker) -> usize {
    match marker {
        Marker::Str8 | Marker::Bin8 => 1,
        Marker::Str16 | Marker::Bin16 | Marker::Array16 | Marker::Map16 => 2,
        Marker::Str32 | Marker::Bin32 | Marker::Array32 | Marker::Map32 => 4,
        _ => 0,
    }
}

/// The number of values in a list or map, where the keys of a map are values, too. `None` for other types and above the
/// limit.
fn entries(marker: Marker, size: usize) -> Option<usize> {
    match marker {
        Marker::FixArray(count) => Some(usize::from(count)),
        Marker::FixMap(count) => Some(2 * usize::from(count)),
        Marker::Array16 | Marker::Array32 if size <= MAX_ENTRIES => Some(size),
        Marker::Map16 | Marker::Map32 if size <= MAX_ENTRIES => Some(2 * size),
        _ => None,
    }
}

/// The number of bytes after the header of a scalar value. `None` for other types and above the limit.
fn payload_bytes(marker: Marker, size: usize) -> Option<usize> {
    match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => Some(0),
        Marker::U8 | Marker::I8 => Some(1),
        Marker::U16 | Marker::I16 => Some(2),
        Marker::U32 | Marker::I32 | Marker::F32 => Some(4),
        Marker::U64 | Marker::I64 | Marker::F64 => Some(8),
        Marker::FixStr(length) => Some(usize::from(length)),
        Marker::Str8 | Marker::Str16 | Marker::Str32 if size <= MAX_STRING_BYTES => Some(size),
        Marker::Bin8 | Marker::Bin16 | Marker::Bin32 if size <= MAX_MESSAGE_BYTES => Some(size),
        _ => None,
    }
}
