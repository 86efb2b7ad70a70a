//! Client of the platform's store: objects with versions, conditional
//! updates and watches.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;

use crate::client::{CallBody, HttpClient, full};
use crate::error::{Error, ErrorCode, Result};

/// Header by which the store says how often it has come back from an old copy.
pub const STORE_EPOCH: &str = "x-store-epoch";

/// Longest time of a call that does not wait.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Connections that are kept.
const KEPT: usize = 4;

/// Version of a stored object, zero for one that is not there.
pub type ObjectVersion = u64;

/// An object as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Epoch of the store that showed it.
    pub epoch: u64,
    /// Its version.
    pub version: ObjectVersion,
    /// Its content.
    pub content: Bytes,
}

/// Client of the platform's store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: Arc<str>,
    http: HttpClient,
    /// The newest epoch that an answer named.
    epoch: Arc<watch::Sender<u64>>,
}

impl StoreClient {
    /// A client of the store at `address`, `ip:port`.
    #[must_use]
    pub fn new(address: Arc<str>) -> Self {
        let epoch = Arc::new(watch::Sender::new(0));
        StoreClient { address, http: HttpClient::new(KEPT), epoch }
    }

    /// The epoch of the store, as far as it is known here: how often it has come back from an
    /// old copy, each of which gives out versions again.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        *self.epoch.borrow()
    }

    /// Tells of each new epoch.
    #[must_use]
    pub fn subscribe_epoch(&self) -> watch::Receiver<u64> {
        self.epoch.subscribe()
    }

    /// Calls the store, and notes the epoch that its answer names.
    async fn call(&self, request: Request<CallBody>, limit: Duration) -> Result<Response<Bytes>> {
        let response = self.http.call(request, limit).await?;
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

    /// Reads an object, none where it is not there.
    ///
    /// # Errors
    ///
    /// The store does not answer or refuses.
    pub async fn get(&self, name: &str) -> Result<Option<StoredObject>> {
        let request = self.request(Method::GET, name, "", Bytes::new(), HeaderMap::new());
        let response = self.call(request, CALL_LIMIT).await?;
        from_read(&response)
    }

    /// Waits for a version above `after`; none where none came in time.
    ///
    /// # Errors
    ///
    /// The store does not answer or refuses.
    pub async fn watch(
        &self,
        name: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<StoredObject>> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, name, &query, Bytes::new(), HeaderMap::new());
        let response = self.call(request, wait + CALL_LIMIT).await?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        from_read(&response)
    }

    /// Writes an object where its version still is `expected`, and returns
    /// the new version.
    ///
    /// # Errors
    ///
    /// [`Error::is_conflict`] where another version is stored. An error that
    /// [`Error::is_unreachable`] leaves open whether the write took effect:
    /// read back to find out.
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
        let response = self.call(request, CALL_LIMIT).await?;
        let version = to_version(&response);
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => Ok(version),
            StatusCode::PRECONDITION_FAILED => {
                Err(Error::from_code(ErrorCode::Conflict { found: version }))
            }
            _ => Err(refused(&response)),
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
        // Names of objects are made here, of letters, digits, `/` and `-`.
        let uri = format!("http://{}/objects/{name}{query}", self.address);
        *request.uri_mut() = uri.parse().unwrap_or_default();
        *request.headers_mut() = headers;
        request
    }
}

fn from_read(response: &Response<Bytes>) -> Result<Option<StoredObject>> {
    match response.status() {
        StatusCode::OK => {
            let version = to_version(response);
            let epoch = to_epoch(response)?;
            Ok(Some(StoredObject { epoch, version, content: response.body().clone() }))
        }
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(refused(response)),
    }
}

/// The epoch that an answer names, zero where it names none.
fn to_epoch(response: &Response<Bytes>) -> Result<u64> {
    let Some(value) = response.headers().get(STORE_EPOCH) else { return Ok(0) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.ok_or_else(|| Error::unreachable("the epoch is no number"))
}

fn to_version(response: &Response<Bytes>) -> ObjectVersion {
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.and_then(|tag| tag.trim_matches('"').parse().ok()).unwrap_or(0)
}

#[cold]
fn refused(response: &Response<Bytes>) -> Error {
    let status = response.status().as_u16();
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Error::from_code(ErrorCode::Status { status, text })
}
