//! Clients that prepare large statements, run them once and leave. Each message is of legal size, each
//! session holds one statement at most, and all answers are read.
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

/// Clients at each of two machines, one after another without end.
const CLIENTS: usize = 8;

/// Different names of prepared statements.
const NAMES: usize = 32;

/// How often a process must have ended on two machines.
const ENDS: usize = 3;

/// How long the clients go on.
const PLAY: Duration = Duration::from_secs(90);

const SERVICES: [&str; 3] = ["core-1", "core-2", "core-3"];

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
    let services = SERVICES.map(|s| {
        format!(
            "{{\"Name\":\"{s}\",\"HealthPath\":\"/health\",\"MaxConns\":16,\"SyncReplicas\":0}}"
        )
    });
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
    let mut hosts: Vec<Host> = (0..6)
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
    for host in &mut hosts {
        if !host.wait_ready(Duration::from_secs(20)) || host.ended().is_some() {
            return Outcome::NotRun(format!("{} does not become ready", host.name));
        }
    }
    record.note("six processes are ready");
    let size = if trouble { LARGE } else { 16 };
    let served = Arc::new(AtomicU64::new(0));
    let refused = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for at in 0..2 {
        for number in 0..CLIENTS {
            let front = hosts[at].front;
            let (served, refused, over) =
                (Arc::clone(&served), Arc::clone(&refused), Arc::clone(&over));
            clients.push(thread::spawn(move || {
                let mut turn = 0;
                while !over.load(Ordering::Relaxed) {
                    turn += 1;
                    let count = if visit(front, number, turn, size) {
                        &served
                    } else {
                        &refused
                    };
                    if count.fetch_add(1, Ordering::Relaxed) > 0 && !trouble {
                        pause(5);
                    }
                }
            }));
        }
    }
    let end = Instant::now() + PLAY;
    let mut ends = [0_usize; 2];
    let mut peak = 0;
    let mut noted = Instant::now();
    while Instant::now() < end && ends.iter().any(|n| *n < ENDS) {
        pause(20);
        for at in 0..2 {
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
            let held: Vec<_> = hosts[..2].iter().map(|h| h.memory_kb("VmRSS:")).collect();
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
        "the processes on two of six machines ended {ends:?} times, at most {peak} bytes were held of {} allowed, after {} sessions with one statement of {size} bytes each",
        MEMORY_MB * 1_000_000,
        served.load(Ordering::Relaxed)
    );
    if ends.iter().all(|n| *n >= ENDS) {
        return Outcome::Broken(seen);
    }
    Outcome::Held(seen)
}

/// One session: prepares a statement, runs it, discards it and leaves. Returns whether all was served.
fn visit(front: std::net::SocketAddr, number: usize, turn: usize, size: usize) -> bool {
    let service = SERVICES[(number + turn) % 3];
    let Some(mut client) = Client::open(front, &format!("db-{service}"), "u1") else {
        pause(50);
        return false;
    };
    let name = format!("p{}", (number * 4 + turn / 3) % NAMES);
    let shape = format!("q{number}x{turn}y{}", "z".repeat(size));
    let id = format!("c{number}t{turn}");
    let steps = [
        format!("PREPARE {name} READ {shape}"),
        format!("EXECUTE {name} 1a4"),
        format!("DEALLOC {name}"),
    ];
    steps
        .iter()
        .enumerate()
        .all(|(at, step)| succeeded(client.query(&format!("{id}s{at}"), step).as_ref()))
}
