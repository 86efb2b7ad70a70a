//! Mutation testing: faults that tests inject into the cores, one at a time, to
//! show that the checks detect a broken invariant.
//!
//! Without the feature `mutants` no fault can be enabled, and the checks for
//! them compile to nothing.

/// A fault that can be injected into a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Agents do not store the outcomes of attempts.
    LedgerOff,
    /// Agents do not store tombstones, so that an attempt resumed or cancelled before its
    /// dispatch arrived is not refused.
    TombstoneOff,
    /// Holds do not expire.
    ExpiryOff,
    /// Agents end neither cancelled runs nor those of disconnected entries.
    CancelOff,
    /// Agents do not cancel orphaned runs at the engine.
    OrphansOff,
    /// Entries join chunks of answers without regard to their offsets.
    OffsetOff,
    /// Entries retry regardless of the verdict.
    VerdictOff,
    /// Agents accept new work while they drain.
    LeavingOff,
    /// Entries do not enforce the time limits of requests.
    DeadlineOff,
    /// Entries accept an older configuration.
    RevertOn,
}

impl Mutant {
    /// All faults.
    pub const ALL: [Mutant; 10] = [
        Mutant::LedgerOff,
        Mutant::TombstoneOff,
        Mutant::ExpiryOff,
        Mutant::CancelOff,
        Mutant::OrphansOff,
        Mutant::OffsetOff,
        Mutant::VerdictOff,
        Mutant::LeavingOff,
        Mutant::DeadlineOff,
        Mutant::RevertOn,
    ];
}

#[cfg(feature = "mutants")]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
}

/// Enables a fault for this thread; `None` disables all.
#[cfg(feature = "mutants")]
pub fn set_mutant(mutant: Option<Mutant>) {
    ACTIVE.with(|active| active.set(mutant));
}

/// Returns `true` if this fault is enabled.
#[cfg(feature = "mutants")]
pub(crate) fn is_on(mutant: Mutant) -> bool {
    ACTIVE.with(|active| active.get() == Some(mutant))
}

/// Returns `true` if this fault is enabled: never in this build.
#[cfg(not(feature = "mutants"))]
pub(crate) const fn is_on(_: Mutant) -> bool {
    false
}
