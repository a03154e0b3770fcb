//! Reloads the configuration on SIGHUP.

use garnetcrank_policy::api::Micros;
use tracing::{info, warn};

use super::Proxy;

impl Proxy {
    /// Reads the configuration again and moves discovery and the release controller to their new addresses.
    /// An invalid configuration changes nothing; no request in flight is dropped.
    pub(super) fn reload(&mut self, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let new = match control_plane.startup_settings.reload(|name| std::env::var(name).ok()) {
            Ok(new) => new,
            Err(error) => {
                self.counters.reloads_rejected += 1;
                warn!("reload: {error}; the current configuration stays in effect");
                return;
            }
        };
        self.counters.reloads += 1;
        info!("reload: discovery at {}, release controller at {}", new.discovery, new.release_controller);
        for key in &new.ignored_keys {
            warn!("reload: {key}: the new value takes effect at the next start");
        }
        let endpoints = control_plane.discovery.reconfigure(new.discovery, new.cached_members, now);
        let rollout_events =
            control_plane.release_controller.reconfigure(new.release_controller, new.rollout_state, now);
        self.apply_discovery_update(endpoints);
        self.apply_rollout_events(rollout_events);
        self.tick_control_plane(now);
    }
}
