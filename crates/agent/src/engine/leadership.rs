//! Changes of leadership, for the log and the counters.

use garnetcrank_consensus::ids::InstanceId;
use tracing::info;

use super::Engine;
use crate::counters::count;

/// The leadership that was last reported.
#[derive(Default)]
pub(super) struct LeadershipMonitor {
    is_leader: bool,
    leader: Option<InstanceId>,
}

impl Engine {
    /// Counts and logs a change of leadership, if there is one.
    pub(super) fn report_leadership(&mut self) {
        let is_leader = self.node.is_leader();
        if is_leader && !self.leadership.is_leader {
            count(&self.peer_context.counters.elections_won);
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
