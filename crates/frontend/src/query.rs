//! A caller's messages: simple queries, and the extended protocol up to its sync.

use goldcrest_types::{Kind, Name};
use goldcrest_wire::{Frame, encode_frontend};
use pgwire::messages::{PgWireFrontendMessage, simplequery::Query};

use crate::{
    ClientError,
    batch::{Finished, Purpose},
    classify::{Classification, classify},
    local, refusals,
    rewrite::{Rewritten, restore, rewrite},
    session::{Task, Work},
};

const TAG_QUERY: u8 = b'Q';
const TAG_SYNC: u8 = b'S';
const TAG_TERMINATE: u8 = b'X';
const TAGS_EXTENDED: &[u8] = b"PBDECH";
const TAGS_COPY: &[u8] = b"dcf";

impl Task {
    /// Serves one message. Returns false when the caller leaves.
    pub(crate) async fn take(&mut self, frame: &Frame) -> Result<bool, ClientError> {
        match frame.tag() {
            TAG_QUERY => self.simple(frame).await?,
            TAG_SYNC => self.sync().await?,
            TAG_TERMINATE => return Ok(false),
            tag if TAGS_EXTENDED.contains(&tag) => self.extend(frame)?,
            // What is left of a refused copy.
            tag if TAGS_COPY.contains(&tag) => {}
            _ => {
                return Err(ClientError::Protocol(
                    "a message that a caller may not send",
                ));
            }
        }
        Ok(true)
    }

    async fn simple(&mut self, frame: &Frame) -> Result<(), ClientError> {
        let PgWireFrontendMessage::Query(Query { query, .. }) = frame.decode_frontend()? else {
            return Err(ClientError::Protocol("a query was expected"));
        };
        let done = match classify(&query) {
            Classification::Work {
                kind,
                dirty,
                control,
            } => {
                let work = Work {
                    kind,
                    dirty,
                    control,
                    body: frame.bytes().clone(),
                };
                self.work(work).await
            }
            Classification::Keep { name } => self.keep(name, &query).await,
            Classification::Unsupported(why) => Err(ClientError::Unsupported(why)),
            own => local::answer_simple(self, &own).await,
        };
        self.report(done).await
    }

    fn extend(&mut self, frame: &Frame) -> Result<(), ClientError> {
        let message = frame.decode_frontend()?;
        let limit = self.front.limits.message_bytes;
        let size = frame.bytes().len();
        self.batch.push(message, size, limit, &mut self.statements);
        Ok(())
    }

    async fn sync(&mut self) -> Result<(), ClientError> {
        let done = match self.batch.finish() {
            Ok(finished) => self.run_batch(finished).await,
            Err(error) => Err(error),
        };
        self.report(done).await
    }

    async fn run_batch(&mut self, finished: Finished) -> Result<(), ClientError> {
        let Finished {
            messages,
            closed,
            purpose,
        } = finished;
        match purpose {
            Purpose::Nothing => local::answer_closes(self, messages.len()).await?,
            Purpose::Own(own) => local::answer_batch(self, &messages, &own).await?,
            Purpose::Keep { name, sql } => {
                self.keep_statement(name.clone(), &sql)?;
                let rewritten = rewrite(messages, &self.statements)?;
                if !self.send_rewritten(rewritten, Kind::Read, true).await? {
                    self.state.settings.retain(|(kept, _)| *kept != name);
                }
            }
            Purpose::Work {
                kind,
                dirty,
                control,
            } => {
                self.check_repeat(kind, control)?;
                let rewritten = rewrite(messages, &self.statements)?;
                self.send_rewritten(rewritten, kind, dirty).await?;
            }
        }
        self.statements.close(&closed);
        Ok(())
    }

    async fn send_rewritten(
        &mut self,
        rewritten: Rewritten,
        kind: Kind,
        dirty: bool,
    ) -> Result<bool, ClientError> {
        let Rewritten { body, added } = rewritten;
        let work = Work {
            kind,
            dirty,
            control: false,
            body,
        };
        self.relay(work, |answer| restore(answer, &added)).await
    }

    async fn work(&mut self, work: Work) -> Result<(), ClientError> {
        self.check_repeat(work.kind, work.control)?;
        self.relay(work, |answer| answer).await?;
        Ok(())
    }

    /// A setting on the endpoint's side is tried on one endpoint and kept if that takes it.
    async fn keep(&mut self, name: Name, sql: &str) -> Result<(), ClientError> {
        self.keep_statement(name.clone(), sql)?;
        let query = PgWireFrontendMessage::Query(Query::new(sql.to_owned()));
        let work = Work {
            kind: Kind::Read,
            dirty: true,
            control: false,
            body: encode_frontend([query])?,
        };
        if !self.relay(work, |answer| answer).await? {
            self.state.settings.retain(|(kept, _)| *kept != name);
        }
        Ok(())
    }

    fn keep_statement(&mut self, name: Name, sql: &str) -> Result<(), ClientError> {
        if self.state.pin.is_some() {
            let why = "a session's settings are changed outside transactions; use SET LOCAL inside";
            return Err(ClientError::Unsupported(why));
        }
        self.state.keep_setting(name, Name::from(sql))?;
        Ok(())
    }

    /// A request id covers one write outside a transaction, which must not open or end one.
    fn check_repeat(&mut self, kind: Kind, control: bool) -> Result<(), ClientError> {
        if self.state.idempotency_key.is_none() || kind == Kind::Read {
            return Ok(());
        }
        if control || self.state.pin.is_some() {
            self.state.idempotency_key = None;
            let why = "goldcrest.request_id covers a single write outside a transaction";
            return Err(ClientError::Unsupported(why));
        }
        Ok(())
    }

    /// Reports an error that leaves the session usable.
    async fn report(&mut self, done: Result<(), ClientError>) -> Result<(), ClientError> {
        match done {
            Err(error) if !error.is_fatal() => {
                let answer = refusals::error_answer(&error, self.tx)?;
                self.wire.send(answer).await?;
                Ok(())
            }
            other => other,
        }
    }
}
