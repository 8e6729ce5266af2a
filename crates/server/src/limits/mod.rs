//! Budgets of bytes, threads and descriptors, derived from the limits told at the start. A lease gives back what
//! it holds when it is dropped.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What an idle program holds, and what the allocator keeps beside what is in use.
const IDLE_BYTES: usize = 8 * 1024 * 1024;
/// What a connection takes, and an open job with its thread: measured as resident memory over their number.
const CONNECTION_BYTES: usize = 4 * 1024;
const JOB_BYTES: usize = 28 * 1024;
/// The most jobs that any limits allow.
const MOST_JOBS: usize = 1536;
/// For the listener, the event bus, the log, a connection that has just come and what the system wants.
const SPARE_SOCKETS: usize = 24;
/// Where the descriptors for engines are shared by this many, each may have its part of them.
const ENGINES: usize = 6;

/// The part of the memory that one line of the event bus may take, and the least: a whole list is one line.
const LIST_PART: usize = 16;
const LEAST_LIST: usize = 1024 * 1024;

/// What the program may use.
#[derive(Clone, Copy, PartialEq)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: usize,
}

/// What each part of the program may use.
pub struct ResourceQuotas {
    /// Client connections: more than the third that clients hold, so that others can be let in to be turned away.
    pub clients: usize,
    /// Connections to all engines, and to one.
    pub engines: usize,
    pub engine: usize,
    pub jobs: usize,
    /// Statements, results and unfinished messages.
    pub bytes: usize,
    /// One line of the event bus.
    pub list_line: usize,
}

impl ResourceQuotas {
    pub fn of(limits: Limits) -> ResourceQuotas {
        let clients = limits.sockets * 2 / 5;
        let engines = limits.sockets.saturating_sub(clients + SPARE_SOCKETS);
        let connections = (clients + engines) * CONNECTION_BYTES;
        let memory = (limits.memory_mb * 1024 * 1024).saturating_sub(IDLE_BYTES + connections);
        ResourceQuotas {
            clients,
            engines,
            engine: (engines / ENGINES).clamp(4, 48),
            jobs: (memory / 2 / JOB_BYTES).clamp(64, MOST_JOBS),
            bytes: (memory / 2).max(1024 * 1024),
            list_line: (limits.memory_mb * 1024 * 1024 / LIST_PART).max(LEAST_LIST),
        }
    }
}

pub struct ResourceBudget {
    most: usize,
    used: Mutex<usize>,
}

/// A part of a budget.
pub struct Permit {
    budget: Arc<ResourceBudget>,
    amount: usize,
}

impl ResourceBudget {
    pub fn new(most: usize) -> Arc<ResourceBudget> {
        Arc::new(ResourceBudget { most, used: Mutex::new(0) })
    }
    fn used(&self) -> MutexGuard<'_, usize> {
        // A panic ends the program, so that nobody sees what a panic left behind.
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub fn lease(self: &Arc<Self>, amount: usize) -> Option<Permit> {
        let mut lease = Permit { budget: self.clone(), amount: 0 };
        lease.grow_to(amount).then_some(lease)
    }
}

impl Permit {
    /// Holds so much from now on, if the budget allows it.
    pub fn grow_to(&mut self, amount: usize) -> bool {
        let more = amount.saturating_sub(self.amount);
        let budget = self.budget.clone();
        let mut used = budget.used();
        let allowed = used.checked_add(more).is_some_and(|used| used <= budget.most);
        if allowed {
            *used += more;
            self.amount += more;
        }
        allowed
    }
    /// Gives back what is held past this.
    pub fn shrink_to(&mut self, amount: usize) {
        let less = self.amount.saturating_sub(amount);
        *self.budget.used() -= less;
        self.amount -= less;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
