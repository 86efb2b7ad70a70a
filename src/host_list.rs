//! Client of the platform's list of hosts.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;

use crate::client::{HttpClient, full};
use crate::error::{Error, ErrorCode, Result};
use crate::hosts::HostDelta;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

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
    pub async fn get_changes(&self, after: u64) -> Result<HostDelta> {
        let uri = format!("http://{}/hosts?after={after}", self.address);
        let mut request = Request::new(full(""));
        *request.uri_mut() = uri.parse().unwrap_or_default();
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        let status = response.status().as_u16();
        if status != 200 {
            let text = "host list not available".to_owned();
            return Err(Error::from_code(ErrorCode::Status { status, text }));
        }
        serde_json::from_slice(response.body()).map_err(Error::unreachable)
    }
}
