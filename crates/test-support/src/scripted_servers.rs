//! Scripted clients, endpoints, discovery and release controller on loopback, around a process of the real
//! proxy. They follow the protocol's specification, not the proxy's code, and wait for conditions, never for
//! exact times.

mod client;
mod documents;
mod endpoint;
mod message;
mod running_proxy;
mod setup;
mod stream;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub use client::{TestClient, request, request_id};
pub use documents::{endpoint_json, endpoint_list_json, rollout_event_json, rollout_state_json};
pub use endpoint::{ConnectionEnd, EndpointBehavior, ScriptedEndpoint, reset_on_close};
pub use message::{ReceivedMessage, read_message};
pub use running_proxy::{RunningProxy, free_address, proxy_executable};
pub use setup::{ProxySetup, write_config_file};
pub use stream::ScriptedStream;

/// Maximum wait for any condition; far longer than a slow host needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds; `what` names it.
///
/// # Panics
/// When it does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
