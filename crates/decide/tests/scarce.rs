//! Plays more hosts than an endpoint takes connections, on a calm day. Tells what clients get where
//! each host holds its own connections, and where one host a region owns them.

mod cluster;

use std::{collections::VecDeque, fmt::Write, time::Duration};

use cluster::member;
use goldcrest_decide::{
    fenced::{Action, Cluster, ClusterPlan, Event},
    owners::{Candidate, Holders, holders, ranking},
    share::{Demand, share, standby},
};
use goldcrest_types::{
    ConnectionId, ConnectionNotice, Kind, Mark, Moment, Name, OpenError, Opening, Ran, RequestId,
    TxState, Verdict,
};

const HOSTS: usize = 69;
const CONNECTIONS: usize = 46;
const SLOTS: usize = 4;
const STEP: Duration = Duration::from_micros(500);
const STEPS: u32 = 20_000;
/// A set-up of 12 ms and a statement of 8 ms, in steps.
const OPEN_COST: u32 = 24;
const WRITE_COST: u32 = 16;
/// Steps between arrivals: 200 writes a second.
const ARRIVAL_EVERY: u32 = 10;

/// Work in a slot of the endpoint.
struct Job {
    host: usize,
    link: ConnectionId,
    /// None for the set-up of the connection.
    request: Option<RequestId>,
    left: u32,
}

#[derive(Default)]
struct Endpoint {
    open: Vec<(usize, ConnectionId)>,
    queue: VecDeque<Job>,
    running: Vec<Job>,
}

impl Endpoint {
    /// Runs a step, and returns what is over.
    fn step(&mut self) -> Vec<Job> {
        while self.running.len() < SLOTS
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job);
        }
        for job in &mut self.running {
            job.left -= 1;
        }
        self.running.extract_if(.., |job| job.left == 0).collect()
    }
}

struct Play {
    hosts: Vec<Cluster>,
    endpoint: Endpoint,
    full: Vec<(usize, ConnectionId)>,
    served: usize,
    refused: usize,
    opened: usize,
}

impl Play {
    fn new(shares: &[usize]) -> Self {
        let mut play = Self {
            hosts: Vec::new(),
            endpoint: Endpoint::default(),
            full: Vec::new(),
            served: 0,
            refused: 0,
            opened: 0,
        };
        for share in shares {
            play.hosts.push(Cluster::new(ClusterPlan {
                name: Name::from("orders"),
                share: *share,
                drain: Duration::from_secs(5),
            }));
        }
        for host in 0..shares.len() {
            let listed = vec![member("leader", 0, true)];
            play.step(host, Event::Members(listed.into()), Moment::ZERO);
        }
        play
    }

    fn step(&mut self, host: usize, event: Event, now: Moment) {
        for action in self.hosts[host].step(event, now) {
            match action {
                Action::Open(link, _) if self.endpoint.open.len() < CONNECTIONS => {
                    self.endpoint.open.push((host, link));
                    self.opened += 1;
                    self.enqueue(host, link, None, OPEN_COST);
                }
                Action::Open(link, _) => self.full.push((host, link)),
                Action::Close(link) => self.endpoint.open.retain(|open| *open != (host, link)),
                Action::Run(link, id, _) => self.enqueue(host, link, Some(id), WRITE_COST),
                Action::Deliver { .. } => self.served += 1,
                Action::Refuse(..) => self.refused += 1,
                _ => {}
            }
        }
    }

    fn enqueue(&mut self, host: usize, link: ConnectionId, request: Option<RequestId>, left: u32) {
        self.endpoint.queue.push_back(Job {
            host,
            link,
            request,
            left,
        });
    }

    fn finish(&mut self, job: &Job, now: Moment) {
        let notice = match job.request {
            None => ConnectionNotice::Opened(None),
            Some(id) => ConnectionNotice::Ran(
                id,
                Ran {
                    verdict: Verdict::Done,
                    body: bytes::Bytes::new(),
                    mark: Some(Mark::new(1, id.0)),
                    led: true,
                    tx: TxState::Idle,
                },
            ),
        };
        self.step(job.host, Event::Connection(job.link, notice), now);
    }

    /// Plays ten seconds. `serves` tells which host runs the requests of a client's host.
    fn run<F>(&mut self, serves: F)
    where
        F: Fn(usize) -> usize,
    {
        for step in 0..STEPS {
            let now = Moment::from_millis(1_000) + STEP * step;
            if step % ARRIVAL_EVERY == 0 {
                let number = u64::from(step / ARRIVAL_EVERY);
                // A step that is coprime to the number of hosts visits all of them.
                let client = usize::try_from(number).unwrap() * 31 % HOSTS;
                let head = cluster::head(number, Kind::Write, 0, now);
                self.step(serves(client), Event::Ask(head, Opening::None), now);
            }
            for (host, link) in std::mem::take(&mut self.full) {
                let notice = ConnectionNotice::OpenFailed(OpenError::Full);
                self.step(host, Event::Connection(link, notice), now);
            }
            for job in self.endpoint.step() {
                self.finish(&job, now);
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].wake(now) <= now + STEP {
                    self.step(host, Event::Tick, now);
                }
            }
        }
    }

    fn told(&self) -> String {
        let (served, refused, opened) = (self.served, self.refused, self.opened);
        format!("{served} served, {refused} refused, {opened} connections opened")
    }
}

#[test]
fn owners_serve_what_single_connections_refuse() {
    let candidates: Vec<Candidate> = (0..HOSTS)
        .map(|number| Candidate {
            host: Name::from(number.to_string()),
            region: Name::from(["east", "north", "west"][number % 3]),
            capacity: 0.12,
        })
        .collect();
    let Holders::Owners(owners) = holders("orders", CONNECTIONS, &candidates) else {
        panic!("each host holds its own connections");
    };
    let mut demands: Vec<Demand> = owners
        .iter()
        .map(|host| Demand {
            host: host.clone(),
            need: 2.0,
        })
        .collect();
    demands.push(standby(&demands));
    let shares: Vec<usize> = candidates
        .iter()
        .map(|c| {
            if owners.contains(&c.host) {
                share(CONNECTIONS, &demands, &c.host)
            } else {
                1
            }
        })
        .collect();
    let mut single = Play::new(&[1; HOSTS]);
    single.run(|client| client);
    let mut owned = Play::new(&shares);
    owned.run(|client| {
        let region = &candidates[client].region;
        ranking("orders", region, &candidates)[0].parse().unwrap()
    });
    let mut told = String::new();
    writeln!(told, "single connections: {}", single.told()).unwrap();
    writeln!(told, "owners: {}", owned.told()).unwrap();
    assert_eq!(owned.refused, 0, "{told}");
    assert!(owned.served > single.served, "{told}");
    insta::assert_snapshot!(told);
}
