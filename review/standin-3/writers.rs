//! Consumers that write, and the check that nothing acknowledged is lost.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{Session, new_id},
    random,
    record::Record,
    scene::Scene,
};

const WRITERS: usize = 24;

pub struct Writers {
    threads: Vec<JoinHandle<()>>,
    /// What was acknowledged, and when.
    acknowledged: Arc<Mutex<Vec<(String, f64)>>>,
}

impl Writers {
    /// Starts writers that go on until `end`.
    pub fn start(scene: &Scene, end: Instant) -> Writers {
        let fronts: Vec<_> = scene.hosts.iter().map(|host| host.front).collect();
        let acknowledged: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
        let threads = (0..WRITERS)
            .map(|at| {
                let (front, acknowledged) = (fronts[at % fronts.len()], Arc::clone(&acknowledged));
                let record = Arc::clone(&scene.record);
                thread::spawn(move || write(front, end, &record, &acknowledged))
            })
            .collect();
        Writers { threads, acknowledged }
    }

    /// Waits for the writers. Returns whether LOST held.
    pub fn check(self, scene: &Scene) -> bool {
        for thread in self.threads {
            let _ = thread.join();
        }
        let (leader, log) = scene.group.leader_log();
        let log: BTreeSet<String> = log.into_iter().collect();
        let acknowledged = self.acknowledged.lock().unwrap();
        let lost: Vec<_> = acknowledged.iter().filter(|(write, _)| !log.contains(write)).collect();
        for (write, at) in &lost {
            let line = format!("write {write} was acknowledged at {at:.3} and is not in the log of {leader}");
            scene.record.say(&line);
        }
        scene.record.say(&format!(
            "{} writes acknowledged, {} of them lost, {leader} leads",
            acknowledged.len(),
            lost.len()
        ));
        lost.is_empty()
    }
}

fn write(front: SocketAddr, end: Instant, record: &Record, acknowledged: &Mutex<Vec<(String, f64)>>) {
    while Instant::now() < end {
        let Some(mut session) = Session::open(front, "orders") else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while Instant::now() < end {
            thread::sleep(Duration::from_secs_f64(random::unit() * 0.05));
            let id = new_id();
            record.write(&format!("client asks WRITE {id}"));
            let answer = session.ask(&id, &format!("WRITE k{} d{id}", random::below(2000)));
            let shown = answer.as_ref().map_or("nothing", |a| a.end.as_str());
            record.write(&format!("client gets {id} {shown:.60}"));
            match answer {
                Some(answer) if answer.succeeded() => {
                    acknowledged.lock().unwrap().push((format!("d{id}"), record.seconds()));
                }
                Some(_) => thread::sleep(Duration::from_millis(200)),
                None => break,
            }
        }
    }
}
