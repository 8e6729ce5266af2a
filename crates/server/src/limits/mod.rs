//! Resource limits of the process: the quotas of its parts, and the budgets that enforce the quotas.

mod budget;
mod quotas;

pub use budget::{Permit, ResourceBudget};
pub use quotas::{Limits, ResourceQuotas};
