//! The client of the platform: its transactional table service, object store and host list.
//!
//! The platform speaks HTTP and JSON. Each write carries a change id, so that a write whose answer
//! was lost is settled by reading back.

mod claims;
mod client;
mod error;
mod model;

pub use crate::{
    claims::{ClaimReply, GroupRow, claim, record},
    client::Client,
    error::PlatformError,
    model::{Conflict, HostEntry, HostState, Put, Row, Transaction, Written},
};
