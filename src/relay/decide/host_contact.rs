//! Distinguishes hosts that stand still from hosts whose agent has ended.
//!
//! A target that sends nothing may work on other requests, and an agent that does not answer may
//! have ended while its target works. A host counts as silent if its agent, which answered shortly
//! before, leaves several queries unanswered while the target is overdue as well.

use std::time::Duration;

use crate::time::Tick;

/// Time after its last answer for which an agent is expected to answer: its host may have stood
/// still since. Subscriptions are answered more often.
const EXPECTED_TIME: Duration = Duration::from_millis(1_300);

/// Minimum time between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(75);

/// Time after the last query within which the host is judged. A process that stood still queries
/// again first, as it has not read the answers of that time.
const JUDGEMENT_TIME: Duration = Duration::from_millis(300);

/// Time after the first unanswered query from which the host counts as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of unanswered queries from which the host counts as silent, as some may be lost.
const MIN_UNANSWERED: u32 = 3;

/// Maximum time for which a host counts as silent, by this process's queries or by the report of
/// another one. If its agent works, the next subscription is answered before.
const SILENCE_TTL: Duration = Duration::from_secs(4);

/// What to do about the agent beside an overdue target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostCheck {
    /// Its answer is to be waited for, or none is expected.
    Wait,
    /// It is to be queried.
    Query,
    /// The host has just turned out to be silent, which other processes should learn.
    Report,
}

/// Contact with the agent on the host of a target.
#[derive(Debug, Default)]
pub struct HostContact {
    answered_at: Option<Tick>,
    queried_at: Option<Tick>,
    /// When the first query since the last answer was sent.
    unanswered_since: Option<Tick>,
    unanswered: u32,
    /// Whether the host was silent at any time since it was heard last.
    was_silent: bool,
    silent_until: Tick,
}

impl HostContact {
    /// Records a query to the agent, or a subscription, which it answers as well.
    pub fn record_query(&mut self, now: Tick) {
        self.queried_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        self.unanswered += 1;
    }

    /// Records an answer of the agent.
    pub fn record_answer(&mut self, now: Tick) {
        self.answered_at = Some(now);
        self.record_sign_of_life();
    }

    /// Records that the target has sent something.
    pub fn record_sign_of_life(&mut self) {
        self.unanswered_since = None;
        self.unanswered = 0;
        self.was_silent = false;
        self.silent_until = Tick::default();
    }

    /// Records that the target is overdue.
    pub fn record_overdue(&mut self, now: Tick) -> HostCheck {
        let query_age = self.queried_at.map(|at| now.since(at));
        if query_age.is_some_and(|age| age < QUERY_INTERVAL) {
            return HostCheck::Wait;
        }
        let is_known = self.is_silent(now);
        let is_expected = self.answered_at.is_some_and(|at| now.since(at) < EXPECTED_TIME);
        let is_judged =
            (is_expected || self.was_silent) && query_age.is_some_and(|age| age <= JUDGEMENT_TIME);
        let is_unanswered = self.unanswered >= MIN_UNANSWERED
            && self.unanswered_since.is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT);
        if !is_judged || !is_unanswered {
            return HostCheck::Query;
        }
        self.was_silent = true;
        self.silent_until = now + SILENCE_TTL;
        if is_known { HostCheck::Query } else { HostCheck::Report }
    }

    /// Records that another process has reported the host as silent.
    pub fn record_report(&mut self, now: Tick) {
        let is_heard = self.answered_at.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT);
        if !is_heard {
            self.was_silent = true;
            self.silent_until = now + SILENCE_TTL;
        }
    }

    /// Returns `true` while the host counts as silent.
    #[must_use]
    pub fn is_silent(&self, now: Tick) -> bool {
        now < self.silent_until
    }
}
