//! Positions of engines and managers on the ring of a zone, and counting of the managers on an arc.

use crate::decision::{EngineId, mix};

/// Positions on a ring.
pub(super) const RING_POSITIONS: u64 = 1 << 32;

/// The golden ratio of the ring: its multiples are spread evenly, however many there are.
pub(super) const GOLDEN_RATIO_STEP: u32 = 0x9E37_79B9;

/// A manager's position on every ring.
pub(super) fn manager_position(ordinal: u32) -> u32 {
    ordinal.wrapping_mul(GOLDEN_RATIO_STEP)
}

/// An engine's position on the ring of its zone.
pub(super) fn engine_position(engine: EngineId) -> u32 {
    let EngineId { addr, port } = engine;
    mix(u64::from(u32::from_be_bytes(addr)) | u64::from(port) << 32) as u32
}

/// How many of the first `managers` ordinals stand less than `length` before `end`.
pub(super) fn managers_on_arc(managers: u32, end: u32, length: u32) -> u32 {
    // Ordinal j stands end - j * step before `end`, all modulo the ring. Of a sum a number is below `length` where its
    // quotient by the ring differs from that of the number less `length`.
    let step = u64::from(GOLDEN_RATIO_STEP.wrapping_neg());
    let sum_to_end = sum_of_quotients(managers, step, u64::from(end));
    let sum_to_start = sum_of_quotients(
        managers,
        step,
        u64::from(end) + RING_POSITIONS - u64::from(length),
    );
    (u128::from(managers) + sum_to_end - sum_to_start) as u32
}

/// The sum over i below `count` of (`factor` * i + `offset`) / RING_POSITIONS, each rounded down. It takes as many steps
/// as Euclid's algorithm on the factor and the ring.
fn sum_of_quotients(count: u32, factor: u64, offset: u64) -> u128 {
    let (mut count, mut modulus) = (u128::from(count), u128::from(RING_POSITIONS));
    let (mut factor, mut offset) = (u128::from(factor), u128::from(offset));
    let mut sum = 0;
    while count > 0 {
        sum += count * (count - 1) / 2 * (factor / modulus) + count * (offset / modulus);
        (factor, offset) = (factor % modulus, offset % modulus);
        let last = factor * count + offset;
        (count, offset) = (last / modulus, last % modulus);
        (modulus, factor) = (factor, modulus);
    }
    sum
}
