//! Reservations of engine memory.

use std::collections::HashSet;

use shalelane::relay::core::draw_entry_number;

/// Guards against two entries that use one another's reservations because they started within the
/// same microsecond.
#[test]
fn entries_that_start_together_have_different_numbers() {
    let numbers: HashSet<u64> = (0..100_000).map(|_| draw_entry_number()).collect();
    assert_eq!(numbers.len(), 100_000);
}
