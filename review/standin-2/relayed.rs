//! Clients with a few large session values at hosts that send their statements to an owner. Each message is
//! of legal size, and all answers are read.
//!
//! The stand-in of the platform does what the pages say: it kills a process that exceeds `MemoryMb`, and
//! starts it again. The rule is broken if on two machines the process ends three times.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Folder, Outcome, Record,
    group::{Group, Options, ServerSpec},
    host::{Client, Host, HostSpec, succeeded},
    loopback, pause,
    store::Store,
};

/// `MemoryMb` in the settings, as at the site.
const MEMORY_MB: u64 = 260;

/// Bytes of a large prepared statement. A message has at most 1 MiB.
const LARGE: usize = 1_000_000;

/// Clients at each machine.
const CLIENTS: usize = 5;

/// Values of each session.
const VALUES: usize = 3;

/// Machines. The servers accept too few connections for each of them to hold its own.
const MACHINES: u8 = 12;

/// How often a process must have ended on two machines.
const ENDS: usize = 3;

/// How long the clients go on.
const PLAY: Duration = Duration::from_secs(90);

const SERVICES: [&str; 1] = ["core-1"];

pub fn play(record: &Record, scratch: &Folder, trouble: bool) -> Outcome {
    let ip = loopback(1);
    let groups: Vec<Arc<Group>> = SERVICES
        .iter()
        .map(|service| {
            let near = Duration::from_micros(100);
            let ids: [&'static str; 3] = match *service {
                "core-1" => ["i-11", "i-12", "i-13"],
                "core-2" => ["i-21", "i-22", "i-23"],
                _ => ["i-31", "i-32", "i-33"],
            };
            let specs = ids.map(|id| ServerSpec {
                id,
                zone: "puget-a",
                from_machines: near,
                receives: &[],
            });
            let options = Options {
                service,
                specs: specs.to_vec(),
                slots: 2,
                connections: 16,
                sync: 0,
                promote_time: Duration::from_millis(600),
                term: 3,
            };
            Group::start(&ip, options, Box::new(|_| {}))
        })
        .collect();
    let store = Store::new(Box::new(|_| 200), Box::new(|_| {}));
    let address = store.listen(&ip);
    let routes: Vec<String> = SERVICES
        .iter()
        .map(|s| {
            format!("{{\"Name\":\"r-{s}\",\"Host\":\"db-{s}\",\"Prefix\":\"/\",\"RouteType\":\"bounded_staleness\",\"TimeoutMs\":1200,\"TargetLatencyMs\":600,\"Priority\":2,\"Service\":\"{s}\",\"MaxAttempts\":2,\"MaxStalenessMs\":1500}}")
        })
        .collect();
    let services = SERVICES
        .map(|s| format!("{{\"Name\":\"{s}\",\"HealthPath\":\"/health\",\"MaxConns\":16,\"SyncReplicas\":0}}"));
    store.put(
        "op",
        "config",
        &format!(
            "{{\"ConfigVersion\":7,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"TxIdleMs\":3000}}}}",
            routes.join(","),
            services.join(",")
        ),
    );
    let over = Arc::new(AtomicBool::new(false));
    let beating = {
        let (store, groups, over) = (Arc::clone(&store), groups.clone(), Arc::clone(&over));
        thread::spawn(move || {
            let mut sequence = 1;
            while !over.load(Ordering::Relaxed) {
                for group in &groups {
                    for at in 0..3 {
                        store.put("servers", group.specs[at].id, &group.entry(at, sequence));
                    }
                }
                sequence += 1;
                pause(1_200);
            }
        })
    };
    let mut hosts: Vec<Host> = (0..MACHINES)
        .map(|n| {
            let spec = HostSpec {
                name: &format!("front-{}", n + 1),
                ip: &loopback(10 + n),
                zone: "puget-a",
                region: "puget",
                store: address,
                memory_mb: MEMORY_MB,
                bootstrap: true,
                contracts: "",
            };
            Host::start(&spec, &scratch.0)
        })
        .collect();
    for host in &hosts {
        if !host.wait_ready(Duration::from_secs(20)) {
            return Outcome::NotRun(format!("{} does not become ready", host.name));
        }
    }
    record.note("all processes are ready");
    let size = if trouble { LARGE } else { 16 };
    let served = Arc::new(AtomicU64::new(0));
    let refused = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for at in 0..usize::from(MACHINES) {
        for number in 0..CLIENTS {
            let front = hosts[at].front;
            let (served, refused, over) =
                (Arc::clone(&served), Arc::clone(&refused), Arc::clone(&over));
            clients.push(thread::spawn(move || {
                let mut turn = 0;
                while !over.load(Ordering::Relaxed) {
                    turn += 1;
                    let done = visit(front, number, turn, size, &over, &served);
                    if !done {
                        refused.fetch_add(1, Ordering::Relaxed);
                        pause(100);
                    }
                }
            }));
        }
    }
    let end = Instant::now() + PLAY;
    let mut ends = [0_usize; MACHINES as usize];
    let mut peak = 0;
    let mut noted = Instant::now();
    while Instant::now() < end && ends.iter().filter(|n| **n >= ENDS).count() < 2 {
        pause(20);
        for at in 0..usize::from(MACHINES) {
            let host = &mut hosts[at];
            if let Some(status) = host.ended() {
                record.note(&format!("{} has ended by itself: {status}", host.name));
                ends[at] += 1;
                host.restart();
                continue;
            }
            let held = host.memory_kb("VmRSS:").unwrap_or_default() * 1024;
            peak = peak.max(held);
            if held > MEMORY_MB * 1_000_000 {
                ends[at] += 1;
                record.note(&format!(
                    "{} holds {held} bytes, over {MEMORY_MB} MB, and is killed by the platform, the {}. time",
                    host.name, ends[at]
                ));
                host.restart();
            }
        }
        if noted.elapsed() >= Duration::from_secs(1) {
            noted = Instant::now();
            let held: Vec<_> = hosts.iter().map(|h| h.memory_kb("VmRSS:")).collect();
            record.note(&format!(
                "{} sessions served, {} not; resident kilobytes: {held:?}",
                served.load(Ordering::Relaxed),
                refused.load(Ordering::Relaxed)
            ));
        }
    }
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = beating.join();
    let seen = format!(
        "the processes of the machines ended {ends:?} times, at most {peak} bytes were held of {} allowed; {} statements of sessions with {VALUES} values of {size} bytes were served",
        MEMORY_MB * 1_000_000,
        served.load(Ordering::Relaxed)
    );
    if ends.iter().filter(|n| **n >= ENDS).count() >= 2 {
        return Outcome::Broken(seen);
    }
    Outcome::Held(seen)
}

/// One session: sets its values, and reads until it fails. Returns whether it was not refused.
fn visit(
    front: std::net::SocketAddr,
    number: usize,
    turn: usize,
    size: usize,
    over: &AtomicBool,
    served: &AtomicU64,
) -> bool {
    let Some(mut client) = Client::open(front, "db-core-1", "u1") else {
        return false;
    };
    for value in 0..VALUES {
        let text = format!("SET v{value} n{number}t{turn}{}", "z".repeat(size));
        if !succeeded(client.query(&format!("c{number}t{turn}v{value}"), &text).as_ref()) {
            return false;
        }
    }
    let mut read = 0;
    while !over.load(Ordering::Relaxed) {
        read += 1;
        if !succeeded(client.query(&format!("c{number}t{turn}r{read}"), "READ 1a4").as_ref()) {
            return false;
        }
        served.fetch_add(1, Ordering::Relaxed);
    }
    true
}
