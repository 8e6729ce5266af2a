//! Budgets of bytes and of descriptors. A lease gives back what it holds when it is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

pub struct Budget {
    most: usize,
    used: AtomicUsize,
}

/// A part of a budget.
pub struct Lease {
    budget: Arc<Budget>,
    amount: usize,
}

impl Budget {
    pub fn new(most: usize) -> Arc<Budget> {
        Arc::new(Budget { most, used: AtomicUsize::new(0) })
    }
    pub fn lease(self: &Arc<Self>, amount: usize) -> Option<Lease> {
        let more = |used: usize| used.checked_add(amount).filter(|used| *used <= self.most);
        self.used.fetch_update(SeqCst, SeqCst, more).ok()?;
        Some(Lease { budget: self.clone(), amount })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.amount, SeqCst);
    }
}
