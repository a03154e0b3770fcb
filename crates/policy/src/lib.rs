//! Decisions of a balancer that routes requests and votes on staged releases.
//!
//! [`api`] holds the types that go in and out, [`brain`] every decision.

pub mod api;
pub mod brain;
mod state;

pub use brain::Policy;
