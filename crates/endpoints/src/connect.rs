//! Opens connections to endpoints, and sends cancel requests.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::BytesMut;
use compio::{net::TcpStream, time::timeout};
use goldcrest_wire::{Frame, PgStream, encode_frontend};
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    cancel::CancelRequest,
    simplequery::Query,
    startup::{Authentication, SecretKey, Startup},
};

use crate::{
    EndpointError, EndpointTarget,
    dialect::{self, ReportedState},
    grammar::{TAG_ERROR, TAG_NOTICE, TAG_PARAMETER},
    marker::Markers,
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
    pub markers: Markers,
}

impl Connected {
    /// Checks that there is no unread input, which would belong to no request that is yet to be
    /// sent.
    pub(crate) async fn check_quiet(&mut self) -> Result<(), EndpointError> {
        if self.stream.has_input() {
            return Err(self.stray_input().await);
        }
        Ok(())
    }

    /// Reads the input that is there, and returns why the connection can't be used.
    async fn stray_input(&mut self) -> EndpointError {
        if self.stream.buffer().is_empty()
            && let Err(error) = self.stream.fill().await
        {
            return error.into();
        }
        match self.stream.try_next() {
            Ok(Some(frame)) if is_unsolicited(&frame) => {
                EndpointError::Unexpected("input while idle")
            }
            Ok(_) => EndpointError::Desynchronized("an answer while no request was running"),
            Err(error) => error.into(),
        }
    }
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
            PgWireBackendMessage::Authentication(Authentication::Ok)
            | PgWireBackendMessage::NoticeResponse(_)
            | PgWireBackendMessage::NegotiateProtocolVersion(_) => {}
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
            PgWireBackendMessage::ReadyForQuery(_) => {
                return Ok(Connected {
                    stream,
                    state,
                    key,
                    markers: Markers::new(),
                });
            }
            _ => return Err(EndpointError::Unexpected("a message of the start-up")),
        }
    }
}

/// Whether an endpoint may send a message without a request: a notice, a parameter, or the error with
/// which it closes the connection.
fn is_unsolicited(frame: &Frame) -> bool {
    match frame.tag() {
        TAG_NOTICE | TAG_PARAMETER => true,
        TAG_ERROR => matches!(
            frame.decode_backend(),
            Ok(PgWireBackendMessage::ErrorResponse(e)) if dialect::is_fatal(&e)
        ),
        _ => false,
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
