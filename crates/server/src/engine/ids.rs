//! Identifiers of connection pools, requests and connections within this process.

/// The number of the connection pool of one engine. Numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolId(pub(crate) u64);

/// The number of a dispatch or health check, unique at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineRequestId(pub(crate) u64);

/// The number of a connection, unique in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EngineConnectionId(pub(crate) u64);
