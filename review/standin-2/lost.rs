//! A primary is to be replaced in a group whose commits are acknowledged once one replica has them.
//!
//! The planned work: the primary reports `draining`. Consumers write through one machine; the others have
//! no consumers of this database.

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

const SERVICE: &str = "core-1";

/// Consumers that write at the same time.
const WRITERS: usize = 6;

pub fn play(record: &Record, scratch: &Folder, trouble: bool) -> Outcome {
    let ip = loopback(1);
    let far = Duration::from_millis(12);
    // One replica is in the zone next to the primary, the other one in another area, as the machines are.
    let specs = vec![
        ServerSpec {
            id: "i-1",
            zone: "puget-a",
            from_machines: far,
            receives: &[("i-2", 12_000), ("i-3", 500)],
        },
        ServerSpec {
            id: "i-3",
            zone: "puget-b",
            from_machines: far,
            receives: &[("i-1", 500), ("i-2", 12_000)],
        },
        ServerSpec {
            id: "i-2",
            zone: "inland-a",
            from_machines: Duration::from_micros(100),
            receives: &[("i-1", 12_000), ("i-3", 12_000)],
        },
    ];
    let watch = record.clone();
    let group = Group::start(
        &ip,
        Options {
            service: SERVICE,
            specs,
            slots: 2,
            connections: 32,
            sync: 1,
            promote_time: Duration::from_millis(600),
            term: 3,
        },
        Box::new(move |line| watch.note(line)),
    );
    let newest = Arc::new(Mutex::new(0));
    let tokens = Arc::clone(&newest);
    let (ordered, watch) = (Arc::clone(&group), record.clone());
    let promote = move |order: &crate::store::Order| {
        let mut newest = tokens.lock().unwrap();
        let status = if order.token < *newest {
            409
        } else {
            *newest = order.token;
            ordered.promote(&order.server)
        };
        watch.note(&format!("platform: {order:?} is answered with {status}"));
        status
    };
    let watch = record.clone();
    let store = Store::new(Box::new(promote), Box::new(move |line| watch.note(line)));
    let address = store.listen(&ip);
    let config = format!(
        "{{\"ConfigVersion\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"orders\",\"Prefix\":\"/\",\"RouteType\":\"primary\",\"TimeoutMs\":800,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":32,\"SyncReplicas\":1}}],\"Limits\":{{\"TxIdleMs\":3000}}}}"
    );
    store.put("op", "config", &config);
    let over = Arc::new(AtomicBool::new(false));
    register(&store, &group, 1);
    let beating = {
        let (store, group, over) = (Arc::clone(&store), Arc::clone(&group), Arc::clone(&over));
        thread::spawn(move || {
            let (mut sequence, mut last) = (2, group.leader());
            let mut beat = Instant::now();
            while !over.load(Ordering::Relaxed) {
                pause(5);
                // A change of the role is reported immediately.
                if beat.elapsed() >= Duration::from_millis(1_200) || group.leader() != last {
                    (beat, last) = (Instant::now(), group.leader());
                    register(&store, &group, sequence);
                    sequence += 1;
                }
            }
        })
    };
    let mut hosts: Vec<Host> = (0..6)
        .map(|n| {
            let spec = HostSpec {
                name: &format!("front-{}", n + 1),
                ip: &loopback(10 + n),
                zone: "inland-a",
                region: "inland",
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
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    // Consumers write now and then, and many at once for a second.
    let busy = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| {
            let (front, record) = (hosts[0].front, record.clone());
            let (over, busy) = (Arc::clone(&over), Arc::clone(&busy));
            let acknowledged = Arc::clone(&acknowledged);
            thread::spawn(move || {
                let mut turn = 0;
                let mut client = None;
                while !over.load(Ordering::Relaxed) {
                    if !busy.load(Ordering::Relaxed) {
                        pause(if turn == 0 { 10 } else { 5 });
                        if turn > 0 {
                            continue;
                        }
                    }
                    if client.is_none() {
                        client = Client::open(front, "orders", "u1");
                    }
                    let Some(open) = &mut client else {
                        pause(50);
                        continue;
                    };
                    turn += 1;
                    let id = format!("w{number}n{turn}");
                    let answer = open.query(&id, &format!("WRITE item{number} v{turn}"));
                    record.note(&format!("consumer: {id} is answered {answer:?}"));
                    if succeeded(answer.as_ref()) {
                        acknowledged.lock().unwrap().push(id);
                    }
                    if answer.is_none() {
                        client = None;
                    }
                }
            })
        })
        .collect();
    pause(2_000);
    if acknowledged.lock().unwrap().is_empty() {
        return Outcome::NotRun("no write is served".to_owned());
    }
    if trouble {
        record.note("servers: i-1 reports draining");
        group.set_draining(0);
        register(&store, &group, 1_000);
    }
    // They become busy while the replacement is under way.
    let end = Instant::now() + Duration::from_millis(if trouble { 3_000 } else { 350 });
    while Instant::now() < end && *newest.lock().unwrap() == 0 {
        pause(5);
    }
    record.note("consumers: many writes");
    busy.store(true, Ordering::Relaxed);
    pause(3_000);
    busy.store(false, Ordering::Relaxed);
    pause(2_500);
    over.store(true, Ordering::Relaxed);
    for writer in writers {
        let _ = writer.join();
    }
    let _ = beating.join();
    let leader = group.leader();
    let log = group.log(group.index(leader).unwrap_or_default());
    let acknowledged = acknowledged.lock().unwrap();
    let lost: Vec<&String> = acknowledged
        .iter()
        .filter(|id| !log.iter().any(|entry| entry.id == **id))
        .collect();
    let seen = format!(
        "{leader} leads at the end; of {} acknowledged commits its log lacks {}: {lost:?}",
        acknowledged.len(),
        lost.len()
    );
    if lost.is_empty() {
        return Outcome::Held(seen);
    }
    Outcome::Broken(seen)
}

fn register(store: &Store, group: &Group, sequence: u64) {
    for at in 0..group.specs.len() {
        store.put("servers", group.specs[at].id, &group.entry(at, sequence));
    }
}
