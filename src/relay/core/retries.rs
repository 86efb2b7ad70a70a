//! Retries: this entry's own budget, and what it asks of agents beyond it.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use super::RelayCore;
use crate::relay::decide::expiring_credit::ExpiringCredit;
use crate::relay::decide::retry_budget::{RetryBound, RetryBudget};
use crate::relay::decide::service_scope::{DomainSet, ServiceScope};
use crate::relay::decide::shared_retry_budget::{RetryDeposit, RetryGrantRequest};
use crate::relay::decide::target_state::TargetState;
use crate::time::Tick;

/// Number of agents among which an entry divides its deposits: if one of them is lost, so is its
/// part.
const RETRY_AGENTS: usize = 4;

/// Time after its last acknowledgement for which an agent counts as reachable: two subscriptions.
const REACHABLE_TIME: Duration = Duration::from_millis(1_600);

/// Time until agents are asked for a retry again if none of them answered.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// A deposit, and the agent to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct DepositOrder {
    /// The deposit.
    pub deposit: RetryDeposit,
    /// A target on the host of the agent.
    pub agent_host: SocketAddr,
}

/// A request for a retry from the shared budget, and the agents to ask one after the other.
#[derive(Debug)]
pub struct RetryGrantQuery {
    /// The request.
    pub request: RetryGrantRequest,
    /// The entry's own credit that it adds; returned if the retry is refused.
    pub own_credit: ExpiringCredit,
    /// Targets on the hosts of the agents.
    pub agent_hosts: Vec<SocketAddr>,
}

impl RelayCore {
    /// Counts a caller's request towards the retry budget of its service.
    pub fn record_request(&mut self, service: &Arc<str>, now: Tick) {
        self.budget(service).record_request(now);
    }

    /// Takes a retry from this entry's own budget, `false` if none is left.
    pub fn take_retry(&mut self, service: &Arc<str>, now: Tick) -> bool {
        self.budget(service).take(now)
    }

    /// Returns `true` if a retry could be made now at a target that has not been tried.
    /// Rate-limited targets do not count, since a permit for them may be refused.
    pub fn could_retry(
        &mut self,
        service: &Arc<str>,
        domains: Option<&DomainSet>,
        tried: &[Arc<str>],
        now: Tick,
    ) -> bool {
        let is_untried = |name| !tried.contains(name);
        let scope = ServiceScope { service, domains };
        let has_other = scope.targets(&self.targets).any(|target| {
            let is_unlimited = target.is_usable(now) && target.rate.is_none();
            target.is_used && is_unlimited && is_untried(&target.record.incarnation)
        });
        has_other && self.may_acquire_retry(service, now)
    }

    /// Returns `true` if this entry or an agent may pay for a retry now.
    pub fn may_acquire_retry(&mut self, service: &Arc<str>, now: Tick) -> bool {
        let has_agent = !self.retry_agents(now).is_empty();
        let budget = self.budget(service);
        budget.has_retry(now) || (has_agent && budget.may_request(now))
    }

    /// Returns `true` if this entry itself may pay for a retry now.
    pub fn has_own_retry(&mut self, service: &Arc<str>, now: Tick) -> bool {
        self.budget(service).has_retry(now)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let bound = self.limits.retry_bound;
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(bound))
    }

    /// Returns the request for a retry from the shared budget, `None` if no agent would grant it.
    pub fn retry_grant_query(&mut self, service: &Arc<str>, now: Tick) -> Option<RetryGrantQuery> {
        let mut agent_hosts = self.retry_agents(now);
        if agent_hosts.is_empty() || !self.budget(service).may_request(now) {
            return None;
        }
        self.next_retry_agent = self.next_retry_agent.wrapping_add(1);
        let first = self.next_retry_agent % agent_hosts.len();
        agent_hosts.rotate_left(first);
        let RetryBound { slack, window, .. } = self.budget(service).bound();
        let window_ms = window.as_millis().try_into().unwrap_or(u32::MAX);
        let own_credit = self.budget(service).withdraw(now);
        let paid = own_credit.amount();
        let request = RetryGrantRequest { service: service.clone(), slack, window_ms, paid };
        Some(RetryGrantQuery { request, own_credit, agent_hosts })
    }

    /// Records that no agent granted a retry. `wait_ms` is the shortest time until one may, `None`
    /// if no agent answered.
    pub fn record_retry_refusal(
        &mut self,
        service: &Arc<str>,
        own_credit: ExpiringCredit,
        wait_ms: Option<u32>,
        now: Tick,
    ) {
        let wait = wait_ms.map_or(NO_ANSWER_DELAY, |wait| Duration::from_millis(wait.into()));
        let budget = self.budget(service);
        budget.put_back(own_credit);
        budget.record_refusal(now + wait);
    }

    /// Records that the agent beside a target did not answer.
    pub fn record_agent_silence(&mut self, agent_host: SocketAddr) {
        let beside = |target: &&mut TargetState| target.record.address.ip() == agent_host.ip();
        for target in self.targets.iter_mut().filter(beside) {
            target.acknowledged_at = None;
        }
    }

    /// Takes the deposit that is due, `None` if no agent is reachable.
    pub fn take_retry_deposit(&mut self, now: Tick) -> Option<DepositOrder> {
        let agent_hosts = self.retry_agents(now);
        let index = self.next_deposit_agent % agent_hosts.len().max(1);
        let agent_host = *agent_hosts.get(index)?;
        let deposit = self.slack_share.take_deposit(self.entry, now)?;
        self.next_deposit_agent = self.next_deposit_agent.wrapping_add(1);
        Some(DepositOrder { deposit, agent_host })
    }

    /// Returns `true` if the agent beside a target can be asked for a retry.
    #[must_use]
    pub fn may_ask(&self, agent_host: SocketAddr, now: Tick) -> bool {
        self.retry_agents(now).contains(&agent_host)
    }

    /// Returns targets on the hosts of the agents that hold this entry's deposits. Entries that use
    /// the same engines have the same agents, so that one may spend what another does not need.
    fn retry_agents(&self, now: Tick) -> Vec<SocketAddr> {
        let is_reachable = |target: &&TargetState| {
            let acknowledged_at = target.acknowledged_at;
            target.is_used && acknowledged_at.is_some_and(|at| now.since(at) < REACHABLE_TIME)
        };
        let reachable = self.targets.iter().filter(is_reachable);
        let mut hosts: Vec<_> = reachable.map(|target| target.record.address).collect();
        hosts.sort_by_key(|address| (rank_of(address.ip()), address.port()));
        hosts.dedup_by_key(|address| address.ip());
        hosts.truncate(RETRY_AGENTS);
        hosts
    }
}

fn rank_of(host: IpAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(host.to_string().as_bytes())
}
