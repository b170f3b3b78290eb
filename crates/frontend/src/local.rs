//! Statements that the proxy answers itself: `SET` and `SHOW` of its own settings.

use std::time::Duration;

use goldcrest_decide::session::{Change, ChangeError, IDEMPOTENCY_KEY_LIMIT};
use goldcrest_types::{Class, Name};
use goldcrest_wire::encode_backend;
use pgwire::messages::{
    PgWireBackendMessage, PgWireFrontendMessage,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::CommandComplete,
};

use crate::{ClientError, classify::Classification, refusals, session::SessionTask};

/// The type OID of `text`.
const TEXT_OID: u32 = 25;

/// The target type of `Describe` and `Close` messages that name a statement, not a portal.
const TARGET_STATEMENT: u8 = b'S';

/// Applies a change of one of the proxy's own settings to the session.
pub(crate) fn apply_setting(
    task: &mut SessionTask,
    name: &str,
    value: &str,
) -> Result<(), ClientError> {
    let change = match name {
        "session" => {
            let workspace = &task.state.workspace;
            Change::Floors(task.config.signer.read(workspace, value)?)
        }
        "max_age_ms" => Change::MaxAge(parse_max_age(value)?),
        "request_id" => Change::IdempotencyKey(parse_request_id(value)?),
        "class" => Change::Class(parse_class(value)?),
        _ => return Err(ChangeError::UnknownName(name.to_owned()).into()),
    };
    task.state.change(change);
    Ok(())
}

fn parse_max_age(value: &str) -> Result<Option<Duration>, ChangeError> {
    if value.is_empty() || value.eq_ignore_ascii_case("default") {
        return Ok(None);
    }
    let millis = value.parse().map_err(|_| ChangeError::InvalidValue {
        name: "max_age_ms",
        value: value.to_owned(),
        allowed: "a whole number of milliseconds, or default",
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

fn parse_request_id(value: &str) -> Result<Name, ChangeError> {
    let printable = value.chars().all(|c| c.is_ascii_graphic());
    if value.is_empty() || value.len() > IDEMPOTENCY_KEY_LIMIT || !printable {
        return Err(ChangeError::InvalidValue {
            name: "request_id",
            value: value.to_owned(),
            allowed: "1 to 128 printable characters without spaces",
        });
    }
    Ok(Name::from(value))
}

fn parse_class(value: &str) -> Result<Option<Class>, ChangeError> {
    match value {
        "short" => Ok(Some(Class::Short)),
        "long" => Ok(Some(Class::Long)),
        "default" | "" => Ok(None),
        _ => Err(ChangeError::InvalidValue {
            name: "class",
            value: value.to_owned(),
            allowed: "short, long or default",
        }),
    }
}

/// Answers a simple query that concerns the proxy's own settings.
pub(crate) async fn answer_simple(
    task: &mut SessionTask,
    statement: &Classification,
) -> Result<(), ClientError> {
    let mut messages = Vec::new();
    if *statement == Classification::ShowToken {
        messages.push(token_description());
    }
    run_statement(task, statement, &mut messages)?;
    messages.push(refusals::ready_for_query(task.tx));
    task.stream.send(encode_backend(messages)?).await?;
    Ok(())
}

/// Answers a batch of the extended protocol that concerns the proxy's own settings.
pub(crate) async fn answer_batch(
    task: &mut SessionTask,
    batch: &[PgWireFrontendMessage],
    statement: &Classification,
) -> Result<(), ClientError> {
    let mut messages = Vec::new();
    for message in batch {
        match message {
            PgWireFrontendMessage::Parse(_) => {
                messages.push(PgWireBackendMessage::ParseComplete(ParseComplete::new()));
            }
            PgWireFrontendMessage::Bind(_) => {
                messages.push(PgWireBackendMessage::BindComplete(BindComplete::new()));
            }
            PgWireFrontendMessage::Describe(d) => {
                describe(statement, d.target_type, &mut messages);
            }
            PgWireFrontendMessage::Execute(_) => run_statement(task, statement, &mut messages)?,
            PgWireFrontendMessage::Close(_) => {
                messages.push(PgWireBackendMessage::CloseComplete(CloseComplete::new()));
            }
            _ => {}
        }
    }
    messages.push(refusals::ready_for_query(task.tx));
    task.stream.send(encode_backend(messages)?).await?;
    Ok(())
}

/// Answers a batch that only closes statements and portals.
pub(crate) async fn answer_closes(task: &mut SessionTask, count: usize) -> Result<(), ClientError> {
    let close = || PgWireBackendMessage::CloseComplete(CloseComplete::new());
    let closes = std::iter::repeat_with(close).take(count);
    let messages = closes.chain([refusals::ready_for_query(task.tx)]);
    task.stream.send(encode_backend(messages)?).await?;
    Ok(())
}

fn describe(statement: &Classification, target: u8, messages: &mut Vec<PgWireBackendMessage>) {
    if target == TARGET_STATEMENT {
        let none = ParameterDescription::new(Vec::new());
        messages.push(PgWireBackendMessage::ParameterDescription(none));
    }
    messages.push(if *statement == Classification::ShowToken {
        token_description()
    } else {
        PgWireBackendMessage::NoData(NoData::new())
    });
}

fn run_statement(
    task: &mut SessionTask,
    statement: &Classification,
    messages: &mut Vec<PgWireBackendMessage>,
) -> Result<(), ClientError> {
    let tag = if let Classification::ProxySetting { name, value } = statement {
        apply_setting(task, name, value)?;
        "SET"
    } else {
        messages.push(text_row(&task.token()));
        "SHOW"
    };
    let complete = CommandComplete::new(tag.to_owned());
    messages.push(PgWireBackendMessage::CommandComplete(complete));
    Ok(())
}

fn token_description() -> PgWireBackendMessage {
    let field = FieldDescription::new("goldcrest.session".to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    PgWireBackendMessage::RowDescription(RowDescription::new(vec![field]))
}

fn text_row(text: &str) -> PgWireBackendMessage {
    let mut data = bytes::BytesMut::new();
    let length = i32::try_from(text.len()).unwrap_or_default();
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(text.as_bytes());
    PgWireBackendMessage::DataRow(DataRow::new(data, 1))
}
