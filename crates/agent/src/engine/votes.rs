//! Whether a build is condemned, and which instance's vote at the platform stands for all: the lease on the vote's
//! role, the verdicts of the proxies here, and the proposals that follow from both.

use garnetcrank_consensus::build_verdicts::{self, BuildVerdict, BuildVerdicts, TooManyProxies};
use garnetcrank_consensus::ids::{InstanceId, Ticks};
use garnetcrank_consensus::lease_client::{LeaseAction, LeaseClient};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::proposal_queue::{NextProposal, ProposalOutcome, ProposalQueue};
use garnetcrank_consensus::replicated_state::{Command, ReplicatedState, Reply};
use tracing::{info, warn};

use super::Engine;
use super::replies::PendingReply;
use crate::api::VoteAssignment;
use crate::config::Config;
use crate::counters::{Counters, count};

/// Most proposals of the engine itself that wait.
const MAX_OWN_PROPOSALS: usize = 256;
/// Attempts to get an answer to one proposal.
const PROPOSAL_ATTEMPTS: u32 = 3;
/// A verdict that is not renewed expires after so many lease durations, so that it outlives one whole lease.
const LEASES_PER_VERDICT: u64 = 2;
/// Attempts that fit into a lease's duration, so that a renewal whose answer is lost can be sent again in time.
const ATTEMPTS_PER_LEASE: u64 = 3;

/// What a proposal of the engine belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProposalOwner {
    Lease,
    Verdicts,
}

struct OwnProposal {
    owner: ProposalOwner,
    command: Command,
}

/// This instance's part in the vote.
pub(super) struct VoteCoordinator {
    lease: LeaseClient,
    verdicts: BuildVerdicts,
    proposals: ProposalQueue<ProposalOwner>,
    proposal_timeout_ticks: u64,
}

impl VoteCoordinator {
    pub(super) fn new(me: InstanceId, config: &Config) -> Self {
        let lease_ttl = config.ticks(config.lease_ttl_ms);
        // Another wait at each instance, so that they don't all try to acquire a free lease at once.
        let stagger = 1 + me.0 % config.election_ticks as u64;
        Self {
            lease: LeaseClient::new(build_verdicts::vote_role(), me, lease_ttl, stagger),
            verdicts: BuildVerdicts::new(me, LEASES_PER_VERDICT * lease_ttl),
            proposals: ProposalQueue::new(MAX_OWN_PROPOSALS, PROPOSAL_ATTEMPTS),
            proposal_timeout_ticks: lease_ttl / ATTEMPTS_PER_LEASE + 1,
        }
    }

    /// Records a proxy's verdict.
    ///
    /// # Errors
    /// Too many proxies report to this agent.
    pub(super) fn record_verdict(
        &mut self,
        now: Ticks,
        proxy: &str,
        verdict: BuildVerdict,
    ) -> Result<(), TooManyProxies> {
        self.verdicts.record_verdict(now, proxy, verdict)
    }

    /// Forgets a proxy's verdict.
    pub(super) fn remove_proxy(&mut self, proxy: &str) {
        self.verdicts.remove_proxy(proxy);
    }

    /// The vote to cast at the platform, while this instance holds the lease.
    pub(super) fn vote(&mut self, now: Ticks, state: &ReplicatedState) -> Option<VoteAssignment> {
        let epoch = self.lease.valid_epoch(now)?;
        Some(VoteAssignment { epoch, verdict: self.verdicts.vote_to_cast(now, state) })
    }

    /// Queues the proposals that are due.
    fn queue_proposals(&mut self, now: Ticks, state: &ReplicatedState, counters: &Counters) {
        self.verdicts.observe_notices(now, state);
        let mut due: Vec<OwnProposal> = Vec::new();
        for command in self.verdicts.proposals(now, state) {
            due.push(OwnProposal { owner: ProposalOwner::Verdicts, command });
        }
        match self.lease.poll(now, state.lease(self.lease.role())) {
            Some(LeaseAction::Propose(command)) => {
                due.push(OwnProposal { owner: ProposalOwner::Lease, command });
            }
            // The platform knows no epochs, so there is no fencing gate that has to see this one first. A vote of a
            // deposed holder is one more instance's own vote, and the platform counts it as such.
            Some(LeaseAction::ObserveEpoch(epoch)) => {
                info!(%epoch, "this instance casts the platform's vote for all");
                count(&counters.leases_acquired);
                self.lease.on_epoch_observed(epoch);
            }
            None => {}
        }
        for proposal in due {
            self.submit(now, proposal);
        }
    }

    fn submit(&mut self, now: Ticks, proposal: OwnProposal) {
        if self.proposals.submit(proposal.owner, proposal.command).is_ok() {
            return;
        }
        warn!(owner = ?proposal.owner, "too many proposals of this instance are pending: one is dropped");
        if proposal.owner == ProposalOwner::Lease {
            self.lease.on_answer(now, &Answer::Busy);
        }
    }

    fn on_answer(&mut self, now: Ticks, answer: Answer) {
        let Some((owner, outcome)) = self.proposals.on_answer(answer) else { return };
        match (owner, outcome) {
            (ProposalOwner::Lease, ProposalOutcome::Applied(reply)) => {
                self.lease.on_answer(now, &Answer::Applied(reply));
            }
            (ProposalOwner::Lease, _) => self.lease.on_answer(now, &Answer::Indeterminate),
            (ProposalOwner::Verdicts, ProposalOutcome::Applied(Reply::Decided { first: true, .. })) => {
                info!("a build is condemned by this instance's verdict");
            }
            (ProposalOwner::Verdicts, _) => {}
        }
    }
}

impl Engine {
    /// Proposes what the lease and the verdicts call for. Only a voter takes part.
    pub(super) fn coordinate_votes(&mut self) {
        if !self.node.is_voter(self.peer_context.me.id) {
            return;
        }
        let now = self.clock.now();
        self.votes.queue_proposals(now, self.node.state(), &self.peer_context.counters);
        let timeout_ticks = self.votes.proposal_timeout_ticks;
        match self.votes.proposals.next_proposal() {
            Some(NextProposal::OpenSession) => {
                let ticket = self.replies.register(PendingReply::OwnProposal);
                self.node.open_session(ticket, timeout_ticks);
            }
            Some(NextProposal::Propose(proposal)) => {
                let ticket = self.replies.register(PendingReply::OwnProposal);
                self.node.propose(ticket, proposal, timeout_ticks);
            }
            None => {}
        }
    }

    pub(super) fn on_own_proposal_answered(&mut self, answer: Answer) {
        let now = self.clock.now();
        self.votes.on_answer(now, answer);
    }
}
