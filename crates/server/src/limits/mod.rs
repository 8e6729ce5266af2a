//! Resource limits of the process: the quotas of its parts, and the budgets that enforce them.

mod budget;
mod quotas;

pub use budget::{Permit, ResourceBudget};
pub use quotas::{Limits, ResourceQuotas};
