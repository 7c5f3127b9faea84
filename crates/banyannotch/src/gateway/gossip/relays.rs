//! The tree along which proofs and changes from the store spread: the first gateways of the common order read the store,
//! and each further one asks two gateways of the level before it.
//!
//! With a fixed number of children, the datagrams that a gateway handles do not depend on the number of gateways, and
//! the age of a proof grows with its logarithm.

use super::READER_COUNT;
use crate::pipeline::Address;

/// Number of gateways of the next level for each gateway of a level.
const BRANCHING: usize = 8;

/// Returns the gateways that the one at `rank` of the common order asks for proofs and changes. Readers ask each other,
/// because one of them may be cut off from the store.
pub(super) fn relays_of(order: &[Address], rank: usize) -> Vec<Address> {
    let level_of = |begin: usize, size: usize| (begin, size.min(order.len().saturating_sub(begin)));
    let (mut begin, mut size) = level_of(0, READER_COUNT);
    if rank < size {
        let others = order.iter().take(size).enumerate().filter(|(index, _)| *index != rank);
        return others.map(|(_, address)| *address).collect();
    }
    let mut nominal_size = READER_COUNT;
    while size > 0 {
        let (next_begin, next_size) = level_of(begin + nominal_size, nominal_size * BRANCHING);
        if rank < next_begin + next_size {
            let first = (rank - next_begin) / BRANCHING;
            // The second relay is the neighbour of the first one, so each gateway has the same number of children.
            let indices = [first, (first + 1) % size];
            let mut relays: Vec<Address> =
                indices.iter().filter_map(|index| order.get(begin + index).copied()).collect();
            relays.dedup();
            return relays;
        }
        (begin, size, nominal_size) = (next_begin, next_size, nominal_size * BRANCHING);
    }
    Vec::new()
}
