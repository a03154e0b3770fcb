//! Views of the node, its members and the leases for operators.

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::membership::PeerProgress;
use garnetcrank_consensus::replicated_state::Member;

use super::Engine;
use crate::api::{LeaseView, MemberView, StatusView, format_instance_id};

impl Engine {
    pub(super) fn status(&self) -> StatusView {
        let progress = self.node.peer_progress();
        let state = self.node.state();
        StatusView {
            cluster: self.config.cluster.clone(),
            me: self.member_view(&self.peer_context.me, &progress),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            starts: self.start_count,
            uptime_ms: self.clock.uptime_ms(),
            node: self.node.status(),
            leader: self.node.leader().map(|id| self.member_name(id)),
            members: state.members().map(|member| self.member_view(member, &progress)).collect(),
            subject_count: state.subject_count(),
            session_count: state.session_count(),
            store_bytes: self.persistence.file_bytes(),
        }
    }

    fn member_view(&self, member: &Member, progress: &[PeerProgress]) -> MemberView {
        let progress = progress.iter().find(|progress| progress.id == member.id);
        MemberView {
            id: format_instance_id(member.id),
            name: member.name.clone(),
            address: member.address.clone(),
            role: self.member_role(member.id).to_owned(),
            recently_active: progress.map(|progress| progress.recently_active),
            matched_index: progress.map(|progress| progress.matched),
        }
    }

    fn member_role(&self, id: InstanceId) -> &'static str {
        if self.node.state().member(id).is_none() {
            "none"
        } else if self.node.is_voter(id) {
            "voter"
        } else {
            "learner"
        }
    }

    pub(super) fn lease_views(&self) -> Vec<LeaseView> {
        let mut views = Vec::new();
        for (role, lease) in self.node.state().leases() {
            views.push(LeaseView {
                role: role.0.clone(),
                holder: lease.holder.map(|id| self.member_name(id)),
                epoch: lease.epoch,
                renewed_at: lease.renewed,
            });
        }
        views
    }

    /// Returns the name of a member, or the id in hexadecimal if the instance is not a member.
    pub(super) fn member_name(&self, id: InstanceId) -> String {
        match self.node.state().member(id) {
            Some(member) => member.name.clone(),
            None => format_instance_id(id),
        }
    }

    /// Returns whether a quorum is available as far as this instance knows: it is a voter and knows a leader.
    pub(super) fn is_quorum_available(&self) -> bool {
        self.node.leader().is_some() && self.node.is_voter(self.peer_context.me.id)
    }
}
