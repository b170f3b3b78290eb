//! Relaying between two hosts over real sockets. The test takes the place of the group.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use compio::time::timeout;
use flume::{Receiver, Sender};
use goldcrest_clock::Clock;
use goldcrest_peers::{
    Timer,
    relay::{Link, RelayHandlers, start, start_links},
};
use goldcrest_standins::proxy::{self, MessageFault, frame_end};
use goldcrest_stream::{accept::ListenerHandle, budget::HostBudget};
use goldcrest_types::{
    Answer, Class, EndpointIx, Floor, Kind, Lease, Mark, Name, Outcome, Pin, RelayCommand,
    RelayNotice, Reply, RequestHead, RequestId, Role, SessionCommand, Setting, Statement,
    StoreError, StoreNotice, SuccessionCommand, TxStart, TxState,
};
use rstest::rstest;

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
    _links: Sender<Link>,
    commands: Option<Sender<RelayCommand>>,
    notices: Receiver<RelayNotice>,
}

fn open_link(
    links: &Sender<Link>,
    address: SocketAddr,
) -> (Sender<RelayCommand>, Receiver<RelayNotice>) {
    let (commands, receiver) = flume::unbounded();
    let (sender, notices) = flume::unbounded();
    let link = Link {
        service: Name::from("svc"),
        address,
        commands: receiver,
        notify: Box::new(move |notice| {
            let _ = sender.send(notice);
        }),
    };
    links.send(link).unwrap();
    (commands, notices)
}

impl Fixture {
    async fn start(ip: &str) -> Self {
        Self::start_limited(ip, None).await
    }

    /// The same with this memory in bytes at the receiving host.
    async fn start_limited(ip: &str, memory: Option<u64>) -> Self {
        let address: SocketAddr = format!("{ip}:7440").parse().unwrap();
        let clock = Clock::start();
        let (group, group_commands) = flume::unbounded();
        let handlers = RelayHandlers {
            find_group: Rc::new(move |service| (service == "svc").then(|| group.clone())),
            run_succession: Rc::new(|_, command, reply| {
                let _ = reply.send(command.unknown_outcome());
            }),
            find_table: Rc::new(|_| None),
            allowances: None,
            budget: HostBudget::start(clock, memory, None),
        };
        let handle = start(address, clock, handlers).await.unwrap();
        let links = start_links(clock);
        let (commands, notices) = open_link(&links, address);
        Self {
            handle,
            clock,
            group_commands,
            _links: links,
            commands: Some(commands),
            notices,
        }
    }

    fn send_command(&self, command: RelayCommand) {
        self.commands.as_ref().unwrap().send(command).unwrap();
    }

    /// Relays a statement with request id 5 of the sending host.
    fn run(&self, pin: Option<Pin>) {
        self.run_with(5, pin, &[]);
    }

    /// The same with another request id and settings that the statement needs.
    fn run_with(&self, id: u64, pin: Option<Pin>, settings: &[Setting]) {
        let now = self.clock.now();
        let statement = Statement {
            head: RequestHead {
                id: RequestId(id),
                workspace: Name::from("orders"),
                database: Name::from("orders"),
                priority: 0,
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
            settings: settings.iter().cloned().collect(),
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

/// The values of relayed sessions, which nothing counted, took an owner of connections over its memory.
#[compio::test]
async fn the_settings_of_relayed_statements_count_for_the_memory_of_their_owner() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    // Room for one large message at a time.
    let fixture = Fixture::start_limited("127.0.5.40", Some(16_000_000)).await;
    let value = |name: &str| Setting::Value(Name::from(name), Name::from("x".repeat(300_000)));
    let settings = ["a", "b", "c"].map(value);
    fixture.run_with(5, None, &settings);
    let (statement, reply) = fixture.next_statement().await;
    fixture.run_with(6, None, &settings);
    let refused = fixture.notice().await;
    reply.send(done(statement.head.id, None)).unwrap();
    let served = fixture.notice().await;
    insta::assert_snapshot!(format!("{refused:?}\n{served:?}"));
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
    let address = "127.0.5.5:7440".parse().unwrap();
    let (_commands, notices) = open_link(&start_links(Clock::start()), address);
    let notice = timeout(WAIT, notices.recv_async()).await.unwrap().unwrap();
    assert!(matches!(notice, RelayNotice::Closed(false)), "{notice:?}");
}

/// With a connection for each group, an owner of several groups accepts a multiple of what it needs
/// when all hosts connect at the same time.
#[compio::test]
async fn links_to_one_host_share_a_connection_until_the_last_is_closed() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let listener = compio::net::TcpListener::bind("127.0.5.6:7440")
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let links = start_links(Clock::start());
    let (first, first_notices) = open_link(&links, address);
    let (second, second_notices) = open_link(&links, address);
    let (socket, _) = timeout(WAIT, listener.accept()).await.unwrap().unwrap();
    let another = timeout(Duration::from_millis(300), listener.accept()).await;
    assert!(another.is_err(), "a second connection was opened");
    drop(first);
    compio::time::sleep(Duration::from_millis(50)).await;
    drop(socket);
    let notice = timeout(WAIT, second_notices.recv_async()).await.unwrap();
    assert!(
        matches!(notice, Ok(RelayNotice::Closed(true))),
        "{notice:?}"
    );
    assert!(first_notices.try_recv().is_err());
    drop(second);
}

/// Frames that are cut, too long or no calls at all end their connection and nothing else.
#[compio::test]
async fn malformed_frames_end_only_their_connection() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let fixture = Fixture::start("127.0.5.7").await;
    let address: SocketAddr = "127.0.5.7:7440".parse().unwrap();
    for frame in [
        vec![0xff; 64],
        vec![0, 0, 0, 9, 1, 2, 3],
        vec![0, 0, 0, 3, 0xff, 0xff, 0xff],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        Vec::new(),
    ] {
        let mut stream = goldcrest_stream::Stream::connect(address, WAIT)
            .await
            .unwrap();
        stream.send(frame.into()).await.unwrap();
        // A connection whose frame is incomplete stays open until its host closes it.
        let _ = timeout(Duration::from_millis(100), stream.drain()).await;
    }
    fixture.open().await;
}

/// A delay after which the copy of a frame comes right before the next frame.
const NEXT: Duration = Duration::from_mins(1);

/// Opens a link to the fixture's host through a proxy with faults.
async fn link_through_proxy<F>(fixture: &mut Fixture, ip: &str, choose: F) -> Sender<Link>
where
    F: Fn(&Bytes) -> MessageFault + 'static,
{
    let server = format!("{ip}:7440").parse().unwrap();
    let address = proxy::start(ip, server, frame_end, choose).await.unwrap();
    let links = start_links(fixture.clock);
    let (commands, notices) = open_link(&links, address);
    (fixture.commands, fixture.notices) = (Some(commands), notices);
    links
}

/// Relays three statements and pings in between. Returns the notices in the order of their arrival.
async fn run_three(fixture: &Fixture) -> String {
    let mut notices = Vec::new();
    for _ in 0..3 {
        fixture.run(None);
        let (statement, reply) = fixture.next_statement().await;
        let mut answer = done(statement.head.id, None);
        let body = format!("COMPLETE r{}", notices.len());
        if let Ok(answer) = &mut answer.result {
            answer.body = body.into();
        }
        reply.send(answer).unwrap();
        notices.push(fixture.notice().await);
        fixture.send_command(RelayCommand::Ping);
        notices.push(fixture.notice().await);
    }
    compio::time::sleep(Duration::from_millis(50)).await;
    notices.extend(fixture.notices.drain());
    let lines: Vec<String> = notices.iter().map(|notice| format!("{notice:?}")).collect();
    lines.join("\n")
}

#[rstest]
#[case::at_once("127.0.5.11", MessageFault::Repeated(Duration::ZERO))]
#[case::late("127.0.5.12", MessageFault::Repeated(Duration::from_millis(3)))]
#[case::before_the_next("127.0.5.13", MessageFault::Repeated(NEXT))]
#[case::paused("127.0.5.14", MessageFault::Paused(Duration::from_millis(30)))]
#[compio::test]
async fn an_answer_that_comes_twice_or_with_a_pause_reaches_its_own_statement_once(
    #[case] ip: &str,
    #[case] fault: MessageFault,
) {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let mut fixture = Fixture::start(ip).await;
    let _links = link_through_proxy(&mut fixture, ip, move |_| fault.clone()).await;
    insta::assert_snapshot!("own_answers", run_three(&fixture).await);
}

#[compio::test]
async fn an_answer_to_no_statement_is_ignored() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let ip = "127.0.5.15";
    let mut fixture = Fixture::start(ip).await;
    // A frame starts with its length and then with the number of the call, which is one byte while
    // it is small.
    let choose = |message: &Bytes| {
        let mut forged = message.to_vec();
        forged[4] = 200;
        MessageFault::Preceded(forged.into())
    };
    let _links = link_through_proxy(&mut fixture, ip, choose).await;
    insta::assert_snapshot!("own_answers", run_three(&fixture).await);
}

/// What the owner ran is not known then.
#[compio::test]
async fn an_answer_that_is_cut_off_ends_its_link() {
    let timer = Timer::start().unwrap();
    let _entered = timer.enter();
    let ip = "127.0.5.16";
    let mut fixture = Fixture::start(ip).await;
    let _links = link_through_proxy(&mut fixture, ip, |_| MessageFault::Cut).await;
    fixture.run(None);
    let (statement, reply) = fixture.next_statement().await;
    reply.send(done(statement.head.id, None)).unwrap();
    let notice = fixture.notice().await;
    assert!(matches!(notice, RelayNotice::Closed(true)), "{notice:?}");
}
