//! Hasher of the data path's address tables.

use std::hash::{BuildHasherDefault, Hasher};

/// Builds an [`AddressHasher`] for a map.
pub type BuildAddressHasher = BuildHasherDefault<AddressHasher>;

/// Odd multiplier that mixes the bits of a word upwards.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Fast unkeyed hasher.
///
/// Only settings and authenticated announcements insert keys into the tables, so callers can't
/// flood one with colliding keys.
#[derive(Debug, Clone, Copy, Default)]
pub struct AddressHasher(u64);

impl Hasher for AddressHasher {
    fn finish(&self) -> u64 {
        // Multiplication moves entropy to the high bits only, but the tables index by the low bits.
        self.0 ^ self.0 >> 32
    }

    fn write(&mut self, bytes: &[u8]) {
        let (words, rest) = bytes.as_chunks::<8>();
        words.iter().for_each(|word| self.write_u64(u64::from_le_bytes(*word)));
        rest.iter().for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u8(&mut self, value: u8) {
        self.write_u64(u64::from(value));
    }

    fn write_u16(&mut self, value: u16) {
        self.write_u64(u64::from(value));
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = (self.0.rotate_left(5) ^ value).wrapping_mul(MULTIPLIER);
    }

    fn write_usize(&mut self, value: usize) {
        self.write_u64(value as u64);
    }
}
