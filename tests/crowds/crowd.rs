//! Clients that don't behave: each sends its bytes in its own way, and keeps its connection open.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// How long a crowd sends and reads.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// How long one read or write may block before the client looks at the time again.
const BLOCK_TIME: Duration = Duration::from_millis(100);

/// The pause between two pieces of a client that sends in pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// The pause between two pieces of a client that sends or reads slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(50);

/// How the clients of a crowd send and read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// They send as fast as they can, and read all answers.
    Whole,
    /// They send pieces of 4 KiB, and read all answers.
    Pieces,
    /// They send as fast as they can, and read nothing.
    Unread,
    /// They send most of their bytes at once, and the rest 16 bytes at a time.
    SlowSend,
    /// They send as fast as they can, and read 512 bytes at a time.
    SlowRead,
}

/// What each client of a crowd sends.
#[derive(Debug, Clone)]
pub struct Script {
    /// The message that starts a session, if one is started. Its answer is read.
    pub startup: Vec<u8>,
    /// What follows it, for the client with this number.
    pub messages: fn(usize) -> Vec<u8>,
    pub manner: Manner,
}

/// A crowd whose connections stay open until it is dropped.
pub struct Crowd {
    clients: Vec<JoinHandle<Vec<TcpStream>>>,
    /// When all of its clients have stopped.
    pub end: Instant,
}

impl Crowd {
    /// Starts `count` clients of a front end, which takes them only if it wants to.
    pub fn start(count: usize, frontend: SocketAddr, script: Script) -> Self {
        let script = Arc::new(script);
        let end = Instant::now() + CROWD_TIME;
        let clients = (0..count).map(|number| {
            let script = Arc::clone(&script);
            thread::spawn(move || run(number, frontend, &script, end).into_iter().collect())
        });
        Self {
            clients: clients.collect(),
            end: end + 20 * BLOCK_TIME,
        }
    }

    /// Opens `count` connections and sends `bytes` on each.
    pub fn silent(count: usize, frontend: SocketAddr, bytes: &'static [u8]) -> Self {
        let open = move |_| {
            let mut socket = TcpStream::connect_timeout(&frontend, BLOCK_TIME).ok()?;
            // The host may have closed it.
            let _ = socket.write_all(bytes);
            Some(socket)
        };
        let client = thread::spawn(move || (0..count).filter_map(open).collect());
        Self {
            clients: vec![client],
            end: Instant::now() + 5 * CROWD_TIME,
        }
    }

    /// Whether all clients have sent and read what they wanted, or were refused.
    pub fn is_over(&self) -> bool {
        self.clients.iter().all(JoinHandle::is_finished)
    }

    /// Waits until the clients are done, and returns their open connections.
    pub fn connections(self) -> Vec<TcpStream> {
        let clients = self.clients.into_iter();
        clients.flat_map(|c| c.join().unwrap()).collect()
    }
}

fn run(number: usize, frontend: SocketAddr, script: &Script, end: Instant) -> Option<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&frontend, CROWD_TIME).ok()?;
    socket.set_read_timeout(Some(BLOCK_TIME)).ok()?;
    socket.set_write_timeout(Some(BLOCK_TIME)).ok()?;
    if !script.startup.is_empty() {
        socket.write_all(&script.startup).ok()?;
        while socket.read(&mut [0; 512]).is_err() {
            if Instant::now() >= end {
                return Some(socket);
            }
        }
    }
    let messages = (script.messages)(number);
    let reader = socket.try_clone().ok()?;
    let manner = script.manner;
    let reading = thread::spawn(move || read(reader, manner, end));
    send(&mut socket, &messages, manner, end);
    reading.join().unwrap();
    Some(socket)
}

/// Sends bytes until all are sent, the connection ends or the time is over.
fn send(socket: &mut TcpStream, bytes: &[u8], manner: Manner, end: Instant) {
    let quick = bytes.len() / 3 * 2;
    let mut sent = 0;
    while sent < bytes.len() && Instant::now() < end {
        let (piece, pause) = match manner {
            Manner::Pieces => (4096, PIECE_PAUSE),
            Manner::SlowSend if sent >= quick => (16, SLOW_PAUSE),
            Manner::SlowSend => (quick - sent, Duration::ZERO),
            _ => (bytes.len() - sent, Duration::ZERO),
        };
        let piece = &bytes[sent..bytes.len().min(sent + piece)];
        match socket.write(piece) {
            Ok(written) => sent += written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        thread::sleep(pause);
    }
}

/// Reads until the connection ends or the time is over.
fn read(mut socket: TcpStream, manner: Manner, end: Instant) {
    let (size, pause) = match manner {
        Manner::Unread => return,
        Manner::SlowRead => (512, SLOW_PAUSE),
        _ => (65_536, Duration::ZERO),
    };
    let mut buffer = vec![0; size];
    while Instant::now() < end {
        match socket.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => thread::sleep(pause),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
