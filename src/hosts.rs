//! The platform's list of hosts, which may lag behind.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Process type that runs on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// An entry.
    Entry,
    /// A target and its agent.
    Target {
        /// Service that the target belongs to.
        service: Arc<str>,
    },
}

/// Whether a host accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host will leave soon.
    Leaving,
    /// The host has left.
    Gone,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Process type that runs on the host.
    pub role: HostRole,
    /// Address of this project's process on the host, `ip:port`.
    pub address: Arc<str>,
    /// Group of hosts that fail together.
    pub failure_domain: Arc<str>,
    /// Whether the host accepts new work.
    pub state: HostState,
}

/// Changes of the list since an earlier revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostDelta {
    /// Revision of the list after these changes.
    pub revision: u64,
    /// New and changed hosts.
    pub hosts: Vec<HostRecord>,
}
