//! The hash function that distributes engines and requests evenly.

/// Mixes the bits of a value, as the finalizer of splitmix64 does.
pub(crate) fn mix(bits: u64) -> u64 {
    let bits = (bits ^ (bits >> 30))
        .wrapping_add(0x9e37_79b9_7f4a_7c15)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
