//! Checks of a whole configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::parse::nearest;
use super::{ClientAccount, Config, Model, Service, ServiceKind, Template};
use crate::error::{Error, Place, Result};

/// One step of the way from the document's root to a value.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Field(&'static str),
    Index(usize),
}

/// Fields that an account may set, where its template lists them.
const PARAMETER_NAMES: [&str; 4] = ["models", "urgency", "requests_per_second", "concurrent"];

/// Hexadecimal digits of a SHA-256.
const KEY_DIGITS: usize = 64;

type Locate<'a> = &'a dyn Fn(&[Step]) -> Option<Place>;

/// A list of references, and the names that they may use.
struct NameList<'a> {
    field: &'static str,
    kind: &'static str,
    values: &'a [Arc<str>],
    known: Vec<&'a str>,
}

impl<'a> NameList<'a> {
    fn new(
        field: &'static str,
        kind: &'static str,
        values: &'a [Arc<str>],
        known: Vec<&'a str>,
    ) -> Self {
        NameList { field, kind, values, known }
    }
}

struct Checker<'a> {
    config: &'a Config,
    locate: Locate<'a>,
}

impl Config {
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
    fn fault<T>(&self, path: &[Step], text: impl Into<String>) -> Result<T> {
        Err(Error::config((self.locate)(path), text))
    }

    fn check_names(&self) -> Result<()> {
        let config = self.config;
        self.check_unique("services", config.services.iter().map(|one| &one.name))?;
        self.check_unique("models", config.models.iter().map(|one| &one.name))?;
        self.check_unique("templates", config.templates.iter().map(|one| &one.name))?;
        self.check_unique("client_accounts", config.client_accounts.iter().map(|one| &one.name))
    }

    fn check_unique<'a>(
        &self,
        field: &'static str,
        names: impl Iterator<Item = &'a Arc<str>>,
    ) -> Result<()> {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let path = [Step::Field(field), Step::Index(index), Step::Field("name")];
            if name.is_empty() {
                return self.fault(&path, format!("a name in `{field}` is empty"));
            }
            if !seen.insert(name) {
                return self.fault(&path, format!("`{name}` stands twice in `{field}`"));
            }
        }
        Ok(())
    }

    fn check_reference<'a>(
        &self,
        path: &[Step],
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
        self.fault(path, format!("unknown {kind} `{name}`{hint}"))
    }

    fn check_service(&self, index: usize, service: &Service) -> Result<()> {
        let path = [Step::Field("services"), Step::Index(index), Step::Field("not_repeatable")];
        if service.kind == ServiceKind::Engine && !service.not_repeatable.is_empty() {
            return self.fault(&path, "`not_repeatable` paths are for plain services");
        }
        if service.not_repeatable.iter().any(|path| !path.starts_with('/')) {
            return self.fault(&path, "a `not_repeatable` path starts with `/`");
        }
        Ok(())
    }

    fn check_model(&self, index: usize, model: &Model) -> Result<()> {
        let at = |field| [Step::Field("models"), Step::Index(index), Step::Field(field)];
        let engines = self.config.services.iter();
        let engines = engines.filter(|service| service.kind == ServiceKind::Engine);
        let names = engines.map(|service| &*service.name);
        self.check_reference(&at("service"), "engine service", &model.service, names)?;
        if model.max_prompt_tokens == 0 {
            return self.fault(&at("max_prompt_tokens"), "`max_prompt_tokens` must be above 0");
        }
        Ok(())
    }

    fn check_template(&self, index: usize, template: &Template) -> Result<()> {
        let at = |field| [Step::Field("templates"), Step::Index(index), Step::Field(field)];
        let config = self.config;
        let lists = [
            NameList::new("models", "model", &template.models, names_of_models(config)),
            NameList::new(
                "adapters",
                "adapter",
                &template.adapters,
                all_of(config, |model| &model.adapters),
            ),
            NameList::new(
                "versions",
                "version",
                &template.versions,
                all_of(config, |model| &model.versions),
            ),
            NameList::new("services", "plain service", &template.services, names_of_plain(config)),
            NameList::new(
                "parameters",
                "parameter",
                &template.parameters,
                PARAMETER_NAMES.to_vec(),
            ),
        ];
        for list in lists {
            for (place, value) in list.values.iter().enumerate() {
                let path = [at(list.field).as_slice(), &[Step::Index(place)]].concat();
                self.check_reference(&path, list.kind, value, list.known.iter().copied())?;
            }
        }
        self.check_limits(&at("time_limits"), template)?;
        self.check_rate(&at("requests_per_second"), template.requests_per_second)
    }

    fn check_limits(&self, path: &[Step], template: &Template) -> Result<()> {
        let limits = &template.time_limits;
        if limits.is_empty() {
            return self.fault(path, "`time_limits` must hold a limit");
        }
        if !limits.is_sorted_by(|a, b| a.up_to_tokens < b.up_to_tokens) {
            return self.fault(path, "`time_limits` must grow by `up_to_tokens`");
        }
        if limits.iter().any(|limit| limit.seconds == 0) {
            return self.fault(path, "a time limit must be above 0 seconds");
        }
        Ok(())
    }

    fn check_rate(&self, path: &[Step], rate: f64) -> Result<()> {
        if rate.is_finite() && rate > 0.0 {
            return Ok(());
        }
        self.fault(path, "`requests_per_second` must be above 0")
    }

    fn check_account(&self, index: usize, account: &ClientAccount) -> Result<()> {
        let at = |field| [Step::Field("client_accounts"), Step::Index(index), Step::Field(field)];
        let names = self.config.templates.iter().map(|template| &*template.name);
        self.check_reference(&at("template"), "template", &account.template, names)?;
        if account.weight == 0 {
            return self.fault(&at("weight"), "`weight` must be above 0");
        }
        for (place, key) in account.key_sha256.iter().enumerate() {
            let path = [at("key_sha256").as_slice(), &[Step::Index(place)]].concat();
            self.check_key(&path, key)?;
        }
        self.check_set(&at("set"), account)?;
        let Some(models) = &account.set.models else {
            return Ok(());
        };
        let known = names_of_models(self.config);
        for (place, model) in models.iter().enumerate() {
            let path =
                [at("set").as_slice(), &[Step::Field("models"), Step::Index(place)]].concat();
            self.check_reference(&path, "model", model, known.iter().copied())?;
        }
        Ok(())
    }

    fn check_key(&self, path: &[Step], key: &str) -> Result<()> {
        let well_formed = key.len() == KEY_DIGITS
            && key.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if well_formed {
            return Ok(());
        }
        self.fault(path, "a key is the lowercase hexadecimal SHA-256 of the secret")
    }

    fn check_set(&self, path: &[Step], account: &ClientAccount) -> Result<()> {
        let set = &account.set;
        let given = [
            ("models", set.models.is_some()),
            ("urgency", set.urgency.is_some()),
            ("requests_per_second", set.requests_per_second.is_some()),
            ("concurrent", set.concurrent.is_some()),
        ];
        let template = self.config.template(&account.template);
        let allowed = |name: &str| {
            template.is_some_and(|one| one.parameters.iter().any(|other| &**other == name))
        };
        let refused = given.iter().find(|(name, is_given)| *is_given && !allowed(name));
        if let Some((name, _)) = refused {
            let path = [path, &[Step::Field(name)]].concat();
            let template = &account.template;
            return self.fault(&path, format!("template `{template}` has no parameter `{name}`"));
        }
        self.check_rate(path, set.requests_per_second.unwrap_or(1.0))
    }

    fn check_keys(&self) -> Result<()> {
        let mut seen = BTreeSet::new();
        for (index, account) in self.config.client_accounts.iter().enumerate() {
            for key in &account.key_sha256 {
                if !seen.insert(key) {
                    let path = [
                        Step::Field("client_accounts"),
                        Step::Index(index),
                        Step::Field("key_sha256"),
                    ];
                    return self.fault(&path, "a key belongs to one client account only");
                }
            }
        }
        Ok(())
    }
}

fn names_of_models(config: &Config) -> Vec<&str> {
    config.models.iter().map(|model| &*model.name).collect()
}

fn names_of_plain(config: &Config) -> Vec<&str> {
    let plain = config.services.iter().filter(|service| service.kind == ServiceKind::Plain);
    plain.map(|service| &*service.name).collect()
}

fn all_of(config: &Config, list: fn(&Model) -> &Vec<Arc<str>>) -> Vec<&str> {
    config.models.iter().flat_map(list).map(|name| &**name).collect()
}
