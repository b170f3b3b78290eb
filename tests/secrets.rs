//! Searches for the keys of clients in all that hosts say: their logs, their metrics, the rows that they
//! write into the store and the bytes that they send each other.

mod common;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::mpsc::{self, Receiver, Sender},
    thread,
    time::{Duration, Instant},
};

use common::{
    line_client::{LineClient, as_text},
    platform::{HostOptions, HostProcess, Output, Site, Standins, host_name, host_row},
};
use rustix::process::{Pid, Signal, kill_process};

/// The keys of clients, and texts that stand where keys stand.
const SECRETS: [&str; 9] = [
    "secret1north7f3a9c2e51",
    "secret2north0b6d4418fe",
    "secret3south9e2c77aa03",
    "secret4stranger55d1e0b",
    "secret5added31c9f20ab7",
    "secret6 with blanks 4d",
    "secret7loose8812ba7740",
    "secret8misspelt20cc91e",
    "secret9nested6f00d1234",
];

/// The hosts. The first one relays its statements, and follows the tables of the two others.
const HOSTS: [(&str, f64); 3] = [
    ("127.0.9.1", 0.0001),
    ("127.0.9.2", 1000.0),
    ("127.0.9.3", 1000.0),
];

/// Hosts that are only listed, so that the fleet is large enough for hosts to pass tables on.
const LISTED: usize = 24;

/// How long the hosts may take until they do what is asked for.
const LIMIT: Duration = Duration::from_secs(20);

fn configuration(version: u32, north: &str, south: &str) -> String {
    format!(
        r#"{{"ConfigVersion":{version},"Routes":[
{{"Name":"r1","Host":"latest","RouteType":"primary","TimeoutMs":800,"Service":"svc","Priority":1}},
{{"Name":"r2","Host":"open","RouteType":"primary","TimeoutMs":800,"Service":"svc","Public":true}}],
"Services":[{{"Name":"svc","MaxConns":16,"SyncReplicas":0}}],"Limits":{{"TxIdleMs":3000}},
"Tenants":[{{"Name":"north","ApiKeys":[{north}],"RatePerS":-4}},
{{"Name":"south","ApiKeys":[{south}],"RatePerS":"fast"}},
{{"Name":"bad","ApiKeys":["{blanks}",["{nested}"]],"Burst":{{"x":"{nested}"}}}},
{{"Name":"text","ApiKeys":"{loose}","ApiKey":"{misspelt}"}},
"{loose}",["{nested}"],{{"ApiKeys":["{nested}"]}}],
"Tenant":["{misspelt}"]}}"#,
        blanks = SECRETS[5],
        loose = SECRETS[6],
        misspelt = SECRETS[7],
        nested = SECRETS[8],
    )
}

fn quoted(keys: &[&str]) -> String {
    let quoted = keys.iter().map(|key| format!("\"{key}\""));
    quoted.collect::<Vec<_>>().join(",")
}

/// Forwards connections to a host, and reports all bytes that pass.
fn forward(listen: &str, target: &str, passed: &Sender<Vec<u8>>) {
    let listener = TcpListener::bind((listen, 7440)).unwrap();
    let target: SocketAddr = format!("{target}:7440").parse().unwrap();
    let passed = passed.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                let passed = passed.clone();
                thread::spawn(move || copy(from, to, &passed));
            }
        }
    });
}

fn copy(mut from: TcpStream, mut to: TcpStream, passed: &Sender<Vec<u8>>) {
    let mut chunk = [0; 8_192];
    while let Ok(read) = from.read(&mut chunk)
        && read > 0
    {
        // The test may have ended.
        let _ = passed.send(chunk[..read].to_vec());
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    // The other side may be closed already.
    let _ = to.shutdown(Shutdown::Write);
}

struct Fleet {
    hosts: Vec<HostProcess>,
    logs: Vec<PathBuf>,
    standins: Standins,
    passed: Receiver<Vec<u8>>,
    _folder: tempfile::TempDir,
}

/// Starts the stand-ins, a forwarder in front of each host, and the hosts.
fn start(configuration: &str) -> Fleet {
    let site = Site {
        ip: "127.0.9.10",
        configuration,
        slots: 2,
        hosts: &HOSTS,
    };
    let standins = Standins::start(&site);
    let (sender, passed) = mpsc::channel();
    let forwarders = ["127.0.9.11", "127.0.9.12", "127.0.9.13"];
    for (listen, (target, _)) in forwarders.into_iter().zip(HOSTS) {
        forward(listen, target, &sender);
    }
    standins.ask(move |world| {
        for store in &world.stores {
            for number in 0..LISTED {
                let real = HOSTS.get(number).zip(forwarders.get(number));
                let row = match real {
                    Some(((_, capacity), address)) => host_row(address, *capacity),
                    None => host_row("127.0.9.200", 0.000_000_1),
                };
                store.put("hosts", &host_name(number), row.as_bytes());
            }
        }
    });
    let folder = tempfile::tempdir().unwrap();
    let logs: Vec<PathBuf> = (0..HOSTS.len())
        .map(|number| folder.path().join(format!("{number}.log")))
        .collect();
    let contracts = r#"Contracts = ["base","tenants","quota"]"#;
    let hosts = logs.iter().enumerate().map(|(number, log)| {
        let store = standins.stores[number];
        let options = HostOptions {
            first: contracts,
            output: Output::AllTo(log),
            ..HostOptions::default()
        };
        HostProcess::start_with(&site, number, store, 3, options)
    });
    Fleet {
        hosts: hosts.collect(),
        logs,
        standins,
        passed,
        _folder: folder,
    }
}

impl Fleet {
    /// Opens a session on the first host, once that admits it.
    fn open(&self, startup: &str) -> LineClient {
        let end = Instant::now() + LIMIT;
        loop {
            if let Some(client) = LineClient::open(self.hosts[0].frontend, startup) {
                return client;
            }
            assert!(Instant::now() < end, "the host does not admit the client");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a client's first message to the first host. Returns the first line of the answer.
    fn refusal(&self, startup: &str) -> String {
        let mut socket = TcpStream::connect(self.hosts[0].frontend).unwrap();
        socket
            .write_all(format!("{startup}\r\n").as_bytes())
            .unwrap();
        let mut answer = String::new();
        // The host closes the connection, possibly with unread input.
        let _ = socket.read_to_string(&mut answer);
        answer.split(' ').take(2).collect::<Vec<_>>().join(" ")
    }

    /// Puts a configuration in force at the two hosts that read the store.
    fn configure(&self, configuration: &str) {
        let configuration = configuration.to_owned();
        self.standins.ask(move |world| {
            for store in &world.stores[1..] {
                store.put("op", "config", configuration.as_bytes());
            }
        });
    }

    /// Runs statements until one is answered with a code.
    fn run_until(client: &mut LineClient, text: &str, code: &str) {
        let end = Instant::now() + LIMIT;
        for round in 0.. {
            client.send(&format!("QUERY u{round} {text}")).unwrap();
            let answer = as_text(&client.answer().unwrap());
            if answer.contains(code) {
                return;
            }
            assert!(Instant::now() < end, "{text}: {answer}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn metrics(number: usize) -> Vec<u8> {
        let mut socket = TcpStream::connect((HOSTS[number].0, 9464)).unwrap();
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        socket.write_all(request.as_bytes()).unwrap();
        let mut page = Vec::new();
        socket.read_to_end(&mut page).unwrap();
        page
    }

    /// Stops the hosts. Returns all that they said, each with where it was found.
    fn collect(mut self) -> Vec<(String, Vec<u8>)> {
        let mut said = Vec::new();
        for number in 0..HOSTS.len() {
            let name = host_name(number);
            said.push((format!("the metrics of {name}"), Self::metrics(number)));
        }
        for host in &mut self.hosts {
            kill_process(Pid::from_child(&host.child), Signal::TERM).unwrap();
        }
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.child.wait().unwrap();
            let log = std::fs::read(&self.logs[number]).unwrap();
            said.push((format!("the log of {}", host_name(number)), log));
        }
        let rows = self.standins.ask(|world| {
            let rows = world.stores.iter().flat_map(goldcrest_standin::Store::rows);
            rows.collect::<Vec<_>>()
        });
        // Operators and endpoints write these tables.
        let rows = rows
            .into_iter()
            .filter(|(table, ..)| !["op", "servers"].contains(&table.as_str()));
        said.extend(rows.map(|(table, key, value)| (format!("row {table}/{key}"), value)));
        let passed: Vec<u8> = self.passed.try_iter().flatten().collect();
        said.push(("the messages between hosts".to_owned(), passed));
        said
    }
}

fn contains(text: &[u8], wanted: &str) -> bool {
    text.windows(wanted.len()).any(|w| w == wanted.as_bytes())
}

#[test]
fn the_keys_of_clients_are_found_nowhere() {
    let [north, spare, south, stranger, added, ..] = SECRETS;
    let fleet = start(&configuration(
        3,
        &quoted(&[north, spare]),
        &quoted(&[south]),
    ));
    let mut client = fleet.open(&format!("STARTUP latest {north}"));
    let mut moving = fleet.open(&format!("STARTUP latest {spare}"));
    let mut public = fleet.open(&format!("STARTUP open {stranger}"));
    for client in [&mut client, &mut moving, &mut public] {
        Fleet::run_until(client, "WRITE a 1", "COMPLETE receipt");
    }
    let refusals = [
        format!("STARTUP latest {stranger}"),
        format!("STARTUP {stranger} latest"),
        format!("STARTUP {north}"),
        format!("{north} STARTUP latest"),
    ];
    let refusals: Vec<String> = refusals.iter().map(|line| fleet.refusal(line)).collect();
    assert_eq!(
        refusals,
        [
            "ERROR AUTHFAIL",
            "ERROR NODB",
            "ERROR NODB",
            "ERROR MALFORMED"
        ]
    );
    // The first key is withdrawn within a transaction, the second one moves, and another one is added.
    client.send("QUERY t1 BEGIN").unwrap();
    client.answer().unwrap();
    client.send("QUERY t2 WRITE b 2").unwrap();
    client.answer().unwrap();
    fleet.configure(&configuration(
        5,
        &quoted(&[added]),
        &quoted(&[south, spare]),
    ));
    Fleet::run_until(&mut client, "READ b", "AUTHFAIL");
    Fleet::run_until(&mut moving, "WRITE c 3", "COMPLETE receipt");
    let mut fresh = fleet.open(&format!("STARTUP latest {added}"));
    Fleet::run_until(&mut fresh, "WRITE d 4", "COMPLETE receipt");
    // The metrics are gathered every 5 s.
    thread::sleep(Duration::from_millis(5_500));
    let ran = fleet.standins.ask(|world| world.group.executions());
    let names = |text: &str| {
        let found = ran.iter().filter(|e| e.statement.ends_with(text));
        found.map(|e| e.client.as_str()).collect::<Vec<_>>()
    };
    assert_eq!(names("WRITE d 4"), ["north"]);
    assert_eq!(names("WRITE c 3"), ["south"]);
    let leaked = ran.iter().find(|e| SECRETS.contains(&e.client.as_str()));
    assert_eq!(leaked, None, "an endpoint was told a key");
    let said = fleet.collect();
    let passed = &said.last().unwrap().1;
    // Statements were relayed, and the newer configuration reached the first host through another one.
    for sign in ["WRITE d 4", "ConfigVersion", "north"] {
        assert!(contains(passed, sign), "{sign} did not pass between hosts");
    }
    assert!(
        said.iter()
            .any(|(_, text)| contains(text, "the key was withdrawn"))
    );
    let mut found = Vec::new();
    for (place, text) in &said {
        for secret in SECRETS.iter().filter(|secret| contains(text, secret)) {
            found.push(format!("{secret} in {place}"));
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}
