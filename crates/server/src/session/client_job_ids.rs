//! Registers the ids that clients have given to jobs. Engines identify jobs by these ids, so no two open jobs may have
//! the same one. A job that may have run, and must not run again, keeps its id for as long as possible: its client may
//! have left without an answer, and submit the job again.

use crate::lifecycle::sync::lock;
use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};

/// The maximum number of ids that are retained after their jobs have ended. The oldest ones are dropped first.
const MAX_RETAINED_IDS: usize = 32_768;
const HEXADECIMAL: u32 = 16;

/// The ids of all open jobs, and of ended ones that must not run again, of all clients.
#[derive(Default)]
pub struct ClientJobIds(Mutex<RegisteredIds>);

#[derive(Default)]
struct RegisteredIds {
    open: HashSet<Box<str>>,
    retained: RetainedIds,
}

/// Ids of ended jobs, as numbers.
#[derive(Default)]
struct RetainedIds {
    ids: HashSet<u64>,
    /// The same ids, the oldest first.
    order: VecDeque<u64>,
}

/// Why an id can't be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationError {
    /// An open job has this id.
    Open,
    /// An ended job had this id, and may have run.
    MayHaveRun,
}

/// The reservation of an id for one open job. Dropping it lets another job use the id.
#[must_use = "dropping the reservation lets another job use the id"]
pub struct ReservedJobId {
    registry: Arc<ClientJobIds>,
    id: Box<str>,
}

impl ClientJobIds {
    /// Reserves an id, unless another job must be taken for the same one.
    ///
    /// # Errors
    /// If an open job uses the id, or an ended one that may have run has used it.
    pub fn reserve(self: &Arc<Self>, id: &str) -> Result<ReservedJobId, ReservationError> {
        let mut registered = lock(&self.0);
        if registered.retained.contains(id) {
            return Err(ReservationError::MayHaveRun);
        }
        if !registered.open.insert(id.into()) {
            return Err(ReservationError::Open);
        }
        Ok(ReservedJobId { registry: self.clone(), id: id.into() })
    }
}

impl RetainedIds {
    fn contains(&self, id: &str) -> bool {
        number(id).is_some_and(|number| self.ids.contains(&number))
    }

    fn insert(&mut self, id: &str) {
        let Some(number) = number(id).filter(|number| self.ids.insert(*number)) else { return };
        self.order.push_back(number);
        if self.order.len() > MAX_RETAINED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}

/// The number that an id denotes. Clients' ids are hexadecimal numbers of 64 bits.
fn number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, HEXADECIMAL).ok()
}

impl ReservedJobId {
    /// The id as the client sent it.
    pub fn as_str(&self) -> &str {
        &self.id
    }

    /// Ends the reservation of a job that must not run again: no other job may use the id.
    pub fn retain(self) {
        lock(&self.registry.0).retained.insert(&self.id);
    }
}

impl Drop for ReservedJobId {
    fn drop(&mut self) {
        lock(&self.registry.0).open.remove(&self.id);
    }
}
