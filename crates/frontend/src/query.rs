//! Handles the messages of a client: simple queries, and batches of the extended protocol.

use goldcrest_types::{Kind, Name};
use goldcrest_wire::{Frame, encode_frontend};
use pgwire::messages::{PgWireFrontendMessage, simplequery::Query};

use crate::{
    ClientError,
    batch::{FinishedBatch, Purpose},
    classify::{Classification, classify},
    local, refusals,
    rewrite::{Rewritten, rewrite, strip_added},
    session::{ForwardedRequest, SessionTask},
};

const TAG_QUERY: u8 = b'Q';
const TAG_SYNC: u8 = b'S';
const TAG_TERMINATE: u8 = b'X';
const TAGS_EXTENDED: &[u8] = b"PBDECH";
const TAGS_COPY: &[u8] = b"dcf";

impl SessionTask {
    /// Handles one message. Returns false when the client terminates the session.
    pub(crate) async fn handle_message(&mut self, frame: &Frame) -> Result<bool, ClientError> {
        match frame.tag() {
            TAG_QUERY => self.handle_query(frame).await?,
            TAG_SYNC => self.handle_sync().await?,
            TAG_TERMINATE => return Ok(false),
            tag if TAGS_EXTENDED.contains(&tag) => self.buffer_message(frame)?,
            // The client may still send the data of a COPY that was refused.
            tag if TAGS_COPY.contains(&tag) => {}
            _ => {
                return Err(ClientError::Protocol(
                    "a message that a caller may not send",
                ));
            }
        }
        Ok(true)
    }

    /// Counts what the session holds between its messages.
    pub(crate) fn count_held(&mut self) -> Result<(), ClientError> {
        self.stream.set_pending(self.batch.bytes());
        let settings = self.state.settings.iter();
        let settings: usize = settings.map(|(name, sql)| name.len() + sql.len()).sum();
        let kept = settings + self.statements.bytes() + self.batch.portal_bytes();
        match self.stream.account() {
            Some(account) if !account.keep(kept) => Err(ClientError::NoRoom),
            _ => Ok(()),
        }
    }

    async fn handle_query(&mut self, frame: &Frame) -> Result<(), ClientError> {
        if self.batch.is_pending() {
            // Its answer would overtake that of the batch. The error is sent at the `Sync`.
            let reason = "a simple query before the sync of a batch is not supported";
            self.batch.refuse(ClientError::Unsupported(reason));
            return Ok(());
        }
        // The endpoint must not find another text in the message than was classified here.
        let Some((&0, text)) = frame.payload().split_last() else {
            return Err(ClientError::Protocol("a query ends with a zero byte"));
        };
        if text.contains(&0) {
            return Err(ClientError::Protocol("a query holds no zero byte"));
        }
        let PgWireFrontendMessage::Query(Query { query, .. }) = frame.decode_frontend()? else {
            return Err(ClientError::Protocol("a query was expected"));
        };
        let result = match classify(&query) {
            Classification::Forward {
                kind,
                dirty,
                tx_control,
            } => {
                let request = ForwardedRequest {
                    kind,
                    dirty,
                    tx_control,
                    body: frame.bytes().clone(),
                };
                self.forward_checked(request).await
            }
            Classification::SessionSetting { name } => {
                self.apply_session_setting(name, &query).await
            }
            Classification::Unsupported(reason) => Err(ClientError::Unsupported(reason)),
            local => local::answer_simple(self, &local).await,
        };
        self.report_error(result).await
    }

    fn buffer_message(&mut self, frame: &Frame) -> Result<(), ClientError> {
        let message = frame.decode_frontend()?;
        let limit = self.config.limits.message_bytes;
        let size = frame.bytes().len();
        self.batch.push(message, size, limit, &mut self.statements);
        Ok(())
    }

    async fn handle_sync(&mut self) -> Result<(), ClientError> {
        let result = match self.batch.finish() {
            Ok(finished) => self.run_batch(finished).await,
            Err(error) => Err(error),
        };
        self.report_error(result).await
    }

    async fn run_batch(&mut self, finished: FinishedBatch) -> Result<(), ClientError> {
        let FinishedBatch {
            messages,
            closed,
            purpose,
        } = finished;
        match purpose {
            Purpose::CloseOnly => local::answer_closes(self, messages.len()).await?,
            Purpose::Local(local) => local::answer_batch(self, &messages, &local).await?,
            Purpose::SessionSetting { name, sql } => {
                self.record_setting(name.clone(), &sql)?;
                let rewritten = rewrite(messages, &self.statements)?;
                if !self.send_rewritten(rewritten, Kind::Read, true).await? {
                    self.state
                        .settings
                        .retain(|(recorded, _)| *recorded != name);
                }
            }
            Purpose::Forward {
                kind,
                dirty,
                tx_control,
            } => {
                self.check_request_id(kind, tx_control)?;
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
        let request = ForwardedRequest {
            kind,
            dirty,
            tx_control: false,
            body,
        };
        self.forward(request, |answer| strip_added(answer, &added))
            .await
    }

    async fn forward_checked(&mut self, request: ForwardedRequest) -> Result<(), ClientError> {
        self.check_request_id(request.kind, request.tx_control)?;
        self.forward(request, |answer| answer).await?;
        Ok(())
    }

    /// Runs a `SET` statement on one endpoint, and records it for the session if it succeeds there.
    async fn apply_session_setting(&mut self, name: Name, sql: &str) -> Result<(), ClientError> {
        self.record_setting(name.clone(), sql)?;
        let query = PgWireFrontendMessage::Query(Query::new(sql.to_owned()));
        let request = ForwardedRequest {
            kind: Kind::Read,
            dirty: true,
            tx_control: false,
            body: encode_frontend([query])?,
        };
        if !self.forward(request, |answer| answer).await? {
            self.state
                .settings
                .retain(|(recorded, _)| *recorded != name);
        }
        Ok(())
    }

    fn record_setting(&mut self, name: Name, sql: &str) -> Result<(), ClientError> {
        if self.state.pin.is_some() {
            let reason =
                "a session's settings are changed outside transactions; use SET LOCAL inside";
            return Err(ClientError::Unsupported(reason));
        }
        self.state.keep_setting(name, Name::from(sql))?;
        Ok(())
    }

    /// Checks that `goldcrest.request_id` is set only for a write outside a transaction that
    /// neither opens nor ends one.
    fn check_request_id(&mut self, kind: Kind, tx_control: bool) -> Result<(), ClientError> {
        if self.state.idempotency_key.is_none() || kind == Kind::Read {
            return Ok(());
        }
        if tx_control || self.state.pin.is_some() {
            self.state.idempotency_key = None;
            let reason = "goldcrest.request_id covers a single write outside a transaction";
            return Err(ClientError::Unsupported(reason));
        }
        Ok(())
    }

    /// Sends an error that leaves the session usable to the client, and passes on any other.
    async fn report_error(&mut self, result: Result<(), ClientError>) -> Result<(), ClientError> {
        match result {
            Err(error) if !error.is_fatal() => {
                let answer = refusals::error_answer(&error, self.tx)?;
                self.stream.send(answer).await?;
                Ok(())
            }
            other => other,
        }
    }
}
