//! The control functions of an endpoint that sends answers twice.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    time::Duration,
};

use compio::{runtime::Runtime, time::timeout};
use flume::Receiver;
use goldcrest_endpoints::{EndpointHandle, EndpointTarget, start};
use goldcrest_standins::database::{
    self, AnswerKind, Fault, NodeHandle, NodePlan, Repeat, Stutter,
};
use goldcrest_types::{
    AttemptId, Class, EndpointCommand, EndpointIx, EndpointNotice, Floor, Kind, Lease, Request,
    RequestHead, RequestId, Role, RoundId, Term, Timestamp,
};
use rstest::rstest;

const LATE: Repeat = Repeat::Late(Duration::from_millis(30));

/// How long a notice may take.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// An endpoint's tasks, and the node that they are connected to.
struct Endpoint {
    node: NodeHandle,
    handle: EndpointHandle,
    notices: Receiver<(EndpointIx, EndpointNotice)>,
}

async fn start_endpoint() -> Endpoint {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address: SocketAddr = socket.local_addr().unwrap();
    drop(socket);
    let plan = NodePlan {
        name: "node".into(),
        address,
        connections: 20,
        slots: 4,
        setup_time: Duration::ZERO,
        lag: Duration::ZERO,
    };
    let mut nodes = database::start(&[plan]).await.unwrap();
    let target = EndpointTarget {
        ix: EndpointIx(0),
        name: "node".into(),
        address,
        database: "db".into(),
        account: "proxy".into(),
        connections: 4,
        answer_bytes: 1 << 20,
    };
    let (sender, notices) = flume::unbounded();
    Endpoint {
        node: nodes.remove(0),
        handle: start(target, sender),
        notices,
    }
}

impl Endpoint {
    fn stutter(&self, repeat: Repeat, kind: AnswerKind) {
        self.node.set_fault(Fault::Stutter(Stutter {
            repeat,
            kind: Some(kind),
            every: 1,
            seed: 0,
        }));
    }

    /// Sends a command and returns the next notice that `select` accepts, or `None` if none comes.
    async fn call<F, T>(&self, command: EndpointCommand, limit: Duration, select: F) -> Option<T>
    where
        F: Fn(EndpointNotice) -> Option<T>,
    {
        self.handle.send(command);
        let answer = async {
            loop {
                let (_, notice) = self.notices.recv_async().await.unwrap();
                if let Some(found) = select(notice) {
                    return found;
                }
            }
        };
        timeout(limit, answer).await.ok()
    }

    /// Runs a term check. Returns the applied position that it reports, or `None` if it fails.
    async fn check(&self, round: u64) -> Option<u64> {
        let command = EndpointCommand::Check(RoundId(round));
        let result = self.call(command, WAIT_LIMIT, |notice| match notice {
            EndpointNotice::Reported(id, report) if id == RoundId(round) => {
                Some(Some(report.applied.position.0))
            }
            EndpointNotice::CheckFailed(id) if id == RoundId(round) => Some(None),
            _ => None,
        });
        result.await.expect("each check ends")
    }

    async fn run(&self, id: u64, sql: &str) -> EndpointNotice {
        let command = EndpointCommand::Run {
            request: request(id, sql).into(),
            lease: Lease(id),
            held: false,
        };
        let result = self.call(command, WAIT_LIMIT, |notice| match &notice {
            EndpointNotice::Answered(done, _) | EndpointNotice::Lost(done, _)
                if *done == RequestId(id) =>
            {
                Some(notice)
            }
            _ => None,
        });
        result.await.expect("each request ends")
    }
}

fn request(id: u64, sql: &str) -> Request {
    let mut body = vec![b'Q'];
    body.extend(u32::try_from(sql.len() + 5).unwrap().to_be_bytes());
    body.extend(sql.as_bytes());
    body.push(0);
    let head = RequestHead {
        id: RequestId(id),
        workspace: "orders".into(),
        database: "orders".into(),
        priority: 0,
        kind: Kind::Write,
        class: Class::Short,
        floor: Floor::At(goldcrest_types::Mark::default()),
        max_age: None,
        pin: None,
        idempotent: false,
        arrived: Timestamp::ZERO,
        start_by: Timestamp::ZERO,
        deadline: Timestamp::ZERO,
    };
    Request {
        head,
        idempotency_key: None,
        settings: smallvec::SmallVec::new(),
        dirty: false,
        body: body.into(),
    }
}

#[rstest]
#[case::at_once(Repeat::AtOnce)]
#[case::late(LATE)]
#[case::before_the_next(Repeat::BeforeNext)]
#[case::a_part(Repeat::Part)]
fn a_term_check_is_not_answered_by_an_older_answer(#[case] repeat: Repeat) {
    Runtime::new().unwrap().block_on(async {
        let endpoint = start_endpoint().await;
        endpoint.stutter(repeat, AnswerKind::Control);
        endpoint.run(1, "CREATE TABLE t (id int)").await;
        let mut reported = 0;
        for id in 2..30 {
            let EndpointNotice::Answered(_, answer) =
                endpoint.run(id, "INSERT INTO t VALUES (1)").await
            else {
                panic!("the write was not answered");
            };
            if let Some(position) = endpoint.check(id).await {
                assert!(position >= answer.mark.position.0, "an old report");
                reported += 1;
            }
        }
        assert!(reported > 0, "no check succeeds");
    });
}

#[rstest]
#[case::at_once(Repeat::AtOnce)]
#[case::before_the_next(Repeat::BeforeNext)]
#[case::a_part(Repeat::Part)]
fn a_seal_is_not_answered_by_an_older_answer(#[case] repeat: Repeat) {
    Runtime::new().unwrap().block_on(async {
        let endpoint = start_endpoint().await;
        endpoint.stutter(repeat, AnswerKind::Control);
        let limit = Duration::from_secs(1);
        let seal = |term, attempt| {
            let command = EndpointCommand::Seal {
                term: Term(term),
                attempt: AttemptId(attempt),
            };
            endpoint.call(command, limit, move |notice| match notice {
                EndpointNotice::Sealed(id, reply) if id == AttemptId(attempt) => Some(reply),
                _ => None,
            })
        };
        let mut sealed = 0;
        for term in 5..15 {
            // Another attempt at the same term must be refused.
            let first = seal(term, term * 10).await;
            let second = seal(term, term * 10 + 1).await;
            if let Some(reply) = first {
                sealed += 1;
                assert!(format!("{reply:?}").starts_with("Sealed"), "{reply:?}");
            }
            if let Some(reply) = second {
                assert!(format!("{reply:?}").starts_with("Refused"), "{reply:?}");
            }
        }
        assert!(sealed > 0, "no seal is answered");
    });
}

#[rstest]
#[case::at_once(Repeat::AtOnce)]
#[case::before_the_next(Repeat::BeforeNext)]
fn a_promotion_is_not_answered_by_an_older_answer(#[case] repeat: Repeat) {
    Runtime::new().unwrap().block_on(async {
        let endpoint = start_endpoint().await;
        endpoint.stutter(repeat, AnswerKind::Control);
        let limit = Duration::from_secs(1);
        let promote = |term, attempt| {
            let command = EndpointCommand::Promote {
                term: Term(term),
                attempt: AttemptId(attempt),
            };
            endpoint.call(command, limit, move |notice| match notice {
                EndpointNotice::Promoted(id, accepted) if id == AttemptId(attempt) => {
                    Some(accepted)
                }
                _ => None,
            })
        };
        for term in 5..10 {
            let sealed = EndpointCommand::Seal {
                term: Term(term),
                attempt: AttemptId(term),
            };
            endpoint.call(sealed, limit, |_| Some(())).await;
            let own = promote(term, term).await;
            let other = promote(term, term + 100).await;
            assert_ne!(own, Some(false));
            assert_ne!(other, Some(true));
        }
    });
}

#[rstest]
#[case::at_once(Repeat::AtOnce)]
#[case::late(LATE)]
#[case::before_the_next(Repeat::BeforeNext)]
#[case::a_part(Repeat::Part)]
fn a_request_that_was_not_sent_runs_on_another_connection(#[case] repeat: Repeat) {
    Runtime::new().unwrap().block_on(async {
        let endpoint = start_endpoint().await;
        endpoint.run(1, "CREATE TABLE t (id int)").await;
        endpoint.stutter(repeat, AnswerKind::Description);
        for id in 2..30 {
            let notice = endpoint.run(id, "SELECT 1").await;
            match notice {
                EndpointNotice::Answered(_, answer) => assert_eq!(answer.role, Role::Primary),
                EndpointNotice::Lost(_, sent) => assert!(sent, "an unsent request was lost"),
                other => panic!("{other:?}"),
            }
        }
    });
}
