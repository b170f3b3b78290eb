//! An encoded message, and functions that decode and encode messages.

use std::panic::{AssertUnwindSafe, catch_unwind};

use bytes::{Buf, Bytes, BytesMut};
use pgwire::{
    error::PgWireResult,
    messages::{
        DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion, data::DataRow,
        response::ErrorResponse,
    },
};

use crate::{HEADER_BYTES, WireError};

/// A complete encoded message, with its tag and length field.
#[derive(Debug, Clone)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    pub(crate) fn new(bytes: Bytes) -> Self {
        Self { bytes }
    }

    /// The message's tag.
    #[must_use]
    pub fn tag(&self) -> u8 {
        self.bytes.first().copied().unwrap_or_default()
    }

    /// The encoded message.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// The message without its tag and length field.
    #[must_use]
    pub fn payload(&self) -> &[u8] {
        self.bytes.get(HEADER_BYTES..).unwrap_or_default()
    }

    /// Decodes a message that an endpoint (the backend) sent.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] when the message is not valid, [`WireError::Truncated`] when it
    /// ends before its fields do.
    pub fn decode_backend(&self) -> Result<PgWireBackendMessage, WireError> {
        let mut buf = BytesMut::from(self.bytes.as_ref());
        let message = decode_untrusted(|| PgWireBackendMessage::decode(&mut buf, &context()))?;
        message.ok_or(WireError::Closed)
    }

    /// Decodes a message that a client (the frontend) sent.
    ///
    /// # Errors
    ///
    /// [`WireError::Malformed`] when the message is not valid, [`WireError::Truncated`] when it
    /// ends before its fields do.
    pub fn decode_frontend(&self) -> Result<PgWireFrontendMessage, WireError> {
        let mut buf = BytesMut::from(self.bytes.as_ref());
        let message = decode_untrusted(|| PgWireFrontendMessage::decode(&mut buf, &context()))?;
        message.ok_or(WireError::Closed)
    }
}

/// Removes the first message from encoded messages. Returns `None` when no complete one is left.
pub fn split_frame(messages: &mut Bytes) -> Option<Frame> {
    let mut field = [0; 4];
    field.copy_from_slice(messages.get(1..HEADER_BYTES)?);
    let size = u32::from_be_bytes(field) as usize + 1;
    let complete = size >= HEADER_BYTES && size <= messages.len();
    complete.then(|| Frame::new(messages.split_to(size)))
}

/// Runs a decoder on untrusted input, and turns a panic into an error.
///
/// The codec panics where a message ends before its fields do, and a malformed message of one
/// client must not bring down the host.
///
/// # Errors
///
/// [`WireError::Malformed`] when the message is not valid, [`WireError::Truncated`] when it ends
/// before its fields do.
pub fn decode_untrusted<D, T>(decode: D) -> Result<T, WireError>
where
    D: FnOnce() -> PgWireResult<T>,
{
    let decoded = catch_unwind(AssertUnwindSafe(decode));
    Ok(decoded.map_err(|_| WireError::Truncated)??)
}

/// The codec's context for messages after the start-up.
fn context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}

/// Encodes messages that an endpoint (the backend) sends.
///
/// # Errors
///
/// [`WireError::Malformed`] when a message is too large to encode.
pub fn encode_backend<I>(messages: I) -> Result<Bytes, WireError>
where
    I: IntoIterator<Item = PgWireBackendMessage>,
{
    let mut buf = BytesMut::new();
    for message in messages {
        message.encode(&mut buf)?;
    }
    Ok(buf.freeze())
}

/// Encodes messages that a client (the frontend) sends.
///
/// # Errors
///
/// [`WireError::Malformed`] when a message is too large to encode.
pub fn encode_frontend<I>(messages: I) -> Result<Bytes, WireError>
where
    I: IntoIterator<Item = PgWireFrontendMessage>,
{
    let mut buf = BytesMut::new();
    for message in messages {
        message.encode(&mut buf)?;
    }
    Ok(buf.freeze())
}

/// Builds an `ErrorResponse` from a severity, a SQLSTATE and a text.
#[must_use]
pub fn error_response(severity: &str, code: &str, text: &str) -> PgWireBackendMessage {
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', code.to_owned()),
        (b'M', text.to_owned()),
    ];
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}

/// Returns the columns of a row in text format; `None` stands for NULL.
#[must_use]
pub fn text_columns(row: &DataRow) -> Vec<Option<String>> {
    let mut data = row.data.clone();
    let mut out = Vec::new();
    for _ in 0..row.field_count {
        if data.remaining() < 4 {
            break;
        }
        let Ok(size) = usize::try_from(data.get_i32()) else {
            out.push(None);
            continue;
        };
        let text = data.split_to(size.min(data.len()));
        out.push(Some(String::from_utf8_lossy(&text).into_owned()));
    }
    out
}
