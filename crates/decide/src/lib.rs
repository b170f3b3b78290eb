//! The proxy's decision logic, without sockets, clocks, system randomness or encodings.
//!
//! State is kept in plain structs. Each step takes an event and the current time, updates the state
//! and returns a short list of actions for a task to carry out.

pub mod admission;
pub mod allowance;
pub mod budget;
pub mod concurrency;
pub mod configuration;
pub mod eras;
pub mod fence;
pub mod fenced;
pub mod fleet;
pub mod group;
pub mod inspection;
pub mod lease;
pub mod matching;
pub mod owners;
pub mod pool;
pub mod promote;
pub mod relay;
pub mod retry;
pub mod route;
pub mod session;
pub mod session_state;
pub mod setup;
pub mod share;
pub mod tables;
