//! Plays one case of the review against the program of the deploy file: `case NAME FOLDER`.
//!
//! Servers, store, promotion API and clients are threads of this process. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` it leaves the disruption out.

mod drill;
mod era;
mod group;
mod host;
mod json;
mod lost;
mod memory;
mod quorum;
mod store;

use std::{
    fs::{self, File},
    io::Write,
    net::TcpListener,
    path::{Path, PathBuf},
    process::exit,
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant},
};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} {text}");
    }
}

/// How a case ended.
pub enum Outcome {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// A folder for settings and logs, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The third part of the play's addresses. The listener keeps it from other plays at the same time.
static NET: OnceLock<(u8, TcpListener)> = OnceLock::new();

/// An address of the loopback net for a process, other than those of a play at the same time.
pub fn loopback(number: u8) -> String {
    let (net, _) = NET.get_or_init(|| {
        let first = std::process::id();
        let nets = (0..200).map(|step| ((first + step) % 200 + 20) as u8);
        let mut free = nets.filter_map(|net| {
            let listener = TcpListener::bind((format!("127.77.{net}.254"), 8784)).ok()?;
            Some((net, listener))
        });
        free.next().expect("free loopback addresses")
    });
    format!("127.77.{net}.{number}")
}

pub fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("case NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&Path::new(folder).join("record.txt"));
    record.note(&format!("case {name}, trouble: {trouble}"));
    let outcome = {
        let scratch = Folder::new();
        match name.as_str() {
            "drill" => drill::play(&record, &scratch, trouble),
            "era" => era::play(&record, &scratch, trouble),
            "lost" => lost::play(&record, &scratch, trouble),
            "memory" => memory::play(&record, &scratch, trouble),
            "quorum" => quorum::play(&record, &scratch, trouble),
            _ => Outcome::NotRun("no such case".to_owned()),
        }
    };
    let (code, text) = match outcome {
        Outcome::Broken(text) => (1, format!("the rule was broken: {text}")),
        Outcome::Held(text) => (0, format!("the rule held: {text}")),
        Outcome::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.note(&text);
    println!("{text}");
    exit(code);
}
