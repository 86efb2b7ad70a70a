//! Settings files of the relay's programs, in TOML. They are validated when they are read.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::core::RelayLimits;
use super::decide::policy::RelayPolicy;
use super::decide::retry_budget::RetryBound;
use super::decide::warmup::WarmupBound;
use super::discovery::freshness::StalePolicy;
use crate::error::{Error, Result};

/// Settings of an entry that relays requests directly to targets.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of this process.
    pub name: Arc<str>,
    /// Failure domain of the host of this process.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain, by the domain's name.
    #[serde(default)]
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub readiness_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Address for messages from agents, which use the same port.
    pub load_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest time between the removal of a key and its last use, in ms.
    pub revoke_ms: u64,
    /// Longest time during which the targets of an evacuated failure domain may still get
    /// requests, in ms. Omitted if the platform never evacuates a domain.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
    /// Factor on the rate that services declare for cold targets, over all entries.
    #[serde(default = "declared")]
    pub warmup_overrun: f64,
    /// Requests per second that cold targets may get in addition.
    #[serde(default)]
    pub warmup_slack: f64,
    /// If `true`, requests that need a key are refused while the configuration cannot be proven
    /// current. Otherwise they are served by the last proven configuration.
    pub fail_closed: bool,
    /// Longest time during which a target that is leaving may still get requests, from the moment
    /// at which the platform's store says so, in ms.
    pub drain_ms: u64,
    /// How long the platform's store keeps its history of changes, in seconds.
    pub store_history_s: f64,
    /// Retries per request, over all entries.
    pub retry_ratio: f64,
    /// Retries per window in addition to that, over all entries.
    pub retry_slack: f64,
    /// Length of that window, in seconds.
    pub retry_window_s: u64,
    /// Longest planned stop, in seconds.
    pub stop_s: f64,
    /// Number of file descriptors that the process may use. Omitted if it is not limited.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
    /// Memory that the process may use, in MiB. Omitted if it is not limited.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Settings of the placement of requests that differ from the defaults.
    #[serde(default)]
    pub policy: RelayPolicy,
}

fn declared() -> f64 {
    WarmupBound::default().overrun
}

/// Settings of an agent that runs as load coordinator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Name of this process.
    pub name: Arc<str>,
    /// Address for messages from entries.
    pub load_listen: SocketAddr,
    /// Address of the engine on the same host.
    pub target: SocketAddr,
}

impl RelaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, has an unknown field or a value out of range.
    pub fn from_file(path: &Path) -> Result<Self> {
        let settings: RelaySettings = from_file(path)?;
        let is_valid = settings.retry_ratio >= 0.0
            && settings.retry_slack >= 0.0
            && settings.retry_window_s > 0
            && settings.stop_s > 0.0
            && settings.revoke_ms > 0
            && settings.evacuate_ms != Some(0)
            && settings.warmup_overrun >= 0.0
            && settings.warmup_slack >= 0.0
            && settings.drain_ms > 0
            && settings.max_descriptors != Some(0)
            && settings.memory_mb != Some(0)
            && settings.store_history_s > 0.0;
        if is_valid {
            settings.policy.check()?;
            return Ok(settings);
        }
        Err(Error::settings(
            "retry_window_s, stop_s, revoke_ms, evacuate_ms, drain_ms, store_history_s, \
             max_descriptors and memory_mb must be above zero; retry_ratio, retry_slack, warmup_overrun and warmup_slack must not be negative",
        ))
    }

    /// Returns the limits, which may change while the process runs.
    #[must_use]
    pub fn to_limits(&self) -> RelayLimits {
        RelayLimits {
            failure_domain: self.failure_domain.clone(),
            regions: self.regions.clone(),
            revoke_bound: self.revoke_bound(),
            evacuate_bound: self.evacuate_ms.map(Duration::from_millis),
            warmup_bound: WarmupBound { overrun: self.warmup_overrun, slack: self.warmup_slack },
            stale_policy: self.stale_policy(),
            policy: self.policy,
            drain_bound: Duration::from_millis(self.drain_ms),
            store_history: Duration::from_secs_f64(self.store_history_s),
            retry_bound: RetryBound {
                ratio: self.retry_ratio,
                slack: self.retry_slack,
                window: Duration::from_secs(self.retry_window_s),
            },
        }
    }

    /// Returns the longest time between the removal of a key and its last use.
    #[must_use]
    pub fn revoke_bound(&self) -> Duration {
        Duration::from_millis(self.revoke_ms)
    }

    /// Returns the policy while the configuration cannot be proven current.
    #[must_use]
    pub fn stale_policy(&self) -> StalePolicy {
        if self.fail_closed { StalePolicy::FailClosed } else { StalePolicy::FailOpen }
    }

    /// Returns the duration of the longest planned stop.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

impl CoordinatorSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or has an unknown field.
    pub fn from_file(path: &Path) -> Result<Self> {
        from_file(path)
    }
}

/// A settings file that is read again while the process runs.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
}

impl SettingsFile {
    /// Creates a reader of the settings file at `path`.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        SettingsFile { path }
    }

    /// Reads and validates the file.
    ///
    /// # Errors
    ///
    /// See [`RelaySettings::from_file`].
    pub fn read(&self) -> Result<RelaySettings> {
        RelaySettings::from_file(&self.path)
    }
}

fn from_file<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)?;
    toml::from_str(&text)
        .map_err(|error| Error::settings(format!("{}: {}", path.display(), error.message())))
}
