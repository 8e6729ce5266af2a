//! Resource budgets grant no more than their capacity, and permits return what they held. Quotas divide the configured
//! limits among budgets.

use pebblevane_server::limits::{Limits, ResourceBudget, ResourceQuotas};

#[test]
fn a_dropped_permit_returns_what_it_held() {
    let budget = ResourceBudget::new(10);
    let permit = budget.acquire(7).unwrap();
    assert!(budget.acquire(4).is_none());
    drop(permit);
    assert!(budget.acquire(10).is_some());
}

#[test]
fn growth_beyond_the_capacity_changes_nothing() {
    let budget = ResourceBudget::new(10);
    let mut permit = budget.acquire(7).unwrap();
    assert!(!permit.grow_to(11));
    assert!(!permit.grow_to(usize::MAX));
    assert!(permit.grow_to(9));
    assert!(budget.acquire(2).is_none());
    assert!(budget.acquire(1).is_some());
}

#[test]
fn growth_to_less_keeps_what_is_held_and_shrinking_returns_it() {
    let budget = ResourceBudget::new(10);
    let mut permit = budget.acquire(7).unwrap();
    assert!(permit.grow_to(3));
    assert!(budget.acquire(4).is_none());
    permit.shrink_to(3);
    assert!(budget.acquire(7).is_some());
}

#[test]
fn permits_that_are_split_and_merged_hold_the_same_together() {
    let budget = ResourceBudget::new(10);
    let mut permit = budget.acquire(9).unwrap();
    let mut other = permit.split_off(3);
    assert!(budget.acquire(2).is_none());
    drop(permit);
    assert!(budget.acquire(5).is_none());
    other.merge(budget.acquire(4).unwrap());
    assert!(budget.acquire(1).is_none());
    drop(other);
    assert!(budget.acquire(10).is_some());
}

#[test]
fn quotas_divide_the_limits() {
    let quotas = ResourceQuotas::from_limits(Limits { sockets: 1000, memory_mb: 64 });
    assert_eq!(quotas.client_connections, 400);
    assert_eq!(quotas.engine_connections, 576);
    assert_eq!(quotas.connections_per_engine, 48);
    assert_eq!(quotas.open_jobs, 954);
    assert_eq!(quotas.buffer_bytes, 27_361_280);
    assert_eq!(quotas.event_line_bytes, 4 * 1024 * 1024);
}

#[test]
fn quotas_of_small_limits_are_the_minimums() {
    let quotas = ResourceQuotas::from_limits(Limits { sockets: 0, memory_mb: 0 });
    assert_eq!((quotas.client_connections, quotas.engine_connections), (0, 0));
    assert_eq!((quotas.connections_per_engine, quotas.open_jobs), (4, 64));
    assert_eq!((quotas.buffer_bytes, quotas.event_line_bytes), (1024 * 1024, 1024 * 1024));
}
