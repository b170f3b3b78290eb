//! A client connection to a node, in the PostgreSQL protocol v3.

use std::{collections::HashMap, time::Duration};

use bytes::{Bytes, BytesMut};
use compio::{net::TcpStream, time::sleep};
use flume::{Receiver, Sender};
use futures_util::{FutureExt, pin_mut, select_biased};
use goldcrest_types::{Role, TxState};
use goldcrest_wire::{Frame, PgStream, WireError, encode_backend, error_response};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
    SslNegotiationMetaMessage,
    data::{DataRow, ParameterDescription},
    extendedquery::{Bind, BindComplete, CloseComplete, Describe, Parse, ParseComplete},
    response::{
        CommandComplete, EmptyQueryResponse, ReadyForQuery, SslResponse, TransactionStatus,
    },
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey},
};

use super::{
    AnswerKind, NodePlan,
    control::{ControlCall, UNNAMED_COLUMN, extra_column},
    engine::{Column, QueryResult},
    peers::{Message, NodeState, SessionCommand, SessionKey, Statement},
    stutter::Echo,
    text::{
        column_format, first_word, placeholder_count, row_description, sleep_duration,
        split_statements,
    },
    values::{OID_TEXT, SqlError, Value},
};

/// The maximum size of a message from the client.
const MESSAGE_LIMIT_BYTES: usize = 64 << 20;
/// The target type of Describe and Close messages that name a prepared statement, not a portal.
const TARGET_STATEMENT: u8 = b'S';

/// A prepared statement with its parameters and result formats.
#[derive(Debug, Clone)]
struct Portal {
    statement: Statement,
    formats: Vec<i16>,
}

/// The state of a session.
struct Session {
    wire: PgStream,
    node: Sender<Message>,
    key: SessionKey,
    commands: Receiver<SessionCommand>,
    /// The node's state as of its latest answer.
    state: NodeState,
    /// The state of the session's transaction.
    tx: TxState,
    statements: HashMap<String, Parse>,
    portals: HashMap<String, Portal>,
    /// Messages to send with the next `ReadyForQuery`.
    out: Vec<PgWireBackendMessage>,
    /// Whether messages are skipped up to the next Sync, after an error.
    failed: bool,
    /// Whether the session holds one of the node's slots.
    slot: bool,
    /// The kind of the request that is being answered.
    kind: AnswerKind,
    /// The number of answers that were sent.
    answers: u64,
    /// An answer that is still to be sent again.
    echo: Option<Echo>,
}

/// Serves a connection until it ends or the node closes it.
pub(super) async fn run(stream: TcpStream, plan: NodePlan, node: Sender<Message>) {
    let Ok(mut wire) = PgStream::new(stream, MESSAGE_LIMIT_BYTES) else {
        return;
    };
    let Ok(Some(())) = read_startup(&mut wire, &node).await else {
        return;
    };
    sleep(plan.setup_time).await;
    let (commands, receiver) = flume::unbounded();
    let (reply, answer) = flume::bounded(1);
    if node.send(Message::Open(commands, reply)).is_err() {
        return;
    }
    let Ok(opened) = answer.recv_async().await else {
        return;
    };
    let Some((key, state)) = opened else {
        let full = error_response("FATAL", "53300", "too many connections");
        if let Ok(bytes) = encode_backend([full]) {
            let _ = wire.send(bytes).await;
        }
        return;
    };
    let mut session = Session {
        wire,
        node,
        key,
        commands: receiver,
        state,
        tx: TxState::Idle,
        statements: HashMap::new(),
        portals: HashMap::new(),
        out: Vec::new(),
        failed: false,
        slot: false,
        kind: AnswerKind::Startup,
        answers: 0,
        echo: None,
    };
    // The error is ignored: the client notices that its connection is closed.
    let _ = session.serve().await;
    session.release_slot();
    let _ = session.node.send(Message::Close(key));
}

/// Reads up to the start-up message. Returns `None` if the connection carried a cancel request.
async fn read_startup(
    wire: &mut PgStream,
    node: &Sender<Message>,
) -> Result<Option<()>, WireError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        let Some(message) = PgWireFrontendMessage::decode(wire.buffer(), &context)? else {
            wire.fill().await?;
            continue;
        };
        match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                context.awaiting_frontend_ssl = false;
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                let refusal = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                wire.send(encode_backend([refusal])?).await?;
            }
            PgWireFrontendMessage::CancelRequest(cancel) => {
                let secret = cancel.secret_key.as_i32().unwrap_or_default();
                let pid = cancel.pid;
                let _ = node.send(Message::Cancel(SessionKey { pid, secret }));
                return Ok(None);
            }
            _ => return Ok(Some(())),
        }
    }
}

impl Session {
    async fn serve(&mut self) -> Result<(), WireError> {
        let key = SecretKey::I32(self.key.secret);
        self.out.extend([
            PgWireBackendMessage::Authentication(Authentication::Ok),
            PgWireBackendMessage::BackendKeyData(BackendKeyData::new(self.key.pid, key)),
        ]);
        self.send_ready().await?;
        loop {
            let frame = self.next_frame().await?;
            match frame.tag() {
                b'X' => return Ok(()),
                b'Q' => self.simple_query(&frame).await?,
                b'S' => {
                    self.failed = false;
                    self.send_ready().await?;
                }
                _ if self.failed => {}
                _ => self.extended_query(&frame).await?,
            }
        }
    }

    async fn next_frame(&mut self) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = self.wire.try_next()? {
                return Ok(frame);
            }
            if self.readable().await? {
                self.wire.fill().await?;
            } else {
                self.send_echo().await?;
            }
        }
    }

    /// Waits until the client sends something. Returns false when an answer is due again first.
    async fn readable(&self) -> Result<bool, WireError> {
        let killed = self.wait_for_kill().fuse();
        let readable = self.wire.ready().fuse();
        let due = async {
            match self.echo.as_ref().and_then(Echo::due_in) {
                Some(left) => sleep(left).await,
                None => std::future::pending().await,
            }
        }
        .fuse();
        pin_mut!(killed, readable, due);
        select_biased! {
            () = killed => Err(WireError::Closed),
            received = readable => received.map(|()| true),
            () = due => Ok(false),
        }
    }

    async fn send_echo(&mut self) -> Result<(), WireError> {
        match self.echo.take() {
            Some(echo) => self.wire.send(echo.bytes).await,
            None => Ok(()),
        }
    }

    /// Waits for the command to close the connection. Ignores cancels, since no statement runs.
    async fn wait_for_kill(&self) {
        while let Ok(SessionCommand::Cancel) = self.commands.recv_async().await {}
    }

    /// Ends a request: sends the group's parameters, then `ReadyForQuery`.
    async fn send_ready(&mut self) -> Result<(), WireError> {
        self.release_slot();
        let role = match self.state.role {
            Role::Primary => "primary",
            Role::Replica => "replica",
        };
        let parameters = [
            ("group_term", self.state.mark.term.0.to_string()),
            ("log_position", self.state.mark.position.0.to_string()),
            ("role", role.to_owned()),
        ];
        for (name, value) in parameters {
            let status = ParameterStatus::new(name.to_owned(), value);
            self.out.push(PgWireBackendMessage::ParameterStatus(status));
        }
        let status = match self.tx {
            TxState::Idle => TransactionStatus::Idle,
            TxState::Open => TransactionStatus::Transaction,
            TxState::Failed => TransactionStatus::Error,
        };
        if self.tx == TxState::Idle {
            self.portals.clear();
        }
        let ready = PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status));
        self.out.push(ready);
        let bytes = encode_backend(std::mem::take(&mut self.out))?;
        self.send_answer(bytes).await
    }

    /// Sends an answer, and sends it again if the node stutters.
    async fn send_answer(&mut self, mut bytes: Bytes) -> Result<(), WireError> {
        let kind = std::mem::replace(&mut self.kind, AnswerKind::Description);
        self.answers += 1;
        if self.echo.as_ref().is_some_and(Echo::is_due) {
            self.send_echo().await?;
        }
        let stutter = self.state.stutter;
        if let Some(stutter) = stutter.filter(|s| s.selects(kind, self.answers)) {
            let echo;
            (bytes, echo) = stutter.apply(bytes);
            self.echo = self.echo.take().or(echo);
        }
        self.wire.send(bytes).await
    }

    async fn simple_query(&mut self, frame: &Frame) -> Result<(), WireError> {
        let PgWireFrontendMessage::Query(query) = frame.decode_frontend()? else {
            return Err(WireError::Closed);
        };
        let parts = split_statements(&query.query);
        if parts.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.out.push(empty);
        }
        // Several statements in one query are one transaction, unless they open or end one.
        let implicit = parts.len() > 1 && self.tx == TxState::Idle;
        if implicit {
            self.run("BEGIN".to_owned(), Vec::new()).await?.ok();
        }
        let mut failure = None;
        for sql in parts {
            match self.run(sql, Vec::new()).await? {
                Ok(output) => self.push_result(&output, &[], true),
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
        }
        if let Some(error) = failure {
            self.push_error(&error);
        }
        if implicit && self.tx != TxState::Idle {
            let commit = self.run("COMMIT".to_owned(), Vec::new()).await?;
            if let Err(error) = commit {
                self.out.clear();
                self.push_error(&error);
            }
        }
        self.send_ready().await
    }

    async fn extended_query(&mut self, frame: &Frame) -> Result<(), WireError> {
        let result = match frame.decode_frontend()? {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse).await?,
            PgWireFrontendMessage::Bind(bind) => self.bind(&bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe).await?,
            PgWireFrontendMessage::Execute(execute) => {
                self.execute(execute.name.as_deref().unwrap_or_default())
                    .await?
            }
            PgWireFrontendMessage::Close(close) => {
                if close.target_type == TARGET_STATEMENT {
                    self.statements
                        .remove(close.name.as_deref().unwrap_or_default());
                }
                let closed = PgWireBackendMessage::CloseComplete(CloseComplete::new());
                self.out.push(closed);
                Ok(())
            }
            _ => Ok(()),
        };
        if let Err(error) = result {
            self.failed = true;
            self.push_error(&error);
        }
        Ok(())
    }

    async fn parse(&mut self, parse: Parse) -> Result<Result<(), SqlError>, WireError> {
        let ends = ["COMMIT", "END", "ROLLBACK", "ABORT"];
        if self.tx == TxState::Failed && !ends.contains(&first_word(&parse.query).as_str()) {
            let text = "the transaction is aborted until its end";
            return Ok(Err(SqlError::new("25P02", text)));
        }
        if let Err(error) = self.describe_sql(&parse.query).await? {
            return Ok(Err(error));
        }
        let name = parse.name.clone().unwrap_or_default();
        self.statements.insert(name, parse);
        let complete = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        self.out.push(complete);
        Ok(Ok(()))
    }

    fn bind(&mut self, bind: &Bind) -> Result<(), SqlError> {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let Some(parse) = self.statements.get(name) else {
            return Err(SqlError::new("26000", "no such prepared statement"));
        };
        let read = bind.parameters.iter().enumerate().map(|(i, bytes)| {
            let format = column_format(&bind.parameter_format_codes, i);
            let oid = parse.type_oids.get(i).copied().unwrap_or(OID_TEXT);
            Value::from_wire(bytes.as_ref(), format, oid)
        });
        let parameters = read.collect::<Result<_, SqlError>>()?;
        let portal = Portal {
            statement: Statement {
                sql: parse.query.clone(),
                parameters,
            },
            formats: bind.result_column_format_codes.clone(),
        };
        let name = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(name, portal);
        let complete = PgWireBackendMessage::BindComplete(BindComplete::new());
        self.out.push(complete);
        Ok(())
    }

    async fn describe(&mut self, describe: &Describe) -> Result<Result<(), SqlError>, WireError> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (sql, formats) = if describe.target_type == TARGET_STATEMENT {
            let Some(parse) = self.statements.get(name) else {
                return Ok(Err(SqlError::new("26000", "no such prepared statement")));
            };
            let count = placeholder_count(&parse.query);
            let oids = (0..count).map(|i| parse.type_oids.get(i).copied().unwrap_or(OID_TEXT));
            let description = ParameterDescription::new(oids.collect());
            let sql = parse.query.clone();
            let message = PgWireBackendMessage::ParameterDescription(description);
            self.out.push(message);
            (sql, Vec::new())
        } else {
            let Some(portal) = self.portals.get(name) else {
                return Ok(Err(SqlError::new("34000", "no such portal")));
            };
            (portal.statement.sql.clone(), portal.formats.clone())
        };
        Ok(self.describe_sql(&sql).await?.map(|columns| {
            let message = row_description(&columns, &formats);
            self.out.push(message);
        }))
    }

    async fn execute(&mut self, name: &str) -> Result<Result<(), SqlError>, WireError> {
        let Some(portal) = self.portals.get(name).cloned() else {
            return Ok(Err(SqlError::new("34000", "no such portal")));
        };
        let Statement { sql, parameters } = portal.statement;
        Ok(self
            .run(sql, parameters)
            .await?
            .map(|output| self.push_result(&output, &portal.formats, false)))
    }

    async fn describe_sql(
        &mut self,
        sql: &str,
    ) -> Result<Result<Vec<Column>, SqlError>, WireError> {
        let (reply, answer) = flume::bounded(1);
        self.send_to_node(Message::Describe(sql.to_owned(), reply))?;
        self.receive(answer).await
    }

    async fn run(
        &mut self,
        sql: String,
        parameters: Vec<Value>,
    ) -> Result<Result<QueryResult, SqlError>, WireError> {
        if let Some(call) = ControlCall::parse(&sql) {
            self.kind = AnswerKind::Control;
            return self.run_control(call, extra_column(&sql)).await.map(Ok);
        }
        self.kind = match first_word(&sql).as_str() {
            "SET" | "DISCARD" => AnswerKind::Setting,
            _ => AnswerKind::Statement,
        };
        self.take_slot().await?;
        if let Some(pause) = sleep_duration(&sql)
            && let Err(error) = self.sleep(pause).await?
        {
            self.send_to_node(Message::FailTransaction(self.key))?;
            if self.tx == TxState::Open {
                self.tx = TxState::Failed;
            }
            return Ok(Err(error));
        }
        self.run_now(sql, parameters).await
    }

    async fn run_now(
        &mut self,
        sql: String,
        parameters: Vec<Value>,
    ) -> Result<Result<QueryResult, SqlError>, WireError> {
        let (reply, answer) = flume::bounded(1);
        let statement = Statement { sql, parameters };
        self.send_to_node(Message::Run(self.key, statement, reply))?;
        let (result, state) = self.receive(answer).await?;
        self.state = state;
        self.tx = state.tx;
        Ok(result)
    }

    async fn run_control(
        &mut self,
        call: ControlCall,
        extra: Option<&str>,
    ) -> Result<QueryResult, WireError> {
        let (reply, answer) = flume::bounded(1);
        self.send_to_node(Message::Control(call, reply))?;
        let (mut row, state) = self.receive(answer).await?;
        self.state = state;
        row.extend(extra.map(str::to_owned));
        let names = call.columns().iter().chain(extra.map(|_| &UNNAMED_COLUMN));
        Ok(QueryResult {
            tag: "SELECT 1".to_owned(),
            columns: names.map(|n| ((*n).to_owned(), OID_TEXT)).collect(),
            rows: vec![row.into_iter().map(Value::Text).collect()],
            ..QueryResult::default()
        })
    }

    /// Acquires one of the node's slots, which the request holds until it ends.
    async fn take_slot(&mut self) -> Result<(), WireError> {
        if self.slot {
            return Ok(());
        }
        let (reply, answer) = flume::bounded(1);
        self.send_to_node(Message::TakeSlot(self.key, reply))?;
        self.receive(answer).await?;
        self.slot = true;
        Ok(())
    }

    fn release_slot(&mut self) {
        if self.slot {
            self.slot = false;
            let _ = self.node.send(Message::ReleaseSlot);
        }
    }

    /// Waits for a `pg_sleep`. A cancel ends it with an error.
    async fn sleep(&mut self, pause: Duration) -> Result<Result<(), SqlError>, WireError> {
        let elapsed = sleep(pause).fuse();
        let command = self.commands.recv_async().fuse();
        pin_mut!(elapsed, command);
        select_biased! {
            () = elapsed => Ok(Ok(())),
            received = command => match received {
                Ok(SessionCommand::Cancel) => Ok(Err(SqlError::new("57014", "cancelled"))),
                _ => Err(WireError::Closed),
            },
        }
    }

    fn send_to_node(&self, message: Message) -> Result<(), WireError> {
        self.node.send(message).map_err(|_| WireError::Closed)
    }

    /// Waits for the node's answer, or for the command to close the connection.
    async fn receive<T>(&self, answer: Receiver<T>) -> Result<T, WireError> {
        let received = answer.recv_async().fuse();
        let killed = self.wait_for_kill().fuse();
        pin_mut!(received, killed);
        select_biased! {
            received = received => received.map_err(|_| WireError::Closed),
            () = killed => Err(WireError::Closed),
        }
    }

    fn push_result(&mut self, output: &QueryResult, formats: &[i16], describe: bool) {
        if describe && !output.columns.is_empty() {
            self.out.push(row_description(&output.columns, formats));
        }
        for row in &output.rows {
            let mut data = BytesMut::new();
            for (i, value) in row.iter().enumerate() {
                let oid = output.columns.get(i).map_or(OID_TEXT, |(_, oid)| *oid);
                value.encode(oid, column_format(formats, i), &mut data);
            }
            let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
            let row = PgWireBackendMessage::DataRow(DataRow::new(data, count));
            self.out.push(row);
        }
        let complete = CommandComplete::new(output.tag.clone());
        let message = PgWireBackendMessage::CommandComplete(complete);
        self.out.push(message);
    }

    fn push_error(&mut self, error: &SqlError) {
        let message = error_response("ERROR", error.code, &error.text);
        self.out.push(message);
    }
}
