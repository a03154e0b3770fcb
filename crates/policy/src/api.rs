//! The types that go into and come out of [`Policy`](crate::Policy): settings, events and actions.
//!
//! All times and durations are whole microseconds of the caller's clock ([`Micros`]). The types carry no
//! behaviour beyond small predicates on their own value.

mod action;
mod config;
mod endpoints;
mod event;
mod ids;
mod request;
mod rollout;

pub use action::Action;
pub use config::{Class, Config, Idempotency, KeyScope, Tenant};
pub use endpoints::{EndpointRecord, EndpointStatus, EndpointUpdate};
pub use event::Event;
pub use ids::{
    Build, CellId, ClassId, EndpointId, KeyId, KindId, Micros, PeerId, RequestId, TenantId, ZoneId,
};
pub use request::{AttemptResult, Outcome, Request};
pub use rollout::{ReplacementMode, Rollout, RolloutPhase, RolloutStatus, Verdict, VoteMode, VoteResult};
