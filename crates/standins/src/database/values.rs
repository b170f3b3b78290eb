//! Conversion of values and errors between SQLite and PostgreSQL.

use bytes::{BufMut, Bytes, BytesMut};
use rusqlite::{
    ErrorCode, ToSql,
    types::{ToSqlOutput, ValueRef},
};

const OID_BOOL: u32 = 16;
const OID_NAME: u32 = 19;
pub(super) const OID_INT8: u32 = 20;
const OID_INT2: u32 = 21;
pub(super) const OID_INT4: u32 = 23;
pub(super) const OID_TEXT: u32 = 25;
const OID_JSON: u32 = 114;
const OID_FLOAT4: u32 = 700;
pub(super) const OID_FLOAT8: u32 = 701;
const OID_BPCHAR: u32 = 1042;
const OID_VARCHAR: u32 = 1043;

/// The format code of binary parameters and columns.
const FORMAT_BINARY: i16 = 1;

/// A value of a row or a parameter.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Value {
    Null,
    Integer(i64),
    Real(f64),
    Text(String),
}

impl Value {
    pub(super) fn from_sqlite(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(i) => Self::Integer(i),
            ValueRef::Real(r) => Self::Real(r),
            ValueRef::Text(t) | ValueRef::Blob(t) => {
                Self::Text(String::from_utf8_lossy(t).into_owned())
            }
        }
    }

    /// Reads a parameter. Refuses a binary parameter of an unsupported type: read as text, it would
    /// silently match no row.
    pub(super) fn from_wire(
        bytes: Option<&Bytes>,
        format: i16,
        oid: u32,
    ) -> Result<Self, SqlError> {
        let Some(bytes) = bytes else {
            return Ok(Self::Null);
        };
        if format == FORMAT_BINARY {
            return Self::from_binary(bytes, oid);
        }
        Ok(Self::Text(String::from_utf8_lossy(bytes).into_owned()))
    }

    fn from_binary(bytes: &Bytes, oid: u32) -> Result<Self, SqlError> {
        Ok(match (oid, bytes.len()) {
            (OID_INT2, 2) => Self::Integer(i16::from_be_bytes(to_array(bytes)).into()),
            (OID_INT4, 4) => Self::Integer(i32::from_be_bytes(to_array(bytes)).into()),
            (OID_INT8, 8) => Self::Integer(i64::from_be_bytes(to_array(bytes))),
            (OID_FLOAT4, 4) => Self::Real(f32::from_be_bytes(to_array(bytes)).into()),
            (OID_FLOAT8, 8) => Self::Real(f64::from_be_bytes(to_array(bytes))),
            (OID_BOOL, 1) => Self::Integer(bytes[0].into()),
            (OID_TEXT | OID_VARCHAR | OID_BPCHAR | OID_NAME | OID_JSON, _) => {
                Self::Text(String::from_utf8_lossy(bytes).into_owned())
            }
            _ => {
                let text = format!("a binary parameter of type {oid} is not supported");
                return Err(SqlError::new("0A000", text));
            }
        })
    }

    /// Appends the value to a row, as a column of the given type and format.
    pub(super) fn encode(&self, oid: u32, format: i16, out: &mut BytesMut) {
        let text = match self {
            Self::Null => {
                out.put_i32(-1);
                return;
            }
            Self::Integer(i) if format == FORMAT_BINARY && oid == OID_INT8 => {
                out.put_i32(8);
                out.put_i64(*i);
                return;
            }
            Self::Real(r) if format == FORMAT_BINARY && oid == OID_FLOAT8 => {
                out.put_i32(8);
                out.put_f64(*r);
                return;
            }
            Self::Integer(i) => i.to_string(),
            Self::Real(r) => r.to_string(),
            Self::Text(t) => t.clone(),
        };
        out.put_i32(i32::try_from(text.len()).unwrap_or(i32::MAX));
        out.put_slice(text.as_bytes());
    }
}

impl ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        Ok(match self {
            Self::Null => ToSqlOutput::Borrowed(ValueRef::Null),
            Self::Integer(i) => ToSqlOutput::Borrowed(ValueRef::Integer(*i)),
            Self::Real(r) => ToSqlOutput::Borrowed(ValueRef::Real(*r)),
            Self::Text(t) => ToSqlOutput::Borrowed(ValueRef::Text(t.as_bytes())),
        })
    }
}

fn to_array<const N: usize>(bytes: &Bytes) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(bytes);
    out
}

/// An error with its SQLSTATE.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SqlError {
    pub code: &'static str,
    pub text: String,
}

impl SqlError {
    pub(super) fn new<T>(code: &'static str, text: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            code,
            text: text.into(),
        }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let text = error.to_string();
        let code = match error.sqlite_error_code() {
            Some(ErrorCode::ConstraintViolation) => "23505",
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => "40001",
            _ if text.contains("no such table") => "42P01",
            _ if text.contains("syntax error") => "42601",
            _ => "XX000",
        };
        Self { code, text }
    }
}
