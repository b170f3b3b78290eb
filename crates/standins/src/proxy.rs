//! A proxy between a client and a server that repeats, delays, forges or cuts what the server sends.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    time::timeout_at,
};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_stream::Stream;
use spdlog::debug;

/// Timeout of a connection to the server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the proxy waits for input where no copy is due.
const IDLE_INTERVAL: Duration = Duration::from_hours(1);

/// What happens to a message of the server.
#[derive(Debug, Clone)]
pub enum MessageFault {
    /// It is passed on unchanged.
    None,
    /// It comes again after this time, or right before the next message if that comes first.
    Repeated(Duration),
    /// These bytes come before it.
    Preceded(Bytes),
    /// Its second half comes after this time.
    Paused(Duration),
    /// Its connection is closed in its middle.
    Cut,
}

/// Returns the length of the first message in a buffer, or `None` if it is not complete.
pub type FindEnd = fn(&[u8]) -> Option<usize>;

/// Starts a proxy on a free port of `ip`. `choose` is called for each message of the server, on any
/// connection.
///
/// # Errors
///
/// When no port can be bound.
pub async fn start<F>(
    ip: &str,
    server: SocketAddr,
    find_end: FindEnd,
    choose: F,
) -> io::Result<SocketAddr>
where
    F: Fn(&Bytes) -> MessageFault + 'static,
{
    let listener = TcpListener::bind(format!("{ip}:0")).await?;
    let address = listener.local_addr()?;
    let choose = Rc::new(choose);
    compio::runtime::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let choose = Rc::clone(&choose);
            compio::runtime::spawn(async move {
                if let Err(error) = serve(socket, server, find_end, &*choose).await {
                    debug!("a connection through the proxy failed: {}", error);
                }
            })
            .detach();
        }
    })
    .detach();
    Ok(address)
}

/// Returns the length of an HTTP response with a `Content-Length`.
#[must_use]
pub fn http_response_end(buffer: &[u8]) -> Option<usize> {
    let head = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&buffer[..head]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|value| value.trim().parse::<usize>().ok())
        .unwrap_or_default();
    Some(head + length).filter(|end| *end <= buffer.len())
}

/// Returns the length of a frame that starts with its length in four bytes, the highest first.
#[must_use]
pub fn frame_end(buffer: &[u8]) -> Option<usize> {
    let (length, _) = buffer.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
    Some(4 + length).filter(|end| *end <= buffer.len())
}

enum Input {
    Client,
    Server,
    /// The copy of a message is due.
    Due,
}

/// Passes bytes on in both directions until either side closes its connection.
async fn serve<F>(
    socket: TcpStream,
    server: SocketAddr,
    find_end: FindEnd,
    choose: &F,
) -> io::Result<()>
where
    F: Fn(&Bytes) -> MessageFault,
{
    let mut client = Stream::new(socket)?;
    let mut server = Stream::connect(server, CONNECT_TIMEOUT).await?;
    let mut copy: Option<(Instant, Bytes)> = None;
    loop {
        let due = copy.as_ref().map(|(due, _)| *due);
        match next_input(&client, &server, due).await? {
            Input::Client => {
                if !client.fill().await? {
                    return Ok(());
                }
                let request = client.buffer().split().freeze();
                server.send(request).await?;
            }
            Input::Server => {
                if !server.fill().await? {
                    return Ok(());
                }
                while let Some(end) = find_end(server.buffer()) {
                    let message = server.buffer().split_to(end).freeze();
                    if let Some((_, earlier)) = copy.take() {
                        client.send(earlier).await?;
                    }
                    match choose(&message) {
                        MessageFault::None => client.send(message).await?,
                        MessageFault::Repeated(Duration::ZERO) => {
                            client
                                .send([&message[..], &message].concat().into())
                                .await?;
                        }
                        MessageFault::Repeated(delay) => {
                            copy = Some((Instant::now() + delay, message.clone()));
                            client.send(message).await?;
                        }
                        MessageFault::Preceded(forged) => {
                            client.send([&forged[..], &message].concat().into()).await?;
                        }
                        MessageFault::Paused(pause) => {
                            client.send(message.slice(..end / 2)).await?;
                            compio::time::sleep(pause).await;
                            client.send(message.slice(end / 2..)).await?;
                        }
                        MessageFault::Cut => return client.send(message.slice(..end / 2)).await,
                    }
                }
            }
            Input::Due => {
                if let Some((_, message)) = copy.take() {
                    client.send(message).await?;
                }
            }
        }
    }
}

async fn next_input(client: &Stream, server: &Stream, due: Option<Instant>) -> io::Result<Input> {
    let input = async {
        let (request, response) = (client.ready().fuse(), server.ready().fuse());
        pin_mut!(request, response);
        select_biased! {
            ready = request => ready.map(|()| Input::Client),
            ready = response => ready.map(|()| Input::Server),
        }
    };
    let due = due.unwrap_or_else(|| Instant::now() + IDLE_INTERVAL);
    timeout_at(due, input).await.unwrap_or(Ok(Input::Due))
}
