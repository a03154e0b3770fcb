//! End-to-end tests of the proxy's program on loopback, between scripted clients, endpoints, discovery and
//! release controller.

mod attempts;
mod bad_clients;
mod common;
mod configuration;
mod consensus;
mod disconnects;
mod endpoints;
mod fairness;
mod forwarding;
mod limits;
mod memory;
mod rollout;
mod seeded_faults;
mod seeded_streams;
mod short_deadlines;
mod shutdown;
mod stream_client;
mod stream_ends;
mod streaming;
mod watch_streams;
mod workers;
