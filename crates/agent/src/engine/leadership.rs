//! Logging and counting of leadership changes.

use garnetcrank_consensus::ids::InstanceId;
use tracing::info;

use super::Engine;
use crate::counters::increment;

/// The leadership as last reported.
#[derive(Default)]
pub(super) struct LeadershipMonitor {
    is_leader: bool,
    leader: Option<InstanceId>,
}

impl Engine {
    /// Counts an election that this instance has won and logs a change of the leader.
    pub(super) fn report_leadership(&mut self) {
        let is_leader = self.node.is_leader();
        if is_leader && !self.leadership.is_leader {
            increment(&self.peer_context.counters.elections_won);
        }
        self.leadership.is_leader = is_leader;
        let leader = self.node.leader();
        if leader != self.leadership.leader {
            let name = leader.map_or("nobody".to_owned(), |id| self.member_name(id));
            info!(leader = name, term = self.node.status().term.0, "leader changed");
            self.leadership.leader = leader;
        }
    }
}
