//! A client of the platform's transactional table service, object store and host list.
//!
//! The platform's interface is HTTP with JSON. Each transaction carries a change id, so that it can
//! be repeated safely when its answer was lost. Reading a row back shows whether it took effect.

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
