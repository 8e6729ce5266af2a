//! The pauses between attempts to connect to the event bus.

use std::time::Duration;

const INITIAL_PAUSE_MS: u64 = 50;
const MAX_PAUSE_MS: u64 = 800;
/// The linear congruential generator of Knuth's MMIX.
const LCG_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const LCG_INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The low bits are discarded, since their periods are short.
const LCG_DISCARDED_BITS: u32 = 33;

/// Exponential backoff with jitter, so that processes that lost the event bus at the same time reconnect at different
/// times.
pub(super) struct Backoff {
    pause_ms: u64,
    random: u64,
}

impl Backoff {
    /// Creates a backoff whose jitter is determined by this seed.
    pub(super) fn new(seed: u64) -> Backoff {
        Backoff { pause_ms: INITIAL_PAUSE_MS, random: seed | 1 }
    }

    /// Starts again with the shortest pause.
    pub(super) fn reset(&mut self) {
        self.pause_ms = INITIAL_PAUSE_MS;
    }

    /// Doubles the pause, up to a limit.
    pub(super) fn increase(&mut self) {
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
    }

    /// The current pause with jitter, which makes it 0.5 to 1.5 times as long.
    #[must_use]
    pub(super) fn next_pause(&mut self) -> Duration {
        self.random = self.random.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        let jitter_ms = (self.random >> LCG_DISCARDED_BITS) % self.pause_ms;
        Duration::from_millis(self.pause_ms / 2 + jitter_ms)
    }
}
