//! The start-up of a client's connection: encryption request, cancel request, start-up message and
//! password.

use std::time::Duration;

use bytes::BytesMut;
use compio::{net::TcpStream, time::timeout};
use goldcrest_stream::budget::Account;
use goldcrest_types::Name;
use goldcrest_wire::{PgStream, WireError, decode_untrusted, encode_backend};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
    response::{GssEncResponse, SslResponse},
    startup::{Authentication, SecretKey, Startup},
};

use crate::{AdmitError, ClientError, FrontendConfig, refusals};

/// How long a client may take to complete its start-up.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest start-up message in bytes. PostgreSQL takes 10,000.
const STARTUP_BYTES: usize = 64 << 10;

/// How long the error that ends a connection may take to be sent. A client that reads gets it at once.
const ERROR_TIMEOUT: Duration = Duration::from_millis(500);

/// The flag that precedes a setting in the start-up options.
const OPTION_FLAG: &str = "-c";

/// What a client requested with the start-up of its connection.
#[derive(Debug)]
pub(crate) enum Started {
    /// Cancel the running request of the session with this process id and secret.
    Cancel(i32, i32),
    /// Open a session.
    Session(Box<AdmittedClient>),
}

/// A client that was admitted.
#[derive(Debug)]
pub(crate) struct AdmittedClient {
    pub stream: PgStream,
    pub workspace: Name,
    pub database: Name,
    /// Names and values of the settings in the start-up options.
    pub options: Vec<(String, String)>,
}

/// Runs the start-up of a connection. An error is also sent to the client.
pub(crate) async fn run(
    socket: TcpStream,
    config: &FrontendConfig,
    account: Option<Account>,
) -> Result<Started, ClientError> {
    let mut stream = PgStream::new(socket, config.limits.message_bytes)?;
    let Some(account) = account else {
        send_error(&mut stream, &ClientError::Overloaded).await;
        return Err(ClientError::Overloaded);
    };
    stream = stream.with_account(account);
    let request = timeout(STARTUP_TIMEOUT, exchange(&mut stream, config)).await;
    let result = request.unwrap_or(Err(ClientError::Protocol("start-up took too long")));
    match result {
        Ok(StartupRequest::Cancel(pid, secret)) => Ok(Started::Cancel(pid, secret)),
        Ok(StartupRequest::Session {
            workspace,
            database,
            options,
        }) => Ok(Started::Session(Box::new(AdmittedClient {
            stream,
            workspace,
            database,
            options,
        }))),
        Err(error) => {
            let error = error.or_overloaded();
            send_error(&mut stream, &error).await;
            Err(error)
        }
    }
}

/// Sends the error that ends a connection to its client.
pub(crate) async fn send_error(stream: &mut PgStream, error: &ClientError) {
    stream.close_account();
    if let Ok(bytes) = encode_backend([refusals::error_message(error)]) {
        // The client may have disconnected or read nothing.
        let _ = timeout(ERROR_TIMEOUT, stream.send(bytes)).await;
    }
}

enum StartupRequest {
    Cancel(i32, i32),
    Session {
        workspace: Name,
        database: Name,
        options: Vec<(String, String)>,
    },
}

/// Exchanges start-up messages until the client has requested a session or a cancellation.
async fn exchange(
    stream: &mut PgStream,
    config: &FrontendConfig,
) -> Result<StartupRequest, ClientError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        match read_message(stream, &context).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                let refusal = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                stream.send(encode_backend([refusal])?).await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                let refusal = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                stream.send(encode_backend([refusal])?).await?;
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::CancelRequest(cancel) => {
                let SecretKey::I32(secret) = cancel.secret_key else {
                    return Err(ClientError::Protocol("a cancel key of this host"));
                };
                return Ok(StartupRequest::Cancel(cancel.pid, secret));
            }
            PgWireFrontendMessage::Startup(startup) => {
                return admit(stream, config, &startup).await;
            }
            _ => return Err(ClientError::Protocol("a start-up message was expected")),
        }
    }
}

async fn read_message(
    stream: &mut PgStream,
    context: &DecodeContext,
) -> Result<PgWireFrontendMessage, ClientError> {
    loop {
        let buffer: &mut BytesMut = stream.buffer();
        let message = decode_untrusted(|| PgWireFrontendMessage::decode(buffer, context))?;
        if let Some(message) = message {
            return Ok(message);
        }
        if stream.buffer().len() > STARTUP_BYTES {
            return Err(ClientError::Protocol("a shorter start-up message"));
        }
        stream.ready().await?;
        stream.fill().await?;
    }
}

/// Authenticates the client, and checks that its workspace may use the database.
async fn admit(
    stream: &mut PgStream,
    config: &FrontendConfig,
    startup: &Startup,
) -> Result<StartupRequest, ClientError> {
    let parameter = |name: &str| startup.parameters.get(name).map(String::as_str);
    let workspace = parameter("user").unwrap_or_default().to_owned();
    let database = parameter("database").unwrap_or(&workspace).to_owned();
    let options = parse_options(parameter("options").unwrap_or_default());
    let password = if (config.needs_password)(&workspace) {
        Some(request_password(stream).await?)
    } else {
        None
    };
    match (config.admit)(&workspace, &database, password.as_deref()) {
        Err(AdmitError::Authentication) => return Err(ClientError::Authentication(workspace)),
        Err(AdmitError::Forbidden) => return Err(ClientError::Forbidden(workspace, database)),
        Ok(()) => {}
    }
    if (config.find_group)(&database).is_none() {
        return Err(ClientError::NoDatabase(database));
    }
    Ok(StartupRequest::Session {
        workspace: Name::from(workspace),
        database: Name::from(database),
        options,
    })
}

async fn request_password(stream: &mut PgStream) -> Result<String, ClientError> {
    let message = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
    stream.send(encode_backend([message])?).await?;
    let PgWireFrontendMessage::PasswordMessageFamily(answer) =
        stream.next().await?.decode_frontend()?
    else {
        return Err(ClientError::Protocol("a password was expected"));
    };
    let password = answer.into_password().map_err(WireError::from)?;
    Ok(password.password)
}

/// Parses the settings in start-up options of the form `-c name=value`.
fn parse_options(text: &str) -> Vec<(String, String)> {
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
