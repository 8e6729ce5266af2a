//! Whether a dispatch may still be sent: a state shared by the job, which withholds it, and the engine's pool, which
//! sends it.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::SeqCst};

/// How far a dispatch has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum SendState {
    /// The dispatch waits for a connection.
    Queued = 0,
    /// The pool has claimed the dispatch: its first byte is about to be written, or has been.
    Sent = 1,
    /// The dispatch must not be sent, or sent again, from now on.
    Withheld = 2,
}

/// Decides atomically whether a dispatch is sent or withheld, according to which side changes the state first.
#[derive(Default)]
pub(crate) struct SendGate {
    /// A [`SendState`].
    state: AtomicU8,
    /// Whether a byte of the dispatch may have been sent.
    may_have_been_sent: AtomicBool,
}

impl SendGate {
    /// Claims the dispatch for sending. Returns whether it was still queued.
    #[must_use]
    pub(crate) fn try_begin_send(&self) -> bool {
        self.change(SendState::Queued, SendState::Sent)
    }

    /// Withholds the dispatch if it is queued. Returns whether it was.
    pub(crate) fn withhold_if_queued(&self) -> bool {
        self.change(SendState::Queued, SendState::Withheld)
    }

    /// Withholds the dispatch, whatever its state. Returns false if the pool had already begun to send it.
    pub(crate) fn withhold(&self) -> bool {
        self.state.swap(SendState::Withheld as u8, SeqCst) != SendState::Sent as u8
    }

    /// Queues a claimed dispatch again because nothing of it was sent, unless it has been withheld in the meantime.
    pub(crate) fn requeue_unsent(&self) {
        self.change(SendState::Sent, SendState::Queued);
        self.may_have_been_sent.store(false, SeqCst);
    }

    /// Withholds a claimed dispatch of which nothing was sent.
    pub(crate) fn withhold_unsent(&self) {
        self.change(SendState::Sent, SendState::Withheld);
        self.may_have_been_sent.store(false, SeqCst);
    }

    /// Whether the dispatch was withheld.
    pub(crate) fn is_withheld(&self) -> bool {
        self.state.load(SeqCst) == SendState::Withheld as u8
    }

    /// Records that the first byte is about to be written.
    pub(crate) fn record_write(&self) {
        self.may_have_been_sent.store(true, SeqCst);
    }

    /// Whether a byte of the dispatch may have been sent.
    pub(crate) fn may_have_been_sent(&self) -> bool {
        self.may_have_been_sent.load(SeqCst)
    }

    fn change(&self, from: SendState, to: SendState) -> bool {
        self.state.compare_exchange(from as u8, to as u8, SeqCst, SeqCst).is_ok()
    }
}
