//! Hosts as the platform lists them, late.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What runs on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// A target and its agent.
    Target {
        /// The service it belongs to.
        service: Arc<str>,
    },
}

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It is there.
    Live,
    /// It will be gone soon.
    Leaving,
    /// It is gone.
    Gone,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// What runs there.
    pub role: HostRole,
    /// Address of our process on it, `ip:port`.
    pub address: Arc<str>,
    /// The part of the fleet that fails together with it.
    pub failure_domain: Arc<str>,
    /// Whether it takes new work.
    pub state: HostState,
}

/// Changes of the list since an earlier revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDelta {
    /// Revision of the list after these changes.
    pub revision: u64,
    /// Hosts that are new or changed.
    pub hosts: Vec<HostRecord>,
}
