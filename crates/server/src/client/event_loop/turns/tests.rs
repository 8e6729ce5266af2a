//! The order in which connections are read.

use super::{LOW_PRIORITY_REST_FACTOR, Priority, Turn, TurnQueue};
use crate::client::reading::ReadProgress;
use crate::session::connection_failures::ConnectionId;
use pebblevane::time::Timestamp;
use std::time::{Duration, Instant};

fn turn(connection: usize) -> Turn {
    Turn { connection: ConnectionId(connection), earliest_arrival: Timestamp::default() }
}

fn pop(queue: &mut TurnQueue) -> Option<usize> {
    queue.begin_pass();
    queue.pop().map(|(turn, _)| turn.connection.0)
}

/// Connections whose messages were refused, or which sent as many as allowed, would otherwise be read as often as the
/// others, which then wait for all of them.
#[test]
fn connections_that_send_too_much_are_read_last() {
    let priority_of = [
        Priority::after_turn(0, ReadProgress::AllRead),
        Priority::after_turn(0, ReadProgress::MoreAvailable),
        Priority::after_turn(1, ReadProgress::AllRead),
        Priority::after_turn(0, ReadProgress::MessageLimitReached),
    ];
    let mut queue = TurnQueue::new();
    for (connection, priority) in priority_of.into_iter().enumerate().rev() {
        queue.push(turn(connection), priority);
    }

    let order: Vec<usize> = std::iter::from_fn(|| pop(&mut queue)).collect();
    assert_eq!(order, [1, 0, 3, 2]);
}

/// The turns of all such connections together get only a part of the time, however many they are. Others are read
/// meanwhile.
#[test]
fn a_low_priority_turn_is_followed_by_a_rest() {
    const TURN: Duration = Duration::from_secs(20);
    let mut queue = TurnQueue::new();
    queue.push(turn(1), Priority::Low);
    queue.push(turn(2), Priority::Low);

    assert_eq!(pop(&mut queue), Some(1));
    let started_at = Instant::now().checked_sub(TURN).expect("the machine has run for longer than that");
    queue.record_low_priority_turn(started_at);
    assert_eq!(pop(&mut queue), None);
    let rest = queue.next_turn_in().expect("a connection is queued");
    assert!(rest > TURN * (LOW_PRIORITY_REST_FACTOR - 1), "{rest:?}");
    queue.push(turn(3), Priority::Usual);
    assert_eq!(pop(&mut queue), Some(3));
}
