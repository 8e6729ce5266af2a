//! A permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 of output).

/// Multiplier of the linear congruential generator.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the linear congruential generator.
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Number of possible outputs, 2³².
const OUTPUT_RANGE: f64 = 4_294_967_296.0;

/// A permuted congruential generator (PCG-XSH-RR, 64 bits of state, 32 of output).
pub struct Pcg32(u64);

impl Pcg32 {
    /// A generator with this seed. The seed is mixed first, so that similar seeds give unrelated sequences.
    pub fn new(seed: u64) -> Pcg32 {
        Pcg32(mix64(seed))
    }

    /// The next random number, uniformly distributed in [0, 1).
    pub fn next_f64(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / OUTPUT_RANGE
    }

    /// The next random number of the standard normal distribution, by the Box-Muller transform.
    pub fn next_normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.next_f64()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.next_f64()).cos()
    }
}

/// Mixes the bits of a number (the finalizer of `SplitMix64`).
pub fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
