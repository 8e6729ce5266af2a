//! Budgets of bytes and of descriptors. A lease gives back what it holds when it is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

pub struct Budget {
    most: usize,
    used: AtomicUsize,
    /// How often it did not suffice.
    pub refused: AtomicUsize,
}

/// A part of a budget.
pub struct Lease {
    budget: Arc<Budget>,
    amount: usize,
}

impl Budget {
    pub fn new(most: usize) -> Arc<Budget> {
        Arc::new(Budget { most, used: AtomicUsize::new(0), refused: AtomicUsize::new(0) })
    }
    pub fn used(&self) -> usize {
        self.used.load(SeqCst)
    }
    pub fn lease(self: &Arc<Self>, amount: usize) -> Option<Lease> {
        let more = |used: usize| used.checked_add(amount).filter(|used| *used <= self.most);
        match self.used.fetch_update(SeqCst, SeqCst, more) {
            Ok(_) => Some(Lease { budget: self.clone(), amount }),
            Err(_) => {
                self.refused.fetch_add(1, SeqCst);
                None
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.amount, SeqCst);
    }
}
