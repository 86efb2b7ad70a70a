//! Reads and writes of the configuration in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::config::manifest::{Manifest, ManifestItem};
use crate::config::{Config, ConfigVersion};
use crate::error::{Error, ErrorCode, Result};
use crate::store::{ObjectVersion, StoreClient, StoredObject};

/// Name of the object that holds the manifest.
const MANIFEST_OBJECT: &str = "config/manifest";

/// Maximum reads of the manifest to find out whether a write with a lost response took effect.
const READ_BACK_ATTEMPTS: u32 = 5;

/// Delay between reads of the manifest after a lost response.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);

/// Epoch of the store and version of the manifest's object that were read last.
#[derive(Clone, Copy, Debug, Default)]
struct ManifestPosition {
    epoch: u64,
    version: u64,
}

/// Reads and writes configurations, and caches the objects of the last one that was read.
#[derive(Debug)]
pub struct ConfigStore {
    store: StoreClient,
    objects: HashMap<Arc<str>, Bytes>,
    /// Position up to which the manifest was read.
    position: ManifestPosition,
}

impl ConfigStore {
    /// Creates a configuration store with an empty cache.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        ConfigStore { store, objects: HashMap::new(), position: ManifestPosition::default() }
    }

    /// Waits up to `wait` for a configuration newer than `after`, `None` if none is accepted in
    /// that time.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable, or if its content is malformed or invalid.
    pub async fn watch(&mut self, after: ConfigVersion, wait: Duration) -> Result<Option<Config>> {
        // A store that was restored from a backup issues version numbers again, so a version
        // from an earlier epoch is not comparable.
        let is_same_epoch = self.position.epoch == self.store.epoch();
        let known_version = if is_same_epoch { self.position.version } else { 0 };
        let stored = self.store.watch(MANIFEST_OBJECT, known_version, wait).await?;
        self.load_newer(stored, after).await
    }

    /// Reads the configuration, `None` if it is not newer than `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable, or if its content is malformed or invalid.
    pub async fn pull(&mut self, after: ConfigVersion) -> Result<Option<Config>> {
        let stored = self.store.get(MANIFEST_OBJECT).await?;
        self.load_newer(stored, after).await
    }

    async fn load_newer(
        &mut self,
        stored: Option<StoredObject>,
        after: ConfigVersion,
    ) -> Result<Option<Config>> {
        let Some(stored) = stored else { return Ok(None) };
        let manifest: Manifest = serde_json::from_slice(&stored.content)
            .map_err(|error| Error::config(None, format!("malformed manifest: {error}")))?;
        self.position = ManifestPosition { epoch: stored.epoch, version: stored.version };
        let version = ConfigVersion::from_store(manifest.epoch, stored.version);
        if version <= after {
            return Ok(None);
        }
        for item in &manifest.items {
            self.load_object(item).await?;
        }
        self.objects.retain(|hash, _| manifest.items.iter().any(|item| item.hash == *hash));
        let objects = &self.objects;
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

    /// Makes `config` the accepted configuration if `expected` is still the accepted version,
    /// and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error with [`Error::is_conflict`] if another configuration was accepted in
    /// the meantime, and with [`Error::is_unreachable`] if the store is unreachable and it is
    /// unknown whether the change took effect.
    pub async fn push(
        &mut self,
        config: &Config,
        expected: ConfigVersion,
    ) -> Result<ConfigVersion> {
        let token = format!("{:016x}", rand::random::<u64>());
        let replaced_version = self.find_replaced_version(expected).await?;
        let (manifest, objects) = Manifest::from_config(config, token);
        let manifest = Manifest { epoch: self.store.epoch(), ..manifest };
        for object in objects {
            // A store that was restored from a backup can lack objects that were read earlier.
            let is_cache_valid = self.position.epoch == manifest.epoch;
            if is_cache_valid && self.objects.contains_key(&object.hash) {
                continue;
            }
            let written = self.store.put(&object_name(&object.hash), object.content, 0).await;
            // Objects are named by their content: on a conflict the stored content is the same.
            match written {
                Ok(_) => {}
                Err(error) if error.is_conflict() => {}
                Err(error) => return Err(error),
            }
        }
        let content = Bytes::from(serde_json::to_vec(&manifest).unwrap_or_default());
        match self.store.put(MANIFEST_OBJECT, content, replaced_version).await {
            Ok(version) => Ok(ConfigVersion::from_store(manifest.epoch, version)),
            Err(error) if error.is_conflict() => Err(error),
            Err(error) => self.confirm_write(&manifest, error).await,
        }
    }

    /// Returns the version of the manifest's object that a change based on `expected` replaces.
    ///
    /// A store that was restored from a backup can have lost the expected version and hold an
    /// earlier version, which is accepted as the base as well.
    async fn find_replaced_version(&mut self, expected: ConfigVersion) -> Result<ObjectVersion> {
        let Some(stored) = self.store.get(MANIFEST_OBJECT).await? else { return Ok(0) };
        let manifest: Option<Manifest> = serde_json::from_slice(&stored.content).ok();
        let epoch = manifest.map_or(0, |manifest| manifest.epoch);
        let found = ConfigVersion::from_store(epoch, stored.version);
        if found == expected || (found < expected && stored.epoch > epoch) {
            return Ok(stored.version);
        }
        Err(Error::from_code(ErrorCode::Conflict { found: found.0 }))
    }

    /// Reads the manifest back to find out whether a write with a lost response took effect;
    /// returns `cause` if it did not.
    async fn confirm_write(&self, manifest: &Manifest, cause: Error) -> Result<ConfigVersion> {
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(Some(stored)) = self.store.get(MANIFEST_OBJECT).await {
                let found: Option<Manifest> = serde_json::from_slice(&stored.content).ok();
                if found.is_some_and(|found| found.token == manifest.token) {
                    return Ok(ConfigVersion::from_store(manifest.epoch, stored.version));
                }
                return Err(cause);
            }
            tokio::time::sleep(READ_BACK_INTERVAL).await;
        }
        Err(cause)
    }
}

/// Returns the name in the store of an object of a configuration.
fn object_name(hash: &str) -> String {
    format!("config/objects/{hash}")
}
