//! Storage format of a configuration.
//!
//! Each service, model, template and account is a separate, immutable object that is named by
//! the hash of its content, so that a reader fetches only the objects that changed. The
//! manifest lists the objects of a configuration; a conditional update of the manifest makes
//! the configuration the accepted one.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Config, ConfigVersion};
use crate::error::{Error, Result};
use crate::hex::to_hex;

/// Kind of a configuration item.
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

/// Reference from a manifest to one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestItem {
    /// Kind of the item that the object holds.
    pub kind: ItemKind,
    /// Hash of the content, which names the object in the store.
    pub hash: Arc<str>,
}

/// List of the objects of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Random text by which a writer recognizes its own manifest when it reads it back.
    pub token: String,
    /// Epoch of the store in which the manifest was written.
    #[serde(default)]
    pub epoch: u64,
    /// References to the objects, in the order of the configuration.
    pub items: Vec<ManifestItem>,
}

/// Content of an object and the hash that names it.
#[derive(Clone, Debug)]
pub struct ManifestObject {
    /// Hash of the content.
    pub hash: Arc<str>,
    /// JSON of the item.
    pub content: Bytes,
}

impl Manifest {
    /// Splits a configuration into a manifest and its objects.
    #[must_use]
    pub fn from_config(config: &Config, token: String) -> (Self, Vec<ManifestObject>) {
        let mut manifest = Manifest { token, ..Manifest::default() };
        let mut objects = Vec::new();
        manifest.add_items(ItemKind::Service, &config.services, &mut objects);
        manifest.add_items(ItemKind::Model, &config.models, &mut objects);
        manifest.add_items(ItemKind::Template, &config.templates, &mut objects);
        manifest.add_items(ItemKind::ClientAccount, &config.client_accounts, &mut objects);
        (manifest, objects)
    }

    fn add_items<T: Serialize>(
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

    /// Assembles and validates the configuration; `find_object` returns the content for a hash.
    ///
    /// # Errors
    ///
    /// Returns an error if an object is missing or malformed, or if the assembled configuration
    /// is invalid.
    pub fn into_config(
        self,
        version: ConfigVersion,
        find_object: impl Fn(&str) -> Option<Bytes>,
    ) -> Result<Config> {
        let mut config = Config { version, ..Config::default() };
        for item in &self.items {
            let content = find_object(&item.hash)
                .ok_or_else(|| Error::config(None, format!("object {} is missing", item.hash)))?;
            match item.kind {
                ItemKind::Service => config.services.push(parse_object(&content)?),
                ItemKind::Model => config.models.push(parse_object(&content)?),
                ItemKind::Template => config.templates.push(parse_object(&content)?),
                ItemKind::ClientAccount => config.client_accounts.push(parse_object(&content)?),
            }
        }
        config.check(&|_| None)?;
        Ok(config)
    }
}

fn parse_object<T: DeserializeOwned>(content: &[u8]) -> Result<T> {
    serde_json::from_slice(content)
        .map_err(|error| Error::config(None, format!("malformed configuration object: {error}")))
}

/// Returns the hash that names `content`: the first 12 bytes of its SHA-256.
fn to_hash(content: &[u8]) -> Arc<str> {
    const HASH_BYTES: usize = 12;
    to_hex(&Sha256::digest(content)[..HASH_BYTES]).into()
}
