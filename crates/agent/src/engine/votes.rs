//! Coordination of the vote on builds: the lease on the role that casts the platform's vote for all
//! instances, the verdicts of the proxies that report to this agent, and the proposals that follow from both.

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
use crate::counters::{Counters, increment};

/// Maximum number of the engine's own proposals that are queued.
const MAX_ENGINE_PROPOSALS: usize = 256;
/// Maximum number of times that one proposal is sent to the Raft node.
const MAX_PROPOSAL_ATTEMPTS: u32 = 3;
/// Lease durations after which a verdict that is not renewed expires, so that it outlives one lease.
const VERDICT_TTL_LEASES: u64 = 2;
/// Proposal attempts that fit into a lease's duration, so that a renewal whose answer is lost can be sent
/// again before the lease expires.
const ATTEMPTS_PER_LEASE: u64 = 3;

/// The component that a proposal of the engine belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProposalOwner {
    Lease,
    Verdicts,
}

struct EngineProposal {
    owner: ProposalOwner,
    command: Command,
}

/// The lease client, the verdicts and the proposal queue of this instance.
pub(super) struct VoteCoordinator {
    lease: LeaseClient,
    verdicts: BuildVerdicts,
    proposals: ProposalQueue<ProposalOwner>,
    proposal_timeout_ticks: u64,
}

impl VoteCoordinator {
    pub(super) fn new(me: InstanceId, config: &Config) -> Self {
        let lease_ttl = config.ticks(config.lease_ttl_ms);
        // The wait depends on the instance's id, so that instances don't all try to acquire a free lease at
        // the same time.
        let stagger = 1 + me.0 % config.election_ticks as u64;
        Self {
            lease: LeaseClient::new(build_verdicts::vote_role(), me, lease_ttl, stagger),
            verdicts: BuildVerdicts::new(me, VERDICT_TTL_LEASES * lease_ttl),
            proposals: ProposalQueue::new(MAX_ENGINE_PROPOSALS, MAX_PROPOSAL_ATTEMPTS),
            proposal_timeout_ticks: lease_ttl / ATTEMPTS_PER_LEASE + 1,
        }
    }

    /// Records a proxy's verdict.
    ///
    /// # Errors
    /// The limit on the number of reporting proxies is reached.
    pub(super) fn record_verdict(
        &mut self,
        now: Ticks,
        proxy: &str,
        verdict: BuildVerdict,
    ) -> Result<(), TooManyProxies> {
        self.verdicts.record_verdict(now, proxy, verdict)
    }

    /// Removes a proxy's verdict.
    pub(super) fn remove_proxy(&mut self, proxy: &str) {
        self.verdicts.remove_proxy(proxy);
    }

    /// Returns the vote to cast at the platform, or `None` while this instance does not hold the lease.
    pub(super) fn vote(&mut self, now: Ticks, state: &ReplicatedState) -> Option<VoteAssignment> {
        let epoch = self.lease.valid_epoch(now)?;
        Some(VoteAssignment { epoch, verdict: self.verdicts.vote_to_cast(now, state) })
    }

    /// Queues the proposals that are due.
    fn queue_proposals(&mut self, now: Ticks, state: &ReplicatedState, counters: &Counters) {
        self.verdicts.observe_notices(now, state);
        let mut due: Vec<EngineProposal> = Vec::new();
        for command in self.verdicts.proposals(now, state) {
            due.push(EngineProposal { owner: ProposalOwner::Verdicts, command });
        }
        match self.lease.poll(now, state.lease(self.lease.role())) {
            Some(LeaseAction::Propose(command)) => {
                due.push(EngineProposal { owner: ProposalOwner::Lease, command });
            }
            // The platform has no notion of epochs, so there is no fencing gate that must observe this one
            // first. A vote cast by a deposed holder counts as that instance's own vote at the platform.
            Some(LeaseAction::ObserveEpoch(epoch)) => {
                info!(
                    %epoch,
                    "lease on the platform's vote acquired: this instance casts it for all instances"
                );
                increment(&counters.leases_acquired);
                self.lease.on_epoch_observed(epoch);
            }
            None => {}
        }
        for proposal in due {
            self.submit(now, proposal);
        }
    }

    fn submit(&mut self, now: Ticks, proposal: EngineProposal) {
        if self.proposals.submit(proposal.owner, proposal.command).is_ok() {
            return;
        }
        warn!(
            owner = ?proposal.owner,
            "engine proposal dropped: {MAX_ENGINE_PROPOSALS} proposals are already queued"
        );
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
    /// Queues the proposals due for the lease and the verdicts, and passes the queue's next request to the
    /// Raft node. Does nothing unless this instance is a voter.
    pub(super) fn coordinate_votes(&mut self) {
        if !self.node.is_voter(self.peer_context.me.id) {
            return;
        }
        let now = self.clock.now();
        self.votes.queue_proposals(now, self.node.state(), &self.peer_context.counters);
        let timeout_ticks = self.votes.proposal_timeout_ticks;
        match self.votes.proposals.next_proposal() {
            Some(NextProposal::OpenSession) => {
                let ticket = self.replies.register(PendingReply::EngineProposal);
                self.node.open_session(ticket, timeout_ticks);
            }
            Some(NextProposal::Propose(proposal)) => {
                let ticket = self.replies.register(PendingReply::EngineProposal);
                self.node.propose(ticket, proposal, timeout_ticks);
            }
            None => {}
        }
    }

    pub(super) fn on_engine_proposal_answered(&mut self, answer: Answer) {
        let now = self.clock.now();
        self.votes.on_answer(now, answer);
    }
}
