//! Client accounts: authentication by key, and the entry's own share of their limits.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::account_quota::{AccountShare, ShareUsage};
use crate::config::{AccountPolicy, Config, ServiceKind};
use crate::hex::to_hex;
use crate::time::Tick;

/// Retry-after time if the entry has no share of an account's limits and knows no agent.
const NO_SHARE_RETRY: Duration = Duration::from_secs(1);

/// Client accounts by the hash of their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<Arc<str>, Rc<AccountPolicy>>,
    config: Arc<Config>,
}

impl AccountTable {
    /// Builds the table from a configuration.
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
    /// The lookup uses the secret's SHA-256, so that its timing reveals nothing about the stored
    /// keys.
    #[must_use]
    pub fn find(&self, secret: &str) -> Option<Rc<AccountPolicy>> {
        self.by_key.get(&*to_key_hash(secret)).cloned()
    }

    /// The configuration from which the table was built.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns `true` if requests to `path` of a plain service may run only once.
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

    /// Returns `true` if `name` is a plain service.
    #[must_use]
    pub fn is_plain(&self, name: &str) -> bool {
        self.config.service(name).is_some_and(|service| service.kind == ServiceKind::Plain)
    }
}

/// The form in which the configuration holds a secret: its SHA-256 in hexadecimal.
#[must_use]
pub fn to_key_hash(secret: &str) -> String {
    to_hex(&Sha256::digest(secret.as_bytes()))
}

#[derive(Debug)]
struct AccountUsage {
    in_flight: u64,
    usage: ShareUsage,
}

/// Refusal of a request by this entry's own share of an account's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitFault {
    /// Time after which the entry's own share has room again.
    pub retry_after: Duration,
    /// Part of the limits that the shares of all entries leave over and that an agent may grant;
    /// `None` if they leave nothing.
    pub remainder: Option<AccountShare>,
}

/// Splits an account's limits into the share of one of `entries` entries and the remainder that
/// all shares leave over.
///
/// Shares are rounded down to whole numbers, so that their sum does not exceed the limits. If the
/// share of one of the two limits is zero, an agent grants all of both.
fn split_limits(policy: &AccountPolicy, entries: usize) -> (AccountShare, AccountShare) {
    let total =
        AccountShare { per_second: policy.requests_per_second, concurrent: policy.concurrent };
    let empty = AccountShare { per_second: 0.0, concurrent: 0 };
    if entries <= 1 {
        return (total, empty);
    }
    let own_share = AccountShare {
        per_second: (total.per_second / entries as f64).floor(),
        concurrent: total.concurrent / entries as u64,
    };
    if own_share.is_empty() {
        return (empty, total);
    }
    let remainder = AccountShare {
        per_second: total.per_second - own_share.per_second * entries as f64,
        concurrent: total.concurrent - own_share.concurrent * entries as u64,
    };
    (own_share, remainder)
}

/// Each account's requests in flight and request rate within this entry's share.
///
/// Limits apply to the whole fleet. Each entry admits requests within its share by itself.
#[derive(Debug, Default)]
pub struct AccountLimits {
    usage: HashMap<Arc<str>, AccountUsage>,
}

impl AccountLimits {
    /// Admits a request within the entry's own share of the account's limits.
    ///
    /// # Errors
    ///
    /// The share has no room: the time after which it has, and what an agent may grant.
    pub fn admit(
        &mut self,
        policy: &AccountPolicy,
        entries: usize,
        now: Tick,
    ) -> Result<(), LimitFault> {
        let (own_share, remainder) = split_limits(policy, entries);
        let remainder = (!remainder.is_empty()).then_some(remainder);
        if own_share.is_empty() {
            return Err(LimitFault { retry_after: NO_SHARE_RETRY, remainder });
        }
        // An earlier incarnation of this entry may have admitted up to a second's share just
        // before, so the limit is exceeded by at most that after a restart.
        let new_usage = || AccountUsage { in_flight: 0, usage: ShareUsage::full() };
        let account_usage = self.usage.entry(policy.name.clone()).or_insert_with(new_usage);
        let admitted = account_usage.usage.admit(own_share, account_usage.in_flight, now);
        admitted.map_err(|retry_after| LimitFault { retry_after, remainder })?;
        account_usage.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, account: &str) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.in_flight -= 1;
        }
    }
}
