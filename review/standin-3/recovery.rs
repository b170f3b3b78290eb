//! What drills about recovery share: ordinary traffic, a final fault, something that consumers do after it, and
//! the share of requests that is served later.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    client::{self, Outcome},
    host::slow_down,
    record::Record,
    scene::{Layout, Scene},
};

/// Ordinary operations of each client a second, and the clients.
const RATE: f64 = 0.5;
const CLIENTS: usize = 300;

const BEFORE: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_millis(1_300);
/// How long after their start the consumers do it, and for how long.
const SETTLED: Duration = Duration::from_secs(4);
const CROWD: Duration = Duration::from_secs(6);
/// How long after their start the hosts begin to turn slow.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// How long a host is slow, as the site file has it at most.
const SLOW_TIME: Duration = Duration::from_millis(6_400);
const RECOVERY_S: f64 = 12.0;
const AFTER: Duration = Duration::from_secs(75);

/// What one of the consumers does until a time. Its number tells them apart.
pub type Consumer = fn(usize, &[SocketAddr], Instant, &Record);

/// The consumers of a drill beside the ordinary ones.
pub struct Crowd {
    pub count: usize,
    pub consumer: Consumer,
    /// Whether they come for the whole drill, and not only for some seconds after the final fault.
    pub always: bool,
    /// Whether the hosts turn slow, one after the other, after the final fault.
    pub slow_hosts: bool,
}

/// Plays the drill with this many consumers. Returns whether RECOVER held.
pub fn play(folder: &Path, layout: Layout, trouble: bool, crowd: &Crowd) -> bool {
    let mut scene = Scene::set(folder, layout);
    scene.start_hosts();
    let fronts: Vec<_> = scene.hosts.iter().map(|host| host.front).collect();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let end = Instant::now() + BEFORE + DOWN + Duration::from_secs_f64(RECOVERY_S) + AFTER;
    let mut threads = Vec::new();
    for _ in 0..CLIENTS {
        let (fronts, outcomes, record) = (fronts.clone(), Arc::clone(&outcomes), Arc::clone(&scene.record));
        threads.push(thread::spawn(move || {
            client::run(&fronts, &["orders", "reads", "parts"], RATE, end, &record, &outcomes);
        }));
    }
    if trouble && crowd.always {
        start_crowd(crowd, &scene, &fronts, end, &mut threads);
    }
    thread::sleep(BEFORE);
    let fault = scene.record.seconds();
    if trouble {
        for host in &mut scene.hosts {
            host.kill(&scene.record);
        }
        thread::sleep(DOWN);
        for host in &mut scene.hosts {
            host.start(&scene.record);
        }
    } else {
        thread::sleep(DOWN);
    }
    let back = scene.record.seconds();
    if trouble && crowd.slow_hosts {
        threads.push(slow_in_turn(&scene));
    }
    if trouble && !crowd.always {
        thread::sleep(SETTLED);
        let until = Instant::now() + CROWD;
        start_crowd(crowd, &scene, &fronts, until, &mut threads);
        thread::sleep(until.saturating_duration_since(Instant::now()));
        scene.record.say("the consumers end");
    }
    for thread in threads {
        let _ = thread.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let share = |from: f64, until: f64| {
        let sent: Vec<_> = outcomes.iter().filter(|o| o.at >= from && o.at < until).collect();
        let served = sent.iter().filter(|o| o.served).count();
        (served as f64 / sent.len().max(1) as f64, sent.len())
    };
    for from in (0..104).step_by(4) {
        let (served, sent) = share(f64::from(from), f64::from(from + 4));
        scene.record.say(&format!("from {from} s: {sent} sent, {:.0}% served", served * 100.0));
    }
    for (index, server) in scene.group.servers.iter().enumerate() {
        scene.record.say(&format!("server {}: {} connections", server.id, scene.group.connections(index)));
    }
    for host in &mut scene.hosts {
        let (ready, ended, memory) = (host.is_ready(), host.ended(), host.memory());
        scene.record.say(&format!("host {}: ready {ready}, ended {ended:?}, memory and peak {memory:?} MB", host.plan.name));
    }
    let (before, _) = share(0.0, fault);
    let (after, sent) = share(back + RECOVERY_S, f64::MAX);
    scene.record.say(&format!(
        "served before {:.0}%, later than {RECOVERY_S} s after the machines are back {:.0}% of {sent}",
        before * 100.0,
        after * 100.0
    ));
    before < 0.25 || after >= 0.25
}

/// Makes one host slow after the other, each of them twice. Then no host is slow any more.
fn slow_in_turn(scene: &Scene) -> JoinHandle<()> {
    let hosts: Vec<_> = scene.hosts.iter().map(|host| (host.plan.name.clone(), host.process())).collect();
    let record = Arc::clone(&scene.record);
    thread::spawn(move || {
        thread::sleep(SLOW_AFTER);
        for (name, process) in hosts.iter().chain(&hosts) {
            record.say(&format!("host {name} is slow"));
            slow_down(*process, SLOW_TIME);
        }
        record.say("no host is slow any more");
    })
}

fn start_crowd(crowd: &Crowd, scene: &Scene, fronts: &[SocketAddr], until: Instant, threads: &mut Vec<JoinHandle<()>>) {
    scene.record.say(&format!("{} consumers of another kind begin", crowd.count));
    let consumer = crowd.consumer;
    for at in 0..crowd.count {
        let (fronts, record) = (fronts.to_vec(), Arc::clone(&scene.record));
        threads.push(thread::spawn(move || consumer(at, &fronts, until, &record)));
    }
}
