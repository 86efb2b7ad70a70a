//! Names of processes, requests and attempts.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One life of a process: a process that starts again has another one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct Incarnation(pub u64);

/// A process in one of its lives.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}.{incarnation}")]
pub struct ProcessId {
    /// Name from the settings, unique in the fleet.
    pub name: Arc<str>,
    /// The life of the process.
    pub incarnation: Incarnation,
}

/// A caller's request, named by the entry that took it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{owner}.{number}")]
pub struct RequestId {
    /// The entry that holds the request.
    pub owner: ProcessId,
    /// Counts the requests of that entry's life.
    pub number: u64,
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (rest, number) = text.rsplit_once('.').ok_or(ParseIdError)?;
        let (name, incarnation) = rest.rsplit_once('.').ok_or(ParseIdError)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| ParseIdError)?;
        let number = number.parse().map_err(|_| ParseIdError)?;
        let owner = ProcessId { name: name.into(), incarnation: Incarnation(incarnation) };
        Ok(RequestId { owner, number })
    }
}

/// A text that names no request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("a request id reads entry.incarnation.number")]
pub struct ParseIdError;

impl std::error::Error for ParseIdError {}

/// Request number and attempt number, unique within one life of an entry.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0}-{_1}")]
pub struct AttemptKey(pub u64, pub u16);

/// One attempt of a request, as an agent knows it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{owner}.{key}")]
pub struct AttemptId {
    /// The entry that made the attempt.
    pub owner: ProcessId,
    /// Its key in that entry's life.
    pub key: AttemptKey,
}
