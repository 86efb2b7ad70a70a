//! Settings files of the relay's programs: TOML, checked when read.

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

/// Settings of an entry that relays.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of this process.
    pub name: Arc<str>,
    /// Failure domain of its host.
    pub failure_domain: Arc<str>,
    /// Region of each failure domain.
    #[serde(default)]
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the balancer's questions.
    pub readiness_listen: SocketAddr,
    /// Address for metrics.
    pub metrics_listen: SocketAddr,
    /// Address for notes of agents; they use the same port.
    pub load_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest time between the removal of a key and its last use, in ms.
    pub revoke_ms: u64,
    /// Longest time in which the targets of a failure domain that is taken out of service may
    /// still get requests, in ms; left out where the platform takes none out.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
    /// Factor to the rate that services declare for cold targets, over all entries.
    #[serde(default = "declared")]
    pub warmup_overrun: f64,
    /// Requests that cold targets may get in each second beside that.
    #[serde(default)]
    pub warmup_slack: f64,
    /// True where nobody who needs a key is let in while the configuration can
    /// not be proven current; else the last proven one is served on with.
    pub fail_closed: bool,
    /// Longest time in which a target that is leaving may still get requests,
    /// from when the platform's store says so, in ms.
    pub drain_ms: u64,
    /// How long the platform's store remembers what changed, in seconds.
    pub store_history_s: f64,
    /// Second attempts for each request, over all entries.
    pub retry_ratio: f64,
    /// Second attempts in each window beside that, over all entries.
    pub retry_slack: f64,
    /// Length of that window, in seconds.
    pub retry_window_s: u64,
    /// Longest planned stop, in seconds.
    pub stop_s: f64,
    /// What is weighed when it decides, where it differs from the defaults.
    #[serde(default)]
    pub policy: RelayPolicy,
}

fn declared() -> f64 {
    WarmupBound::default().overrun
}

/// Settings of an agent that advises entries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdviserSettings {
    /// Name of this process.
    pub name: Arc<str>,
    /// Address for notes of entries.
    pub load_listen: SocketAddr,
    /// The engine beside it.
    pub target: SocketAddr,
}

impl RelaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file can not be read, has an unknown field or a value out of range.
    pub fn from_file(path: &Path) -> Result<Self> {
        let settings: RelaySettings = from_file(path)?;
        let has_order = settings.retry_ratio >= 0.0
            && settings.retry_slack >= 0.0
            && settings.retry_window_s > 0
            && settings.stop_s > 0.0
            && settings.revoke_ms > 0
            && settings.evacuate_ms != Some(0)
            && settings.warmup_overrun >= 0.0
            && settings.warmup_slack >= 0.0
            && settings.drain_ms > 0
            && settings.store_history_s > 0.0;
        if has_order {
            settings.policy.check()?;
            return Ok(settings);
        }
        Err(Error::settings(
            "retry_window_s, stop_s, revoke_ms, evacuate_ms, drain_ms and store_history_s must be \
             above zero, retry_ratio, retry_slack, warmup_overrun and warmup_slack not below",
        ))
    }

    /// The limits that may change while the process runs.
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

    /// Longest time between the removal of a key and its last use.
    #[must_use]
    pub fn revoke_bound(&self) -> Duration {
        Duration::from_millis(self.revoke_ms)
    }

    /// What is done while the configuration can not be proven current.
    #[must_use]
    pub fn stale_policy(&self) -> StalePolicy {
        if self.fail_closed { StalePolicy::FailClosed } else { StalePolicy::FailOpen }
    }

    /// Longest planned stop.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }
}

impl AdviserSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file can not be read, or has an unknown field.
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
    /// A file at `path`.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        SettingsFile { path }
    }

    /// Reads and checks the file.
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
