//! Client of the platform's store: versioned objects with conditional updates and watches.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;

use crate::client::{CallBody, HttpClient, full};
use crate::error::{Error, ErrorCode, Result};

/// Header with the store's epoch: the number of times that it was restored from a backup.
pub const STORE_EPOCH_HEADER: &str = "x-store-epoch";

/// Timeout of a call; a watch adds its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Version of a stored object, zero for an object that does not exist.
pub type ObjectVersion = u64;

/// A stored object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Epoch of the store at the time of the read.
    pub epoch: u64,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content of the object.
    pub content: Bytes,
}

/// Client of the platform's store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: Arc<str>,
    http: HttpClient,
    /// Latest epoch in a response of the store.
    epoch: Arc<watch::Sender<u64>>,
}

impl StoreClient {
    /// Creates a client of the store at `address`, in the form `ip:port`.
    #[must_use]
    pub fn new(address: Arc<str>) -> Self {
        let epoch = Arc::new(watch::Sender::new(0));
        StoreClient { address, http: HttpClient::new(MAX_IDLE_CONNECTIONS), epoch }
    }

    /// Returns the latest known epoch of the store: the number of times that it was restored
    /// from a backup. Each restored store issues version numbers again.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        *self.epoch.borrow()
    }

    /// Subscribes to changes of the epoch.
    #[must_use]
    pub fn subscribe_epoch(&self) -> watch::Receiver<u64> {
        self.epoch.subscribe()
    }

    /// Calls the store and records the epoch of its response; rejects a response from an
    /// earlier epoch.
    async fn call(&self, request: Request<CallBody>, timeout: Duration) -> Result<Response<Bytes>> {
        let response = self.http.call(request, timeout).await?;
        let epoch = to_epoch(&response)?;
        self.epoch.send_if_modified(|known| {
            let is_new = *known < epoch;
            *known = epoch.max(*known);
            is_new
        });
        if epoch < self.epoch() {
            return Err(Error::unreachable("an answer of the store before it came back"));
        }
        Ok(response)
    }

    /// Reads an object, `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or responds with an error status.
    pub async fn get(&self, name: &str) -> Result<Option<StoredObject>> {
        let request = self.request(Method::GET, name, "", Bytes::new(), HeaderMap::new());
        let response = self.call(request, CALL_TIMEOUT).await?;
        parse_stored_object(&response)
    }

    /// Waits up to `wait` for a version above `after`, `None` if none is written in that time.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or responds with an error status.
    pub async fn watch(
        &self,
        name: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<StoredObject>> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, name, &query, Bytes::new(), HeaderMap::new());
        let response = self.call(request, wait + CALL_TIMEOUT).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        parse_stored_object(&response)
    }

    /// Writes an object if its version is still `expected`, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error with [`Error::is_conflict`] if another version is stored. After an
    /// error with [`Error::is_unreachable`] it is unknown whether the write took effect: read
    /// the object back to find out.
    pub async fn put(
        &self,
        name: &str,
        content: Bytes,
        expected: ObjectVersion,
    ) -> Result<ObjectVersion> {
        let mut headers = HeaderMap::new();
        if expected == 0 {
            headers.insert(IF_NONE_MATCH, hyper::header::HeaderValue::from_static("*"));
        } else {
            headers.insert(IF_MATCH, hyper::header::HeaderValue::from(expected));
        }
        let request = self.request(Method::PUT, name, "", content, headers);
        let response = self.call(request, CALL_TIMEOUT).await?;
        let version = to_version(&response);
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => Ok(version),
            StatusCode::PRECONDITION_FAILED => {
                Err(Error::from_code(ErrorCode::Conflict { found: version }))
            }
            _ => Err(to_status_error(&response)),
        }
    }

    fn request(
        &self,
        method: Method,
        name: &str,
        query: &str,
        content: Bytes,
        headers: HeaderMap,
    ) -> Request<CallBody> {
        let mut request = Request::new(full(content));
        *request.method_mut() = method;
        // Object names are generated by this crate and contain only letters, digits, `/` and `-`.
        let uri = format!("http://{}/objects/{name}{query}", self.address);
        *request.uri_mut() = uri.parse().unwrap_or_default();
        *request.headers_mut() = headers;
        request
    }
}

fn parse_stored_object(response: &Response<Bytes>) -> Result<Option<StoredObject>> {
    match response.status() {
        StatusCode::OK => {
            let version = to_version(response);
            let epoch = to_epoch(response)?;
            Ok(Some(StoredObject { epoch, version, content: response.body().clone() }))
        }
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(to_status_error(response)),
    }
}

/// Returns the epoch in a response, zero if it has none.
fn to_epoch(response: &Response<Bytes>) -> Result<u64> {
    let Some(value) = response.headers().get(STORE_EPOCH_HEADER) else { return Ok(0) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.ok_or_else(|| Error::unreachable("the epoch is no number"))
}

fn to_version(response: &Response<Bytes>) -> ObjectVersion {
    let etag = response.headers().get(ETAG).and_then(|etag| etag.to_str().ok());
    etag.and_then(|etag| etag.trim_matches('"').parse().ok()).unwrap_or(0)
}

#[cold]
fn to_status_error(response: &Response<Bytes>) -> Error {
    let status = response.status().as_u16();
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Error::from_code(ErrorCode::Status { status, text })
}
