//! Faults that tests put into the cores, one at a time, to show that a broken
//! promise is caught.
//!
//! Without the feature `mutants` no fault can be switched on, and the checks
//! for them compile to nothing.

/// A fault of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Agents forget what became of attempts.
    LedgerOff,
    /// Agents do not refuse an attempt that was asked after before it came.
    TombstoneOff,
    /// Leases of groups do not expire.
    ExpiryOff,
    /// Agents do not end runs that nobody waits for, nor those cancelled.
    CancelOff,
    /// Runs that no attempt stands for are left at the engine.
    StraysOff,
    /// Entries join parts of answers without looking at their offset.
    OffsetOff,
    /// Entries try again whatever the verdict.
    VerdictOff,
    /// Agents take new work while they leave.
    LeavingOff,
    /// Entries let requests run over their time limit.
    DeadlineOff,
    /// Entries go back to an older configuration.
    RevertOn,
}

impl Mutant {
    /// Every fault there is.
    pub const ALL: [Mutant; 10] = [
        Mutant::LedgerOff,
        Mutant::TombstoneOff,
        Mutant::ExpiryOff,
        Mutant::CancelOff,
        Mutant::StraysOff,
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

/// Switches a fault on for this thread, or all off.
#[cfg(feature = "mutants")]
pub fn set_mutant(mutant: Option<Mutant>) {
    ACTIVE.with(|active| active.set(mutant));
}

/// Returns true where this fault is on.
#[cfg(feature = "mutants")]
pub(crate) fn is_on(mutant: Mutant) -> bool {
    ACTIVE.with(|active| active.get() == Some(mutant))
}

/// Returns true where this fault is on: never, in this build.
#[cfg(not(feature = "mutants"))]
pub(crate) const fn is_on(_: Mutant) -> bool {
    false
}
