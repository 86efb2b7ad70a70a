//! Loggers of the daemons.

use std::io;
use std::str::FromStr;
use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Format of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Human,
    /// One JSON object per line.
    Json,
    /// No output, for tests.
    Off,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "human" => Ok(LogFormat::Human),
            "json" => Ok(LogFormat::Json),
            "off" => Ok(LogFormat::Off),
            _ => Err("must be human, json or off"),
        }
    }
}

/// Creates the root logger of a process, which writes to standard error.
pub fn new_logger(format: LogFormat, process: &str) -> Logger {
    let values = o!("process" => process.to_owned());
    match format {
        LogFormat::Human => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(Mutex::new(drain).fuse(), values)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stderr());
            Logger::root(Mutex::new(drain).fuse(), values)
        }
        LogFormat::Off => Logger::root(slog::Discard, values),
    }
}
