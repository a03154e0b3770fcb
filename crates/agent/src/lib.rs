//! The agent: one process an instance. It takes part in the agreement with its peers over TCP and serves fronts and
//! operators on a local port.
//!
//! - [`config`]: its configuration, read and checked in one place;
//! - [`wire`]: frames between peers; [`peers`]: connections to them;
//! - [`core`]: the thread that owns the node, the clerk and the trust; [`writer`]: the thread that owns the store;
//! - [`local`]: the local port; [`api`]: what is said there.

pub mod api;
pub mod config;
pub mod core;
pub mod counters;
pub mod local;
pub mod peers;
pub mod wire;
pub mod writer;
