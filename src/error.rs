//! The library's error type.

use std::path::PathBuf;

use thiserror::Error;

use crate::code::Code;

/// Errors outside the handling of a single request.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// A settings or configuration file is not valid.
    #[error("{file}: {message}", file = file.display())]
    Settings {
        /// The file that was read.
        file: PathBuf,
        /// The key, the value found and the allowed values.
        message: String,
    },
    /// The configuration document is not valid.
    #[error("{key}: {message}")]
    Config {
        /// The path of the invalid key.
        key: String,
        /// The allowed values.
        message: String,
    },
    /// Reading, writing, binding or connecting failed.
    #[error("{action}: {source}")]
    Io {
        /// The action that failed.
        action: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A TLS certificate or key could not be read or created.
    #[error("TLS: {0}")]
    Tls(String),
    /// A connection between two of the system's processes failed.
    #[error("peer connection: {0}")]
    Peer(String),
    /// A message could not be encoded or decoded.
    #[error("message codec: {0}")]
    Codec(#[from] postcard::Error),
    /// The platform's service did not answer or refused the call.
    #[error("platform service: {0}")]
    Platform(String),
    /// An HTTP request failed.
    #[error("HTTP: {0}")]
    Http(String),
    /// The configuration changed since the revision the operator expected.
    #[error("conflict: expected revision {expected}, found {found}")]
    Conflict {
        /// The revision the change was based on.
        expected: u64,
        /// The revision in force.
        found: u64,
    },
    /// A process responded with a result code.
    #[error("{} {}", .0.number(), .0.message())]
    Code(Code),
}

impl Error {
    /// Wraps an I/O error with the action that failed.
    pub fn io(action: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io {
            action: action.into(),
            source,
        }
    }

    /// The result code for this error.
    pub fn code(&self) -> Code {
        match self {
            Self::Settings { .. } | Self::Config { .. } | Self::Tls(_) => Code::BadSettings,
            Self::Conflict { .. } => Code::Conflict,
            Self::Platform(_) => Code::PlatformDown,
            Self::Code(code) => *code,
            Self::Io { .. } | Self::Peer(_) | Self::Codec(_) | Self::Http(_) => Code::NoEndpoint,
        }
    }
}

/// The library's result type.
pub type Result<T, E = Error> = std::result::Result<T, E>;
