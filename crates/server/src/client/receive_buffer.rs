//! The growth of the buffers that hold incomplete messages.

/// The capacity of a buffer is a multiple of this.
const CAPACITY_STEP_BYTES: usize = 4096;
/// A buffer that is too small grows to its new length and this part of it.
const CAPACITY_GROWTH_DIVISOR: usize = 8;

/// Appends bytes to a buffer whose capacity exceeds its length only by a small part: the budget counts the length, and
/// hundreds of buffers may grow at the same time.
pub(super) fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let length = buffer.len() + bytes.len();
    if length > buffer.capacity() {
        let capacity = length.max(length / CAPACITY_GROWTH_DIVISOR * (CAPACITY_GROWTH_DIVISOR + 1));
        buffer.reserve_exact(capacity.next_multiple_of(CAPACITY_STEP_BYTES) - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}
