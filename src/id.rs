//! Identifiers of processes, requests and attempts.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of one run of a process. A restarted process has another incarnation.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct Incarnation(pub u64);

/// Id of one incarnation of a process.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}.{incarnation}")]
pub struct ProcessId {
    /// Name from the settings, unique in the fleet.
    pub name: Arc<str>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Id of a caller's request, assigned by the entry that received it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{owner}.{number}")]
pub struct RequestId {
    /// The entry that handles the request.
    pub owner: ProcessId,
    /// Number of the request, counted per incarnation of the entry.
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

/// The error for a text that is not a valid request id.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("a request id reads entry.incarnation.number")]
pub struct ParseIdError;

impl std::error::Error for ParseIdError {}

/// Request number and attempt number, unique within one incarnation of an entry.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0}-{_1}")]
pub struct AttemptKey(pub u64, pub u16);

/// Id of one attempt of a request, unique across entries.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{owner}.{key}")]
pub struct AttemptId {
    /// The entry that made the attempt.
    pub owner: ProcessId,
    /// Key of the attempt within that incarnation of the entry.
    pub key: AttemptKey,
}
