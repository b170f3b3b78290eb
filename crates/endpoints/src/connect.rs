//! Sets up connections to endpoints.

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
    adapter::{self, Told},
};

/// How long a connection may take to be set up.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// How long a cancel request may take.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);

/// A connection that is ready for work.
#[derive(Debug)]
pub(crate) struct Ready {
    pub wire: PgStream,
    pub told: Told,
    pub key: Option<CancelKey>,
}

/// What a cancel request must show.
#[derive(Debug, Clone)]
pub(crate) struct CancelKey {
    pid: i32,
    secret: SecretKey,
}

/// Sets up a connection whose messages may be of `limit` bytes.
pub(crate) async fn connect(target: &EndpointTarget, limit: usize) -> Result<Ready, EndpointError> {
    let set_up = open(target, limit);
    timeout(CONNECT_LIMIT, set_up)
        .await
        .map_err(|_| EndpointError::Timeout)?
}

async fn open(target: &EndpointTarget, limit: usize) -> Result<Ready, EndpointError> {
    let stream = TcpStream::connect(target.address).await?;
    let mut wire = PgStream::new(stream, limit)?;
    let hello = PgWireFrontendMessage::Startup(startup(target));
    wire.send(encode_frontend([hello])?).await?;
    let mut told = Told::default();
    let mut key = None;
    loop {
        match wire.next().await?.decode_backend()? {
            PgWireBackendMessage::Authentication(Authentication::Ok) => {}
            PgWireBackendMessage::Authentication(_) => return Err(EndpointError::Authentication),
            PgWireBackendMessage::ParameterStatus(p) => {
                adapter::note(&mut told, &p.name, &p.value);
            }
            PgWireBackendMessage::BackendKeyData(k) => {
                key = Some(CancelKey {
                    pid: k.pid,
                    secret: k.secret_key,
                });
            }
            PgWireBackendMessage::ErrorResponse(e) => return Err(refused(&e)),
            PgWireBackendMessage::ReadyForQuery(_) => return Ok(Ready { wire, told, key }),
            _ => {}
        }
    }
}

fn startup(target: &EndpointTarget) -> Startup {
    let mut startup = Startup::default();
    startup.protocol_number_major = 3;
    startup.protocol_number_minor = 0;
    startup.parameters = BTreeMap::from([
        ("user".to_owned(), target.account.to_string()),
        ("database".to_owned(), target.database.to_string()),
        ("application_name".to_owned(), "goldcrestusher".to_owned()),
    ]);
    startup
}

/// The error of an endpoint as one of this layer.
pub(crate) fn refused(error: &pgwire::messages::response::ErrorResponse) -> EndpointError {
    let (code, text) = adapter::code_and_text(error);
    EndpointError::Refused { code, text }
}

/// Encodes a simple query.
pub(crate) fn query(text: &str) -> Result<bytes::Bytes, EndpointError> {
    let query = PgWireFrontendMessage::Query(Query::new(text.to_owned()));
    Ok(encode_frontend([query])?)
}

/// Asks an endpoint to cancel what the connection with this key runs.
pub(crate) async fn cancel(address: SocketAddr, key: CancelKey) -> Result<(), EndpointError> {
    let request = CancelRequest::new(key.pid, key.secret);
    let mut buf = BytesMut::new();
    PgWireFrontendMessage::CancelRequest(request)
        .encode(&mut buf)
        .map_err(goldcrest_wire::WireError::from)?;
    let call = async {
        let stream = TcpStream::connect(address).await?;
        let mut wire = PgStream::new(stream, 1024)?;
        wire.send(buf.freeze()).await?;
        Ok(())
    };
    timeout(CANCEL_LIMIT, call)
        .await
        .map_err(|_| EndpointError::Timeout)?
}
