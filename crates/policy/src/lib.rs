//! Decisions of a balancer that routes requests and votes on staged releases.
//!
//! [`interface`] holds the types that go in and out, [`brain`] every decision.

pub mod brain;
pub mod interface;
mod state;

pub use brain::Brain;
