//! The decisions of an instance that routes requests and votes on staged releases.
//!
//! [`Policy`] is a deterministic state machine: it takes [`Event`](api::Event)s together with the caller's
//! clock and returns [`Action`](api::Action)s. It does no I/O, reads no clock and keeps no global state: the
//! same seed, settings and events always give the same actions. [`api`] holds the types of its interface;
//! each of the other modules holds one concern with its constants and its state.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod admission;
pub mod api;
mod attempt_outcome;
mod build_health;
mod endpoints;
mod engine;
mod exposure;
mod load_balancing;
mod outlier_detection;
mod request_lifecycle;
mod retry;
mod rollout_state;
mod rollout_vote;
mod short_deadline;
mod slow_start;
mod token_bucket;
mod units;
mod window;

pub use engine::Policy;
