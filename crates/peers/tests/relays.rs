//! Statements that one host runs for another, on sockets. The test stands in for the group.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use compio::time::timeout;
use flume::{Receiver, Sender};
use goldcrest_clock::Clock;
use goldcrest_peers::{
    Timer,
    relay::{RelayHandlers, run, start},
};
use goldcrest_stream::accept::ListenerHandle;
use goldcrest_types::{
    Answer, Class, EndpointIx, Floor, Kind, Lease, Mark, Name, Outcome, Pin, RelayCommand,
    RelayNotice, Reply, RequestHead, RequestId, Role, SessionCommand, Statement, StoreError,
    StoreNotice, SuccessionCommand, TxStart, TxState,
};

const WAIT: Duration = Duration::from_secs(5);

/// Where the group says that the transaction is open.
const PIN: Pin = Pin {
    endpoint: EndpointIx(1),
    lease: Lease(77),
};

struct Stage {
    handle: ListenerHandle,
    clock: Clock,
    asks: Receiver<SessionCommand<Statement>>,
    commands: Option<Sender<RelayCommand>>,
    notices: Receiver<RelayNotice>,
}

impl Stage {
    async fn start(ip: &str) -> Self {
        let address: SocketAddr = format!("{ip}:7440").parse().unwrap();
        let clock = Clock::start();
        let (group, asks) = flume::unbounded();
        let services = RelayHandlers {
            find_group: Rc::new(move |service| (service == "svc").then(|| group.clone())),
            run_succession: Rc::new(|_, command, told| {
                let _ = told.send(command.unknown_outcome());
            }),
        };
        let handle = start(address, clock, services).await.unwrap();
        let (commands, ordered) = flume::unbounded();
        let (tell, notices) = flume::unbounded();
        let task = run(address, Name::from("svc"), clock, ordered, move |notice| {
            let _ = tell.send(notice);
        });
        compio::runtime::spawn(task).detach();
        Self {
            handle,
            clock,
            asks,
            commands: Some(commands),
            notices,
        }
    }

    fn order(&self, command: RelayCommand) {
        self.commands.as_ref().unwrap().send(command).unwrap();
    }

    /// Has a statement run under number 5 of the other host.
    fn run(&self, pin: Option<Pin>) {
        let now = self.clock.now();
        let statement = Statement {
            head: RequestHead {
                id: RequestId(5),
                workspace: Name::from("orders"),
                kind: Kind::Write,
                class: Class::Short,
                floor: Floor::At(Mark::new(1, 3)),
                max_age: Some(Duration::ZERO),
                pin: None,
                idempotent: false,
                arrived: now,
                start_by: now + Duration::from_millis(700),
                deadline: now + Duration::from_millis(800),
            },
            label: Name::from("q5"),
            text: Name::from("WRITE a 1"),
            opening: TxStart::ReadWrite,
            settings: std::iter::empty().collect(),
        };
        self.order(RelayCommand::Run(Arc::new(statement), pin));
    }

    async fn ask(&self) -> SessionCommand<Statement> {
        timeout(WAIT, self.asks.recv_async())
            .await
            .unwrap()
            .unwrap()
    }

    async fn notice(&self) -> RelayNotice {
        let notice = self.notices.recv_async();
        timeout(WAIT, notice).await.unwrap().unwrap()
    }

    /// Takes the statement that the group is asked to run.
    async fn asked(&self) -> (Arc<Statement>, Sender<Reply>) {
        match self.ask().await {
            SessionCommand::Run(statement, reply) => (statement, reply),
            other => panic!("not a statement: {other:?}"),
        }
    }

    /// Opens a transaction with a statement.
    async fn open(&self) {
        self.run(None);
        let (statement, reply) = self.asked().await;
        reply.send(done(statement.head.id, Some(PIN))).unwrap();
        assert!(matches!(self.notice().await, RelayNotice::Replied(_)));
    }
}

fn done(id: RequestId, pin: Option<Pin>) -> Reply {
    let answer = Answer {
        outcome: Outcome::Done,
        body: bytes::Bytes::from_static(b"COMPLETE r"),
        mark: Mark::new(1, 4),
        role: Role::Primary,
        tx: if pin.is_some() {
            TxState::Open
        } else {
            TxState::Idle
        },
    };
    Reply {
        id,
        result: Ok(answer),
        floor: Floor::At(Mark::new(1, 4)),
        pin,
    }
}

#[compio::test]
async fn a_statement_runs_under_a_number_of_its_own() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let stage = Stage::start("127.0.5.1").await;
    stage.run(Some(PIN));
    let (statement, reply) = stage.asked().await;
    assert_ne!(statement.head.id, RequestId(5));
    let head = &statement.head;
    let seen = format!(
        "{} {:?} {:?} {:?} {:?} {:?}",
        statement.label, statement.text, head.pin, head.floor, head.kind, statement.opening
    );
    reply.send(done(head.id, None)).unwrap();
    insta::assert_snapshot!(format!("{seen}\n{:?}", stage.notice().await));
}

#[compio::test]
async fn another_host_is_asked_to_speak_with_the_platform() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let stage = Stage::start("127.0.5.2").await;
    let command = SuccessionCommand::Claim(None);
    let address = "127.0.5.2:7440".parse().unwrap();
    let told =
        goldcrest_peers::relay::run_succession(address, Name::from("svc"), command, WAIT).await;
    let unknown = StoreNotice::Claimed(Err(StoreError::Unknown));
    assert_eq!(told.unwrap(), unknown);
    drop(stage);
}

#[compio::test]
async fn a_host_that_goes_away_leaves_nothing_open_and_nothing_under_way() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let mut stage = Stage::start("127.0.5.3").await;
    stage.open().await;
    stage.run(None);
    let (second, _reply) = stage.asked().await;
    stage.commands = None;
    let mut told = [stage.ask().await, stage.ask().await];
    told.sort_by_key(|ask| matches!(ask, SessionCommand::Release(..)));
    assert!(matches!(told[0], SessionCommand::Cancel(id) if id == second.head.id));
    assert!(
        matches!(told[1], SessionCommand::Release(at, lease) if (at, lease) == (PIN.endpoint, PIN.lease))
    );
}

#[compio::test]
async fn a_host_that_stops_refuses_new_work_and_ends_what_is_open() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let stage = Stage::start("127.0.5.4").await;
    stage.open().await;
    stage.handle.drain();
    compio::time::sleep(Duration::from_millis(50)).await;
    stage.run(None);
    let refused = stage.notice().await;
    stage.run(Some(PIN));
    let (statement, reply) = stage.asked().await;
    reply.send(done(statement.head.id, None)).unwrap();
    let ended = stage.notice().await;
    timeout(WAIT, stage.handle.drained()).await.unwrap();
    insta::assert_snapshot!(format!(
        "{refused:?}\n{ended:?}\n{:?}",
        stage.notice().await
    ));
}

#[compio::test]
async fn a_host_that_can_not_be_reached_has_sent_nothing() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let (_commands, ordered) = flume::unbounded();
    let (tell, notices) = flume::unbounded();
    let address = "127.0.5.5:7440".parse().unwrap();
    let task = run(
        address,
        Name::from("svc"),
        Clock::start(),
        ordered,
        move |notice| {
            let _ = tell.send(notice);
        },
    );
    compio::runtime::spawn(task).detach();
    let notice = timeout(WAIT, notices.recv_async()).await.unwrap().unwrap();
    assert!(matches!(notice, RelayNotice::Closed(false)), "{notice:?}");
}
