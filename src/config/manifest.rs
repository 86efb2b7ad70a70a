//! The form in which a configuration is stored, so that a change travels as
//! its delta.
//!
//! Each service, model, template and account is an object of its own, named
//! by the hash of its content and never changed. The manifest lists them;
//! its conditional update is what accepts a configuration.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Config, ConfigVersion};
use crate::error::{Error, Result};
use crate::hex::to_hex;

/// What an object of a manifest describes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemKind {
    /// A service.
    #[display("service")]
    Service,
    /// A model.
    #[display("model")]
    Model,
    /// A template.
    #[display("template")]
    Template,
    /// A client account.
    #[display("client account")]
    ClientAccount,
}

/// One object of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestItem {
    /// What it describes.
    pub kind: ItemKind,
    /// Hash of its content, by which it is named in the store.
    pub hash: Arc<str>,
}

/// All objects of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Random text by which a writer knows its own manifest again.
    pub token: String,
    /// Epoch of the store in which it was written.
    #[serde(default)]
    pub epoch: u64,
    /// The objects.
    pub items: Vec<ManifestItem>,
}

/// An object and its name.
#[derive(Clone, Debug)]
pub struct ManifestObject {
    /// Hash of the content.
    pub hash: Arc<str>,
    /// JSON.
    pub content: Bytes,
}

impl Manifest {
    /// Takes a configuration apart.
    #[must_use]
    pub fn from_config(config: &Config, token: String) -> (Self, Vec<ManifestObject>) {
        let mut manifest = Manifest { token, ..Manifest::default() };
        let mut objects = Vec::new();
        manifest.add_all(ItemKind::Service, &config.services, &mut objects);
        manifest.add_all(ItemKind::Model, &config.models, &mut objects);
        manifest.add_all(ItemKind::Template, &config.templates, &mut objects);
        manifest.add_all(ItemKind::ClientAccount, &config.client_accounts, &mut objects);
        (manifest, objects)
    }

    fn add_all<T: Serialize>(
        &mut self,
        kind: ItemKind,
        items: &[T],
        objects: &mut Vec<ManifestObject>,
    ) {
        for item in items {
            let content = Bytes::from(serde_json::to_vec(item).unwrap_or_default());
            let hash = to_hash(&content);
            self.items.push(ManifestItem { kind, hash: hash.clone() });
            objects.push(ManifestObject { hash, content });
        }
    }

    /// Puts a configuration together and checks it.
    ///
    /// # Errors
    ///
    /// A missing or half-written object, or a fault of the whole.
    pub fn into_config(
        self,
        version: ConfigVersion,
        find: impl Fn(&str) -> Option<Bytes>,
    ) -> Result<Config> {
        let mut config = Config { version, ..Config::default() };
        for item in &self.items {
            let content = find(&item.hash)
                .ok_or_else(|| Error::config(None, format!("object {} is missing", item.hash)))?;
            match item.kind {
                ItemKind::Service => config.services.push(read(&content)?),
                ItemKind::Model => config.models.push(read(&content)?),
                ItemKind::Template => config.templates.push(read(&content)?),
                ItemKind::ClientAccount => config.client_accounts.push(read(&content)?),
            }
        }
        config.check(&|_| None)?;
        Ok(config)
    }
}

fn read<T: DeserializeOwned>(content: &[u8]) -> Result<T> {
    serde_json::from_slice(content)
        .map_err(|error| Error::config(None, format!("half-written object: {error}")))
}

/// Names content by its hash.
fn to_hash(content: &[u8]) -> Arc<str> {
    const BYTES: usize = 12;
    to_hex(&Sha256::digest(content)[..BYTES]).into()
}
