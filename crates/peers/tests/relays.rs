//! Relaying between two hosts over real sockets. The test takes the place of the group.

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

/// The endpoint and lease that the group reports for the open transaction.
const PIN: Pin = Pin {
    endpoint: EndpointIx(1),
    lease: Lease(77),
};

struct Fixture {
    handle: ListenerHandle,
    clock: Clock,
    group_commands: Receiver<SessionCommand<Statement>>,
    commands: Option<Sender<RelayCommand>>,
    notices: Receiver<RelayNotice>,
}

impl Fixture {
    async fn start(ip: &str) -> Self {
        let address: SocketAddr = format!("{ip}:7440").parse().unwrap();
        let clock = Clock::start();
        let (group, group_commands) = flume::unbounded();
        let handlers = RelayHandlers {
            find_group: Rc::new(move |service| (service == "svc").then(|| group.clone())),
            run_succession: Rc::new(|_, command, reply| {
                let _ = reply.send(command.unknown_outcome());
            }),
        };
        let handle = start(address, clock, handlers).await.unwrap();
        let (commands, receiver) = flume::unbounded();
        let (sender, notices) = flume::unbounded();
        let task = run(address, Name::from("svc"), clock, receiver, move |notice| {
            let _ = sender.send(notice);
        });
        compio::runtime::spawn(task).detach();
        Self {
            handle,
            clock,
            group_commands,
            commands: Some(commands),
            notices,
        }
    }

    fn send_command(&self, command: RelayCommand) {
        self.commands.as_ref().unwrap().send(command).unwrap();
    }

    /// Relays a statement with request id 5 of the sending host.
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
            tx_start: TxStart::ReadWrite,
            settings: std::iter::empty().collect(),
        };
        self.send_command(RelayCommand::Run(Arc::new(statement), pin));
    }

    async fn next_group_command(&self) -> SessionCommand<Statement> {
        timeout(WAIT, self.group_commands.recv_async())
            .await
            .unwrap()
            .unwrap()
    }

    async fn notice(&self) -> RelayNotice {
        let notice = self.notices.recv_async();
        timeout(WAIT, notice).await.unwrap().unwrap()
    }

    /// Receives the next command to the group, which must run a statement.
    async fn next_statement(&self) -> (Arc<Statement>, Sender<Reply>) {
        match self.next_group_command().await {
            SessionCommand::Run(statement, reply) => (statement, reply),
            other => panic!("not a statement: {other:?}"),
        }
    }

    /// Opens a transaction on the receiving host with a statement.
    async fn open(&self) {
        self.run(None);
        let (statement, reply) = self.next_statement().await;
        reply.send(done(statement.head.id, Some(PIN))).unwrap();
        assert!(matches!(self.notice().await, RelayNotice::Replied(_)));
    }
}

/// The reply to a statement that ran. `pin` names the transaction that it leaves open.
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
async fn a_relayed_statement_gets_a_request_id_of_its_own() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let fixture = Fixture::start("127.0.5.1").await;
    fixture.run(Some(PIN));
    let (statement, reply) = fixture.next_statement().await;
    assert_ne!(statement.head.id, RequestId(5));
    let head = &statement.head;
    let summary = format!(
        "{} {:?} {:?} {:?} {:?} {:?}",
        statement.label, statement.text, head.pin, head.floor, head.kind, statement.tx_start
    );
    reply.send(done(head.id, None)).unwrap();
    insta::assert_snapshot!(format!("{summary}\n{:?}", fixture.notice().await));
}

#[compio::test]
async fn another_host_carries_out_a_succession_command() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let fixture = Fixture::start("127.0.5.2").await;
    let command = SuccessionCommand::Claim(None);
    let address = "127.0.5.2:7440".parse().unwrap();
    let result =
        goldcrest_peers::relay::run_succession(address, Name::from("svc"), command, WAIT).await;
    let unknown = StoreNotice::Claimed(Err(StoreError::Unknown));
    assert_eq!(result.unwrap(), unknown);
    drop(fixture);
}

#[compio::test]
async fn a_lost_connection_rolls_back_transactions_and_cancels_statements() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let mut fixture = Fixture::start("127.0.5.3").await;
    fixture.open().await;
    fixture.run(None);
    let (second, _reply) = fixture.next_statement().await;
    fixture.commands = None;
    let mut commands = [
        fixture.next_group_command().await,
        fixture.next_group_command().await,
    ];
    commands.sort_by_key(|command| matches!(command, SessionCommand::Release(..)));
    assert!(matches!(commands[0], SessionCommand::Cancel(id) if id == second.head.id));
    assert!(
        matches!(commands[1], SessionCommand::Release(at, lease) if (at, lease) == (PIN.endpoint, PIN.lease))
    );
}

#[compio::test]
async fn a_stopping_host_refuses_new_statements_and_finishes_open_transactions() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let fixture = Fixture::start("127.0.5.4").await;
    fixture.open().await;
    fixture.handle.drain();
    compio::time::sleep(Duration::from_millis(50)).await;
    fixture.run(None);
    let refused = fixture.notice().await;
    fixture.run(Some(PIN));
    let (statement, reply) = fixture.next_statement().await;
    reply.send(done(statement.head.id, None)).unwrap();
    let ended = fixture.notice().await;
    timeout(WAIT, fixture.handle.drained()).await.unwrap();
    insta::assert_snapshot!(format!(
        "{refused:?}\n{ended:?}\n{:?}",
        fixture.notice().await
    ));
}

#[compio::test]
async fn a_failed_connection_reports_that_nothing_was_sent() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let (_commands, receiver) = flume::unbounded();
    let (sender, notices) = flume::unbounded();
    let address = "127.0.5.5:7440".parse().unwrap();
    let task = run(
        address,
        Name::from("svc"),
        Clock::start(),
        receiver,
        move |notice| {
            let _ = sender.send(notice);
        },
    );
    compio::runtime::spawn(task).detach();
    let notice = timeout(WAIT, notices.recv_async()).await.unwrap().unwrap();
    assert!(matches!(notice, RelayNotice::Closed(false)), "{notice:?}");
}
