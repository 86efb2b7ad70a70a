//! Copies of the configuration between entries, for an entry that the store turns away.
//!
//! A store may serve only a part of the fleet while the configuration changes. Without a copy, the
//! entries that it turns away do not learn of the change and reject requests that need a key, so
//! that the callers reach other entries late.
//!
//! A copy proves nothing by itself. An entry requests it when another entry has proven a later
//! revision, and applies it together with that proof.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::client::full;
use crate::error::{Error, Result};
use crate::relay::discovery::rules::RelayConfig;
use crate::relay::discovery::store_revision::StoreRevision;
use crate::relay::shared::RelayShared;

/// Path of the copy at another entry.
const COPY_PATH: &str = "/configuration";

/// Longest time for a copy: some round trips, and time to encode a few hundred kilobytes on a small
/// host.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// A configuration and its revision in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// Revision of the object.
    pub revision: StoreRevision,
    /// The configuration.
    pub config: Rc<RelayConfig>,
}

impl ConfigCopy {
    /// Encodes the body of an answer.
    ///
    /// # Errors
    ///
    /// The configuration cannot be encoded, which does not happen with a decoded one.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .map_err(|_| Error::frame("could not encode a copy of the configuration"))?;
        Ok(bytes)
    }

    /// Decodes the body of an answer.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid copy.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes)
            .map_err(|_| Error::frame("invalid copy of the configuration from another entry"))
    }
}

/// Answers another entry's request for a copy.
pub(crate) fn serve_copy(shared: &RelayShared, path: &str) -> Response<Full<Bytes>> {
    let copy = shared.core.borrow().config_copy().filter(|_| path == COPY_PATH);
    let (status, body) = match copy.map(|copy| copy.to_bytes()) {
        Some(Ok(body)) => (StatusCode::OK, body),
        Some(Err(error)) => {
            slog::warn!(shared.log.logger(), "could not serve a copy of the configuration";
                "error" => %error);
            (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
        None => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Requests the copy of another entry.
///
/// # Errors
///
/// The entry has no copy, or does not answer in time.
pub(crate) async fn fetch_copy(shared: &RelayShared, entry: SocketAddr) -> Result<ConfigCopy> {
    let mut request = Request::new(full(""));
    let uri = format!("http://{entry}{COPY_PATH}");
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let response = shared.http_client.call(request, COPY_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::from_response(response.status().as_u16(), uri));
    }
    ConfigCopy::from_bytes(response.body())
}
