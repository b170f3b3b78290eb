//! Handling of a session's statements, and the settings that a connection needs before them.

use goldcrest_decide::{
    session_state::{ClientStatement, SessionState},
    setup::{Applied, Change, Changes},
};
use goldcrest_types::{
    Answer, EndpointIx, Floor, Lease, Mark, Name, NotRun, Outcome, Pin, Refusal, Reply, RequestId,
    Role, Setting, TxState,
};
use rstest::rstest;

fn pin() -> Pin {
    Pin {
        endpoint: EndpointIx(1),
        lease: Lease(3),
    }
}

fn reply(tx: TxState) -> Reply {
    Reply {
        id: RequestId(1),
        result: Ok(Answer {
            outcome: Outcome::Done,
            body: bytes::Bytes::new(),
            mark: Mark::new(1, 4),
            role: Role::Primary,
            tx,
        }),
        floor: Floor::At(Mark::new(1, 4)),
        pin: (tx != TxState::Idle).then(pin),
    }
}

fn refused(refusal: Refusal) -> Reply {
    Reply {
        id: RequestId(1),
        result: Err(refusal),
        floor: Floor::Unknown,
        pin: None,
    }
}

/// Passes inputs to a session and lists the resulting steps. An input is a statement or, in angle
/// brackets, a reply.
fn run(inputs: &[&str]) -> String {
    let mut session = SessionState::default();
    let mut lines = Vec::new();
    for input in inputs {
        let statement = match *input {
            "<done>" => {
                session.apply_reply(&reply(TxState::Idle));
                continue;
            }
            "<open>" => {
                session.apply_reply(&reply(TxState::Open));
                continue;
            }
            "<failed>" => {
                session.apply_reply(&reply(TxState::Failed));
                continue;
            }
            "<not run>" => {
                let retry = None;
                let reason = NotRun::Late;
                session.apply_reply(&refused(Refusal::NotRun { reason, retry }));
                continue;
            }
            "<unknown>" => {
                let detail = Name::new();
                session.apply_reply(&refused(Refusal::Unknown { detail }));
                continue;
            }
            "BEGIN" => ClientStatement::Begin(false),
            "BEGIN READ" => ClientStatement::Begin(true),
            "COMMIT" => ClientStatement::Commit,
            "ROLLBACK" => ClientStatement::Rollback,
            "READ" => ClientStatement::Read,
            "SET a" => ClientStatement::Set(Name::from("a")),
            "PREPARE p" => ClientStatement::Prepare(Name::from("p"), true),
            "DEALLOC p" => ClientStatement::Deallocate(Name::from("p")),
            "EXECUTE p" => ClientStatement::Execute(Name::from("p")),
            _ => ClientStatement::Write,
        };
        let step = session.handle(&statement, &Name::from(*input));
        lines.push(format!("{input} -> {step:?}, {:?}", session.state()));
    }
    lines.join("\n")
}

#[rstest]
#[case::single("single", &["READ", "<done>", "WRITE", "<done>"])]
#[case::transaction("transaction", &["BEGIN", "READ", "<open>", "WRITE", "<open>", "COMMIT", "<done>"])]
#[case::empty("empty", &["BEGIN", "ROLLBACK", "BEGIN READ", "COMMIT"])]
#[case::failed("failed", &["BEGIN", "WRITE", "<failed>", "READ", "COMMIT", "READ"])]
#[case::first_not_run("first_not_run", &["BEGIN", "WRITE", "<not run>", "READ", "ROLLBACK", "READ"])]
#[case::commit_unknown("commit_unknown", &["BEGIN", "WRITE", "<open>", "COMMIT", "<unknown>", "READ"])]
#[case::misplaced("misplaced", &["COMMIT", "ROLLBACK", "BEGIN", "BEGIN"])]
#[case::prepared("prepared", &["EXECUTE p", "PREPARE p", "SET a", "EXECUTE p", "<done>", "DEALLOC p", "EXECUTE p", "DEALLOC p"])]
fn the_sessions_state_decides_how_a_statement_is_handled(
    #[case] name: &str,
    #[case] inputs: &[&str],
) {
    insta::assert_snapshot!(format!("dialogue_{name}"), run(inputs));
}

fn value(name: &str, text: &str) -> Setting {
    Setting::Value(Name::from(name), Name::from(text))
}

fn prepared(name: &str, text: &str) -> Setting {
    Setting::Prepared(Name::from(name), Name::from(text))
}

/// Plans the changes for `wanted` and records that the endpoint accepted them.
fn apply(applied: &mut Applied, wanted: &[Setting], in_transaction: bool) -> Changes {
    let changes = applied.changes(wanted, in_transaction);
    for change in &changes {
        applied.record(change, true);
    }
    changes
}

#[test]
fn a_connection_has_exactly_the_values_of_the_session_that_it_serves() {
    let mut applied = Applied::default();
    let first = [value("a", "SET a 1"), prepared("p", "PREPARE p READ q")];
    let other_text = [value("a", "SET a 1"), prepared("p", "PREPARE p WRITE z")];
    let changes = [
        apply(&mut applied, &first, false),
        apply(&mut applied, &first, false),
        // The same name, prepared with another text by a session with the same values.
        apply(&mut applied, &other_text, false),
        // Another value within an open transaction, in which nothing can be reset.
        apply(&mut applied, &[value("a", "SET a 2")], true),
        // A session without values.
        apply(&mut applied, &[], false),
        apply(&mut applied, &[], false),
    ];
    let lines: Vec<String> = changes.iter().map(|c| format!("{c:?}")).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A refused change that counts as in force lets a statement run with another session's settings.
#[test]
fn a_connection_is_reset_after_its_endpoint_refused_a_setting() {
    let mut applied = Applied::default();
    let first = [value("a", "SET a 1"), prepared("p", "PREPARE p READ q")];
    let second = [value("a", "SET a 2"), prepared("p", "PREPARE p READ z")];
    apply(&mut applied, &first, false);
    let mut lines = Vec::new();
    let refused = applied.changes(&second, true);
    for change in &refused {
        applied.record(change, false);
    }
    lines.push(format!("refused {refused:?}"));
    lines.push(format!(
        "then in the transaction {:?}",
        applied.changes(&second, true)
    ));
    let reset = applied.changes(&first, false);
    applied.record(&Change::Reset, false);
    lines.push(format!("after it {reset:?}"));
    lines.push(format!(
        "after a refused reset {:?}",
        apply(&mut applied, &first, false)
    ));
    lines.push(format!("then {:?}", apply(&mut applied, &first, false)));
    insta::assert_snapshot!(lines.join("\n"));
}

/// A connection that has forgotten what is in force must not run a statement with an earlier session's settings.
#[test]
fn a_connection_that_forgot_its_settings_is_reset_before_its_next_use() {
    let mut applied = Applied::default();
    let first = [value("a", "SET a 1"), prepared("p", "PREPARE p READ q")];
    apply(&mut applied, &first, false);
    let before = applied.bytes();
    applied.forget();
    let lines = [
        format!("{before} bytes, then {}", applied.bytes()),
        format!("the same session {:?}", apply(&mut applied, &first, false)),
        format!("and again {:?}", apply(&mut applied, &first, false)),
    ];
    applied.forget();
    let other = apply(&mut applied, &[], false);
    insta::assert_snapshot!(format!("{}\na session without {other:?}", lines.join("\n")));
}
