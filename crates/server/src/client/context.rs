//! What all client connections share.

use crate::config::retry_semantics::RetrySemantics;
use crate::decision::ControllerHandle;
use crate::lifecycle::shutdown::ShutdownState;
use crate::limits::{ResourceBudget, ResourceQuotas};
use crate::session::client_job_ids::ClientJobIds;
use std::sync::Arc;

/// What all client connections share.
pub struct ClientContext {
    pub(super) controller: Arc<ControllerHandle>,
    pub(super) shutdown: Arc<ShutdownState>,
    /// The names of the job classes, in the order of the settings.
    pub(super) class_names: Vec<String>,
    pub(super) classes: Vec<JobClass>,
    pub(super) client_job_ids: Arc<ClientJobIds>,
    /// Descriptors of client connections.
    pub(super) descriptors: Arc<ResourceBudget>,
    /// Bytes of statements, results, incomplete messages and answers that were not read yet.
    pub(super) buffer_bytes: Arc<ResourceBudget>,
    /// Open jobs.
    pub(super) open_jobs: Arc<ResourceBudget>,
}

/// What admission needs to know of a job class.
pub(super) struct JobClass {
    pub name: Arc<str>,
    pub retry_semantics: RetrySemantics,
}

impl ClientContext {
    /// Budgets within `quotas` for clients of this controller. `class_names` and `retry_semantics` are those of the
    /// job classes, in the order of the settings.
    pub fn new(
        controller: Arc<ControllerHandle>,
        shutdown: Arc<ShutdownState>,
        class_names: Vec<String>,
        retry_semantics: Vec<RetrySemantics>,
        quotas: &ResourceQuotas,
    ) -> ClientContext {
        let names = class_names.iter().map(|name| name.as_str().into());
        let classes = names.zip(retry_semantics);
        let classes = classes.map(|(name, retry_semantics)| JobClass { name, retry_semantics }).collect();
        ClientContext {
            controller,
            shutdown,
            class_names,
            classes,
            client_job_ids: Arc::default(),
            descriptors: ResourceBudget::new(quotas.client_connections),
            buffer_bytes: ResourceBudget::new(quotas.buffer_bytes),
            open_jobs: ResourceBudget::new(quotas.open_jobs),
        }
    }
}
