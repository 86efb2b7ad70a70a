//! Command line of the operators, a client of the administration API.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gumdrop::Options;
use hyper::header::{AUTHORIZATION, ETAG, HeaderValue, IF_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::client::{HttpClient, full};
use crate::config::diff::ConfigDiff;
use crate::config::{Config, ConfigVersion};
use crate::entry::admin::{AppliedConfig, EntryStatus};
use crate::entry::decision_log::DecisionLog;
use crate::error::{Error, ErrorCode, Result};
use crate::settings::{EnvLookup, Invocation, to_help, to_version};
use crate::timeline::EventRecord;

/// Timeout of a call to the administration API.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Environment variable with the address of an entry, for use without `--admin`.
const ADMIN_VARIABLE: &str = "SHALELANE_ADMIN";

/// Environment variable with the operators' key. There is no flag for the key because flags are
/// visible in process lists.
const KEY_VARIABLE: &str = "SHALELANE_ADMIN_KEY";

#[derive(Debug, Options)]
struct CliFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "address of an entry's administration API", no_short, meta = "IP:PORT")]
    admin: Option<String>,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(command)]
    command: Option<CliCommand>,
}

#[derive(Debug, Options)]
enum CliCommand {
    #[options(help = "validate a configuration file, without any server")]
    Check(FileFlags),
    #[options(help = "make a configuration file the accepted configuration")]
    Apply(ApplyFlags),
    #[options(help = "show how a configuration file differs from the accepted one")]
    Diff(FileFlags),
    #[options(help = "show the entries and the configuration version in force at each")]
    Status(NoFlags),
    #[options(help = "show why a request was placed on its target, waited or was refused")]
    Why(WhyFlags),
    #[options(help = "show the events of all entries in order")]
    Timeline(TimelineFlags),
}

#[derive(Debug, Options)]
struct NoFlags {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct FileFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration in TOML")]
    file: String,
}

#[derive(Debug, Options)]
struct ApplyFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "only validate the file at the entry", no_short)]
    dry_run: bool,
    #[options(help = "version that the change is based on [the version in force]", no_short)]
    base: Option<u64>,
    #[options(free, required, help = "configuration in TOML")]
    file: String,
}

#[derive(Debug, Options)]
struct WhyFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "request id, from the answer's header x-request-id")]
    request: String,
}

#[derive(Debug, Options)]
struct TimelineFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "show only events of this request", no_short, meta = "ID")]
    request: Option<String>,
}

/// A parsed command line.
#[derive(Debug)]
pub struct CliRequest {
    admin: Option<String>,
    key: Option<String>,
    json: bool,
    command: CliCommand,
}

impl CliRequest {
    /// Parses arguments and environment.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown flag or command, and for a missing one.
    pub fn from_args(args: &[String], env: EnvLookup<'_>) -> Result<Invocation<Self>> {
        let flags = CliFlags::parse_args_default(args)
            .map_err(|error| Error::settings(error.to_string()))?;
        if flags.help {
            return Ok(Invocation::Print(to_usage()));
        }
        if flags.version {
            return Ok(Invocation::Print(to_version("shalelane")));
        }
        let Some(command) = flags.command else {
            return Err(Error::settings(format!("no command given\n\n{}", to_usage())));
        };
        if command.help_requested() {
            let usage = command.self_usage();
            return Ok(Invocation::Print(format!("{usage}\n")));
        }
        let admin = flags.admin.or_else(|| env(ADMIN_VARIABLE));
        let key = env(KEY_VARIABLE);
        Ok(Invocation::Run(CliRequest { admin, key, json: flags.json, command }))
    }

    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or is invalid, if an entry refuses the call, or
    /// if it does not respond.
    pub async fn run(&self) -> Result<String> {
        match &self.command {
            CliCommand::Check(flags) => check(&flags.file),
            CliCommand::Apply(flags) => self.apply(flags).await,
            CliCommand::Diff(flags) => self.diff(&flags.file).await,
            CliCommand::Status(_) => self.status().await,
            CliCommand::Why(flags) => self.why(&flags.request).await,
            CliCommand::Timeline(flags) => self.timeline(flags.request.as_deref()).await,
        }
    }

    fn client(&self) -> Result<AdminClient> {
        let missing_setting = |setting: &str| Error::settings(format!("{setting} is missing"));
        let admin =
            self.admin.clone().ok_or_else(|| missing_setting("--admin (SHALELANE_ADMIN)"))?;
        let key = self.key.clone().ok_or_else(|| missing_setting(KEY_VARIABLE))?;
        Ok(AdminClient { address: admin.into(), key: key.into(), http: HttpClient::new(1) })
    }

    async fn apply(&self, flags: &ApplyFlags) -> Result<String> {
        let text = read_file(&flags.file)?;
        // Validates the file locally first, so that errors are reported with their position
        // before anything is sent.
        Config::from_toml(&text).map_err(|error| with_file(&flags.file, &error))?;
        let client = self.client()?;
        let current = client.get_config().await?;
        let base = flags.base.map_or(current.version, ConfigVersion);
        match client.put_config(text, base, flags.dry_run).await {
            Ok(applied) if applied.dry_run => Ok("accepted, in a dry run only\n".to_owned()),
            Ok(applied) => Ok(format!("accepted as version {}\n", applied.version)),
            Err(error) if error.is_conflict() => {
                let latest = client.get_config().await?;
                let diff =
                    ConfigDiff::between(&latest, &Config::from_toml(&read_file(&flags.file)?)?);
                let text =
                    format!("{error}\nthis file against version {}:\n{diff}", latest.version);
                Err(Error::config(None, text))
            }
            Err(error) => Err(error),
        }
    }

    async fn diff(&self, file: &str) -> Result<String> {
        let config =
            Config::from_toml(&read_file(file)?).map_err(|error| with_file(file, &error))?;
        let current = self.client()?.get_config().await?;
        let diff = ConfigDiff::between(&current, &config);
        if diff.is_empty() {
            return Ok(format!("no difference from version {}\n", current.version));
        }
        Ok(format!("against version {}:\n{diff}", current.version))
    }

    async fn status(&self) -> Result<String> {
        let client = self.client()?;
        let entries: BTreeMap<String, Arc<str>> = client.get("/admin/v1/entries").await?;
        let mut text = String::new();
        if !self.json {
            text.push_str(
                "entry                          state      config   open  targets  admitted  finished    failed\n",
            );
        }
        for (name, address) in entries {
            let status = client.with_address(address).get::<EntryStatus>("/admin/v1/status").await;
            let line = match status {
                Ok(status) if self.json => serde_json::to_string(&status).unwrap_or_default(),
                Ok(status) => to_status_line(&status),
                Err(error) => format!("{name:<30} no response: {error}"),
            };
            let _ = writeln!(text, "{line}");
        }
        Ok(text)
    }

    async fn why(&self, request: &str) -> Result<String> {
        let path = format!("/admin/v1/why/{request}");
        let decisions: DecisionLog = self.client()?.get(&path).await?;
        if self.json {
            return Ok(serde_json::to_string(&decisions).unwrap_or_default() + "\n");
        }
        let mut text = format!("request {request}\n");
        for timed_step in &decisions.steps {
            let _ = writeln!(text, "{:>10.1} ms  {}", timed_step.at_ms, timed_step.step);
        }
        Ok(text)
    }

    async fn timeline(&self, request: Option<&str>) -> Result<String> {
        let client = self.client()?;
        let entries: BTreeMap<String, Arc<str>> = client.get("/admin/v1/entries").await?;
        let path = format!("/admin/v1/timeline?request={}", request.unwrap_or(""));
        let mut records: Vec<EventRecord> = Vec::new();
        let mut text = String::new();
        for (name, address) in entries {
            match client.with_address(address).get::<Vec<EventRecord>>(&path).await {
                Ok(entry_records) => records.extend(entry_records),
                Err(error) => {
                    let _ =
                        writeln!(text, "no response from {name}, its events are missing: {error}");
                }
            }
        }
        records.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
        for record in records {
            let line = if self.json {
                serde_json::to_string(&record).unwrap_or_default()
            } else {
                let EventRecord { at, process, request, kind, detail } = record;
                format!("{}.{:03}  {process:<16} {kind:<10} {request} {detail}", at.0, at.1)
            };
            let _ = writeln!(text, "{line}");
        }
        Ok(text)
    }
}

/// Returns the help text with the list of commands.
fn to_usage() -> String {
    let commands = CliFlags::command_list().unwrap_or_default();
    format!("{}\nCommands:\n{commands}\n", to_help::<CliFlags>("shalelane"))
}

fn to_status_line(status: &EntryStatus) -> String {
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    format!(
        "{:<30} {state:<9} {:>7} {:>6} {:>8} {:>9} {:>9} {:>9}",
        status.process,
        status.config_version.to_string(),
        status.open_requests,
        status.known_targets,
        status.admitted,
        status.finished,
        status.failed
    )
}

fn check(file: &str) -> Result<String> {
    let config = Config::from_toml(&read_file(file)?).map_err(|error| with_file(file, &error))?;
    Ok(format!(
        "{file} is good: {} services, {} models, {} templates, {} client accounts\n",
        config.services.len(),
        config.models.len(),
        config.templates.len(),
        config.client_accounts.len()
    ))
}

fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file)
        .map_err(|error| Error::config(None, format!("{file} cannot be read: {error}")))
}

/// Prefixes an error with file, line and column, in the form that editors recognize.
fn with_file(file: &str, error: &Error) -> Error {
    let location = match (error.line(), error.column()) {
        (Some(line), Some(column)) => format!("{file}:{line}:{column}"),
        _ => file.to_owned(),
    };
    Error::config(None, format!("{location}: {error}"))
}

/// Client of the administration API of one entry.
#[derive(Clone, Debug)]
struct AdminClient {
    address: Arc<str>,
    key: Arc<str>,
    http: HttpClient,
}

impl AdminClient {
    /// Returns a client of the entry at `address`, with the same key.
    fn with_address(&self, address: Arc<str>) -> Self {
        AdminClient { address, ..self.clone() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        base: Option<ConfigVersion>,
        body: impl Into<Bytes>,
    ) -> Result<Response<Bytes>> {
        let mut request = Request::new(full(body));
        *request.method_mut() = method;
        let uri = format!("http://{}{path}", self.address);
        *request.uri_mut() =
            uri.parse().map_err(|_| Error::settings(format!("{uri} is not a valid address")))?;
        let key = HeaderValue::from_str(&format!("Bearer {}", self.key))
            .map_err(|_| Error::settings(format!("{KEY_VARIABLE} is not a valid header value")))?;
        request.headers_mut().insert(AUTHORIZATION, key);
        if let Some(version) = base {
            request.headers_mut().insert(IF_MATCH, HeaderValue::from(version.0));
        }
        let response = self.http.call(request, CALL_TIMEOUT).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(to_error(&response))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let response = self.call(Method::GET, path, None, "").await?;
        serde_json::from_slice(response.body()).map_err(Error::unreachable)
    }

    async fn get_config(&self) -> Result<Config> {
        let response = self.call(Method::GET, "/admin/v1/config", None, "").await?;
        let etag = response.headers().get(ETAG).and_then(|etag| etag.to_str().ok());
        let version = etag.and_then(|etag| etag.trim_matches('"').parse().ok()).unwrap_or(0);
        let config: Config = serde_json::from_slice(response.body()).map_err(Error::unreachable)?;
        Ok(Config { version: ConfigVersion(version), ..config })
    }

    async fn put_config(
        &self,
        text: String,
        base: ConfigVersion,
        dry_run: bool,
    ) -> Result<AppliedConfig> {
        let path = format!("/admin/v1/config?dry_run={dry_run}");
        let response = self.call(Method::PUT, &path, Some(base), text).await?;
        serde_json::from_slice(response.body()).map_err(Error::unreachable)
    }
}

#[cold]
fn to_error(response: &Response<Bytes>) -> Error {
    let status = response.status();
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let text = body["error"]["message"].as_str().unwrap_or("no reason given").to_owned();
    if status == StatusCode::PRECONDITION_FAILED {
        let digits = text.chars().filter(char::is_ascii_digit).collect::<String>();
        return Error::from_code(ErrorCode::Conflict { found: digits.parse().unwrap_or(0) });
    }
    Error::from_code(ErrorCode::Status { status: status.as_u16(), text })
}
