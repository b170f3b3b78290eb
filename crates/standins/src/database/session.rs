//! A connection to a node, in PostgreSQL v3.

use std::{collections::HashMap, time::Duration};

use bytes::BytesMut;
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
    NodePlan,
    control::ControlCall,
    engine::{Column, Done},
    peers::{Message, Said, SessionKey, SessionOrder, Statement},
    text::{description, format_of, placeholders, sleeps, split},
    values::{Failure, OID_TEXT, Value},
};

const MESSAGE_BYTES: usize = 64 << 20;
const TARGET_STATEMENT: u8 = b'S';

#[derive(Debug, Clone)]
struct Portal {
    statement: Statement,
    formats: Vec<i16>,
}

struct Session {
    wire: PgStream,
    node: Sender<Message>,
    key: SessionKey,
    orders: Receiver<SessionOrder>,
    said: Said,
    tx: TxState,
    statements: HashMap<String, Parse>,
    portals: HashMap<String, Portal>,
    out: Vec<PgWireBackendMessage>,
    failed: bool,
    slot: bool,
}

/// Serves a connection until it ends or the node kills it.
pub(super) async fn run(stream: TcpStream, plan: NodePlan, node: Sender<Message>) {
    let Ok(mut wire) = PgStream::new(stream, MESSAGE_BYTES) else {
        return;
    };
    let Ok(Some(())) = hello(&mut wire, &node).await else {
        return;
    };
    sleep(plan.setup_time).await;
    let (orders, inbox) = flume::unbounded();
    let (reply, answer) = flume::bounded(1);
    if node.send(Message::Open(orders, reply)).is_err() {
        return;
    }
    let Ok(opened) = answer.recv_async().await else {
        return;
    };
    let Some((key, said)) = opened else {
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
        orders: inbox,
        said,
        tx: TxState::Idle,
        statements: HashMap::new(),
        portals: HashMap::new(),
        out: Vec::new(),
        failed: false,
        slot: false,
    };
    // The caller sees the end of its connection; there is nobody else to tell.
    let _ = session.serve().await;
    session.free_slot();
    let _ = session.node.send(Message::Close(key));
}

/// Reads up to the start-up message. Nothing means that the connection was a cancel request.
async fn hello(wire: &mut PgStream, node: &Sender<Message>) -> Result<Option<()>, WireError> {
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
                let no = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
                wire.send(encode_backend([no])?).await?;
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
        self.ready().await?;
        loop {
            let frame = self.next_frame().await?;
            match frame.tag() {
                b'X' => return Ok(()),
                b'Q' => self.simple(&frame).await?,
                b'S' => {
                    self.failed = false;
                    self.ready().await?;
                }
                _ if self.failed => {}
                _ => self.extended(&frame).await?,
            }
        }
    }

    async fn next_frame(&mut self) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = self.wire.try_next()? {
                return Ok(frame);
            }
            self.readable().await?;
            self.wire.fill().await?;
        }
    }

    async fn readable(&self) -> Result<(), WireError> {
        let killed = self.killed().fuse();
        let readable = self.wire.ready().fuse();
        pin_mut!(killed, readable);
        select_biased! {
            () = killed => Err(WireError::Closed),
            got = readable => got,
        }
    }

    /// Waits for the order to break the connection. Cancels find nothing to cancel.
    async fn killed(&self) {
        while let Ok(SessionOrder::Cancel) = self.orders.recv_async().await {}
    }

    /// Ends a request: parameters of the group, then the ready message.
    async fn ready(&mut self) -> Result<(), WireError> {
        self.free_slot();
        let role = match self.said.role {
            Role::Primary => "primary",
            Role::Replica => "replica",
        };
        let parameters = [
            ("group_term", self.said.mark.term.0.to_string()),
            ("log_position", self.said.mark.position.0.to_string()),
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
        self.wire.send(bytes).await
    }

    async fn simple(&mut self, frame: &Frame) -> Result<(), WireError> {
        let PgWireFrontendMessage::Query(query) = frame.decode_frontend()? else {
            return Err(WireError::Closed);
        };
        let parts = split(&query.query);
        if parts.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            self.out.push(empty);
        }
        // Several statements in one query are one transaction, unless they say otherwise.
        let implicit = parts.len() > 1 && self.tx == TxState::Idle;
        if implicit {
            self.run("BEGIN".to_owned(), Vec::new()).await?.ok();
        }
        let mut error = None;
        for sql in parts {
            match self.run(sql, Vec::new()).await? {
                Ok(done) => self.push_result(&done, &[], true),
                Err(failure) => {
                    error = Some(failure);
                    break;
                }
            }
        }
        if let Some(failure) = error {
            self.push_failure(&failure);
        }
        if implicit && self.tx != TxState::Idle {
            let ended = self.run("COMMIT".to_owned(), Vec::new()).await?;
            if let Err(failure) = ended {
                self.out.clear();
                self.push_failure(&failure);
            }
        }
        self.ready().await
    }

    async fn extended(&mut self, frame: &Frame) -> Result<(), WireError> {
        let done = match frame.decode_frontend()? {
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
        if let Err(failure) = done {
            self.failed = true;
            self.push_failure(&failure);
        }
        Ok(())
    }

    async fn parse(&mut self, parse: Parse) -> Result<Result<(), Failure>, WireError> {
        if let Err(failure) = self.describe_sql(&parse.query).await? {
            return Ok(Err(failure));
        }
        let name = parse.name.clone().unwrap_or_default();
        self.statements.insert(name, parse);
        let complete = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        self.out.push(complete);
        Ok(Ok(()))
    }

    fn bind(&mut self, bind: &Bind) -> Result<(), Failure> {
        let name = bind.statement_name.as_deref().unwrap_or_default();
        let Some(parse) = self.statements.get(name) else {
            return Err(Failure::new("26000", "no such prepared statement"));
        };
        let read = bind.parameters.iter().enumerate().map(|(i, bytes)| {
            let format = format_of(&bind.parameter_format_codes, i);
            let oid = parse.type_oids.get(i).copied().unwrap_or(OID_TEXT);
            Value::from_wire(bytes.as_ref(), format, oid)
        });
        let parameters = read.collect::<Result<_, Failure>>()?;
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

    async fn describe(&mut self, describe: &Describe) -> Result<Result<(), Failure>, WireError> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (sql, formats) = if describe.target_type == TARGET_STATEMENT {
            let Some(parse) = self.statements.get(name) else {
                return Ok(Err(Failure::new("26000", "no such prepared statement")));
            };
            let count = placeholders(&parse.query);
            let oids = (0..count).map(|i| parse.type_oids.get(i).copied().unwrap_or(OID_TEXT));
            let description = ParameterDescription::new(oids.collect());
            let sql = parse.query.clone();
            let message = PgWireBackendMessage::ParameterDescription(description);
            self.out.push(message);
            (sql, Vec::new())
        } else {
            let Some(portal) = self.portals.get(name) else {
                return Ok(Err(Failure::new("34000", "no such portal")));
            };
            (portal.statement.sql.clone(), portal.formats.clone())
        };
        Ok(self.describe_sql(&sql).await?.map(|columns| {
            let message = description(&columns, &formats);
            self.out.push(message);
        }))
    }

    async fn execute(&mut self, name: &str) -> Result<Result<(), Failure>, WireError> {
        let Some(portal) = self.portals.get(name).cloned() else {
            return Ok(Err(Failure::new("34000", "no such portal")));
        };
        let Statement { sql, parameters } = portal.statement;
        Ok(self
            .run(sql, parameters)
            .await?
            .map(|done| self.push_result(&done, &portal.formats, false)))
    }

    async fn describe_sql(&mut self, sql: &str) -> Result<Result<Vec<Column>, Failure>, WireError> {
        let (reply, answer) = flume::bounded(1);
        self.tell(Message::Describe(sql.to_owned(), reply))?;
        self.wait(answer).await
    }

    async fn run(
        &mut self,
        sql: String,
        parameters: Vec<Value>,
    ) -> Result<Result<Done, Failure>, WireError> {
        if let Some(call) = ControlCall::parse(&sql) {
            return self.control(call).await.map(Ok);
        }
        self.take_slot().await?;
        if let Some(pause) = sleeps(&sql)
            && let Err(failure) = self.sleep(pause).await?
        {
            self.tell(Message::Fail(self.key))?;
            if self.tx == TxState::Open {
                self.tx = TxState::Failed;
            }
            return Ok(Err(failure));
        }
        self.run_now(sql, parameters).await
    }

    async fn run_now(
        &mut self,
        sql: String,
        parameters: Vec<Value>,
    ) -> Result<Result<Done, Failure>, WireError> {
        let (reply, answer) = flume::bounded(1);
        let statement = Statement { sql, parameters };
        self.tell(Message::Run(self.key, statement, reply))?;
        let (result, said) = self.wait(answer).await?;
        self.said = said;
        self.tx = said.tx;
        Ok(result)
    }

    async fn control(&mut self, call: ControlCall) -> Result<Done, WireError> {
        let (reply, answer) = flume::bounded(1);
        self.tell(Message::Control(call, reply))?;
        let (row, said) = self.wait(answer).await?;
        self.said = said;
        let names = call.columns().iter();
        Ok(Done {
            tag: "SELECT 1".to_owned(),
            columns: names.map(|n| ((*n).to_owned(), OID_TEXT)).collect(),
            rows: vec![row.into_iter().map(Value::Text).collect()],
            ..Done::default()
        })
    }

    /// Waits for one of the node's slots. The request holds it up to its end.
    async fn take_slot(&mut self) -> Result<(), WireError> {
        if self.slot {
            return Ok(());
        }
        let (reply, answer) = flume::bounded(1);
        self.tell(Message::Slot(self.key, reply))?;
        self.wait(answer).await?;
        self.slot = true;
        Ok(())
    }

    fn free_slot(&mut self) {
        if self.slot {
            self.slot = false;
            let _ = self.node.send(Message::FreeSlot);
        }
    }

    async fn sleep(&mut self, pause: Duration) -> Result<Result<(), Failure>, WireError> {
        let over = sleep(pause).fuse();
        let order = self.orders.recv_async().fuse();
        pin_mut!(over, order);
        select_biased! {
            () = over => Ok(Ok(())),
            got = order => match got {
                Ok(SessionOrder::Cancel) => Ok(Err(Failure::new("57014", "cancelled"))),
                _ => Err(WireError::Closed),
            },
        }
    }

    fn tell(&self, message: Message) -> Result<(), WireError> {
        self.node.send(message).map_err(|_| WireError::Closed)
    }

    /// Waits for the node's answer, or for the order to break the connection.
    async fn wait<T>(&self, answer: Receiver<T>) -> Result<T, WireError> {
        let got = answer.recv_async().fuse();
        let killed = self.killed().fuse();
        pin_mut!(got, killed);
        select_biased! {
            got = got => got.map_err(|_| WireError::Closed),
            () = killed => Err(WireError::Closed),
        }
    }

    fn push_result(&mut self, done: &Done, formats: &[i16], describe: bool) {
        if describe && !done.columns.is_empty() {
            self.out.push(description(&done.columns, formats));
        }
        for row in &done.rows {
            let mut data = BytesMut::new();
            for (i, value) in row.iter().enumerate() {
                let oid = done.columns.get(i).map_or(OID_TEXT, |(_, oid)| *oid);
                value.put(oid, format_of(formats, i), &mut data);
            }
            let count = i16::try_from(row.len()).unwrap_or(i16::MAX);
            let row = PgWireBackendMessage::DataRow(DataRow::new(data, count));
            self.out.push(row);
        }
        let complete = CommandComplete::new(done.tag.clone());
        let message = PgWireBackendMessage::CommandComplete(complete);
        self.out.push(message);
    }

    fn push_failure(&mut self, failure: &Failure) {
        let message = error_response("ERROR", failure.code, &failure.text);
        self.out.push(message);
    }
}
