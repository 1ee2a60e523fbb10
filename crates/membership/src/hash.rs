//! Small stable hash: FNV-1a over the bytes, then a finalizer that spreads the bits.
//!
//! Every process has to compute the same value, which rules out the randomly seeded hasher of the
//! standard library.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of the bytes, equal in every process.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let folded = bytes.iter().fold(FNV_OFFSET, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(folded)
}

/// Finalizer of SplitMix64, a bijection that spreads the bits of its input.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
