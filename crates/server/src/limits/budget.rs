//! A budget of one resource, such as bytes, jobs or descriptors, and permits for parts of it.

use crate::lifecycle::sync::lock;
use std::sync::{Arc, Mutex};

/// A fixed amount of one resource, of which parts are acquired as [`Permit`]s.
pub struct ResourceBudget {
    capacity: usize,
    in_use: Mutex<usize>,
}

/// A part of a budget, returned to it when the permit is dropped.
#[must_use = "dropping a permit returns its part of the budget at once"]
pub struct Permit {
    budget: Arc<ResourceBudget>,
    amount: usize,
}

impl ResourceBudget {
    /// Creates a budget with this capacity, in units of its resource.
    pub fn new(capacity: usize) -> Arc<ResourceBudget> {
        Arc::new(ResourceBudget { capacity, in_use: Mutex::new(0) })
    }

    /// Acquires `amount` from the budget, or returns `None` if less is left. This never blocks.
    #[must_use = "dropping the permit returns its part at once"]
    pub fn acquire(self: &Arc<Self>, amount: usize) -> Option<Permit> {
        let mut permit = Permit { budget: self.clone(), amount: 0 };
        permit.grow_to(amount).then_some(permit)
    }
}

impl Permit {
    /// Raises the amount held to `amount` and returns true, or returns false and changes nothing if the budget does not
    /// have enough left. If more is held already, it is kept.
    #[must_use = "false means that the amount was not granted"]
    pub fn grow_to(&mut self, amount: usize) -> bool {
        let additional = amount.saturating_sub(self.amount);
        let budget = self.budget.clone();
        let mut in_use = lock(&budget.in_use);
        let granted = in_use.checked_add(additional).is_some_and(|total| total <= budget.capacity);
        if granted {
            *in_use += additional;
            self.amount += additional;
        }
        granted
    }

    /// Moves what is held beyond `amount` to a new permit.
    pub fn split_off(&mut self, amount: usize) -> Permit {
        let excess = self.amount.saturating_sub(amount);
        self.amount -= excess;
        Permit { budget: self.budget.clone(), amount: excess }
    }

    /// Adds what another permit of the same budget holds.
    ///
    /// # Panics
    /// If the other permit is of another budget.
    pub fn merge(&mut self, mut other: Permit) {
        assert!(Arc::ptr_eq(&self.budget, &other.budget), "the permits are of two budgets");
        self.amount += std::mem::take(&mut other.amount);
    }

    /// Returns the amount held beyond `amount` to the budget.
    pub fn shrink_to(&mut self, amount: usize) {
        let excess = self.amount.saturating_sub(amount);
        *lock(&self.budget.in_use) -= excess;
        self.amount -= excess;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
