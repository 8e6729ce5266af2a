//! The state and limits that all client connections share.

use crate::config::retry_safety::RetrySafety;
use crate::decision::ControllerHandle;
use crate::lifecycle::shutdown::ShutdownState;
use crate::limits::{ResourceBudget, ResourceQuotas};
use crate::session::client_job_ids::ClientJobIds;
use std::sync::Arc;

/// The state and limits that all client connections share.
pub struct ClientContext {
    pub(super) controller: Arc<ControllerHandle>,
    pub(super) shutdown: Arc<ShutdownState>,
    /// The names of the job classes, in the order of the settings.
    pub(super) class_names: Vec<String>,
    pub(super) classes: Vec<JobClass>,
    pub(super) client_job_ids: Arc<ClientJobIds>,
    /// Limits the descriptors of client connections.
    pub(super) descriptors: Arc<ResourceBudget>,
    /// Limits the bytes of statements, results, incomplete messages and answers that clients have not read yet.
    pub(super) buffer_bytes: Arc<ResourceBudget>,
    /// Limits the open jobs.
    pub(super) open_jobs: Arc<ResourceBudget>,
}

/// The properties of a job class that admission uses.
pub(super) struct JobClass {
    pub name: Arc<str>,
    pub retry_safety: RetrySafety,
}

/// The parts of the program that client connections use, and the settings and limits that apply to them.
pub struct ClientContextConfig<'a> {
    /// Decides on the clients' jobs.
    pub controller: Arc<ControllerHandle>,
    /// Whether the process is shutting down.
    pub shutdown: Arc<ShutdownState>,
    /// The names of the job classes, in the order of the settings.
    pub class_names: Vec<String>,
    /// Whether the jobs of each class may be retried, in the same order.
    pub retry_safety: Vec<RetrySafety>,
    /// The limits of connections, buffers and open jobs.
    pub quotas: &'a ResourceQuotas,
}

impl ClientContext {
    /// Creates the context, with budgets as large as the quotas.
    pub fn new(config: ClientContextConfig) -> ClientContext {
        let ClientContextConfig { controller, shutdown, class_names, retry_safety, quotas } = config;
        let names = class_names.iter().map(|name| name.as_str().into());
        let classes = names.zip(retry_safety);
        let classes = classes.map(|(name, retry_safety)| JobClass { name, retry_safety }).collect();
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
