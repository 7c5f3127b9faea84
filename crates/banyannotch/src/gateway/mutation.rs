//! Mutations of valid messages, for tests that decoders and policies withstand any bytes.

use crate::random::Random;

/// Changes bytes of a message: replaces, inserts or removes some, truncates it, or doubles a part.
pub(crate) fn mutate(message: &[u8], random: &mut Random) -> Vec<u8> {
    let mut bytes = message.to_vec();
    for _ in 0..=random.below(4) {
        let at = random.below(bytes.len());
        let byte = [0, 1, 0x7f, 0x80, 0xff, random.word() as u8][random.below(6)];
        match random.below(5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at.min(bytes.len()), byte),
            2 if !bytes.is_empty() => drop(bytes.remove(at)),
            3 => bytes.extend_from_within(at.min(bytes.len())..),
            _ => {
                if let Some(slot) = bytes.get_mut(at) {
                    *slot = byte;
                }
            }
        }
    }
    bytes
}
