//! A TCP socket with a read buffer, shared by all protocols of the proxy.

pub mod accept;
pub mod budget;

use std::{future::pending, io, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use compio::{
    BufResult,
    io::{AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_decide::budget::{BASE_BYTES, Use};
use rustix::{
    io::Errno,
    net::{RecvFlags, recv},
};
use socket2::{SockRef, TcpKeepalive};

use crate::budget::Account;

/// The buffer space that is reserved for each read, in bytes.
const READ_BYTES: usize = 4096;

/// How long a peer may take none of the bytes that are sent to it. A machine may be suspended for
/// seconds.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The idle time after which the kernel probes a peer. One second is the smallest value.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long sent data or a probe may stay unacknowledged. This allows ten round trips across
/// regions, and is less than the shortest statement timeout in use (800 ms).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(700);

/// A connected socket with a read buffer.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    buffer: BytesMut,
    /// What the peer makes this host hold, if that is counted.
    account: Option<Account>,
    /// Bytes of earlier messages that wait for the rest of their batch.
    pending: usize,
}

impl Stream {
    /// Wraps a connected socket.
    ///
    /// # Errors
    ///
    /// When the socket refuses its options.
    pub fn new(socket: TcpStream) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        Ok(Self {
            socket,
            buffer: BytesMut::new(),
            account: None,
            pending: 0,
        })
    }

    /// Counts what the peer makes this host hold.
    #[must_use]
    pub fn with_account(mut self, account: Account) -> Self {
        self.account = Some(account);
        self
    }

    /// The account of the peer, if there is one.
    #[must_use]
    pub fn account(&self) -> Option<&Account> {
        self.account.as_ref()
    }

    /// Gives back all that the peer makes this host hold, before the connection is closed.
    pub fn close_account(&mut self) {
        self.account = None;
        self.buffer = BytesMut::new();
    }

    /// Notes that a message is complete and runs. Until the next one is looked for, its bytes count.
    pub fn run_message(&mut self) {
        if let Some(account) = &self.account {
            account.run();
        }
    }

    /// Notes that the earlier messages are no longer held, except for `pending` bytes of a batch.
    pub fn finish_message(&mut self, pending: usize) {
        self.pending = pending;
        let Some(account) = &self.account else {
            return;
        };
        if account.finish_message(self.buffer.len() + pending) {
            // The buffer shares its memory with the earlier messages.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    /// Connects within `limit` and enables keepalive.
    ///
    /// # Errors
    ///
    /// When the peer refuses or does not answer in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Self::with_keepalive(connect(address, limit).await?)
    }

    /// Wraps a connected socket and enables keepalive.
    ///
    /// # Errors
    ///
    /// When the socket refuses its options.
    pub fn with_keepalive(socket: TcpStream) -> io::Result<Self> {
        enable_keepalive(&socket)?;
        Self::new(socket)
    }

    /// Waits until the socket is readable. Dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// When the socket failed.
    pub async fn ready(&self) -> io::Result<()> {
        let fd = self.socket.to_poll_fd()?;
        let Some(account) = &self.account else {
            fd.read_ready().await?;
            return Ok(());
        };
        let readable = fd.read_ready().fuse();
        let overloaded = account.overloaded().fuse();
        pin_mut!(readable, overloaded);
        select_biased! {
            error = overloaded => Err(error),
            got = readable => got,
        }
    }

    /// Waits until the socket is readable while a message runs. Beyond a small number of bytes nothing
    /// is read ahead, and this waits until the connection is to be closed.
    ///
    /// # Errors
    ///
    /// When the socket failed.
    pub async fn ready_ahead(&self) -> io::Result<()> {
        if self.buffer.len() + READ_BYTES <= BASE_BYTES {
            return self.ready().await;
        }
        match &self.account {
            Some(account) => Err(account.overloaded().await),
            None => pending().await,
        }
    }

    /// Whether unread input or the end of the stream is there, without waiting.
    #[must_use]
    pub fn has_input(&self) -> bool {
        if !self.is_drained() {
            return true;
        }
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let peeked = recv(&self.socket, &mut [0; 1], flags);
        !matches!(peeked, Err(Errno::WOULDBLOCK))
    }

    /// Reads available data into the buffer. Returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// When the socket failed.
    pub async fn fill(&mut self) -> io::Result<bool> {
        if let Some(account) = &self.account {
            let wanted = self.pending + self.buffer.len() + READ_BYTES;
            account.reserve(Use::Message, wanted).await?;
        }
        let mut buf = std::mem::take(&mut self.buffer);
        buf.reserve(READ_BYTES);
        let BufResult(read, buf) = self.socket.append(buf).await;
        self.buffer = buf;
        Ok(read? > 0)
    }

    /// Whether all data that was read has been consumed.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// When the socket failed.
    pub async fn send(&mut self, bytes: Bytes) -> io::Result<()> {
        let Some(account) = &self.account else {
            let BufResult(sent, _) = self.socket.write_all(bytes).await;
            return sent;
        };
        account.send(bytes.len());
        let result = {
            let sent = send_counted(&self.socket, bytes).fuse();
            let overloaded = account.overloaded().fuse();
            pin_mut!(sent, overloaded);
            select_biased! {
                error = overloaded => Err(error),
                result = sent => result,
            }
        };
        account.finish_answer();
        result
    }

    /// Ends the output, so that the peer learns that nothing follows.
    ///
    /// # Errors
    ///
    /// When the socket failed.
    pub async fn end_output(&mut self) -> io::Result<()> {
        self.socket.shutdown().await
    }

    /// Reads and discards input until the peer closes the connection.
    ///
    /// Closing a socket with unread input resets the connection, and the peer may lose the last
    /// message that was sent to it.
    pub async fn drain(&mut self) {
        while matches!(self.fill().await, Ok(true)) {
            self.buffer.clear();
        }
    }

    /// The data that was read and not yet consumed.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Frees the memory of an empty read buffer, so that idle sockets hold none.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}

/// Writes all bytes, of which the peer must take some again and again.
async fn send_counted(mut socket: &TcpStream, mut bytes: Bytes) -> io::Result<()> {
    while !bytes.is_empty() {
        let write = timeout(STALL_TIMEOUT, socket.write(bytes.clone()));
        let written = write.await.map_err(|_| io::ErrorKind::TimedOut)?.0?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes.advance(written);
    }
    Ok(())
}

/// Connects a socket within `limit`.
///
/// # Errors
///
/// When the peer refuses or does not answer in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Enables keepalive and a timeout for unacknowledged data, so that the kernel closes a connection
/// whose peer no longer answers.
///
/// # Errors
///
/// When the socket refuses its options.
pub fn enable_keepalive(socket: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
