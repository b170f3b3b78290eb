//! A client of the platform's transactional table service, object store and host list.
//!
//! The platform speaks HTTP with JSON. Each write carries a change id: reading the row back shows
//! whether a write whose answer was lost took effect.

mod claims;
mod client;
mod error;
mod model;

pub use crate::{
    claims::{ClaimReply, GroupRow, claim_term, record_primary},
    client::Client,
    error::PlatformError,
    model::{Conflict, HostEntry, HostState, Put, Row, Transaction, Written},
};
