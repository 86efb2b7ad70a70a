//! Settings of the daemons: flags, and an environment variable for each flag.
//!
//! A flag takes precedence over its variable. All settings are validated at start; an error
//! names the flag and the variable.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use gumdrop::Options;

use crate::config::ServiceKind;
use crate::error::{Error, Result};
use crate::log::LogFormat;

/// Prefix of every environment variable.
const PREFIX: &str = "SHALELANE_";

/// Minimum length of the shared key, in bytes.
const MIN_KEY_LENGTH: usize = 16;

#[derive(Debug, Default, Options)]
struct EntryFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "name of this process, unique in the fleet", no_short, meta = "NAME")]
    name: Option<String>,
    #[options(help = "failure domain of this host", no_short, meta = "NAME")]
    failure_domain: Option<String>,
    #[options(help = "address for callers [127.0.0.1:8080]", no_short, meta = "IP:PORT")]
    listen: Option<String>,
    #[options(help = "address for operators [127.0.0.1:8081]", no_short, meta = "IP:PORT")]
    admin_listen: Option<String>,
    #[options(help = "address of the platform's store", no_short, meta = "IP:PORT")]
    store: Option<String>,
    #[options(help = "address of the platform's host list", no_short, meta = "IP:PORT")]
    hosts: Option<String>,
    #[options(help = "shared key of the fleet's processes", no_short, meta = "KEY")]
    peer_key: Option<String>,
    #[options(help = "SHA-256 of the operators' key, hexadecimal", no_short, meta = "HASH")]
    admin_key_sha256: Option<String>,
    #[options(help = "human or json [human]", no_short, meta = "FORMAT")]
    log_format: Option<String>,
    #[options(help = "maximum size of a request body, in bytes [16777216]", no_short, meta = "N")]
    max_body_bytes: Option<String>,
    #[options(help = "timeout for a request body to arrive, in ms [30000]", no_short, meta = "N")]
    body_limit_ms: Option<String>,
    #[options(help = "maximum number of callers' connections [4096]", no_short, meta = "N")]
    max_connections: Option<String>,
    #[options(help = "memory that the process may use, in MiB [4096]", no_short, meta = "N")]
    memory_mb: Option<String>,
    #[options(help = "maximum duration of a drain, in ms [900000]", no_short, meta = "N")]
    drain_limit_ms: Option<String>,
}

#[derive(Debug, Default, Options)]
struct AgentFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "name of this host, unique in the fleet", no_short, meta = "NAME")]
    name: Option<String>,
    #[options(help = "address for entries [127.0.0.1:8090]", no_short, meta = "IP:PORT")]
    listen: Option<String>,
    #[options(help = "address for metrics [127.0.0.1:8091]", no_short, meta = "IP:PORT")]
    metrics_listen: Option<String>,
    #[options(help = "address of the target of this agent", no_short, meta = "IP:PORT")]
    target: Option<String>,
    #[options(help = "engine or plain [engine]", no_short, meta = "KIND")]
    kind: Option<String>,
    #[options(help = "shared key of the fleet's processes", no_short, meta = "KEY")]
    peer_key: Option<String>,
    #[options(help = "human or json [human]", no_short, meta = "FORMAT")]
    log_format: Option<String>,
    #[options(help = "maximum prefill in one piece, in tokens [8192]", no_short, meta = "N")]
    piece_tokens: Option<String>,
    #[options(
        help = "maximum prefill in progress at the engine, in tokens [16384]",
        no_short,
        meta = "N"
    )]
    prefill_tokens: Option<String>,
    #[options(help = "memory that the process may use, in MiB [4096]", no_short, meta = "N")]
    memory_mb: Option<String>,
    #[options(help = "maximum duration of a drain, in ms [900000]", no_short, meta = "N")]
    drain_limit_ms: Option<String>,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: Arc<str>,
    /// Address of the platform's host list.
    pub hosts: Arc<str>,
    /// Shared key of the processes of the fleet.
    pub peer_key: Arc<str>,
    /// SHA-256 of the operators' key in hexadecimal; without it the administration API refuses
    /// all calls.
    pub admin_key_sha256: Option<Arc<str>>,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for a request body to arrive.
    pub body_timeout: Duration,
    /// Maximum number of connections of callers.
    pub max_connections: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// Maximum duration of a drain; then the process stops even if requests remain.
    pub drain_timeout: Duration,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the host, unique in the fleet.
    pub name: Arc<str>,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address for metrics, health and events.
    pub metrics_listen: SocketAddr,
    /// Address of the target.
    pub target: Arc<str>,
    /// Kind of the target.
    pub kind: ServiceKind,
    /// Shared key of the processes of the fleet.
    pub peer_key: Arc<str>,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Maximum prefill in one piece, in tokens.
    pub piece_tokens: u64,
    /// Maximum prefill in progress at the engine, in tokens.
    pub prefill_tokens: u64,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// Maximum duration of a drain; then the process stops even if requests remain.
    pub drain_timeout: Duration,
}

/// Outcome of parsing a command line.
#[derive(Clone, Debug)]
pub enum Invocation<T> {
    /// Run with these settings.
    Run(T),
    /// Print this text and exit.
    Print(String),
}

/// Function that looks up an environment variable.
pub type EnvLookup<'a> = &'a dyn Fn(&str) -> Option<String>;

impl EntrySettings {
    /// Parses and validates arguments and environment.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown flag, and for a missing or invalid value.
    pub fn from_args(args: &[String], env: EnvLookup<'_>) -> Result<Invocation<Self>> {
        let flags: EntryFlags = parse_flags(args)?;
        if flags.help {
            return Ok(Invocation::Print(to_help::<EntryFlags>("shalelane-entry")));
        }
        if flags.version {
            return Ok(Invocation::Print(to_version("shalelane-entry")));
        }
        let reader = FlagReader { env };
        let listen = reader.read("listen", flags.listen, Some("127.0.0.1:8080"))?;
        let admin = reader.read("admin-listen", flags.admin_listen, Some("127.0.0.1:8081"))?;
        Ok(Invocation::Run(EntrySettings {
            name: reader.read_name("name", flags.name)?,
            failure_domain: reader.read_name("failure-domain", flags.failure_domain)?,
            listen,
            admin_listen: admin,
            store: reader.read_address("store", flags.store)?,
            hosts: reader.read_address("hosts", flags.hosts)?,
            peer_key: reader.read_key("peer-key", flags.peer_key)?,
            admin_key_sha256: reader
                .find("admin-key-sha256", flags.admin_key_sha256)
                .map(Arc::from),
            log_format: reader.read("log-format", flags.log_format, Some("human"))?,
            max_body_bytes: reader.read(
                "max-body-bytes",
                flags.max_body_bytes,
                Some("16777216"),
            )?,
            body_timeout: reader.read_duration("body-limit-ms", flags.body_limit_ms, "30000")?,
            max_connections: reader.read("max-connections", flags.max_connections, Some("4096"))?,
            memory_mb: reader.read_count("memory-mb", flags.memory_mb, "4096")?,
            drain_timeout: reader.read_duration(
                "drain-limit-ms",
                flags.drain_limit_ms,
                "900000",
            )?,
        }))
    }
}

impl AgentSettings {
    /// Parses and validates arguments and environment.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown flag, and for a missing or invalid value.
    pub fn from_args(args: &[String], env: EnvLookup<'_>) -> Result<Invocation<Self>> {
        let flags: AgentFlags = parse_flags(args)?;
        if flags.help {
            return Ok(Invocation::Print(to_help::<AgentFlags>("shalelane-agent")));
        }
        if flags.version {
            return Ok(Invocation::Print(to_version("shalelane-agent")));
        }
        let reader = FlagReader { env };
        let KindValue(kind) = reader.read("kind", flags.kind, Some("engine"))?;
        Ok(Invocation::Run(AgentSettings {
            name: reader.read_name("name", flags.name)?,
            listen: reader.read("listen", flags.listen, Some("127.0.0.1:8090"))?,
            metrics_listen: reader.read(
                "metrics-listen",
                flags.metrics_listen,
                Some("127.0.0.1:8091"),
            )?,
            target: reader.read_address("target", flags.target)?,
            kind,
            peer_key: reader.read_key("peer-key", flags.peer_key)?,
            log_format: reader.read("log-format", flags.log_format, Some("human"))?,
            piece_tokens: reader.read_count("piece-tokens", flags.piece_tokens, "8192")?,
            prefill_tokens: reader.read_count("prefill-tokens", flags.prefill_tokens, "16384")?,
            memory_mb: reader.read_count("memory-mb", flags.memory_mb, "4096")?,
            drain_timeout: reader.read_duration(
                "drain-limit-ms",
                flags.drain_limit_ms,
                "900000",
            )?,
        }))
    }
}

/// Returns the value of a variable in the environment of the process.
#[must_use]
pub fn process_env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn parse_flags<T: Options>(args: &[String]) -> Result<T> {
    T::parse_args_default(args).map_err(|error| Error::settings(error.to_string()))
}

/// Returns the help text of a program.
pub(crate) fn to_help<T: Options>(program: &str) -> String {
    let usage = T::usage();
    format!(
        "Usage: {program} [OPTIONS]\n\n{usage}\n\nEach option has a variable: --some-flag is \
         {PREFIX}SOME_FLAG. An option takes precedence over its variable.\n"
    )
}

/// Returns the version text of a program.
pub(crate) fn to_version(program: &str) -> String {
    format!("{program} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Value of the `--kind` flag.
struct KindValue(ServiceKind);

impl FromStr for KindValue {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "engine" => Ok(KindValue(ServiceKind::Engine)),
            "plain" => Ok(KindValue(ServiceKind::Plain)),
            _ => Err("must be engine or plain"),
        }
    }
}

/// Reads values of flags, falling back to their environment variables.
struct FlagReader<'a> {
    env: EnvLookup<'a>,
}

impl FlagReader<'_> {
    /// Returns the value of a flag or else of its variable.
    fn find(&self, flag: &str, given: Option<String>) -> Option<String> {
        given.or_else(|| (self.env)(&to_variable(flag)))
    }

    /// Reads and parses the value of a flag, of its variable, or else the default.
    fn read<T: FromStr>(
        &self,
        flag: &str,
        given: Option<String>,
        default: Option<&str>,
    ) -> Result<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.find(flag, given).or_else(|| default.map(str::to_owned));
        let Some(text) = value else {
            return Err(to_flag_error(flag, "is missing"));
        };
        text.parse()
            .map_err(|error| to_flag_error(flag, &format!("has a bad value `{text}`: {error}")))
    }

    /// Reads a name of ASCII letters, digits and `-`.
    fn read_name(&self, flag: &str, given: Option<String>) -> Result<Arc<str>> {
        let name: String = self.read(flag, given, None)?;
        let has_valid_characters =
            name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
        if name.is_empty() || !has_valid_characters {
            return Err(to_flag_error(flag, "must be letters, digits and `-` only"));
        }
        Ok(name.into())
    }

    fn read_address(&self, flag: &str, given: Option<String>) -> Result<Arc<str>> {
        let address: SocketAddr = self.read(flag, given, None)?;
        Ok(address.to_string().into())
    }

    /// Reads a shared key of at least [`MIN_KEY_LENGTH`] bytes.
    fn read_key(&self, flag: &str, given: Option<String>) -> Result<Arc<str>> {
        let key: String = self.read(flag, given, None)?;
        if key.len() < MIN_KEY_LENGTH {
            return Err(to_flag_error(
                flag,
                &format!("must have {MIN_KEY_LENGTH} characters or more"),
            ));
        }
        Ok(key.into())
    }

    /// Reads a duration in milliseconds.
    fn read_duration(&self, flag: &str, given: Option<String>, default: &str) -> Result<Duration> {
        self.read(flag, given, Some(default)).map(Duration::from_millis)
    }

    /// Reads a count, which must be above 0.
    fn read_count(&self, flag: &str, given: Option<String>, default: &str) -> Result<u64> {
        let count = self.read(flag, given, Some(default))?;
        if count == 0 {
            return Err(to_flag_error(flag, "must be above 0"));
        }
        Ok(count)
    }
}

/// Returns the name of the environment variable of a flag.
fn to_variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}

#[cold]
fn to_flag_error(flag: &str, text: &str) -> Error {
    Error::settings(format!("--{flag} ({}) {text}", to_variable(flag)))
}
