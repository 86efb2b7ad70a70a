//! Promises that the cores check about themselves while they run.

/// Counts broken promises; stops the program at the first one where asked to.
#[derive(Debug, Default)]
pub struct InvariantCheck {
    strict: bool,
    broken: u64,
}

impl InvariantCheck {
    /// A check that panics where `strict`, and only counts otherwise.
    #[must_use]
    pub fn new(strict: bool) -> Self {
        InvariantCheck { strict, broken: 0 }
    }

    /// Notes whether a promise holds.
    ///
    /// # Panics
    ///
    /// If the promise is broken and the check is strict.
    pub fn expect(&mut self, holds: bool, promise: &str) {
        if holds {
            return;
        }
        self.broken += 1;
        assert!(!self.strict, "broken invariant: {promise}");
    }

    /// How many promises were broken so far.
    #[must_use]
    pub fn broken(&self) -> u64 {
        self.broken
    }
}
