//! Configuration in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::config::manifest::{Manifest, ManifestItem};
use crate::config::{Config, ConfigVersion};
use crate::error::{Error, ErrorCode, Result};
use crate::store::{ObjectVersion, StoreClient, StoredObject};

/// Name of the manifest's object.
const MANIFEST: &str = "config/manifest";

/// Reads back a lost answer so often.
const READ_BACKS: u32 = 5;

/// Wait from one reading back to the next.
const READ_BACK_STEP: Duration = Duration::from_millis(200);

/// A place in the versions of the manifest's object.
#[derive(Clone, Copy, Debug, Default)]
struct ManifestPosition {
    epoch: u64,
    version: u64,
}

/// Reads and writes configurations, and remembers the objects they share.
#[derive(Debug)]
pub struct ConfigStore {
    store: StoreClient,
    objects: HashMap<Arc<str>, Bytes>,
    /// Up to where the manifest was read.
    position: ManifestPosition,
}

impl ConfigStore {
    /// Works on `store`.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        ConfigStore { store, objects: HashMap::new(), position: ManifestPosition::default() }
    }

    /// Waits for a configuration above `after`, none where none came in time.
    ///
    /// # Errors
    ///
    /// The store is away, or what it holds is no configuration.
    pub async fn watch(&mut self, after: ConfigVersion, wait: Duration) -> Result<Option<Config>> {
        // A store that is back from a copy gives out versions again.
        let is_same = self.position.epoch == self.store.epoch();
        let known = if is_same { self.position.version } else { 0 };
        let stored = self.store.watch(MANIFEST, known, wait).await?;
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
        let Some(stored) = stored else { return Ok(None) };
        let manifest: Manifest = serde_json::from_slice(&stored.content)
            .map_err(|error| Error::config(None, format!("half-written manifest: {error}")))?;
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
        let replaced = self.find_replaced(expected).await?;
        let (manifest, objects) = Manifest::from_config(config, token);
        let manifest = Manifest { epoch: self.store.epoch(), ..manifest };
        for object in objects {
            // What was read of the store before it came back from a copy may be lost.
            let is_there = self.position.epoch == manifest.epoch;
            if is_there && self.objects.contains_key(&object.hash) {
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
        match self.store.put(MANIFEST, content, replaced).await {
            Ok(version) => Ok(ConfigVersion::from_store(manifest.epoch, version)),
            Err(error) if error.is_conflict() => Err(error),
            Err(error) => self.read_back(&manifest, error).await,
        }
    }

    /// The version of the manifest's object that a change based on `expected` replaces. A
    /// store that has lost what is expected holds an earlier one in its place.
    async fn find_replaced(&mut self, expected: ConfigVersion) -> Result<ObjectVersion> {
        let Some(stored) = self.store.get(MANIFEST).await? else { return Ok(0) };
        let manifest: Option<Manifest> = serde_json::from_slice(&stored.content).ok();
        let epoch = manifest.map_or(0, |manifest| manifest.epoch);
        let found = ConfigVersion::from_store(epoch, stored.version);
        if found == expected || (found < expected && stored.epoch > epoch) {
            return Ok(stored.version);
        }
        Err(Error::from_code(ErrorCode::Conflict { found: found.0 }))
    }

    /// Finds out whether a write whose answer was lost took effect.
    async fn read_back(&self, manifest: &Manifest, cause: Error) -> Result<ConfigVersion> {
        for _ in 0..READ_BACKS {
            if let Ok(Some(stored)) = self.store.get(MANIFEST).await {
                let found: Option<Manifest> = serde_json::from_slice(&stored.content).ok();
                if found.is_some_and(|found| found.token == manifest.token) {
                    return Ok(ConfigVersion::from_store(manifest.epoch, stored.version));
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
