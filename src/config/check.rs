//! Validation of a whole configuration: names, references between items, and value ranges.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::parse::nearest;
use super::{ClientAccount, Config, Model, Service, ServiceKind, Template};
use crate::error::{Error, Result, TextPosition};

/// One segment of the path from the root of the document to a value.
#[derive(Clone, Copy, Debug)]
pub(super) enum PathSegment {
    Field(&'static str),
    Index(usize),
}

/// Fields of a template that a client account can override if the template lists them in
/// `parameters`.
const PARAMETER_NAMES: [&str; 4] = ["models", "urgency", "requests_per_second", "concurrent"];

/// Length of a SHA-256 digest in hexadecimal digits.
const SHA256_HEX_DIGITS: usize = 64;

/// Finds the position of the value at a path, `None` if the source text is not available.
type Locate<'a> = &'a dyn Fn(&[PathSegment]) -> Option<TextPosition>;

/// A list of references in a template, and the names that they can refer to.
struct ReferenceList<'a> {
    field: &'static str,
    kind: &'static str,
    values: &'a [Arc<str>],
    known: Vec<&'a str>,
}

impl<'a> ReferenceList<'a> {
    fn new(
        field: &'static str,
        kind: &'static str,
        values: &'a [Arc<str>],
        known: Vec<&'a str>,
    ) -> Self {
        ReferenceList { field, kind, values, known }
    }
}

/// Validation of one configuration.
struct Checker<'a> {
    config: &'a Config,
    locate: Locate<'a>,
}

impl Config {
    /// Validates the configuration; `locate` finds the position that an error reports.
    pub(super) fn check(&self, locate: Locate<'_>) -> Result<()> {
        let checker = Checker { config: self, locate };
        checker.check_names()?;
        for (index, service) in self.services.iter().enumerate() {
            checker.check_service(index, service)?;
        }
        for (index, model) in self.models.iter().enumerate() {
            checker.check_model(index, model)?;
        }
        for (index, template) in self.templates.iter().enumerate() {
            checker.check_template(index, template)?;
        }
        for (index, account) in self.client_accounts.iter().enumerate() {
            checker.check_account(index, account)?;
        }
        checker.check_keys()
    }
}

impl Checker<'_> {
    /// Returns an error with the position of the value at `path`.
    fn reject<T>(&self, path: &[PathSegment], text: impl Into<String>) -> Result<T> {
        Err(Error::config((self.locate)(path), text))
    }

    fn check_names(&self) -> Result<()> {
        let config = self.config;
        self.check_unique("services", config.services.iter().map(|service| &service.name))?;
        self.check_unique("models", config.models.iter().map(|model| &model.name))?;
        self.check_unique("templates", config.templates.iter().map(|template| &template.name))?;
        self.check_unique(
            "client_accounts",
            config.client_accounts.iter().map(|account| &account.name),
        )
    }

    fn check_unique<'a>(
        &self,
        field: &'static str,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> Result<()> {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let path =
                [PathSegment::Field(field), PathSegment::Index(index), PathSegment::Field("name")];
            if name.is_empty() {
                return self.reject(&path, format!("a name in `{field}` is empty"));
            }
            if !seen.insert(name) {
                return self.reject(&path, format!("`{name}` stands twice in `{field}`"));
            }
        }
        Ok(())
    }

    /// Checks that `name` is among the `known` names.
    fn check_reference<'a>(
        &self,
        path: &[PathSegment],
        kind: &str,
        name: &str,
        known: impl Iterator<Item = &'a str> + Clone,
    ) -> Result<()> {
        if known.clone().any(|other| other == name) {
            return Ok(());
        }
        let hint = match nearest(name, known) {
            Some(near) => format!("; nearest is `{near}`"),
            None => String::new(),
        };
        self.reject(path, format!("unknown {kind} `{name}`{hint}"))
    }

    fn check_service(&self, index: usize, service: &Service) -> Result<()> {
        let path = [
            PathSegment::Field("services"),
            PathSegment::Index(index),
            PathSegment::Field("not_repeatable"),
        ];
        if service.kind == ServiceKind::Engine && !service.not_repeatable.is_empty() {
            return self.reject(&path, "`not_repeatable` paths are for plain services");
        }
        if service.not_repeatable.iter().any(|path| !path.starts_with('/')) {
            return self.reject(&path, "a `not_repeatable` path starts with `/`");
        }
        Ok(())
    }

    fn check_model(&self, index: usize, model: &Model) -> Result<()> {
        let at = |field| {
            [PathSegment::Field("models"), PathSegment::Index(index), PathSegment::Field(field)]
        };
        let engines = self.config.services.iter();
        let engines = engines.filter(|service| service.kind == ServiceKind::Engine);
        let names = engines.map(|service| &*service.name);
        self.check_reference(&at("service"), "engine service", &model.service, names)?;
        if model.max_prompt_tokens == 0 {
            return self.reject(&at("max_prompt_tokens"), "`max_prompt_tokens` must be above 0");
        }
        Ok(())
    }

    fn check_template(&self, index: usize, template: &Template) -> Result<()> {
        let at = |field| {
            [PathSegment::Field("templates"), PathSegment::Index(index), PathSegment::Field(field)]
        };
        let config = self.config;
        let reference_lists = [
            ReferenceList::new("models", "model", &template.models, model_names(config)),
            ReferenceList::new(
                "adapters",
                "adapter",
                &template.adapters,
                collect_from_models(config, |model| &model.adapters),
            ),
            ReferenceList::new(
                "versions",
                "version",
                &template.versions,
                collect_from_models(config, |model| &model.versions),
            ),
            ReferenceList::new(
                "services",
                "plain service",
                &template.services,
                plain_service_names(config),
            ),
            ReferenceList::new(
                "parameters",
                "parameter",
                &template.parameters,
                PARAMETER_NAMES.to_vec(),
            ),
        ];
        for references in reference_lists {
            for (element, value) in references.values.iter().enumerate() {
                let path =
                    [at(references.field).as_slice(), &[PathSegment::Index(element)]].concat();
                self.check_reference(
                    &path,
                    references.kind,
                    value,
                    references.known.iter().copied(),
                )?;
            }
        }
        self.check_limits(&at("time_limits"), template)?;
        self.check_rate(&at("requests_per_second"), template.requests_per_second)
    }

    fn check_limits(&self, path: &[PathSegment], template: &Template) -> Result<()> {
        let limits = &template.time_limits;
        if limits.is_empty() {
            return self.reject(path, "`time_limits` must hold a limit");
        }
        if !limits.is_sorted_by(|a, b| a.up_to_tokens < b.up_to_tokens) {
            return self.reject(path, "`time_limits` must grow by `up_to_tokens`");
        }
        if limits.iter().any(|limit| limit.seconds == 0) {
            return self.reject(path, "a time limit must be above 0 seconds");
        }
        Ok(())
    }

    fn check_rate(&self, path: &[PathSegment], rate: f64) -> Result<()> {
        if rate.is_finite() && rate > 0.0 {
            return Ok(());
        }
        self.reject(path, "`requests_per_second` must be above 0")
    }

    fn check_account(&self, index: usize, account: &ClientAccount) -> Result<()> {
        let at = |field| {
            [
                PathSegment::Field("client_accounts"),
                PathSegment::Index(index),
                PathSegment::Field(field),
            ]
        };
        let names = self.config.templates.iter().map(|template| &*template.name);
        self.check_reference(&at("template"), "template", &account.template, names)?;
        if account.weight == 0 {
            return self.reject(&at("weight"), "`weight` must be above 0");
        }
        for (element, key) in account.key_sha256.iter().enumerate() {
            let path = [at("key_sha256").as_slice(), &[PathSegment::Index(element)]].concat();
            self.check_key(&path, key)?;
        }
        self.check_set(&at("set"), account)?;
        let Some(models) = &account.set.models else {
            return Ok(());
        };
        let known = model_names(self.config);
        for (element, model) in models.iter().enumerate() {
            let path = [
                at("set").as_slice(),
                &[PathSegment::Field("models"), PathSegment::Index(element)],
            ]
            .concat();
            self.check_reference(&path, "model", model, known.iter().copied())?;
        }
        Ok(())
    }

    fn check_key(&self, path: &[PathSegment], key: &str) -> Result<()> {
        let is_well_formed = key.len() == SHA256_HEX_DIGITS
            && key.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if is_well_formed {
            return Ok(());
        }
        self.reject(path, "a key is the lowercase hexadecimal SHA-256 of the secret")
    }

    fn check_set(&self, path: &[PathSegment], account: &ClientAccount) -> Result<()> {
        let set = &account.set;
        let given = [
            ("models", set.models.is_some()),
            ("urgency", set.urgency.is_some()),
            ("requests_per_second", set.requests_per_second.is_some()),
            ("concurrent", set.concurrent.is_some()),
        ];
        let template = self.config.template(&account.template);
        let allowed = |name: &str| {
            template
                .is_some_and(|template| template.parameters.iter().any(|other| &**other == name))
        };
        let disallowed = given.iter().find(|(name, is_given)| *is_given && !allowed(name));
        if let Some((name, _)) = disallowed {
            let path = [path, &[PathSegment::Field(name)]].concat();
            let template = &account.template;
            return self.reject(&path, format!("template `{template}` has no parameter `{name}`"));
        }
        self.check_rate(path, set.requests_per_second.unwrap_or(1.0))
    }

    fn check_keys(&self) -> Result<()> {
        let mut seen = BTreeSet::new();
        for (index, account) in self.config.client_accounts.iter().enumerate() {
            for key in &account.key_sha256 {
                if !seen.insert(key) {
                    let path = [
                        PathSegment::Field("client_accounts"),
                        PathSegment::Index(index),
                        PathSegment::Field("key_sha256"),
                    ];
                    return self.reject(&path, "a key belongs to one client account only");
                }
            }
        }
        Ok(())
    }
}

fn model_names(config: &Config) -> Vec<&str> {
    config.models.iter().map(|model| &*model.name).collect()
}

fn plain_service_names(config: &Config) -> Vec<&str> {
    let plain = config.services.iter().filter(|service| service.kind == ServiceKind::Plain);
    plain.map(|service| &*service.name).collect()
}

fn collect_from_models(config: &Config, names: fn(&Model) -> &Vec<Arc<str>>) -> Vec<&str> {
    config.models.iter().flat_map(names).map(|name| &**name).collect()
}
