//! Client accounts: who calls, and how much of it is let in.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::config::{AccountPolicy, Config, ServiceKind};
use crate::hex::to_hex;
use crate::time::Tick;

/// Seconds of its rate that an account may save up.
const BURST_SECONDS: f64 = 1.0;

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
    credit: f64,
    filled: Tick,
}

/// What each account has in flight at this entry, and its rate.
///
/// Limits hold over the fleet. Each entry lets in its equal part, since the
/// platform's balancer spreads connections evenly and no entry asks another.
#[derive(Debug, Default)]
pub struct AccountLimits {
    usage: HashMap<Arc<str>, AccountUsage>,
}

impl AccountLimits {
    /// Lets a request in, or says when to come back.
    ///
    /// # Errors
    ///
    /// The time after which the account has room again.
    pub fn admit(
        &mut self,
        policy: &AccountPolicy,
        entries: usize,
        now: Tick,
    ) -> Result<(), Duration> {
        let rate = policy.requests_per_second / entries as f64;
        let most = (policy.concurrent as f64 / entries as f64).ceil().max(1.0) as u64;
        let burst = (rate * BURST_SECONDS).max(1.0);
        let fresh = AccountUsage { in_flight: 0, credit: burst, filled: now };
        let usage = self.usage.entry(policy.name.clone()).or_insert(fresh);
        let earned = now.since(usage.filled).as_secs_f64() * rate;
        usage.credit = (usage.credit + earned).min(burst);
        usage.filled = now;
        if usage.credit < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - usage.credit) / rate));
        }
        if usage.in_flight >= most {
            return Err(Duration::from_secs(1));
        }
        usage.credit -= 1.0;
        usage.in_flight += 1;
        Ok(())
    }

    /// Notes the end of a request that was let in.
    pub fn release(&mut self, account: &str) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.in_flight -= 1;
        }
    }
}
