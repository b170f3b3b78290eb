//! The memory of idle sessions.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use goldcrest_demo::{FleetThread, built_in_settings};

use crate::usage::resident_bytes;

const SESSIONS: [usize; 3] = [0, 2000, 6000];

/// Memory for each idle session, sockets' kernel buffers not counted.
pub fn table() -> anyhow::Result<String> {
    let mut settings = built_in_settings()?;
    settings.limits.sessions = 8000;
    let fleet = FleetThread::start(settings, 1)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut held = Vec::new();
    let mut lines = vec!["Memory of idle sessions".to_owned()];
    let mut before = None;
    for count in SESSIONS {
        while held.len() < count {
            held.push(open(fleet.client_addresses[0])?);
        }
        std::thread::sleep(Duration::from_secs(1));
        let bytes = resident_bytes()?;
        let text = match before {
            Some((sessions, old)) if count > sessions => {
                let each = bytes.saturating_sub(old) / (count - sessions) as u64;
                format!(
                    "{count} sessions: {} KB, {each} bytes a session",
                    bytes / 1024
                )
            }
            _ => format!("{count} sessions: {} KB", bytes / 1024),
        };
        lines.push(text);
        before = Some((count, bytes));
    }
    Ok(lines.join("\n") + "\n")
}

/// Opens a session without a client library, whose memory would count too.
fn open(address: std::net::SocketAddr) -> anyhow::Result<TcpStream> {
    const READY: [u8; 6] = [b'Z', 0, 0, 0, 5, b'I'];
    let parameters = b"user\0orders\0database\0hearth-orders\0\0";
    let mut hello = u32::try_from(parameters.len() + 8)?.to_be_bytes().to_vec();
    hello.extend(196_608_u32.to_be_bytes());
    hello.extend(parameters);
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&hello)?;
    let mut answer = Vec::new();
    let mut buf = [0; 1024];
    while !answer.ends_with(&READY) {
        let read = stream.read(&mut buf)?;
        anyhow::ensure!(read > 0, "the host closed the connection");
        answer.extend_from_slice(&buf[..read]);
    }
    Ok(stream)
}
