//! Stand-ins: devices and peers that misbehave on request, for the tests and benches of all packages.

pub mod agents;
pub mod disk;
pub mod fleet;
pub mod front;
pub mod history;
pub mod load;
pub mod relay;
