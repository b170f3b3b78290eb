//! Spreads the tables of the platform's store over the hosts.
//!
//! If every host reads the store, its calls grow with the fleet. In a large fleet two hosts of each
//! region read it, and the others follow these: they ask for news of a table and name the state that
//! they know. Each host publishes the state that it follows, with the time at which the store last
//! confirmed it, so that a host that is cut off or stands still passes nothing on as current.

mod publisher;
mod sources;

pub use self::{
    publisher::{Answers, Publisher, QueryId},
    sources::{AGE_LIMIT, Choice, Plan, Source, Sources, plan},
};
