//! The store is away for a moment and comes back from a copy some seconds old. Then the operator takes a
//! key away.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
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

const SERVICES: [&str; 3] = ["cat-1", "cat-2", "cat-3"];

const SERVERS: [[&str; 3]; 3] = [
    ["i-11", "i-12", "i-13"],
    ["i-21", "i-22", "i-23"],
    ["i-31", "i-32", "i-33"],
];

/// The servers' `HeartbeatMs`.
const HEARTBEAT: u64 = 1_200;

/// The age of the copy, in milliseconds.
const AGE: u64 = 4_500;

/// How long the store is away, in milliseconds.
const AWAY: u64 = 700;

/// `ConfigApplyMs` and `OuterMs` of the site, and some seconds more.
const APPLY: Duration = Duration::from_secs(5 + 20 + 5);

pub fn play(record: &Record, scratch: &Folder, trouble: bool) -> Outcome {
    let ip = loopback(1);
    let groups: Vec<Arc<Group>> = SERVICES
        .iter()
        .zip(SERVERS)
        .map(|(service, ids)| {
            let specs = ids.map(|id| ServerSpec {
                id,
                zone: "puget-a",
                from_machines: Duration::from_micros(100),
                receives: &[],
            });
            let options = Options {
                service,
                specs: specs.to_vec(),
                slots: 4,
                connections: 56,
                sync: 0,
                promote_time: Duration::from_millis(300),
                term: 3,
            };
            Group::start(&ip, options, Box::new(|_| {}))
        })
        .collect();
    let store = Store::new(Box::new(|_| 200), Box::new(|_| {}));
    let address = store.listen(&ip);
    store.put("op", "config", &manifest(7, "\"k-1\",\"k-2\""));
    let over = Arc::new(AtomicBool::new(false));
    let waiting: Arc<Mutex<u64>> = Arc::default();
    // Each server writes at its own time.
    let mut beating = Vec::new();
    for (number, (group, at)) in groups
        .iter()
        .flat_map(|g| (0..3).map(move |at| (g, at)))
        .enumerate()
    {
        let (store, group, over) = (Arc::clone(&store), Arc::clone(group), Arc::clone(&over));
        let waiting = Arc::clone(&waiting);
        beating.push(thread::spawn(move || {
            pause(HEARTBEAT * number as u64 / 9);
            let mut sequence = 1;
            while !over.load(Ordering::Relaxed) {
                if !store.is_silent() {
                    store.put("servers", group.specs[at].id, &group.entry(at, sequence));
                }
                sequence += 1;
                let (beat, again) = (Instant::now(), *waiting.lock().unwrap());
                // What was lost is written again at once.
                while beat.elapsed() < Duration::from_millis(HEARTBEAT)
                    && again == *waiting.lock().unwrap()
                {
                    pause(5);
                }
            }
        }));
    }
    let mut hosts: Vec<Host> = (0..6)
        .map(|n| {
            let spec = HostSpec {
                name: &format!("front-{}", n + 1),
                ip: &loopback(10 + n),
                zone: "puget-a",
                region: "puget",
                store: address,
                memory_mb: 260,
                bootstrap: true,
                contracts: ",\"tenants\"",
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
    for host in &hosts {
        let served = read(record, host, "k-1", "before");
        if !served || !read(record, host, "k-2", "before") {
            return Outcome::NotRun(format!("{} does not serve", host.name));
        }
    }
    pause(5_000);
    let copy = store.copy();
    record.note(&format!(
        "store: a copy of version {} is made",
        copy.version
    ));
    pause(AGE - AWAY);
    if trouble {
        record.note(&format!(
            "store: away at version {}, nothing is answered",
            store.version()
        ));
        store.fall_silent();
        pause(AWAY);
        store.restore(copy);
        *waiting.lock().unwrap() += 1;
        record.note("store: back from the copy");
    }
    pause(200);
    store.put("op", "config", &manifest(8, "\"k-2\""));
    let acknowledged = Instant::now();
    record.note(&format!(
        "operator: manifest 8 without the key k-1 is acknowledged, at version {}",
        store.version()
    ));
    let mut seen = Vec::new();
    while acknowledged.elapsed() < APPLY {
        pause(5_000);
        seen = hosts
            .iter()
            .map(|host| read(record, host, "k-1", "after"))
            .collect();
        record.note(&format!(
            "{:.0} s after the acknowledgement, at version {}: machines that serve the key k-1: {seen:?}",
            acknowledged.elapsed().as_secs_f64(),
            store.version()
        ));
    }
    let last: Vec<bool> = hosts
        .iter()
        .map(|host| read(record, host, "k-1", "last"))
        .collect();
    over.store(true, Ordering::Relaxed);
    for beat in beating {
        let _ = beat.join();
    }
    let serving = seen.iter().zip(&last).filter(|(a, b)| **a && **b).count();
    let text = format!(
        "{serving} of 6 machines run reads for the withdrawn key {:.0} s after the acknowledgement",
        acknowledged.elapsed().as_secs_f64()
    );
    if serving > 0 {
        return Outcome::Broken(text);
    }
    Outcome::Held(text)
}

fn manifest(version: u64, keys: &str) -> String {
    let routes = SERVICES.map(|s| {
        format!("{{\"Name\":\"r-{s}\",\"Host\":\"db-{s}\",\"Prefix\":\"/\",\"RouteType\":\"bounded_staleness\",\"TimeoutMs\":1200,\"TargetLatencyMs\":600,\"Priority\":2,\"Service\":\"{s}\",\"MaxAttempts\":2,\"MaxStalenessMs\":1500}}")
    });
    let services = SERVICES.map(|s| {
        format!(
            "{{\"Name\":\"{s}\",\"HealthPath\":\"/health\",\"MaxConns\":56,\"SyncReplicas\":0}}"
        )
    });
    format!(
        "{{\"ConfigVersion\":{version},\"Routes\":[{}],\"Services\":[{}],\"Tenants\":[{{\"Name\":\"t-1\",\"ApiKeys\":[{keys}]}},{{\"Name\":\"t-2\",\"ApiKeys\":[\"k-3\"]}}],\"Limits\":{{\"TxIdleMs\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Reads with a key through a machine, in a new session. Returns whether a server ran the read.
fn read(record: &Record, host: &Host, key: &str, when: &str) -> bool {
    let id = format!("{key}-{when}-{}", host.name);
    let answer =
        Client::open(host.front, "db-cat-1", key).and_then(|mut c| c.query(&id, "READ 1a4"));
    record.note(&format!("consumer: {id} is answered {answer:?}"));
    succeeded(answer.as_ref())
}
