//! Consumers.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{group::read_line, random, record::Record};

/// How long an operation may take with its retries, from the site sheet.
const TIME_BUDGET: Duration = Duration::from_secs(4);

const ATTEMPTS: usize = 3;

/// The end of an operation: when it was first sent, and whether it was served.
pub struct Outcome {
    pub at: f64,
    pub served: bool,
}

pub struct Session {
    reader: BufReader<TcpStream>,
}

/// The answer to a statement: its rows, its end, and the transaction's state.
pub struct Answer {
    pub rows: Vec<String>,
    pub end: String,
    pub state: char,
}

impl Answer {
    pub fn succeeded(&self) -> bool {
        self.end.starts_with("COMPLETE")
    }
}

impl Session {
    pub fn open(host: SocketAddr, database: &str) -> Option<Session> {
        let mut socket = TcpStream::connect_timeout(&host, Duration::from_millis(500)).ok()?;
        socket.set_nodelay(true).ok()?;
        socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        socket.write_all(format!("STARTUP {database} u1\r\n").as_bytes()).ok()?;
        let mut reader = BufReader::with_capacity(1 << 16, socket);
        let ready = read_line(&mut reader)?;
        reader.get_ref().set_read_timeout(Some(TIME_BUDGET)).ok()?;
        ready.starts_with("READY").then_some(Session { reader })
    }

    pub fn send(&mut self, id: &str, text: &str) -> Option<()> {
        let message = format!("QUERY {id} {text}\r\n");
        self.reader.get_mut().write_all(message.as_bytes()).ok()
    }

    pub fn receive(&mut self) -> Option<Answer> {
        let mut answer = Answer { rows: Vec::new(), end: String::new(), state: '-' };
        loop {
            let line = read_line(&mut self.reader)?;
            if let Some(rest) = line.strip_prefix("READY ") {
                answer.state = rest.chars().next()?;
                return Some(answer);
            }
            match line.strip_prefix("ROW ") {
                Some(row) => answer.rows.push(row.into()),
                None => answer.end = line,
            }
        }
    }

    pub fn ask(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(id, text)?;
        self.receive()
    }
}

/// A new id of a statement.
pub fn new_id() -> String {
    format!("{:016x}", random::number())
}

/// Runs operations against the hosts until `end`, `rate` a second on average. They come at random times, whether or
/// not the earlier ones are served.
pub fn run(
    hosts: &[SocketAddr],
    databases: &[&str],
    rate: f64,
    end: Instant,
    record: &Arc<Record>,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let mut session: Option<(Session, usize)> = None;
    let database = random::below(databases.len() as u64) as usize;
    let mut next = Instant::now();
    loop {
        next += Duration::from_secs_f64(-(1.0 - random::unit()).ln() / rate);
        if next.max(Instant::now()) >= end {
            return;
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        let writes = databases[database] != "reads" && random::below(100) < 35;
        let at = record.seconds();
        let began = Instant::now();
        let mut served = false;
        for attempt in 0..ATTEMPTS {
            if began.elapsed() > TIME_BUDGET {
                break;
            }
            if session.is_none() {
                let host = (random::below(hosts.len() as u64) as usize + attempt) % hosts.len();
                session = Session::open(hosts[host], databases[database]).map(|s| (s, host));
            }
            let Some((open, host)) = session.as_mut() else {
                std::thread::sleep(Duration::from_millis(200));
                continue;
            };
            let (id, item) = (new_id(), random::below(2000));
            let text = if writes { format!("WRITE k{item} d{id}") } else { format!("READ k{item}") };
            record.write(&format!("client asks {host} {} {id} {text}", databases[database]));
            let answer = open.ask(&id, &text);
            let shown = answer.as_ref().map_or("nothing", |a| a.end.as_str());
            record.write(&format!("client gets {id} {shown:.80}"));
            match answer {
                Some(answer) if answer.succeeded() => {
                    served = true;
                    break;
                }
                Some(answer) if is_promise(&answer.end) || !writes => {
                    std::thread::sleep(Duration::from_millis(200));
                }
                Some(_) => break,
                None => {
                    session = None;
                    if writes {
                        break;
                    }
                }
            }
        }
        outcomes.lock().unwrap().push(Outcome { at, served });
    }
}

/// Whether an error promises that nothing was kept.
fn is_promise(end: &str) -> bool {
    let code = end.strip_prefix("ERROR ").and_then(|rest| rest.split(' ').next());
    matches!(code, Some("BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "WRONGNODE" | "TOOMANYCON"))
}
