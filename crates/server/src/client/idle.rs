//! How long a connection may be silent before it is closed.

use std::time::Duration;

/// How long a connection may be silent in each of its states.
pub(super) struct IdleLimits {
    /// Before the first byte of the first message.
    pub first_message: Duration,
    /// After the first byte of a message and before its last.
    pub rest_of_message: Duration,
    /// Between messages.
    pub idle: Duration,
}

/// The usual limit before the first message and between messages. It is longer than the time after which clients close
/// idle connections themselves.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The usual limits.
pub(super) const IDLE_LIMITS: IdleLimits =
    IdleLimits { first_message: IDLE_TIMEOUT, rest_of_message: Duration::from_secs(2), idle: IDLE_TIMEOUT };

/// The limits while new connections wait for a descriptor.
pub(super) const IDLE_LIMITS_AT_CAPACITY: IdleLimits = IdleLimits {
    first_message: Duration::from_millis(100),
    rest_of_message: Duration::from_millis(100),
    idle: Duration::from_millis(300),
};
