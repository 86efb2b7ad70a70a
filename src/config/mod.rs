//! Declared configuration: services, models, templates and client accounts.
//!
//! Operators write the configuration as TOML. [`Config::from_toml`] rejects unknown fields and
//! unknown references with their position in the file and the most similar known name. The
//! store holds the same content as JSON, one object for each item (see [`manifest`]).

mod check;
pub mod diff;
pub mod manifest;
mod parse;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Version number of an accepted configuration; it increases with each accepted change.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Combines the epoch of the store in which a manifest was written with the version of
    /// the manifest's object. A version from a later epoch is always greater.
    #[must_use]
    pub fn from_store(epoch: u64, version: u64) -> Self {
        const VERSION_BITS: u32 = 40;
        ConfigVersion((epoch << VERSION_BITS) + version)
    }
}

/// A complete declared configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version, zero for a configuration that is not accepted yet.
    #[serde(default)]
    pub version: ConfigVersion,
    /// Services that targets belong to.
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

/// Kind of the targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Engines that run models.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A set of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: Arc<str>,
    /// Kind of the targets.
    pub kind: ServiceKind,
    /// Path prefixes of a plain service whose calls must not be repeated.
    #[serde(default)]
    pub not_repeatable: Vec<Arc<str>>,
}

/// A model that an engine service offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: Arc<str>,
    /// Name of the service whose engines load the model.
    pub service: Arc<str>,
    /// Versions that engines can load, the preferred version first.
    #[serde(default)]
    pub versions: Vec<Arc<str>>,
    /// Adapters that engines can load onto the model.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Longest prompt that the model accepts, in tokens.
    pub max_prompt_tokens: u64,
}

/// Urgency of requests.
#[derive(
    Clone, Copy, Debug, Display, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// A person waits for the answer.
    #[display("interactive")]
    Interactive,
    /// Default urgency, between interactive and batch.
    #[default]
    #[display("normal")]
    Normal,
    /// The request can wait but must finish.
    #[display("batch")]
    Batch,
}

/// Time limit of requests with prompts up to a given length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeLimit {
    /// Longest prompt that the limit applies to, in tokens.
    pub up_to_tokens: u64,
    /// Time from the arrival of the request to the end of the answer, in seconds.
    pub seconds: u64,
}

/// Permissions and limits that client accounts refer to, some of which an account can override.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name, unique among templates.
    pub name: Arc<str>,
    /// Models that requests can use.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Adapters that requests can use.
    #[serde(default)]
    pub adapters: Vec<Arc<str>>,
    /// Versions that requests can name; if empty, only the preferred version is allowed.
    #[serde(default)]
    pub versions: Vec<Arc<str>>,
    /// Plain services that requests can call.
    #[serde(default)]
    pub services: Vec<Arc<str>>,
    /// Urgency of the requests.
    #[serde(default)]
    pub urgency: Urgency,
    /// Whether a model request can be run again after a failure.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Time limits by prompt length, the shortest length first.
    pub time_limits: Vec<TimeLimit>,
    /// Maximum rate of an account across the fleet, in requests per second.
    #[serde(default = "unlimited_rate")]
    pub requests_per_second: f64,
    /// Maximum number of requests of an account in flight across the fleet.
    #[serde(default = "unlimited_count")]
    pub concurrent: u64,
    /// Names of the fields that an account can override.
    #[serde(default)]
    pub parameters: Vec<Arc<str>>,
}

/// Values by which an account overrides fields of its template.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// Overrides the models of the template.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<Arc<str>>>,
    /// Overrides the urgency of the template.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub urgency: Option<Urgency>,
    /// Overrides the maximum rate of the template, in requests per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<f64>,
    /// Overrides the maximum number of requests in flight of the template.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u64>,
}

/// A client account: its keys, its template and its overrides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name, unique among client accounts.
    pub name: Arc<str>,
    /// Name of the template that applies to the account.
    pub template: Arc<str>,
    /// SHA-256 of each valid key, in lowercase hexadecimal.
    pub key_sha256: Vec<Arc<str>>,
    /// Relative share of a contended target, compared with other accounts.
    #[serde(default = "one")]
    pub weight: u32,
    /// Overrides of template fields.
    #[serde(default)]
    pub set: Parameters,
}

/// Permissions and limits of one client account: its template with its overrides applied.
#[derive(Clone, Debug)]
pub struct AccountPolicy {
    /// Name of the account.
    pub name: Arc<str>,
    /// Models that requests can use.
    pub models: Vec<Arc<str>>,
    /// Adapters that requests can use.
    pub adapters: Vec<Arc<str>>,
    /// Versions that requests can name.
    pub versions: Vec<Arc<str>>,
    /// Plain services that requests can call.
    pub services: Vec<Arc<str>>,
    /// Urgency of the requests.
    pub urgency: Urgency,
    /// Whether a model request can be run again after a failure.
    pub repeatable: bool,
    /// Time limits by prompt length, the shortest length first.
    pub time_limits: Vec<TimeLimit>,
    /// Maximum rate across the fleet, in requests per second.
    pub requests_per_second: f64,
    /// Maximum number of requests in flight across the fleet.
    pub concurrent: u64,
    /// Relative share of a contended target, compared with other accounts.
    pub weight: u32,
}

impl AccountPolicy {
    /// Returns the time limit of a prompt of `tokens` tokens, `None` if the prompt is longer
    /// than every limit allows.
    #[must_use]
    pub fn time_limit(&self, tokens: u64) -> Option<Duration> {
        let limit = self.time_limits.iter().find(|limit| tokens <= limit.up_to_tokens)?;
        Some(Duration::from_secs(limit.seconds))
    }
}

impl Config {
    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Looks up a model by name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Looks up a template by name.
    #[must_use]
    pub fn template(&self, name: &str) -> Option<&Template> {
        self.templates.iter().find(|template| &*template.name == name)
    }

    /// Applies the overrides of an account to its template, `None` if the template is missing.
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
