//! Declared configuration: what operators state and the fleet obeys.
//!
//! People write TOML. [`Config::from_toml`] refuses unknown fields and bad
//! references with their place in the file and the nearest known name. The
//! store keeps the same document as JSON.

mod check;
pub mod diff;
pub mod manifest;
mod parse;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of an accepted configuration; it only grows.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version of a manifest that was written as a version of its object in an epoch of
    /// the store: one of a later epoch is a later one.
    #[must_use]
    pub fn from_store(epoch: u64, version: u64) -> Self {
        const VERSION_BITS: u32 = 40;
        ConfigVersion((epoch << VERSION_BITS) + version)
    }
}

/// A whole declared configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version, zero for one that was not accepted yet.
    #[serde(default)]
    pub version: ConfigVersion,
    /// Services in front of targets.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Models that engine services offer.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Templates that client accounts refer to.
    #[serde(default)]
    pub templates: Vec<Template>,
    /// Client accounts.
    #[serde(default)]
    pub client_accounts: Vec<ClientAccount>,
}

/// What stands behind the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A set of targets that can stand in for one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: Arc<str>,
    /// What stands behind its targets.
    pub kind: ServiceKind,
    /// Paths of a plain service whose calls may not be repeated.
    #[serde(default)]
    pub not_repeatable: Vec<Arc<str>>,
}

/// A model that an engine service offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: Arc<str>,
    /// The service whose engines load it.
    pub service: Arc<str>,
    /// Versions that can be loaded, the preferred one first.
    #[serde(default)]
    pub versions: Vec<Arc<str>>,
    /// Adapters that can be loaded onto it.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Longest prompt that it takes, in tokens.
    pub max_prompt_tokens: u64,
}

/// How urgent the requests of a template are.
#[derive(
    Clone, Copy, Debug, Display, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits.
    #[display("interactive")]
    Interactive,
    /// Soon.
    #[default]
    #[display("normal")]
    Normal,
    /// May wait but must finish.
    #[display("batch")]
    Batch,
}

/// A time limit for prompts up to a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeLimit {
    /// Longest prompt that this limit is for, in tokens.
    pub up_to_tokens: u64,
    /// Seconds from arrival to the end of the answer.
    pub seconds: u64,
}

/// Requests that a client account may make, with parameters to be set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name, unique among templates.
    pub name: Arc<str>,
    /// Models that may be used.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Adapters that may be used.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Versions that may be asked for by name; empty allows the preferred one only.
    #[serde(default)]
    pub versions: Vec<Arc<str>>,
    /// Plain services that may be called.
    #[serde(default)]
    pub services: Vec<Arc<str>>,
    /// How urgent the requests are.
    #[serde(default)]
    pub urgency: Urgency,
    /// Whether a model request may be run again after a failure.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Time limits by prompt length, shortest first.
    pub time_limits: Vec<TimeLimit>,
    /// Highest rate of an account over the whole fleet, in requests a second.
    #[serde(default = "unlimited_rate")]
    pub requests_per_second: f64,
    /// Most requests of an account in flight over the whole fleet.
    #[serde(default = "unlimited_count")]
    pub concurrent: u64,
    /// Names of the fields that an account may set for itself.
    #[serde(default)]
    pub parameters: Vec<Arc<str>>,
}

/// Values of an account for its template's parameters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// In place of the template's models.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<Arc<str>>>,
    /// In place of the template's urgency.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// In place of the template's rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// In place of the template's count in flight.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u64>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name, unique among client accounts.
    pub name: Arc<str>,
    /// The template its requests follow.
    pub template: Arc<str>,
    /// SHA-256 of each key in force, in hexadecimal.
    pub key_sha256: Vec<Arc<str>>,
    /// Share of a contended target, against other accounts.
    #[serde(default = "one")]
    pub weight: u32,
    /// Values for the template's parameters.
    #[serde(default)]
    pub set: Parameters,
}

/// What one client account may do, its template and parameters joined.
#[derive(Clone, Debug)]
pub struct AccountPolicy {
    /// Name of the account.
    pub name: Arc<str>,
    /// Models that may be used.
    pub models: Vec<Arc<str>>,
    /// Adapters that may be used.
    pub adapters: Vec<Arc<str>>,
    /// Versions that may be asked for by name.
    pub versions: Vec<Arc<str>>,
    /// Plain services that may be called.
    pub services: Vec<Arc<str>>,
    /// How urgent the requests are.
    pub urgency: Urgency,
    /// Whether model requests may be run again.
    pub repeatable: bool,
    /// Time limits by prompt length, shortest first.
    pub time_limits: Vec<TimeLimit>,
    /// Requests a second over the fleet.
    pub requests_per_second: f64,
    /// Requests in flight over the fleet.
    pub concurrent: u64,
    /// Share of a contended target.
    pub weight: u32,
}

impl AccountPolicy {
    /// Time limit of a prompt of `tokens`, none where no limit is long enough.
    #[must_use]
    pub fn time_limit(&self, tokens: u64) -> Option<Duration> {
        let limit = self.time_limits.iter().find(|limit| tokens <= limit.up_to_tokens)?;
        Some(Duration::from_secs(limit.seconds))
    }
}

impl Config {
    /// Looks up a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Looks up a model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Looks up a template.
    #[must_use]
    pub fn template(&self, name: &str) -> Option<&Template> {
        self.templates.iter().find(|template| &*template.name == name)
    }

    /// Joins an account with its template, none where that is missing.
    #[must_use]
    pub fn policy(&self, account: &ClientAccount) -> Option<AccountPolicy> {
        let template = self.template(&account.template)?;
        let set = &account.set;
        Some(AccountPolicy {
            name: account.name.clone(),
            models: set.models.clone().unwrap_or_else(|| template.models.clone()),
            adapters: template.adapters.clone(),
            versions: template.versions.clone(),
            services: template.services.clone(),
            urgency: set.urgency.unwrap_or(template.urgency),
            repeatable: template.repeatable,
            time_limits: template.time_limits.clone(),
            requests_per_second: set.requests_per_second.unwrap_or(template.requests_per_second),
            concurrent: set.concurrent.unwrap_or(template.concurrent),
            weight: account.weight,
        })
    }
}

fn yes() -> bool {
    true
}

fn one() -> u32 {
    1
}

fn unlimited_rate() -> f64 {
    1e9
}

fn unlimited_count() -> u64 {
    u64::from(u32::MAX)
}
