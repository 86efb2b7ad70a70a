//! Administration API of an entry.

use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, ETAG, HeaderValue, IF_MATCH};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use slog::info;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::account::to_key_hash;
use super::daemon::{EntryShared, current_config};
use super::decision_log::DecisionLog;
use crate::client::{HttpClient, full};
use crate::config::{Config, ConfigVersion};
use crate::connection::{ConnectionGroup, RequestBody};
use crate::error::Error;
use crate::id::RequestId;
use crate::verdict::Verdict;
use crate::web::{
    WebResponse, accept_next, bearer_token, read_body, serve_connection, to_error_response,
    to_json_response, to_response,
};

/// Maximum size of a configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 4 * 1024 * 1024;

/// Timeout for reading an operator's request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request that is forwarded to another entry.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts connections of operators until the task is aborted.
pub(super) async fn serve(shared: Rc<EntryShared>, listener: TcpListener) {
    let group = ConnectionGroup::new();
    loop {
        let stream = accept_next(&listener).await;
        let (shared, group) = (shared.clone(), group.clone());
        spawn_local(async move {
            let budget = shared.memory.clone();
            let serve = |request| handle(shared.clone(), request);
            serve_connection(stream, group, &budget, serve).await;
        });
    }
}

/// An error response of the administration API.
struct AdminFault {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl AdminFault {
    #[cold]
    fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        AdminFault { status, code, message: message.into() }
    }
}

/// Status of an entry, as the `status` command shows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub process: String,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the entry is draining.
    pub stopping: bool,
    /// Configuration version in force.
    pub config_version: ConfigVersion,
    /// Number of requests without a final answer.
    pub open_requests: usize,
    /// Number of targets that the platform lists.
    pub known_targets: usize,
    /// Number of admitted requests.
    pub admitted: u64,
    /// Number of requests answered completely.
    pub finished: u64,
    /// Number of requests that failed after they were admitted.
    pub failed: u64,
    /// Longest iteration of the event loop, in microseconds.
    pub longest_turn_us: u64,
}

/// Result of an accepted change of the configuration.
#[derive(Debug, Serialize, Deserialize)]
pub struct AppliedConfig {
    /// Version of the new configuration; for a dry run, the version it was checked against.
    pub version: ConfigVersion,
    /// Whether the document was only checked and nothing was changed.
    pub dry_run: bool,
}

async fn handle(shared: Rc<EntryShared>, request: Request<RequestBody>) -> WebResponse {
    let result = match authorize(&shared, &request) {
        Ok(()) => route(&shared, request).await,
        Err(fault) => Err(fault),
    };
    result.unwrap_or_else(|fault| {
        to_error_response(fault.status, fault.code, &fault.message, Verdict::NotRun, "", None)
    })
}

fn authorize(shared: &EntryShared, request: &Request<RequestBody>) -> Result<(), AdminFault> {
    let expected = shared.settings.admin_key_sha256.as_deref().unwrap_or("");
    let given = bearer_token(request.headers()).map(to_key_hash).unwrap_or_default();
    let is_match: bool = expected.as_bytes().ct_eq(given.as_bytes()).into();
    if is_match && !expected.is_empty() {
        return Ok(());
    }
    Err(AdminFault::new(StatusCode::UNAUTHORIZED, "unknown_key", "not an operator's key"))
}

async fn route(
    shared: &Rc<EntryShared>,
    request: Request<RequestBody>,
) -> Result<WebResponse, AdminFault> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/admin/v1/status") => show_status(shared).await,
        (&Method::GET, "/admin/v1/entries") => show_entries(shared).await,
        (&Method::GET, "/admin/v1/config") => Ok(show_config(shared)),
        (&Method::PUT, "/admin/v1/config") => apply_config(shared, request).await,
        (&Method::GET, "/admin/v1/timeline") => Ok(show_timeline(shared, &request)),
        (&Method::GET, _) if path.starts_with("/admin/v1/why/") => {
            show_decisions(shared, path.trim_start_matches("/admin/v1/why/"), &request).await
        }
        _ => {
            Err(AdminFault::new(StatusCode::NOT_FOUND, "unknown_path", format!("no path `{path}`")))
        }
    }
}

async fn show_status(shared: &Rc<EntryShared>) -> Result<WebResponse, AdminFault> {
    let process = shared.process.to_string();
    let (ready, stopping) = (shared.is_ready(), shared.draining.get());
    let longest_turn_us = shared.meter.longest().as_micros() as u64;
    let status = shared.query_core(move |core| {
        let counts = core.counts();
        EntryStatus {
            process,
            ready,
            stopping,
            config_version: core.config().map_or(ConfigVersion(0), |config| config.version),
            open_requests: core.open_requests(),
            known_targets: core.known_targets(),
            admitted: counts.admitted,
            finished: counts.finished,
            failed: counts.failed,
            longest_turn_us,
        }
    });
    let status = status.await.ok_or_else(stopping_fault)?;
    Ok(to_json_response(StatusCode::OK, &status))
}

async fn show_entries(shared: &Rc<EntryShared>) -> Result<WebResponse, AdminFault> {
    let entries = shared.query_core(|core| core.table().entry_addresses()).await;
    Ok(to_json_response(StatusCode::OK, &entries.ok_or_else(stopping_fault)?))
}

#[cold]
fn stopping_fault() -> AdminFault {
    AdminFault::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", "this entry is stopping")
}

fn show_config(shared: &EntryShared) -> WebResponse {
    let config = current_config(shared);
    let mut response = to_response(StatusCode::OK, "application/json", config.to_json());
    response.headers_mut().insert(ETAG, to_etag(config.version));
    response
}

fn to_etag(version: ConfigVersion) -> HeaderValue {
    let text = format!("\"{version}\"");
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("\"0\""))
}

async fn apply_config(
    shared: &Rc<EntryShared>,
    request: Request<RequestBody>,
) -> Result<WebResponse, AdminFault> {
    let expected = read_if_match(&request)?;
    let dry_run = request.uri().query().is_some_and(|query| query.contains("dry_run=true"));
    let body =
        read_body(request.into_body(), || MAX_CONFIG_BYTES, BODY_TIMEOUT).await.map_err(|_| {
            AdminFault::new(StatusCode::BAD_REQUEST, "broken_body", "the body could not be read")
        })?;
    let text = std::str::from_utf8(&body)
        .map_err(|_| AdminFault::new(StatusCode::BAD_REQUEST, "bad_config", "not UTF-8 text"))?;
    let config = Config::from_toml(text).map_err(|error| {
        AdminFault::new(StatusCode::UNPROCESSABLE_ENTITY, "bad_config", error.to_string())
    })?;
    if dry_run {
        return Ok(to_json_response(StatusCode::OK, &AppliedConfig { version: expected, dry_run }));
    }
    let pushed = shared.config_store.lock().await.push(&config, expected).await;
    let version = pushed.map_err(|error| to_push_fault(&error))?;
    info!(shared.log, "configuration accepted"; "version" => version.0);
    shared.pull_config();
    let mut response = to_json_response(StatusCode::OK, &AppliedConfig { version, dry_run });
    response.headers_mut().insert(ETAG, to_etag(version));
    Ok(response)
}

fn read_if_match(request: &Request<RequestBody>) -> Result<ConfigVersion, AdminFault> {
    let value = request.headers().get(IF_MATCH).and_then(|value| value.to_str().ok());
    let version = value.and_then(|value| value.trim_matches('"').parse().ok());
    version.map(ConfigVersion).ok_or_else(|| {
        let text = "`If-Match` must hold the version that the change is based on";
        AdminFault::new(StatusCode::PRECONDITION_REQUIRED, "missing_version", text)
    })
}

fn to_push_fault(error: &Error) -> AdminFault {
    if error.is_conflict() {
        return AdminFault::new(StatusCode::PRECONDITION_FAILED, "conflict", error.to_string());
    }
    AdminFault::new(StatusCode::SERVICE_UNAVAILABLE, "store_away", error.to_string())
}

#[derive(Serialize)]
struct DecisionsAnswer<'a> {
    request: &'a str,
    #[serde(flatten)]
    log: DecisionLog,
}

async fn show_decisions(
    shared: &Rc<EntryShared>,
    text: &str,
    request: &Request<RequestBody>,
) -> Result<WebResponse, AdminFault> {
    let id = RequestId::from_str(text)
        .map_err(|error| AdminFault::new(StatusCode::BAD_REQUEST, "bad_id", error.to_string()))?;
    if id.owner.name != shared.process.name {
        return forward_decisions_query(shared, &id, text, request).await;
    }
    if id.owner != shared.process {
        let text = "the entry has restarted since; the record went with its earlier life";
        return Err(AdminFault::new(StatusCode::NOT_FOUND, "no_record", text));
    }
    let found = shared.query_core(move |core| core.decision_log(id.number).cloned()).await;
    match found.ok_or_else(stopping_fault)? {
        Some(log) => Ok(to_json_response(StatusCode::OK, &DecisionsAnswer { request: text, log })),
        None => Err(AdminFault::new(
            StatusCode::NOT_FOUND,
            "no_record",
            "no record of this request; only the newest are kept",
        )),
    }
}

/// Forwards the query to the entry that holds the decisions.
async fn forward_decisions_query(
    shared: &Rc<EntryShared>,
    id: &RequestId,
    text: &str,
    request: &Request<RequestBody>,
) -> Result<WebResponse, AdminFault> {
    let name = id.owner.name.clone();
    let address = shared.query_core(move |core| core.table().entry_addresses().remove(&name)).await;
    let Some(address) = address.ok_or_else(stopping_fault)? else {
        let text = format!("entry {} is not listed any more; the record went with it", id.owner);
        return Err(AdminFault::new(StatusCode::NOT_FOUND, "no_record", text));
    };
    let mut forwarded = Request::new(full(""));
    *forwarded.uri_mut() =
        format!("http://{address}/admin/v1/why/{text}").parse().unwrap_or_default();
    if let Some(key) = request.headers().get(AUTHORIZATION) {
        forwarded.headers_mut().insert(AUTHORIZATION, key.clone());
    }
    let response = HttpClient::new(0).call(forwarded, FORWARD_TIMEOUT).await;
    let response = response.map_err(|error| {
        AdminFault::new(StatusCode::BAD_GATEWAY, "entry_away", error.to_string())
    })?;
    Ok(to_response(response.status(), "application/json", response.into_body()))
}

fn show_timeline(shared: &EntryShared, request: &Request<RequestBody>) -> WebResponse {
    let query = request.uri().query().unwrap_or("");
    let requested = query.split('&').find_map(|pair| pair.strip_prefix("request="));
    let timeline = shared.timeline.borrow();
    let records: Vec<_> = timeline.select(requested.unwrap_or("")).collect();
    to_json_response(StatusCode::OK, &records)
}
