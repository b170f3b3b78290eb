//! A replica receives nothing for a while, and the primary crashes meanwhile, in a group whose commits
//! are acknowledged once one replica has them.

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

/// Consumers that write at the same time, half of them at each of two machines.
const WRITERS: usize = 16;

/// The servers' `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a silent server stays listed: three heartbeats.
const LISTED: Duration = Duration::from_millis(3_600);

/// How long a replica receives nothing, in milliseconds.
const DEAF: u64 = 6_000;

/// When the primary crashes meanwhile.
const CRASH: u64 = 700;

pub fn play(record: &Record, scratch: &Folder, trouble: bool) -> Outcome {
    let ip = loopback(1);
    let near = Duration::from_micros(500);
    let spec = |id, zone, receives| ServerSpec {
        id,
        zone,
        from_machines: near,
        receives,
    };
    let specs = vec![
        spec("i-1", "puget-a", &[("i-2", 500), ("i-3", 500)][..]),
        spec("i-2", "puget-b", &[("i-1", 500), ("i-3", 500)][..]),
        spec("i-3", "puget-a", &[("i-1", 500), ("i-2", 500)][..]),
    ];
    let watch = record.clone();
    let group = Group::start(
        &ip,
        Options {
            service: SERVICE,
            specs,
            slots: 2,
            connections: 16,
            sync: 1,
            promote_time: Duration::from_millis(600),
            term: 3,
        },
        Box::new(move |line| watch.note(line)),
    );
    let newest = Mutex::new(0);
    let (ordered, watch) = (Arc::clone(&group), record.clone());
    let promote = move |order: &crate::store::Order| {
        let mut newest = newest.lock().unwrap();
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
        "{{\"ConfigVersion\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"orders\",\"RouteType\":\"primary\",\"TimeoutMs\":800,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"{SERVICE}\"}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":16,\"SyncReplicas\":1}}],\"Limits\":{{\"TxIdleMs\":3000}}}}"
    );
    store.put("op", "config", &config);
    let over = Arc::new(AtomicBool::new(false));
    let beating: Vec<_> = (0..3)
        .map(|at| {
            let (store, group, over) = (Arc::clone(&store), Arc::clone(&group), Arc::clone(&over));
            let record = record.clone();
            thread::spawn(move || beat(&record, &store, &group, at, &over))
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
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| {
            let (front, record) = (hosts[number % 2].front, record.clone());
            let (over, acknowledged) = (Arc::clone(&over), Arc::clone(&acknowledged));
            thread::spawn(move || write(&record, front, number, &over, &acknowledged))
        })
        .collect();
    pause(1_500);
    if acknowledged.lock().unwrap().is_empty() {
        return Outcome::NotRun("no write is served".to_owned());
    }
    if trouble {
        record.note(&format!(
            "servers: i-3, a replica, receives nothing for {DEAF} ms"
        ));
        group.set_deaf(2, true);
        pause(CRASH);
        record.note("servers: i-1, the primary, crashes");
        group.crash(0);
        pause(DEAF - CRASH);
        group.set_deaf(2, false);
        group.revive(0);
        record.note("servers: i-3 receives again, and i-1 is back with its log");
    } else {
        pause(DEAF);
    }
    pause(5_000);
    over.store(true, Ordering::Relaxed);
    for thread in writers {
        let _ = thread.join();
    }
    for thread in beating {
        let _ = thread.join();
    }
    let now = group.leader();
    let log = group.log(group.index(now).unwrap_or_default());
    let acknowledged = acknowledged.lock().unwrap();
    let lost = acknowledged
        .iter()
        .filter(|id| !log.iter().any(|entry| entry.id == **id))
        .count();
    let text = format!(
        "{now} leads at the end; of {} acknowledged commits its log lacks {lost}",
        acknowledged.len()
    );
    if lost == 0 {
        return Outcome::Held(text);
    }
    Outcome::Broken(text)
}

/// Registers a server again and again. A change of its role is reported at once; a server that is down
/// says nothing, and its entry is removed.
fn beat(record: &Record, store: &Store, group: &Group, at: usize, over: &AtomicBool) {
    let id = group.specs[at].id;
    let (mut sequence, mut down, mut listed) = (1, None, true);
    while !over.load(Ordering::Relaxed) {
        if group.is_up(at) {
            (down, listed) = (None, true);
            store.put("servers", id, &group.entry(at, sequence));
        } else if down.get_or_insert_with(Instant::now).elapsed() > LISTED && listed {
            listed = false;
            store.remove("servers", id);
            record.note(&format!("store: the entry of {id} is removed"));
        }
        sequence += 1;
        let (last, led, up) = (Instant::now(), group.leads(at), group.is_up(at));
        while last.elapsed() < HEARTBEAT && group.leads(at) == led && group.is_up(at) == up {
            pause(5);
        }
    }
}

/// Writes one item after another until the end.
fn write(
    record: &Record,
    front: std::net::SocketAddr,
    number: usize,
    over: &AtomicBool,
    acknowledged: &Mutex<Vec<String>>,
) {
    let (mut turn, mut client) = (0, None);
    while !over.load(Ordering::Relaxed) {
        pause(20);
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
}
