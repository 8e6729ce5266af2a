//! Recognizes temporary errors of system calls, after which the same call may succeed a moment later.

use std::io::{Error, ErrorKind};

/// Linux error numbers that may be temporary for any call that allocates a resource: EINTR, EAGAIN, ENOMEM, ENFILE,
/// EMFILE and ENOBUFS.
const TRANSIENT_ERRNOS: [i32; 6] = [4, 11, 12, 23, 24, 105];

/// Whether the allocation of a resource failed only temporarily, so that a later attempt may succeed.
pub fn is_transient_resource_error(error: &Error) -> bool {
    let by_kind =
        matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::ConnectionAborted | ErrorKind::WouldBlock);
    has_transient_errno(error) || by_kind
}

/// Whether a read or write on a connection failed only temporarily. Any other error ends the connection.
pub fn is_transient_io_error(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) || has_transient_errno(error)
}

fn has_transient_errno(error: &Error) -> bool {
    error.raw_os_error().is_some_and(|number| TRANSIENT_ERRNOS.contains(&number))
}
