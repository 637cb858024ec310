//! Job identifiers, which carry a hint at the pool that first accepted the job.

use uuid::Uuid;
use wigeongate_core::ids::{JobId, PoolId};

/// The length of the hint at the end of an identifier, in bytes.
const HINT_BYTES: usize = 2;

/// Returns a new identifier for a job of `pool`, ordered by time.
pub fn issue_id(pool: &PoolId) -> JobId {
    let mut bytes = *Uuid::now_v7().as_bytes();
    let start = bytes.len() - HINT_BYTES;
    bytes[start..].copy_from_slice(&hint(pool));
    JobId(Uuid::from_bytes(bytes))
}

/// Returns whether a job's identifier may have been issued for `pool`; false positives are
/// possible, since two pools can have the same hint.
pub fn hints_at(job: JobId, pool: &PoolId) -> bool {
    job.0.as_bytes().ends_with(&hint(pool))
}

/// Returns the 32-bit FNV-1a hash of the pool's name, folded to 16 bits.
fn hint(pool: &PoolId) -> [u8; HINT_BYTES] {
    const BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = pool.as_str().bytes().fold(BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    });
    let [a, b, c, d] = hash.to_be_bytes();
    [a ^ c, b ^ d]
}
