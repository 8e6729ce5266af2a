//! Identifiers of engines' pools, requests and connections within this process.

/// An engine's pool. Numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolId(pub(crate) u64);

/// A dispatch or health check at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestId(pub(crate) u64);

/// A connection of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(crate) u64);
