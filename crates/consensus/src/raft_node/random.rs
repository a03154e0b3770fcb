//! Deterministic pseudo-random numbers, so that a run can be repeated from its seed.

/// Returns the output of SplitMix64 for the state `input`, identical on every machine and in every run.
pub(super) fn split_mix_64(input: u64) -> u64 {
    let mut mixed = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
