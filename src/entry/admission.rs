//! Admission control: admits requests within the limits of their accounts, by the entry's own
//! share of a limit or by an agent.

use std::sync::Arc;
use std::time::Duration;

use super::account::LimitFault;
use super::core::{EntryCore, Timer, not_run_failure};
use super::event::{Arrival, Effect, FailureCode, Reply};
use crate::account_quota::AccountShare;
use crate::time::Tick;
use crate::wire::{AccountQuery, ToAgent, TokenNeed};

/// Timeout of an account query to an agent: some round trips, and the time to connect.
const ACCOUNT_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry-after time if the agent of an account does not answer.
const NO_ANSWER_RETRY: Duration = Duration::from_secs(1);

/// A request that waits for an agent to admit it.
#[derive(Debug)]
pub(super) struct PendingAdmission {
    pub(super) arrival: Box<Arrival>,
    need: TokenNeed,
    time_limit: Duration,
    agent: Arc<str>,
    queried_at: Tick,
}

impl PendingAdmission {
    /// The grant to release if the agent admits the request.
    pub(super) fn into_grant(self) -> AgentGrant {
        AgentGrant { agent: self.agent }
    }
}

/// An admission by an agent, which has to be released there.
#[derive(Clone, Debug)]
pub(super) struct AgentGrant {
    pub(super) agent: Arc<str>,
}

impl EntryCore {
    /// Admits a request, asks an agent to admit it, or refuses it.
    pub(super) fn admit(
        &mut self,
        arrival: Box<Arrival>,
        need: TokenNeed,
        time_limit: Duration,
        now: Tick,
    ) {
        let entries = self.table.live_entries();
        let LimitFault { retry_after, remainder } =
            match self.limits.admit(&arrival.policy, entries, now) {
                Ok(()) => return self.start_request(arrival, need, time_limit, None, now),
                Err(fault) => fault,
            };
        let agent = remainder.and_then(|remainder| {
            let agent = self.table.quota_target(&arrival.policy.name)?;
            Some((remainder, agent))
        });
        let Some((remainder, agent)) = agent else {
            return self.refuse_over_limit(arrival.number, retry_after);
        };
        let number = arrival.number;
        self.send_account_query(&agent, &arrival, remainder, false);
        self.timers.subscribe(now + ACCOUNT_QUERY_TIMEOUT, Timer::AccountQuery(number));
        let pending = PendingAdmission { arrival, need, time_limit, agent, queried_at: now };
        self.pending.insert(number, pending);
    }

    fn send_account_query(
        &mut self,
        agent: &Arc<str>,
        arrival: &Arrival,
        remainder: AccountShare,
        was_admitted: bool,
    ) {
        let account = arrival.policy.name.clone();
        let query = AccountQuery { number: arrival.number, account, remainder, was_admitted };
        self.effects.push(Effect::Send(agent.clone(), ToAgent::QueryAccount(query)));
    }

    /// Reports to an agent the open requests that it has admitted, since it may have restarted
    /// and lost them.
    pub(super) fn report_grants(&mut self, agent: &Arc<str>) {
        let granted = self.requests.values().filter(|request| {
            request.agent_grant.as_ref().is_some_and(|grant| grant.agent == *agent)
        });
        let empty = AccountShare { per_second: 0.0, concurrent: 0 };
        let queries: Vec<_> = granted
            .map(|request| AccountQuery {
                number: request.arrival.number,
                account: request.arrival.policy.name.clone(),
                remainder: empty,
                was_admitted: true,
            })
            .collect();
        for query in queries {
            self.effects.push(Effect::Send(agent.clone(), ToAgent::QueryAccount(query)));
        }
    }

    pub(super) fn on_account_answer(
        &mut self,
        agent: &Arc<str>,
        number: u64,
        wait: Option<Duration>,
        now: Tick,
    ) {
        let is_expected = self.pending.get(&number).is_some_and(|pending| pending.agent == *agent);
        let Some(pending) = is_expected.then(|| self.pending.remove(&number)).flatten() else {
            // No query is pending, so nothing else would release the grant. An open request
            // releases it when it ends.
            let is_admitted = self.requests.contains_key(&number);
            if wait.is_none() && !is_admitted {
                self.effects.push(Effect::Send(agent.clone(), ToAgent::ReleaseAccount(number)));
            }
            return;
        };
        if let Some(wait) = wait {
            return self.refuse_over_limit(number, wait);
        }
        let PendingAdmission { arrival, need, time_limit, agent, queried_at } = pending;
        let time_limit = time_limit.saturating_sub(now.since(queried_at));
        self.start_request(arrival, need, time_limit, Some(AgentGrant { agent }), now);
    }

    /// Refuses the requests that wait for an agent to which the connection was lost.
    pub(super) fn on_quota_agent_lost(&mut self, agent: &Arc<str>) {
        let unanswered = self.pending.iter().filter(|(_, pending)| pending.agent == *agent);
        let numbers: Vec<u64> = unanswered.map(|(number, _)| *number).collect();
        for number in numbers {
            self.pending.remove(&number);
            self.refuse_over_limit(number, NO_ANSWER_RETRY);
        }
    }

    /// Refuses all requests that wait for an agent, because this entry stops.
    pub(super) fn refuse_pending(&mut self) {
        for (number, pending) in std::mem::take(&mut self.pending) {
            let release = ToAgent::ReleaseAccount(number);
            self.effects.push(Effect::Send(pending.agent, release));
            let text = "this entry is stopping";
            let failure = not_run_failure(FailureCode::Stopping, text, NO_ANSWER_RETRY);
            self.effects.push(Effect::Reply(number, Reply::Failed(failure)));
        }
    }

    pub(super) fn on_account_query_due(&mut self, number: u64) {
        if let Some(pending) = self.pending.remove(&number) {
            // The agent may have granted it: its answer may still arrive.
            let release = ToAgent::ReleaseAccount(number);
            self.effects.push(Effect::Send(pending.agent, release));
            self.refuse_over_limit(number, NO_ANSWER_RETRY);
        }
    }

    fn refuse_over_limit(&mut self, number: u64, retry_after: Duration) {
        self.counts.over_limit += 1;
        let text = "the client account is over its limit";
        let failure = not_run_failure(FailureCode::LimitExceeded, text, retry_after);
        self.effects.push(Effect::Reply(number, Reply::Failed(failure)));
    }

    /// Releases the admission of a request, at the agent or in the entry's own share.
    pub(super) fn release_admission(
        &mut self,
        number: u64,
        account: &str,
        grant: Option<AgentGrant>,
    ) {
        match grant {
            Some(AgentGrant { agent }) => {
                self.effects.push(Effect::Send(agent, ToAgent::ReleaseAccount(number)));
            }
            None => self.limits.release(account),
        }
    }
}
