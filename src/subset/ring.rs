//! Positions of engines and managers on the ring of a zone, and the number of managers on an arc.

use crate::decision::{EngineId, mix};

/// Number of positions on a ring.
pub(super) const RING_POSITIONS: u64 = 1 << 32;

/// Distance between the positions of successive ordinals: the ring's length divided by the golden
/// ratio. Multiples of it are spread evenly over the ring, for any number of managers.
pub(super) const GOLDEN_RATIO_STEP: u32 = 0x9E37_79B9;

/// Returns a manager's position, which is the same on every ring.
pub(super) fn manager_position(ordinal: u32) -> u32 {
    ordinal.wrapping_mul(GOLDEN_RATIO_STEP)
}

/// Returns an engine's position on the ring of its zone.
pub(super) fn engine_position(engine: EngineId) -> u32 {
    let EngineId { addr, port } = engine;
    mix(u64::from(u32::from_be_bytes(addr)) | u64::from(port) << 32) as u32
}

/// Returns how many of the managers with ordinals below `managers` have a position less than
/// `length` before `end`.
pub(super) fn managers_on_arc(managers: u32, end: u32, length: u32) -> u32 {
    // With `step` as below, the distance of ordinal j before `end` is (end + j * step) modulo the
    // ring. The distance is below `length` exactly if the quotient of (end + j * step) by the ring
    // differs from the quotient of the same number minus `length`.
    let step = u64::from(GOLDEN_RATIO_STEP.wrapping_neg());
    let sum_to_end = sum_of_quotients(managers, step, u64::from(end));
    let sum_to_start = sum_of_quotients(
        managers,
        step,
        u64::from(end) + RING_POSITIONS - u64::from(length),
    );
    (u128::from(managers) + sum_to_end - sum_to_start) as u32
}

/// Returns the sum over all i below `count` of (`factor` * i + `offset`) / RING_POSITIONS, each
/// quotient rounded down. It takes as many steps as Euclid's algorithm on `factor` and the ring's
/// length.
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
