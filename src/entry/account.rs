//! Client accounts: who calls, and how much of it is let in.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::account_gate::{AccountShare, ShareUsage};
use crate::config::{AccountPolicy, Config, ServiceKind};
use crate::hex::to_hex;
use crate::time::Tick;

/// When to come back where an entry has no share and no agent is known.
const NO_SHARE_RETRY: Duration = Duration::from_secs(1);

/// Accounts by the hash of their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<Arc<str>, Rc<AccountPolicy>>,
    config: Arc<Config>,
}

impl AccountTable {
    /// Builds the table of a configuration.
    #[must_use]
    pub fn from_config(config: &Arc<Config>) -> Self {
        let mut by_key = HashMap::new();
        for account in &config.client_accounts {
            let Some(policy) = config.policy(account) else {
                continue;
            };
            let policy = Rc::new(policy);
            for key in &account.key_sha256 {
                by_key.insert(key.clone(), policy.clone());
            }
        }
        AccountTable { by_key, config: config.clone() }
    }

    /// Finds the account of a secret.
    ///
    /// The look-up goes by the secret's SHA-256, so that its timing tells
    /// nothing of the stored keys.
    #[must_use]
    pub fn find(&self, secret: &str) -> Option<Rc<AccountPolicy>> {
        self.by_key.get(&*to_key(secret)).cloned()
    }

    /// The configuration that the table was built of.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns true where `path` of a plain service may run once only.
    #[must_use]
    pub fn is_once_only(&self, service: &str, path: &str) -> bool {
        let Some(service) = self.config.service(service) else {
            return false;
        };
        let path = path.split('?').next().unwrap_or(path);
        service.not_repeatable.iter().any(|prefix| {
            let rest = path.strip_prefix(&**prefix);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }

    /// Returns true where `name` is a plain service.
    #[must_use]
    pub fn is_plain(&self, name: &str) -> bool {
        self.config.service(name).is_some_and(|service| service.kind == ServiceKind::Plain)
    }
}

/// The form in which a secret is declared: its SHA-256 in hexadecimal.
#[must_use]
pub fn to_key(secret: &str) -> String {
    to_hex(&Sha256::digest(secret.as_bytes()))
}

#[derive(Debug)]
struct AccountUsage {
    in_flight: u64,
    usage: ShareUsage,
}

/// Why a request is not let in by this entry's own share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitFault {
    /// When the own share has room again.
    pub retry: Duration,
    /// What an agent may give of the limits beside the shares of all entries, none where the
    /// shares are all.
    pub rest: Option<AccountShare>,
}

/// The share of one entry of `entries`, and what is left of the limits beside all shares.
///
/// A share is whole, so that the sum of all is no more than the limits. Where one of the two
/// limits leaves no whole share, an agent gives all of both.
fn split(policy: &AccountPolicy, entries: usize) -> (AccountShare, AccountShare) {
    let all =
        AccountShare { per_second: policy.requests_per_second, concurrent: policy.concurrent };
    let nothing = AccountShare { per_second: 0.0, concurrent: 0 };
    if entries <= 1 {
        return (all, nothing);
    }
    let own = AccountShare {
        per_second: (all.per_second / entries as f64).floor(),
        concurrent: all.concurrent / entries as u64,
    };
    if own.is_empty() {
        return (nothing, all);
    }
    let rest = AccountShare {
        per_second: all.per_second - own.per_second * entries as f64,
        concurrent: all.concurrent - own.concurrent * entries as u64,
    };
    (own, rest)
}

/// What each account has in flight of this entry's share, and its rate.
///
/// Limits hold over the fleet. Each entry lets in its whole share by itself.
#[derive(Debug, Default)]
pub struct AccountLimits {
    usage: HashMap<Arc<str>, AccountUsage>,
}

impl AccountLimits {
    /// Lets a request in by the own share of an account.
    ///
    /// # Errors
    ///
    /// The time after which the share has room again, and what an agent may give.
    pub fn admit(
        &mut self,
        policy: &AccountPolicy,
        entries: usize,
        now: Tick,
    ) -> Result<(), LimitFault> {
        let (own, rest) = split(policy, entries);
        let rest = (!rest.is_empty()).then_some(rest);
        if own.is_empty() {
            return Err(LimitFault { retry: NO_SHARE_RETRY, rest });
        }
        // What a former life of this entry let in is at most a second's share.
        let fresh = || AccountUsage { in_flight: 0, usage: ShareUsage::full() };
        let known = self.usage.entry(policy.name.clone()).or_insert_with(fresh);
        let admitted = known.usage.admit(own, known.in_flight, now);
        admitted.map_err(|retry| LimitFault { retry, rest })?;
        known.in_flight += 1;
        Ok(())
    }

    /// Notes the end of a request that was let in.
    pub fn release(&mut self, account: &str) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.in_flight -= 1;
        }
    }
}
