//! The error of the library's fallible calls.

use std::fmt;
use std::io;

/// A failure to read settings or configuration, to speak with a peer, or to
/// reach the platform.
pub struct Error {
    code: Box<ErrorCode>,
}

/// The crate's result.
pub type Result<T> = std::result::Result<T, Error>;

/// What kind of failure an [`Error`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A flag or an environment variable.
    Settings,
    /// Declared configuration that was refused.
    Config,
    /// A peer that broke the protocol or failed authentication.
    Peer,
    /// The platform's store or host list.
    Platform,
    /// A failure of the operating system.
    Io,
}

pub(crate) enum ErrorCode {
    Settings(String),
    Config { place: Option<Place>, text: String },
    Frame(&'static str),
    Handshake(&'static str),
    Status { status: u16, text: String },
    Conflict { found: u64 },
    Unreachable(String),
    Io(io::Error),
}

/// Line and column of a fault in a file, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Error {
    #[cold]
    pub(crate) fn from_code(code: ErrorCode) -> Self {
        Error { code: Box::new(code) }
    }

    #[cold]
    pub(crate) fn settings(text: impl Into<String>) -> Self {
        Error::from_code(ErrorCode::Settings(text.into()))
    }

    #[cold]
    pub(crate) fn config(place: Option<Place>, text: impl Into<String>) -> Self {
        Error::from_code(ErrorCode::Config { place, text: text.into() })
    }

    #[cold]
    pub(crate) fn unreachable(text: impl fmt::Display) -> Self {
        Error::from_code(ErrorCode::Unreachable(text.to_string()))
    }

    #[cold]
    pub(crate) fn frame(text: &'static str) -> Self {
        Error::from_code(ErrorCode::Frame(text))
    }

    /// A fault in flags, variables or a settings file.
    #[cold]
    #[must_use]
    pub fn from_settings(text: impl Into<String>) -> Self {
        Error::settings(text)
    }

    /// An answer of the platform that is not what it should be.
    #[cold]
    #[must_use]
    pub fn from_answer(status: u16, text: impl Into<String>) -> Self {
        Error::from_code(ErrorCode::Status { status, text: text.into() })
    }

    /// Returns the kind of this failure.
    #[must_use]
    pub fn classify(&self) -> Category {
        match &*self.code {
            ErrorCode::Settings(_) => Category::Settings,
            ErrorCode::Config { .. } => Category::Config,
            ErrorCode::Frame(_) | ErrorCode::Handshake(_) => Category::Peer,
            ErrorCode::Status { .. } | ErrorCode::Conflict { .. } | ErrorCode::Unreachable(_) => {
                Category::Platform
            }
            ErrorCode::Io(_) => Category::Io,
        }
    }

    /// Returns true for a fault in flags or environment variables.
    #[must_use]
    pub fn is_settings(&self) -> bool {
        self.classify() == Category::Settings
    }

    /// Returns true for a fault in declared configuration.
    #[must_use]
    pub fn is_config(&self) -> bool {
        self.classify() == Category::Config
    }

    /// Returns true where a conditional update lost against another one.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(&*self.code, ErrorCode::Conflict { .. })
    }

    /// Returns true where the outcome of a call is unknown.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(&*self.code, ErrorCode::Unreachable(_))
    }

    /// Line of the fault in a configuration file, from 1.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.place().map(|place| place.line)
    }

    /// Column of the fault in a configuration file, from 1.
    #[must_use]
    pub fn column(&self) -> Option<usize> {
        self.place().map(|place| place.column)
    }

    fn place(&self) -> Option<Place> {
        match &*self.code {
            ErrorCode::Config { place, .. } => *place,
            _ => None,
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ErrorCode::Settings(text) | ErrorCode::Config { place: None, text } => {
                f.write_str(text)
            }
            ErrorCode::Config { place: Some(place), text } => {
                write!(f, "{text} at line {} column {}", place.line, place.column)
            }
            ErrorCode::Frame(text) => write!(f, "bad frame: {text}"),
            ErrorCode::Handshake(text) => write!(f, "handshake failed: {text}"),
            ErrorCode::Status { status, text } => write!(f, "answered {status}: {text}"),
            ErrorCode::Conflict { found } => {
                write!(f, "conflicting update, version {found} is stored")
            }
            ErrorCode::Unreachable(text) => write!(f, "unreachable: {text}"),
            ErrorCode::Io(error) => fmt::Display::fmt(error, f),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.code, f)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.classify(), self.to_string())
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &*self.code {
            ErrorCode::Io(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for Error {
    #[cold]
    fn from(error: io::Error) -> Self {
        Error::from_code(ErrorCode::Io(error))
    }
}
