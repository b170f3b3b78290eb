//! A small random number generator.

use std::{cell::Cell, time::SystemTime};

thread_local! {
    static STATE: Cell<u64> = Cell::new({
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(1, |t| t.as_nanos() as u64);
        let place = &raw const now as u64;
        (now ^ place.rotate_left(32)) | 1
    });
}

pub fn number() -> u64 {
    STATE.with(|state| {
        let mut x = state.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        x.wrapping_mul(0x2545_F491_4F6C_DD1D)
    })
}

/// A number from zero to below one.
pub fn unit() -> f64 {
    (number() >> 11) as f64 / (1_u64 << 53) as f64
}

pub fn below(limit: u64) -> u64 {
    number() % limit
}
