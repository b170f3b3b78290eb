//! PostgreSQL v3 messages on a socket, for connections to clients and to endpoints.
//!
//! Messages are split by their length field alone and decoded only where a task needs their
//! contents, so that rows pass through undecoded and unchanged.

mod frame;

use std::io;

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use goldcrest_stream::{Stream, budget::Account};
use pgwire::error::PgWireError;
use thiserror::Error;

pub use crate::frame::{
    Frame, decode_untrusted, encode_backend, encode_frontend, error_response, split_frame,
    text_columns,
};

/// The length of a message's header (tag and length field), in bytes.
const HEADER_BYTES: usize = 5;

/// Why a connection can't be used any longer.
#[derive(Debug, Error)]
pub enum WireError {
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection.
    #[error("the other side closed the connection")]
    Closed,
    /// A message is larger than the limit, or shorter than a header.
    #[error("a message of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// The message's size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A message ends before its fields do.
    #[error("malformed message: it ends before its fields do")]
    Truncated,
    /// A message can't be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[from] PgWireError),
}

/// A socket that carries PostgreSQL messages.
#[derive(Debug)]
pub struct PgStream {
    stream: Stream,
    /// The largest message, in bytes.
    limit: usize,
    /// Bytes of the messages that wait for the rest of their batch.
    pending: usize,
}

impl PgStream {
    /// Wraps a socket. No message may be larger than `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`WireError::Io`] when the socket refuses its options.
    pub fn new(socket: TcpStream, limit: usize) -> Result<Self, WireError> {
        let stream = Stream::new(socket)?;
        let pending = 0;
        Ok(Self {
            stream,
            limit,
            pending,
        })
    }

    /// Counts what the peer makes this host hold.
    #[must_use]
    pub fn with_account(mut self, account: Account) -> Self {
        self.stream = self.stream.with_account(account);
        self
    }

    /// What the peer makes this host hold, if that is counted.
    #[must_use]
    pub fn account(&self) -> Option<&Account> {
        self.stream.account()
    }

    /// Gives back all that the peer makes this host hold, before the connection is closed.
    pub fn close_account(&mut self) {
        self.stream.close_account();
    }

    /// Counts `bytes` of messages that wait for the rest of their batch.
    pub fn set_pending(&mut self, bytes: usize) {
        self.pending = bytes;
    }

    /// Waits until the socket is readable. Dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// [`WireError::Io`] when the socket failed.
    pub async fn ready(&self) -> Result<(), WireError> {
        Ok(self.stream.ready().await?)
    }

    /// Whether unread input or the end of the stream is there, without waiting.
    #[must_use]
    pub fn has_input(&self) -> bool {
        self.stream.has_input()
    }

    /// Reads available data into the buffer.
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

    /// Removes the next complete message from the read buffer, if there is one.
    ///
    /// # Errors
    ///
    /// [`WireError::TooLarge`] when its length is over the limit or shorter than a header.
    pub fn try_next(&mut self) -> Result<Option<Frame>, WireError> {
        self.stream.finish_message(self.pending);
        let Some(size) = self.next_size()? else {
            return Ok(None);
        };
        let buffer = self.stream.buffer();
        if buffer.len() < size {
            return Ok(None);
        }
        let bytes = buffer.split_to(size).freeze();
        self.stream.run_message();
        self.stream.release_buffer();
        Ok(Some(Frame::new(bytes)))
    }

    /// Reads the next complete message.
    ///
    /// # Errors
    ///
    /// Any [`WireError`].
    pub async fn next(&mut self) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = self.try_next()? {
                return Ok(frame);
            }
            if self.stream.account().is_some() {
                // The host may have to close the connection meanwhile.
                self.ready().await?;
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

    /// Reads and discards input until the peer closes the connection.
    ///
    /// Closing a socket with unread input resets the connection, and the peer may lose the last
    /// message that was sent to it.
    pub async fn drain(&mut self) {
        self.stream.drain().await;
    }

    /// The data that was read and not yet consumed. Start-up messages, which have no tag, are
    /// decoded from it directly.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.stream.buffer()
    }

    /// Reads the size of the next message, with its tag, in bytes. Returns `None` until its header
    /// has arrived.
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
