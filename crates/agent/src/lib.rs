//! The agent: one process per instance. It runs Raft consensus with its peers over TCP and serves the proxies
//! and operators of its own machine over HTTP.
//!
//! - [`config`]: the configuration file;
//! - [`peer_protocol`]: frames between agents; [`peer_transport`]: the connections that carry them;
//! - [`engine_input`]: the engine's inputs and the state it publishes; other modules depend on this one
//!   rather than on the engine;
//! - [`engine`]: the thread that owns the Raft node and all state derived from it;
//! - [`storage_writer`]: the thread that owns the store;
//! - [`http_api`]: the local HTTP port; [`api`]: its request and response bodies;
//! - [`counters`]: counters shared by all threads.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

pub mod api;
pub mod config;
pub mod counters;
pub mod engine;
pub mod engine_input;
pub mod http_api;
pub mod peer_protocol;
pub mod peer_transport;
pub mod storage_writer;
