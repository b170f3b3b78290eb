//! The start of a caller's connection: encryption, cancel, start-up and password.

use std::time::Duration;

use bytes::BytesMut;
use compio::{net::TcpStream, time::timeout};
use goldcrest_types::Name;
use goldcrest_wire::{PgStream, WireError, decode_untrusted, encode_backend};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
    response::{GssEncResponse, SslResponse},
    startup::{Authentication, SecretKey, Startup},
};

use crate::{AdmitError, ClientError, FrontendConfig, refusals};

/// How long a caller may take to start up.
const HELLO_LIMIT: Duration = Duration::from_secs(10);

/// The start of the options that are settings.
const OPTION_FLAG: &str = "-c";

/// What a connection turned out to be.
#[derive(Debug)]
pub(crate) enum Hello {
    /// A request to cancel the work of the session with this key.
    Cancel(i32, i32),
    /// A session.
    Session(Box<Greeted>),
}

/// A caller that was admitted.
#[derive(Debug)]
pub(crate) struct Greeted {
    pub wire: PgStream,
    pub workspace: Name,
    pub database: Name,
    /// Settings from the start-up options.
    pub options: Vec<(String, String)>,
}

/// Greets a connection. Errors are sent to the caller where it can understand them.
pub(crate) async fn greet(stream: TcpStream, front: &FrontendConfig) -> Result<Hello, ClientError> {
    let mut wire = PgStream::new(stream, front.limits.message_bytes)?;
    let greeting = timeout(HELLO_LIMIT, converse(&mut wire, front)).await;
    let result = greeting.unwrap_or(Err(ClientError::Protocol("start-up took too long")));
    match result {
        Ok(Talk::Cancel(pid, secret)) => Ok(Hello::Cancel(pid, secret)),
        Ok(Talk::Session {
            workspace,
            database,
            options,
        }) => Ok(Hello::Session(Box::new(Greeted {
            wire,
            workspace,
            database,
            options,
        }))),
        Err(error) => {
            refuse(&mut wire, &error).await;
            Err(error)
        }
    }
}

/// Tells a caller why its connection ends.
pub(crate) async fn refuse(wire: &mut PgStream, error: &ClientError) {
    if let Ok(bytes) = encode_backend([refusals::error_message(error)]) {
        // The caller may be gone already.
        let _ = wire.send(bytes).await;
    }
}

enum Talk {
    Cancel(i32, i32),
    Session {
        workspace: Name,
        database: Name,
        options: Vec<(String, String)>,
    },
}

async fn converse(wire: &mut PgStream, front: &FrontendConfig) -> Result<Talk, ClientError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        match read(wire, &context).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                let no = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                wire.send(encode_backend([no])?).await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                let no = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                wire.send(encode_backend([no])?).await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::CancelRequest(cancel) => {
                let SecretKey::I32(secret) = cancel.secret_key else {
                    return Err(ClientError::Protocol("a cancel key of this host"));
                };
                return Ok(Talk::Cancel(cancel.pid, secret));
            }
            PgWireFrontendMessage::Startup(startup) => {
                return admit(wire, front, &startup).await;
            }
            _ => return Err(ClientError::Protocol("a start-up message was expected")),
        }
    }
}

async fn read(
    wire: &mut PgStream,
    context: &DecodeContext,
) -> Result<PgWireFrontendMessage, ClientError> {
    loop {
        let inbox: &mut BytesMut = wire.buffer();
        let message = decode_untrusted(|| PgWireFrontendMessage::decode(inbox, context))?;
        if let Some(message) = message {
            return Ok(message);
        }
        wire.fill().await?;
    }
}

async fn admit(
    wire: &mut PgStream,
    front: &FrontendConfig,
    startup: &Startup,
) -> Result<Talk, ClientError> {
    let parameter = |name: &str| startup.parameters.get(name).map(String::as_str);
    let workspace = parameter("user").unwrap_or_default().to_owned();
    let database = parameter("database").unwrap_or(&workspace).to_owned();
    let options = options(parameter("options").unwrap_or_default());
    let password = if (front.needs_password)(&workspace) {
        Some(ask_password(wire).await?)
    } else {
        None
    };
    match (front.admit)(&workspace, &database, password.as_deref()) {
        Err(AdmitError::Account) => return Err(ClientError::Account(workspace)),
        Err(AdmitError::Database) => return Err(ClientError::Database(workspace, database)),
        Ok(()) => {}
    }
    if (front.find_group)(&database).is_none() {
        return Err(ClientError::NoDatabase(database));
    }
    Ok(Talk::Session {
        workspace: Name::from(workspace),
        database: Name::from(database),
        options,
    })
}

async fn ask_password(wire: &mut PgStream) -> Result<String, ClientError> {
    let ask = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
    wire.send(encode_backend([ask])?).await?;
    let PgWireFrontendMessage::PasswordMessageFamily(answer) =
        wire.next().await?.decode_frontend()?
    else {
        return Err(ClientError::Protocol("a password was expected"));
    };
    let password = answer.into_password().map_err(WireError::from)?;
    Ok(password.password)
}

/// The settings in start-up options of the form `-c name=value`.
fn options(text: &str) -> Vec<(String, String)> {
    let mut words = text.split_whitespace();
    let mut out = Vec::new();
    while let Some(word) = words.next() {
        let Some(rest) = word.strip_prefix(OPTION_FLAG) else {
            continue;
        };
        let setting = if rest.is_empty() {
            words.next().unwrap_or_default()
        } else {
            rest
        };
        if let Some((name, value)) = setting.split_once('=') {
            out.push((name.to_owned(), value.to_owned()));
        }
    }
    out
}
