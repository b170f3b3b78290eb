//! Core types shared by every crate: names, log marks, timestamps, requests and answers.
//!
//! Nothing here reads a clock, opens a socket or depends on an encoding.

pub mod answer;
pub mod channel;
pub mod group;
pub mod ids;
pub mod log;
pub mod names;
pub mod request;
pub mod statement;
pub mod store;
pub mod table;
pub mod timestamp;
pub mod workspace;

pub use crate::{
    answer::{Answer, NotRun, Outcome, Refusal, Reply, TxState},
    channel::{EndpointCommand, EndpointNotice, RelayCommand, RelayNotice, SessionCommand},
    group::{Acknowledge, Consistency, Report, Role, SealReply},
    ids::{AttemptId, ChangeId, EndpointIx, Lease, Pin, RequestId, RoundId, SessionId},
    log::{Floor, History, Mark, Position, Survival, Term, TermStart},
    names::Name,
    request::{Class, Kind, Request, RequestHead},
    statement::{
        AnswerFault, Claim, ConnectionCommand, ConnectionId, ConnectionNotice, Guard, OpenError,
        ReplicationStatus, Setting, Statement, StatementResult, StoreError, StoreNotice,
        SuccessionCommand, TxStart, Verdict,
    },
    store::StoreVersion,
    table::{TableCursor, TableQuery, TableReply, TableUpdate},
    timestamp::Timestamp,
    workspace::{Allowance, AllowanceAnswer, AllowanceAsk, KeyDigest},
};
