//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| crate::give_up(&format!("{path}: {error}")));
        Record { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {line}", self.seconds());
    }

    /// Writes a line that is shown, too.
    pub fn say(&self, line: &str) {
        println!("{:9.3} {line}", self.seconds());
        self.write(line);
        let _ = self.file.lock().unwrap().flush();
    }
}
