//! Errors that are reported to clients.

use goldcrest_decide::session::ChangeError;
use goldcrest_stream::budget::is_overloaded;
use goldcrest_wire::WireError;
use thiserror::Error;

/// Why a client's connection or statement fails before it reaches an endpoint.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The socket failed or a message could not be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A setting of the proxy (`goldcrest.*`) has an unknown name or an invalid value.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The workspace does not exist, or the password is wrong.
    #[error("authentication failed for workspace \"{0}\"")]
    Authentication(String),
    /// The workspace may not use the database.
    #[error("workspace \"{0}\" may not use database \"{1}\"")]
    Forbidden(String, String),
    /// There is no such database.
    #[error("database \"{0}\" does not exist")]
    NoDatabase(String),
    /// The host has its largest number of sessions.
    #[error("the host has its {0} sessions already")]
    TooManySessions(usize),
    /// The host has no room for the connection.
    #[error("the host has no room for this connection")]
    Overloaded,
    /// The session's prepared statements, portals and settings take more than the host has room for.
    #[error("the host has no room for the statements and settings of this session")]
    NoRoom,
    /// The host has not yet learnt which configuration is in force.
    #[error("the host is starting")]
    Starting,
    /// The host is stopping.
    #[error("the host is stopping")]
    Stopping,
    /// The proxy does not support the statement.
    #[error("not run: {0}")]
    Unsupported(&'static str),
    /// The session has too many prepared statements.
    #[error("not run: a session keeps at most {0} prepared statements")]
    TooManyPrepared(usize),
    /// The prepared statement does not exist.
    #[error("prepared statement \"{0}\" does not exist")]
    NoStatement(String),
    /// The client violated the protocol.
    #[error("unexpected message: {0}")]
    Protocol(&'static str),
    /// The session was idle inside a transaction for longer than the limit.
    #[error("the transaction was idle for too long and is rolled back")]
    IdleTransaction,
}

impl ClientError {
    /// Returns the error to report where the host closes a connection to keep within its limits.
    #[must_use]
    pub(crate) fn or_overloaded(self) -> Self {
        match self {
            Self::Wire(WireError::Io(error)) if is_overloaded(&error) => Self::Overloaded,
            other => other,
        }
    }

    /// The error's SQLSTATE.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Wire(WireError::TooLarge { .. }) => "54000",
            Self::Wire(_) | Self::Protocol(_) => "08P01",
            Self::Change(ChangeError::InvalidToken) => "28000",
            Self::Change(ChangeError::UnknownName(_)) => "42704",
            Self::Change(ChangeError::TooMany) | Self::TooManyPrepared(_) => "53400",
            Self::Change(_) => "22023",
            Self::Authentication(_) => "28P01",
            Self::Forbidden(..) => "42501",
            Self::NoDatabase(_) => "3D000",
            Self::TooManySessions(_) | Self::Overloaded => "53300",
            Self::NoRoom => "53200",
            Self::Starting => "57P03",
            Self::Stopping => "57P01",
            Self::Unsupported(_) => "0A000",
            Self::NoStatement(_) => "26000",
            Self::IdleTransaction => "25P03",
        }
    }

    /// Whether the connection must be closed after this error.
    #[must_use]
    pub fn is_fatal(&self) -> bool {
        matches!(
            self,
            Self::Wire(_)
                | Self::Protocol(_)
                | Self::Authentication(_)
                | Self::Forbidden(..)
                | Self::NoDatabase(_)
                | Self::TooManySessions(_)
                | Self::Overloaded
                | Self::NoRoom
                | Self::Starting
                | Self::Stopping
                | Self::IdleTransaction
        )
    }
}
