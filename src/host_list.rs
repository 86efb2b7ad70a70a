//! Client of the platform's list of hosts.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::client::{HttpClient, full};
use crate::error::{Error, ErrorCode, Result};
use crate::hosts::{HostDelta, HostRecord};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A read of the list of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostListRead {
    /// The changes.
    pub delta: HostDelta,
    /// Why entries of the list are no hosts: other programs may write there.
    pub unreadable: Vec<String>,
}

/// Body of the list, whose entries are decoded one by one.
#[derive(Deserialize)]
struct DeltaBody {
    revision: u64,
    hosts: Vec<Box<RawValue>>,
}

impl DeltaBody {
    fn into_read(self) -> HostListRead {
        let mut unreadable = Vec::new();
        let hosts = self.hosts.iter().filter_map(|entry| {
            let host = serde_json::from_str::<HostRecord>(entry.get());
            host.map_err(|error| unreadable.push(error.to_string())).ok()
        });
        let delta = HostDelta { revision: self.revision, hosts: hosts.collect() };
        HostListRead { delta, unreadable }
    }
}

/// Client of the platform's list of hosts.
#[derive(Clone, Debug)]
pub struct HostListClient {
    address: Arc<str>,
    http: HttpClient,
}

impl HostListClient {
    /// Creates a client of the list at `address`, `ip:port`.
    #[must_use]
    pub fn new(address: Arc<str>) -> Self {
        HostListClient { address, http: HttpClient::new(1) }
    }

    /// Reads the changes since revision `after`; zero reads the whole list.
    ///
    /// # Errors
    ///
    /// The platform does not respond, or its response is not a list of hosts.
    pub async fn get_changes(&self, after: u64) -> Result<HostListRead> {
        let uri = format!("http://{}/hosts?after={after}", self.address);
        let mut request = Request::new(full(""));
        *request.uri_mut() = uri.parse().unwrap_or_default();
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        let status = response.status().as_u16();
        if status != 200 {
            let text = "host list not available".to_owned();
            return Err(Error::from_code(ErrorCode::Status { status, text }));
        }
        let body: DeltaBody =
            serde_json::from_slice(response.body()).map_err(Error::unreachable)?;
        Ok(body.into_read())
    }
}
