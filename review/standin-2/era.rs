//! The store comes back from a copy some seconds old, between two planned replacements of a primary.

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
    store::{Order, Store},
};

const SERVICE: &str = "core-1";

const SERVERS: [&str; 3] = ["i-1", "i-2", "i-3"];

/// The servers' `HeartbeatMs`.
const HEARTBEAT: u64 = 1_200;

/// How often the drill is repeated if the same machine holds the duty both times.
const ROUNDS: usize = 5;

/// `DrainMs`, and a little longer.
const DRAIN: u64 = 7_500;

pub fn play(record: &Record, scratch: &Folder, trouble: bool) -> Outcome {
    let ip = loopback(1);
    let specs = SERVERS.map(|id| ServerSpec {
        id,
        zone: "puget-a",
        from_machines: Duration::from_micros(100),
        receives: &[],
    });
    let watch = record.clone();
    let group = Group::start(
        &ip,
        Options {
            service: SERVICE,
            specs: specs.to_vec(),
            slots: 2,
            connections: 32,
            sync: 0,
            promote_time: Duration::from_millis(300),
            term: 3,
        },
        Box::new(move |line| watch.note(line)),
    );
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let (ordered, watch, seen) = (Arc::clone(&group), record.clone(), Arc::clone(&orders));
    let promote = move |order: &Order| {
        let mut seen = seen.lock().unwrap();
        let newest = seen.iter().map(|o| o.token).max().unwrap_or_default();
        let status = if order.token < newest {
            409
        } else {
            ordered.promote(&order.server)
        };
        if status == 200 {
            seen.push(order.clone());
        }
        watch.note(&format!("platform: {order:?} is answered with {status}"));
        status
    };
    let watch = record.clone();
    let store = Store::new(Box::new(promote), Box::new(move |line| watch.note(line)));
    let address = store.listen(&ip);
    let config = format!(
        "{{\"ConfigVersion\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"orders\",\"Prefix\":\"/\",\"RouteType\":\"primary\",\"TimeoutMs\":800,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":32,\"SyncReplicas\":0}}],\"Limits\":{{\"TxIdleMs\":3000}}}}"
    );
    store.put("op", "config", &config);
    let over = Arc::new(AtomicBool::new(false));
    // Each server writes at its own time.
    let beating: Vec<_> = (0..SERVERS.len())
        .map(|at| {
            let (store, group, over) = (Arc::clone(&store), Arc::clone(&group), Arc::clone(&over));
            thread::spawn(move || {
                pause(HEARTBEAT * at as u64 / SERVERS.len() as u64);
                let mut sequence = 1;
                while !over.load(Ordering::Relaxed) {
                    if !store.is_down() {
                        store.put("servers", SERVERS[at], &group.entry(at, sequence));
                    }
                    sequence += 1;
                    let (beat, led) = (Instant::now(), group.leads(at));
                    while beat.elapsed() < Duration::from_millis(HEARTBEAT)
                        && group.leads(at) == led
                    {
                        pause(5);
                    }
                }
            })
        })
        .collect();
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
    let mut client = Client::open(hosts[0].front, "orders", "u1");
    let served = client
        .as_mut()
        .is_some_and(|c| succeeded(c.query("q1", "WRITE a b").as_ref()));
    if !served {
        return Outcome::NotRun("no write is served".to_owned());
    }
    let mut rounds = 0;
    while rounds < ROUNDS {
        rounds += 1;
        let copy = store.copy();
        record.note(&format!(
            "store: a copy of version {} is made",
            copy.version
        ));
        pause(4_000);
        if !release(record, &store, &group, &orders) {
            return Outcome::NotRun("the first primary was not replaced".to_owned());
        }
        let first = orders.lock().unwrap().last().cloned();
        let Some(first) = first else {
            return Outcome::NotRun("no order".to_owned());
        };
        pause(1_000);
        if trouble {
            record.note("store: away");
            store.set_down(true);
            pause(700);
            store.restore(copy);
            for at in 0..SERVERS.len() {
                store.put("servers", SERVERS[at], &group.entry(at, 1_000));
            }
            record.note(&format!(
                "store: back from the copy, at version {}",
                store.version()
            ));
            // The primary is replaced as the counter comes to where it was, between two heartbeats.
            let end = Instant::now() + Duration::from_secs(8);
            let (mut version, mut since) = (store.version(), Instant::now());
            while Instant::now() < end && store.version() + 2 <= first.token {
                if store.version() != version {
                    (version, since) = (store.version(), Instant::now());
                }
                if version + 2 == first.token && since.elapsed() >= Duration::from_millis(330) {
                    break;
                }
                pause(1);
            }
        } else {
            pause(5_000);
        }
        if !release(record, &store, &group, &orders) {
            record.note("the second primary was not replaced in time");
        }
        let found = clash(&orders.lock().unwrap());
        if found.is_some() || !trouble {
            break;
        }
        // The servers that were replaced start anew.
        pause(DRAIN);
        for at in (0..SERVERS.len()).filter(|at| !group.leads(*at)) {
            group.start_anew(at);
        }
        pause(1_500);
    }
    over.store(true, Ordering::Relaxed);
    for beat in beating {
        let _ = beat.join();
    }
    let orders = orders.lock().unwrap();
    match clash(&orders) {
        Some((a, b)) => Outcome::Broken(format!(
            "{} promoted {} and {} promoted {}, both with generation number {}",
            a.holder, a.server, b.holder, b.server, a.token
        )),
        None => Outcome::Held(format!("{} orders in {rounds} rounds", orders.len())),
    }
}

/// Two accepted orders of different holders with the same number.
fn clash(orders: &[Order]) -> Option<(Order, Order)> {
    let pairs = orders.iter().enumerate();
    let mut pairs = pairs.flat_map(|(at, a)| orders[at + 1..].iter().map(move |b| (a, b)));
    let found =
        pairs.find(|(a, b)| a.token == b.token && a.holder != b.holder && a.service == b.service);
    found.map(|(a, b)| (a.clone(), b.clone()))
}

/// Has the primary report that it is draining, and waits until another one is ordered.
fn release(record: &Record, store: &Store, group: &Group, orders: &Mutex<Vec<Order>>) -> bool {
    let leader = group.leader();
    let Some(at) = group.index(leader) else {
        return false;
    };
    let before = orders.lock().unwrap().len();
    group.set_draining(at);
    store.put("servers", leader, &group.entry(at, 2_000));
    record.note(&format!(
        "servers: {leader} reports draining, at version {}",
        store.version()
    ));
    let end = Instant::now() + Duration::from_secs(12);
    while Instant::now() < end {
        pause(5);
        if orders.lock().unwrap().len() > before {
            return true;
        }
    }
    false
}
