//! The address of the event bus, which may change while the program runs.

use crate::lifecycle::sync::lock;
use crate::lifecycle::wakeup::wake;
use mio::Waker;
use std::net::SocketAddr;
use std::sync::Mutex;

/// The address of the event bus.
pub struct EventBusAddress {
    current: Mutex<SocketAddr>,
    /// Wakes the thread that follows the event bus.
    waker: Waker,
}

impl EventBusAddress {
    /// An address whose changes wake the thread that waits on this waker's poller.
    pub(super) fn new(address: SocketAddr, waker: Waker) -> EventBusAddress {
        EventBusAddress { current: Mutex::new(address), waker }
    }

    /// Changes the address. The connections to the old one are closed immediately, unless the follower is just
    /// connecting.
    pub fn set(&self, address: SocketAddr) {
        *lock(&self.current) = address;
        // If the system refuses the wake-up, the follower finds the new address after its current wait.
        let _ = wake(&self.waker);
    }

    /// The address at present.
    pub(super) fn get(&self) -> SocketAddr {
        *lock(&self.current)
    }
}
