//! A socket that carries PostgreSQL v3 messages, used towards callers and towards endpoints.
//!
//! Messages are cut out of the stream by their length alone and decoded only where a task looks
//! inside, so that rows pass through unchanged.

mod frame;

use std::io;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use goldcrest_stream::Stream;
use pgwire::error::PgWireError;
use thiserror::Error;

pub use crate::frame::{
    Frame, decode_untrusted, encode_backend, encode_frontend, error_response, text_columns,
};

/// The length of a message's tag and length field, in bytes.
const HEADER_BYTES: usize = 5;

/// Why a socket can't be used any longer.
#[derive(Debug, Error)]
pub enum WireError {
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Io(#[from] io::Error),
    /// The other side closed the socket.
    #[error("the other side closed the connection")]
    Closed,
    /// A message is larger than the limit.
    #[error("a message of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// The message's size.
        size: usize,
        /// The limit.
        limit: usize,
    },
    /// A message ends before its fields do.
    #[error("malformed message: it ends before its fields do")]
    Truncated,
    /// A message can't be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[from] PgWireError),
}

/// One socket with its read buffer.
#[derive(Debug)]
pub struct PgStream {
    stream: Stream,
    limit: usize,
}

impl PgStream {
    /// Wraps a socket. No message may be larger than `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`WireError::Io`] when the socket refuses its options.
    pub fn new(socket: TcpStream, limit: usize) -> Result<Self, WireError> {
        let stream = Stream::new(socket)?;
        Ok(Self { stream, limit })
    }

    /// Waits until the socket has something to read. Dropping the wait loses nothing.
    ///
    /// # Errors
    ///
    /// [`WireError::Io`] when the socket failed.
    pub async fn ready(&self) -> Result<(), WireError> {
        Ok(self.stream.ready().await?)
    }

    /// Reads what the socket has.
    ///
    /// # Errors
    ///
    /// [`WireError::Closed`] at the end of the stream, [`WireError::Io`] when the socket failed.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        if self.stream.fill().await? {
            return Ok(());
        }
        Err(WireError::Closed)
    }

    /// Cuts the next whole message out of what was read.
    ///
    /// # Errors
    ///
    /// [`WireError::TooLarge`] when its length is over the limit or shorter than a header.
    pub fn try_next(&mut self) -> Result<Option<Frame>, WireError> {
        let Some(size) = self.next_size()? else {
            return Ok(None);
        };
        let inbox = self.stream.buffer();
        if inbox.len() < size {
            return Ok(None);
        }
        let bytes = inbox.split_to(size).freeze();
        self.stream.release_buffer();
        Ok(Some(Frame::new(bytes)))
    }

    /// Reads the next whole message.
    ///
    /// # Errors
    ///
    /// Any [`WireError`].
    pub async fn next(&mut self) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = self.try_next()? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Writes encoded messages.
    ///
    /// # Errors
    ///
    /// [`WireError::Io`] when the socket failed.
    pub async fn send(&mut self, bytes: Bytes) -> Result<(), WireError> {
        Ok(self.stream.send(bytes).await?)
    }

    /// Reads and drops what the other side still sends, until it closes.
    ///
    /// A socket that is closed with unread bytes takes its last message with it.
    pub async fn drain(&mut self) {
        self.stream.drain().await;
    }

    /// The bytes that were read and not yet taken, for start-up messages that have no tag.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.stream.buffer()
    }

    fn next_size(&mut self) -> Result<Option<usize>, WireError> {
        let Some(length) = self.stream.buffer().get(1..HEADER_BYTES) else {
            return Ok(None);
        };
        let mut field = [0; 4];
        field.copy_from_slice(length);
        let size = u32::from_be_bytes(field) as usize + 1;
        if size < HEADER_BYTES || size > self.limit {
            let limit = self.limit;
            return Err(WireError::TooLarge { size, limit });
        }
        Ok(Some(size))
    }
}
