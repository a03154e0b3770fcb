//! Scripted clients, endpoints, discovery and release controller on loopback, with the real program between them. They
//! are written from the protocol's specification and wait for conditions, never for exact times.

mod client;
mod documents;
mod endpoint;
mod message;
mod running_proxy;
mod setup;
mod stream;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub use client::{TestClient, request};
pub use documents::{list, member, progress, state};
pub use endpoint::{EndpointBehavior, ScriptedEndpoint};
pub use message::{ReceivedMessage, read_message};
pub use running_proxy::{RunningProxy, free_address, program};
pub use setup::{ProxySetup, config_file};
pub use stream::ScriptedStream;

/// Maximum wait for any condition: far beyond what a slow host needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds; `what` names it.
///
/// # Panics
/// It does not hold in time.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "never came: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
