//! Invariants that the cores check at run time.

/// Counts broken invariants; a strict check panics at the first one.
#[derive(Debug, Default)]
pub struct InvariantCheck {
    strict: bool,
    broken: u64,
}

impl InvariantCheck {
    /// Creates a check that panics on a broken invariant if `strict`, and only counts otherwise.
    #[must_use]
    pub fn new(strict: bool) -> Self {
        InvariantCheck { strict, broken: 0 }
    }

    /// Checks that an invariant holds, and counts it as broken if not.
    ///
    /// # Panics
    ///
    /// Panics if the invariant is broken and the check is strict.
    pub fn expect(&mut self, holds: bool, invariant: &str) {
        if holds {
            return;
        }
        self.broken += 1;
        assert!(!self.strict, "broken invariant: {invariant}");
    }

    /// Returns the number of broken invariants so far.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.broken
    }
}
