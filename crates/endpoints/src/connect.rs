//! Opens connections to endpoints, and sends cancel requests.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use compio::{net::TcpStream, time::timeout};
use goldcrest_wire::{PgStream, encode_frontend};
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    cancel::CancelRequest,
    simplequery::Query,
    startup::{Authentication, SecretKey, Startup},
};

use crate::{
    EndpointError, EndpointTarget,
    dialect::{self, ReportedState},
};

/// How long a connection may take to open, with its start-up messages.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that has completed its start-up.
#[derive(Debug)]
pub(crate) struct Connected {
    pub stream: PgStream,
    pub state: ReportedState,
    pub key: Option<CancelKey>,
}

/// The process id and secret that a cancel request must name.
#[derive(Debug, Clone)]
pub(crate) struct CancelKey {
    pid: i32,
    secret: SecretKey,
}

/// Opens a connection on which no message may be larger than `limit` bytes.
pub(crate) async fn connect(
    target: &EndpointTarget,
    limit: usize,
) -> Result<Connected, EndpointError> {
    let opening = open(target, limit);
    timeout(CONNECT_TIMEOUT, opening)
        .await
        .map_err(|_| EndpointError::Timeout)?
}

async fn open(target: &EndpointTarget, limit: usize) -> Result<Connected, EndpointError> {
    let socket = TcpStream::connect(target.address).await?;
    let mut stream = PgStream::new(socket, limit)?;
    let message = PgWireFrontendMessage::Startup(startup_message(target));
    stream.send(encode_frontend([message])?).await?;
    let mut state = ReportedState::default();
    let mut key = None;
    loop {
        match stream.next().await?.decode_backend()? {
            PgWireBackendMessage::Authentication(Authentication::Ok) => {}
            PgWireBackendMessage::Authentication(_) => return Err(EndpointError::Authentication),
            PgWireBackendMessage::ParameterStatus(p) => {
                dialect::apply_parameter(&mut state, &p.name, &p.value);
            }
            PgWireBackendMessage::BackendKeyData(k) => {
                key = Some(CancelKey {
                    pid: k.pid,
                    secret: k.secret_key,
                });
            }
            PgWireBackendMessage::ErrorResponse(e) => return Err(endpoint_error(&e)),
            PgWireBackendMessage::ReadyForQuery(_) => return Ok(Connected { stream, state, key }),
            _ => {}
        }
    }
}

fn startup_message(target: &EndpointTarget) -> Startup {
    let mut message = Startup::default();
    message.protocol_number_major = 3;
    message.protocol_number_minor = 0;
    message.parameters = BTreeMap::from([
        ("user".to_owned(), target.account.to_string()),
        ("database".to_owned(), target.database.to_string()),
        ("application_name".to_owned(), "goldcrestusher".to_owned()),
    ]);
    message
}

/// Converts an `ErrorResponse` of an endpoint.
pub(crate) fn endpoint_error(error: &pgwire::messages::response::ErrorResponse) -> EndpointError {
    let (code, text) = dialect::code_and_text(error);
    EndpointError::Refused { code, text }
}

/// Encodes a simple query.
pub(crate) fn encode_query(text: &str) -> Result<bytes::Bytes, EndpointError> {
    let query = PgWireFrontendMessage::Query(Query::new(text.to_owned()));
    Ok(encode_frontend([query])?)
}

/// Sends an endpoint a cancel request for the connection with this key.
pub(crate) async fn cancel(address: SocketAddr, key: CancelKey) -> Result<(), EndpointError> {
    let request = CancelRequest::new(key.pid, key.secret);
    let mut buf = BytesMut::new();
    PgWireFrontendMessage::CancelRequest(request)
        .encode(&mut buf)
        .map_err(goldcrest_wire::WireError::from)?;
    let call = async {
        let socket = TcpStream::connect(address).await?;
        let mut stream = PgStream::new(socket, 1024)?;
        stream.send(buf.freeze()).await?;
        Ok(())
    };
    timeout(CANCEL_TIMEOUT, call)
        .await
        .map_err(|_| EndpointError::Timeout)?
}
