//! Publishing of events to proxies that watch.

use std::collections::BTreeMap;

use garnetcrank_consensus::build_verdicts;
use tokio::sync::watch;

use super::Engine;
use crate::api::WatchEvent;
use crate::engine_input::PublishedState;

/// The proxies that watch, and the state that was last published to them.
pub(super) struct ProxyPublisher {
    /// Number of watches, by proxy name. A proxy that reconnects may briefly have two.
    watches: BTreeMap<String, u32>,
    last: PublishedState,
    channel: watch::Sender<PublishedState>,
}

impl ProxyPublisher {
    pub(super) fn new(channel: watch::Sender<PublishedState>) -> Self {
        Self { watches: BTreeMap::new(), last: PublishedState::default(), channel }
    }

    /// Records a new watch of a proxy.
    pub(super) fn on_connected(&mut self, proxy: String) {
        *self.watches.entry(proxy).or_default() += 1;
    }

    /// Records the end of a watch. Returns the number of watches that the proxy has left, or `None` if it had
    /// none.
    pub(super) fn on_disconnected(&mut self, proxy: &str) -> Option<u32> {
        let watches = self.watches.get_mut(proxy)?;
        *watches -= 1;
        let remaining = *watches;
        if remaining == 0 {
            self.watches.remove(proxy);
        }
        Some(remaining)
    }

    /// Publishes an event and the voting proxy, unless neither has changed.
    fn publish(&mut self, event: WatchEvent) {
        // Any proxy could cast the vote, but only one may. The first by name among those that watch is
        // chosen.
        let voting_proxy = self.watches.keys().next().cloned();
        let state = PublishedState { event, voting_proxy };
        if state != self.last {
            self.last = state.clone();
            self.channel.send_replace(state);
        }
    }
}

impl Engine {
    /// Publishes the current state to proxies that watch.
    pub(super) fn publish(&mut self) {
        let now = self.clock.now();
        let state = self.node.state();
        let vote = self.votes.vote(now, state);
        let condemned_builds = build_verdicts::condemned_builds(state).collect();
        let quorum_available = self.is_quorum_available();
        self.publisher.publish(WatchEvent { condemned_builds, vote, quorum_available });
    }
}
