//! Differences between two configurations, as entries exchange them.
//!
//! A difference lacks what an intermediate version changed and a later one changed back. An entry
//! that knows such a version would end with a mixture of both, so each difference states the digest
//! of the configuration that it leads to.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::rules::{
    AccountRule, CallerLimits, DigestedConfig, RelayConfig, RouteRule, ServiceRule,
};
use super::store_revision::StoreRevision;
use crate::relay::decide::part_ledger::PartRecord;
use crate::relay::decide::quarantine_list::QuarantineRecord;

/// Host and path prefix of a route.
type RouteKey = (Arc<str>, Arc<str>);

/// Changes of keyed items, with their final values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ItemChanges<K, T> {
    /// Items that are new or changed.
    #[serde(rename = "p")]
    put: Vec<T>,
    /// Keys of items that were removed.
    #[serde(rename = "r")]
    removed: Vec<K>,
}

impl<K: Ord, T: Clone + PartialEq> ItemChanges<K, T> {
    fn between(old: &[T], new: &[T], key: fn(&T) -> K) -> Self {
        let mut remaining: BTreeMap<K, &T> = old.iter().map(|item| (key(item), item)).collect();
        let is_changed = |item: &&T| remaining.remove(&key(item)) != Some(*item);
        let put = new.iter().filter(is_changed).cloned().collect();
        ItemChanges { put, removed: remaining.into_keys().collect() }
    }

    fn apply(&self, items: &[T], key: fn(&T) -> K) -> Vec<T> {
        let mut items: BTreeMap<K, &T> = items.iter().map(|item| (key(item), item)).collect();
        items.retain(|key, _| !self.removed.contains(key));
        items.extend(self.put.iter().map(|item| (key(item), item)));
        items.into_values().cloned().collect()
    }
}

fn route_key(route: &RouteRule) -> RouteKey {
    (route.host.clone(), route.path_prefix.clone())
}

fn service_key(service: &ServiceRule) -> Arc<str> {
    service.name.clone()
}

fn account_key(account: &AccountRule) -> Arc<str> {
    account.name.clone()
}

/// What changed from one revision of the configuration to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Revision that it was computed from. It also applies to a later one that differs from the
    /// result in nothing else.
    #[serde(rename = "s")]
    pub since: StoreRevision,
    /// Revision that it leads to.
    #[serde(rename = "m")]
    pub revision: StoreRevision,
    /// Digest of the configuration of that revision.
    #[serde(rename = "d")]
    digest: u64,
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "r")]
    routes: ItemChanges<RouteKey, RouteRule>,
    #[serde(rename = "b")]
    services: ItemChanges<Arc<str>, ServiceRule>,
    #[serde(rename = "a")]
    accounts: ItemChanges<Arc<str>, AccountRule>,
    #[serde(rename = "l")]
    limits: CallerLimits,
    #[serde(rename = "q")]
    quarantine: Vec<QuarantineRecord>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    part_quarantine: Vec<PartRecord>,
}

impl ConfigDelta {
    /// Computes the changes from `old`, of revision `since`, to `new`, of revision `revision`.
    #[must_use]
    pub fn between(
        old: &RelayConfig,
        since: StoreRevision,
        new: &RelayConfig,
        revision: StoreRevision,
    ) -> Self {
        ConfigDelta {
            since,
            revision,
            digest: new.digest(),
            version: new.version,
            routes: ItemChanges::between(&old.routes, &new.routes, route_key),
            services: ItemChanges::between(&old.services, &new.services, service_key),
            accounts: ItemChanges::between(&old.accounts, &new.accounts, account_key),
            limits: new.limits,
            quarantine: new.quarantine.clone(),
            part_quarantine: new.part_quarantine.clone(),
        }
    }

    /// Returns the configuration that results from applying the changes to `base`, with its digest.
    /// `None` if that is not the configuration of `revision`.
    #[must_use]
    pub fn apply(&self, base: &RelayConfig) -> Option<DigestedConfig> {
        let config = RelayConfig {
            version: self.version,
            routes: self.routes.apply(&base.routes, route_key),
            services: self.services.apply(&base.services, service_key),
            accounts: self.accounts.apply(&base.accounts, account_key),
            limits: self.limits,
            quarantine: self.quarantine.clone(),
            part_quarantine: self.part_quarantine.clone(),
        };
        let result = DigestedConfig::new(config);
        (result.digest == self.digest).then_some(result)
    }
}
