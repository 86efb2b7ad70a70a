//! Error type of the library.

use std::fmt;
use std::io;

/// A failure to read settings or configuration, to communicate with a peer, or to reach the
/// platform.
pub struct Error {
    code: Box<ErrorCode>,
}

/// Result type of the library.
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Invalid flags, environment variables or settings file.
    Settings,
    /// Invalid declared configuration.
    Config,
    /// Protocol violation or failed authentication of a peer.
    Peer,
    /// Failed call to the platform, a target or another process: no response, an error status
    /// or a conflicting update.
    Platform,
    /// Input or output error of the operating system.
    Io,
}

pub(crate) enum ErrorCode {
    Settings(String),
    Config { position: Option<TextPosition>, text: String },
    Frame(&'static str),
    Handshake(&'static str),
    Status { status: u16, text: String },
    Conflict { found: u64 },
    Unreachable(String),
    Io(io::Error),
}

/// Line and column of an error in a file, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TextPosition {
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
    pub(crate) fn config(position: Option<TextPosition>, text: impl Into<String>) -> Self {
        Error::from_code(ErrorCode::Config { position, text: text.into() })
    }

    #[cold]
    pub(crate) fn unreachable(text: impl fmt::Display) -> Self {
        Error::from_code(ErrorCode::Unreachable(text.to_string()))
    }

    #[cold]
    pub(crate) fn frame(text: &'static str) -> Self {
        Error::from_code(ErrorCode::Frame(text))
    }

    /// Creates an error about flags, environment variables or a settings file.
    #[cold]
    #[must_use]
    pub fn from_settings(text: impl Into<String>) -> Self {
        Error::settings(text)
    }

    /// Creates an error about an unexpected response of the platform.
    #[cold]
    #[must_use]
    pub fn from_response(status: u16, text: impl Into<String>) -> Self {
        Error::from_code(ErrorCode::Status { status, text: text.into() })
    }

    /// Returns the category of the error.
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

    /// Returns `true` if flags, environment variables or a settings file are invalid.
    #[must_use]
    pub fn is_settings(&self) -> bool {
        self.classify() == Category::Settings
    }

    /// Returns `true` if the declared configuration is invalid.
    #[must_use]
    pub fn is_config(&self) -> bool {
        self.classify() == Category::Config
    }

    /// Returns `true` if a conditional update failed because another version is stored.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(&*self.code, ErrorCode::Conflict { .. })
    }

    /// Returns `true` if the peer was unreachable or its response was lost, so that the outcome
    /// of a call is unknown.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(&*self.code, ErrorCode::Unreachable(_))
    }

    /// Returns the line of the error in a configuration file, from 1.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.position().map(|position| position.line)
    }

    /// Returns the column of the error in a configuration file, from 1.
    #[must_use]
    pub fn column(&self) -> Option<usize> {
        self.position().map(|position| position.column)
    }

    fn position(&self) -> Option<TextPosition> {
        match &*self.code {
            ErrorCode::Config { position, .. } => *position,
            _ => None,
        }
    }
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ErrorCode::Settings(text) | ErrorCode::Config { position: None, text } => {
                f.write_str(text)
            }
            ErrorCode::Config { position: Some(position), text } => {
                write!(f, "{text} at line {} column {}", position.line, position.column)
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
