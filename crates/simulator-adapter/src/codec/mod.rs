//! The simulator's line protocol: its names, the decoding of events and the encoding of steps.

pub(crate) mod decode;
pub(crate) mod encode;
pub(crate) mod wire_names;
