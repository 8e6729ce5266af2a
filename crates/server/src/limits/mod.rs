//! Resource limits of the process: how they are divided, and budgets that enforce the parts.

mod budget;
mod quotas;

pub use budget::{Permit, ResourceBudget};
pub use quotas::{Limits, ResourceQuotas};
