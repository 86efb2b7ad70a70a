//! Configuration in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::config::manifest::{Manifest, ManifestItem};
use crate::config::{Config, ConfigVersion};
use crate::error::{Error, Result};
use crate::store::{StoreClient, StoredObject};

/// Name of the manifest's object.
const MANIFEST: &str = "config/manifest";

/// Reads back a lost answer so often.
const READ_BACKS: u32 = 5;

/// Wait from one reading back to the next.
const READ_BACK_STEP: Duration = Duration::from_millis(200);

/// Reads and writes configurations, and remembers the objects they share.
#[derive(Debug)]
pub struct ConfigStore {
    store: StoreClient,
    objects: HashMap<Arc<str>, Bytes>,
}

impl ConfigStore {
    /// Works on `store`.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        ConfigStore { store, objects: HashMap::new() }
    }

    /// Waits for a configuration above `after`, none where none came in time.
    ///
    /// # Errors
    ///
    /// The store is away, or what it holds is no configuration.
    pub async fn watch(&mut self, after: ConfigVersion, wait: Duration) -> Result<Option<Config>> {
        let stored = self.store.watch(MANIFEST, after.0, wait).await?;
        self.load_newer(stored, after).await
    }

    /// Reads the configuration, none where it is not above `after`.
    ///
    /// # Errors
    ///
    /// The store is away, or what it holds is no configuration.
    pub async fn pull(&mut self, after: ConfigVersion) -> Result<Option<Config>> {
        let stored = self.store.get(MANIFEST).await?;
        self.load_newer(stored, after).await
    }

    async fn load_newer(
        &mut self,
        stored: Option<StoredObject>,
        after: ConfigVersion,
    ) -> Result<Option<Config>> {
        let Some(stored) = stored.filter(|stored| stored.version > after.0) else {
            return Ok(None);
        };
        let manifest: Manifest = serde_json::from_slice(&stored.content)
            .map_err(|error| Error::config(None, format!("half-written manifest: {error}")))?;
        for item in &manifest.items {
            self.load_object(item).await?;
        }
        self.objects.retain(|hash, _| manifest.items.iter().any(|item| item.hash == *hash));
        let objects = &self.objects;
        let version = ConfigVersion(stored.version);
        manifest.into_config(version, |hash| objects.get(hash).cloned()).map(Some)
    }

    async fn load_object(&mut self, item: &ManifestItem) -> Result<()> {
        if self.objects.contains_key(&item.hash) {
            return Ok(());
        }
        let stored = self.store.get(&object_name(&item.hash)).await?;
        let stored = stored
            .ok_or_else(|| Error::config(None, format!("object {} is missing", item.hash)))?;
        self.objects.insert(item.hash.clone(), stored.content);
        Ok(())
    }

    /// Makes `config` the accepted one, where `expected` still is.
    ///
    /// # Errors
    ///
    /// [`Error::is_conflict`] where another configuration was accepted since.
    /// [`Error::is_unreachable`] where the store is away and it could not be
    /// found out whether the change took effect.
    pub async fn push(
        &mut self,
        config: &Config,
        expected: ConfigVersion,
    ) -> Result<ConfigVersion> {
        let token = format!("{:016x}", rand::random::<u64>());
        let (manifest, objects) = Manifest::from_config(config, token);
        for object in objects {
            if self.objects.contains_key(&object.hash) {
                continue;
            }
            let written = self.store.put(&object_name(&object.hash), object.content, 0).await;
            // An object of this name has this content.
            match written {
                Ok(_) => {}
                Err(error) if error.is_conflict() => {}
                Err(error) => return Err(error),
            }
        }
        let content = Bytes::from(serde_json::to_vec(&manifest).unwrap_or_default());
        match self.store.put(MANIFEST, content, expected.0).await {
            Ok(version) => Ok(ConfigVersion(version)),
            Err(error) if error.is_conflict() => Err(error),
            Err(error) => self.read_back(&manifest, error).await,
        }
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn read_back(&self, manifest: &Manifest, cause: Error) -> Result<ConfigVersion> {
        for _ in 0..READ_BACKS {
            if let Ok(Some(stored)) = self.store.get(MANIFEST).await {
                let found: Option<Manifest> = serde_json::from_slice(&stored.content).ok();
                if found.is_some_and(|found| found.token == manifest.token) {
                    return Ok(ConfigVersion(stored.version));
                }
                return Err(cause);
            }
            tokio::time::sleep(READ_BACK_STEP).await;
        }
        Err(cause)
    }
}

fn object_name(hash: &str) -> String {
    format!("config/objects/{hash}")
}
