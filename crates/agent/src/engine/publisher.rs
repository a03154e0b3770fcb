//! What is published to proxies that watch.

use std::collections::BTreeMap;

use garnetcrank_consensus::build_verdicts;
use tokio::sync::watch;

use super::Engine;
use crate::api::WatchEvent;
use crate::engine_input::PublishedState;

/// The proxies that watch, and what was published last.
pub(super) struct ProxyPublisher {
    /// Number of watches by the proxy's name: one that connects again may have two for a moment.
    watches: BTreeMap<String, u32>,
    last: PublishedState,
    channel: watch::Sender<PublishedState>,
}

impl ProxyPublisher {
    pub(super) fn new(channel: watch::Sender<PublishedState>) -> Self {
        Self { watches: BTreeMap::new(), last: PublishedState::default(), channel }
    }

    /// Notes a new watch of a proxy.
    pub(super) fn on_connected(&mut self, proxy: String) {
        *self.watches.entry(proxy).or_default() += 1;
    }

    /// Notes the end of a watch. Returns how many the proxy has left, or nothing if it had none.
    pub(super) fn on_disconnected(&mut self, proxy: &str) -> Option<u32> {
        let watches = self.watches.get_mut(proxy)?;
        *watches -= 1;
        let remaining = *watches;
        if remaining == 0 {
            self.watches.remove(proxy);
        }
        Some(remaining)
    }

    /// Publishes an event, unless nothing has changed.
    fn publish(&mut self, event: WatchEvent) {
        // The first by name, for as long as it watches: any would do, but only one may cast the vote.
        let voting_proxy = self.watches.keys().next().cloned();
        let state = PublishedState { event, voting_proxy };
        if state != self.last {
            self.last = state.clone();
            self.channel.send_replace(state);
        }
    }
}

impl Engine {
    /// Publishes what has changed.
    pub(super) fn publish(&mut self) {
        let now = self.clock.now();
        let state = self.node.state();
        let vote = self.votes.vote(now, state);
        let condemned_builds = build_verdicts::condemned_builds(state).collect();
        let quorum_available = self.is_quorum_available();
        self.publisher.publish(WatchEvent { condemned_builds, vote, quorum_available });
    }
}
