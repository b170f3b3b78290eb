//! The memory use of idle sessions.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use goldcrest_demo::{FleetThread, built_in_settings};

use crate::usage::resident_bytes;

/// The numbers of sessions at which memory is measured.
const SESSIONS: [usize; 3] = [0, 2000, 6000];

/// Formats the memory per idle session, without the kernel buffers of the sockets.
pub fn table() -> anyhow::Result<String> {
    let mut settings = built_in_settings()?;
    settings.limits.sessions = 8000;
    let fleet = FleetThread::start(settings, 1)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut streams = Vec::new();
    let mut lines = vec!["Memory of idle sessions".to_owned()];
    let mut before = None;
    for count in SESSIONS {
        while streams.len() < count {
            streams.push(open(fleet.client_addresses[0])?);
        }
        std::thread::sleep(Duration::from_secs(1));
        let bytes = resident_bytes()?;
        let text = match before {
            Some((sessions, old)) if count > sessions => {
                let per_session = bytes.saturating_sub(old) / (count - sessions) as u64;
                format!(
                    "{count} sessions: {} KB, {per_session} bytes a session",
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

/// Opens a session without a client library, since its memory would be counted too.
fn open(address: std::net::SocketAddr) -> anyhow::Result<TcpStream> {
    const READY: [u8; 6] = [b'Z', 0, 0, 0, 5, b'I'];
    let parameters = b"user\0orders\0database\0hearth-orders\0\0";
    let mut startup = u32::try_from(parameters.len() + 8)?.to_be_bytes().to_vec();
    startup.extend(196_608_u32.to_be_bytes());
    startup.extend(parameters);
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(&startup)?;
    let mut answer = Vec::new();
    let mut buf = [0; 1024];
    while !answer.ends_with(&READY) {
        let read = stream.read(&mut buf)?;
        anyhow::ensure!(read > 0, "the host closed the connection");
        answer.extend_from_slice(&buf[..read]);
    }
    Ok(stream)
}
