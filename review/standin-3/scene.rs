//! What all drills need: a temporary folder, a store with a manifest, one service, and hosts.

use std::{
    env, fs,
    net::{Ipv4Addr, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    group::{Group, Rules},
    host::{Host, Plan},
    random,
    record::Record,
    store::Store,
};

/// The interval at which a server writes its row.
const PING_INTERVAL: Duration = Duration::from_millis(1_200);

pub const ZONES: [&str; 3] = ["puget-a", "willamette-a", "inland-a"];

pub struct Scene {
    pub record: Arc<Record>,
    pub group: Arc<Group>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

/// What differs between drills.
pub struct Layout {
    pub hosts: usize,
    pub rules: Rules,
    pub memory_mb: u64,
    /// Whether all hosts are in one region.
    pub one_region: bool,
}

impl Scene {
    pub fn set(folder: &Path, layout: Layout) -> Scene {
        let record = Arc::new(Record::create(&folder.join("record.txt").display().to_string()));
        let temporary = env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&temporary).unwrap_or_else(|e| crate::give_up(&format!("{}: {e}", temporary.display())));
        let manifest = manifest(&layout.rules);
        let group = Group::start("hearth", layout.rules, Arc::clone(&record));
        let (store, address) = Store::start(vec![Arc::clone(&group)], Arc::clone(&record));
        store.put("op", "config", &manifest);
        for index in 0..group.servers.len() {
            let (group, store) = (Arc::clone(&group), Arc::clone(&store));
            thread::spawn(move || report(&group, index, &store));
        }
        let one_region = layout.one_region;
        let zone = move |index: usize| ZONES[if one_region { 0 } else { index % ZONES.len() }];
        let hosts = (0..layout.hosts).map(|index| {
            let plan = Plan {
                name: format!("front-{}", index + 1),
                ip: free_ip(),
                zone: zone(index).into(),
                region: zone(index).trim_end_matches("-a").into(),
                memory_mb: layout.memory_mb,
                store: address,
                contracts: "\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"platform\"",
            };
            Host::new(plan, &temporary)
        });
        let hosts = hosts.collect();
        Scene { record, group, hosts, folder: temporary }
    }

    /// Starts all hosts and waits until they are ready.
    pub fn start_hosts(&mut self) {
        for host in &mut self.hosts {
            host.start(&self.record);
        }
        if !self.hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(20))) {
            crate::give_up("a host did not become ready");
        }
        self.record.say("all hosts are ready");
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.hosts.clear();
        match env::var("KEEP_LOGS") {
            Ok(_) => println!("the hosts' logs are in {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Writes a server's row at each ping interval, and at once when its role changes. The store removes it after
/// three intervals of silence.
fn report(group: &Group, index: usize, store: &Store) {
    let (mut sequence, mut role, mut last) = (0, String::new(), Instant::now() - PING_INTERVAL);
    loop {
        let now = group.role(index);
        let reaches = group.servers[index].reaches_store.load(Ordering::Relaxed) && !group.is_down(index);
        if reaches && (now != role || last.elapsed() >= PING_INTERVAL) {
            sequence += 1;
            (role, last) = (now.to_owned(), Instant::now());
            store.put("servers", &group.servers[index].id, &group.beat(index, ZONES[index], sequence));
        }
        if last.elapsed() >= PING_INTERVAL * 3 {
            store.remove("servers", &group.servers[index].id);
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// A loopback address whose metrics port is free.
fn free_ip() -> Ipv4Addr {
    const METRICS_PORT: u16 = 9464;
    loop {
        let part = |least| least + random::below(200) as u8;
        let ip = Ipv4Addr::new(127, part(10), part(1), part(2));
        if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
            return ip;
        }
    }
}

/// The manifest: one route of each kind, named after its kind.
fn manifest(rules: &Rules) -> String {
    let Rules { cap, sync_replicas, .. } = rules;
    let route = |host: &str, kind: &str, timeout: u32, staleness: u32| {
        format!(
            "{{\"Name\":\"r-{host}\",\"Host\":\"{host}\",\"Prefix\":\"/\",\"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout},\
             \"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"hearth\",\"MaxAttempts\":2,\"MaxStalenessMs\":{staleness}}}"
        )
    };
    format!(
        "{{\"ConfigVersion\":7,\"Routes\":[{},{},{}],\"Services\":[{{\"Name\":\"hearth\",\"HealthPath\":\"/health\",\
         \"MaxConns\":{cap},\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":{sync_replicas}}}],\"Limits\":{{\"TxIdleMs\":3000}}}}",
        route("orders", "primary", 800, 0),
        route("reads", "bounded_staleness", 1200, 1500),
        route("parts", "read_your_writes", 800, 2500)
    )
}
