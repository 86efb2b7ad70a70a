//! Letting requests in by the limits of their accounts: of the own share, or by an agent.

use std::sync::Arc;
use std::time::Duration;

use super::account::LimitFault;
use super::core::{EntryCore, Timer, refused};
use super::event::{Arrival, Effect, FailureCode, Reply};
use crate::account_gate::AccountShare;
use crate::time::Tick;
use crate::wire::{AccountAsk, ToAgent, TokenNeed};

/// How long an agent is waited for: some round trips, and a link that has to be made.
const GATE_LIMIT: Duration = Duration::from_millis(500);

/// When to come back where the agent of an account does not answer.
const UNHEARD_RETRY: Duration = Duration::from_secs(1);

/// A request that waits for an agent to let it in.
#[derive(Debug)]
pub(super) struct PendingArrival {
    pub(super) arrival: Box<Arrival>,
    need: TokenNeed,
    limit: Duration,
    agent: Arc<str>,
    asked_at: Tick,
}

impl PendingArrival {
    /// What the agent gives it, should it let it in.
    pub(super) fn into_share(self) -> AgentShare {
        AgentShare { agent: self.agent }
    }
}

/// What an agent let a request in by.
#[derive(Clone, Debug)]
pub(super) struct AgentShare {
    pub(super) agent: Arc<str>,
}

impl EntryCore {
    /// Lets a request in, asks for it, or refuses it.
    pub(super) fn admit(
        &mut self,
        arrival: Box<Arrival>,
        need: TokenNeed,
        limit: Duration,
        now: Tick,
    ) {
        let entries = self.table.live_entries();
        let LimitFault { retry, rest } = match self.limits.admit(&arrival.policy, entries, now) {
            Ok(()) => return self.let_in(arrival, need, limit, None, now),
            Err(fault) => fault,
        };
        let agent = rest.and_then(|rest| {
            let agent = self.table.quota_target(&arrival.policy.name)?;
            Some((rest, agent))
        });
        let Some((rest, agent)) = agent else {
            return self.refuse_over_limit(arrival.number, retry);
        };
        let number = arrival.number;
        self.ask_gate(&agent, &arrival, rest, false);
        self.timers.subscribe(now + GATE_LIMIT, Timer::Gate(number));
        let pending = PendingArrival { arrival, need, limit, agent, asked_at: now };
        self.pending.insert(number, pending);
    }

    fn ask_gate(&mut self, agent: &Arc<str>, arrival: &Arrival, rest: AccountShare, is_held: bool) {
        let account = arrival.policy.name.clone();
        let ask = AccountAsk { number: arrival.number, account, rest, is_held };
        self.out.push(Effect::Send(agent.clone(), ToAgent::AskAccount(ask)));
    }

    /// Tells an agent that has started again what its former life let in.
    pub(super) fn tell_held(&mut self, agent: &Arc<str>) {
        let held = self.requests.values().filter(|request| {
            request.agent_share.as_ref().is_some_and(|share| share.agent == *agent)
        });
        let nothing = AccountShare { per_second: 0.0, concurrent: 0 };
        let asks: Vec<_> = held
            .map(|request| AccountAsk {
                number: request.arrival.number,
                account: request.arrival.policy.name.clone(),
                rest: nothing,
                is_held: true,
            })
            .collect();
        for ask in asks {
            self.out.push(Effect::Send(agent.clone(), ToAgent::AskAccount(ask)));
        }
    }

    pub(super) fn on_account_answer(
        &mut self,
        agent: &Arc<str>,
        number: u64,
        wait: Option<Duration>,
        now: Tick,
    ) {
        let is_asked = self.pending.get(&number).is_some_and(|pending| pending.agent == *agent);
        let Some(pending) = is_asked.then(|| self.pending.remove(&number)).flatten() else {
            // Nobody waits for it any more, and nobody else gives it back.
            let is_held = self.requests.contains_key(&number);
            if wait.is_none() && !is_held {
                self.out.push(Effect::Send(agent.clone(), ToAgent::ReleaseAccount(number)));
            }
            return;
        };
        if let Some(wait) = wait {
            return self.refuse_over_limit(number, wait);
        }
        let PendingArrival { arrival, need, limit, agent, asked_at } = pending;
        let limit = limit.saturating_sub(now.since(asked_at));
        self.let_in(arrival, need, limit, Some(AgentShare { agent }), now);
    }

    /// Refuses what waits for an agent that can not be reached.
    pub(super) fn on_gate_lost(&mut self, agent: &Arc<str>) {
        let asked = self.pending.iter().filter(|(_, pending)| pending.agent == *agent);
        let numbers: Vec<u64> = asked.map(|(number, _)| *number).collect();
        for number in numbers {
            self.pending.remove(&number);
            self.refuse_over_limit(number, UNHEARD_RETRY);
        }
    }

    pub(super) fn on_gate_due(&mut self, number: u64) {
        if let Some(pending) = self.pending.remove(&number) {
            // An answer may be on its way.
            let release = ToAgent::ReleaseAccount(number);
            self.out.push(Effect::Send(pending.agent, release));
            self.refuse_over_limit(number, UNHEARD_RETRY);
        }
    }

    fn refuse_over_limit(&mut self, number: u64, retry: Duration) {
        self.counts.limited += 1;
        let text = "the client account is over its limit";
        let failure = refused(FailureCode::LimitExceeded, text, retry);
        self.out.push(Effect::Reply(number, Reply::Failed(failure)));
    }

    /// Gives back what a request was let in by.
    pub(super) fn give_back(&mut self, number: u64, account: &str, share: Option<AgentShare>) {
        match share {
            Some(AgentShare { agent }) => {
                self.out.push(Effect::Send(agent, ToAgent::ReleaseAccount(number)));
            }
            None => self.limits.release(account),
        }
    }
}
