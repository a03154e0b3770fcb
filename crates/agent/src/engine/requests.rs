//! Handling of requests from the HTTP port.

use std::net::{AddrParseError, SocketAddr};

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::replicated_state::{Command, Member};
use tokio::sync::oneshot;

use super::Engine;
use super::replies::{PendingReply, send_reply};
use super::sessions::PooledSession;
use crate::api::{
    MembershipRequest, OperationResponse, ParseInstanceIdError, ProposeResponse, VerdictReceipt,
    VerdictReport, format_instance_id, parse_instance_id,
};
use crate::counters::increment;
use crate::engine_input::{EngineRequest, QueryResult, ReadConsistency, StateQuery};

/// An operator's request that is rejected before it reaches the Raft node.
#[derive(Debug, thiserror::Error)]
enum InvalidOperation {
    /// A name or id that belongs to no member.
    #[error("{0} is not a member: see `members list`")]
    UnknownMember(String),
    /// A new member's address that is not `IP:PORT`.
    #[error("address {address}: {source}")]
    Address {
        /// The address.
        address: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// A new member's id that can't be parsed.
    #[error("{0}")]
    InstanceId(#[from] ParseInstanceIdError),
}

impl Engine {
    pub(super) fn handle_request(&mut self, request: EngineRequest) {
        match request {
            EngineRequest::Status(reply) => send_reply(reply, self.status()),
            EngineRequest::OpenSession { timeout_ms, reply } => {
                let timeout_ticks = self.config.ticks(timeout_ms);
                let ticket = self.replies.register(PendingReply::Proposal(reply));
                self.node.open_session(ticket, timeout_ticks);
            }
            EngineRequest::Propose { proposal, timeout_ms, reply } => {
                let timeout_ticks = self.config.ticks(timeout_ms);
                let ticket = self.replies.register(PendingReply::Proposal(reply));
                self.node.propose(ticket, proposal, timeout_ticks);
            }
            EngineRequest::Execute { command, timeout_ms, reply } => {
                self.execute(command, timeout_ms, reply);
            }
            EngineRequest::Read { query, consistency, timeout_ms, reply } => {
                self.read(query, consistency, timeout_ms, reply);
            }
            EngineRequest::ChangeMembership { request, timeout_ms, reply } => {
                self.change_membership(&request, timeout_ms, reply);
            }
            EngineRequest::TransferLeadership { to, reply } => self.transfer_leadership(&to, reply),
            EngineRequest::Compact(reply) => {
                self.node.compact_now();
                send_reply(reply, OperationResponse::Done);
            }
            EngineRequest::ReportVerdict { report, reply } => self.report_verdict(report, reply),
        }
    }

    /// Proposes a command in an idle session, or in a new one if there is none.
    fn execute(&mut self, command: Command, timeout_ms: u64, reply: oneshot::Sender<ProposeResponse>) {
        let timeout_ticks = self.config.ticks(timeout_ms);
        match self.sessions.take() {
            Some(session) => self.propose_in_session(session, command, timeout_ticks, reply),
            None => {
                let pending = PendingReply::SessionForCommand { command, timeout_ticks, reply };
                let ticket = self.replies.register(pending);
                self.node.open_session(ticket, timeout_ticks);
            }
        }
    }

    /// Proposes a caller's command in a session of the engine.
    pub(super) fn propose_in_session(
        &mut self,
        session: PooledSession,
        command: Command,
        timeout_ticks: u64,
        reply: oneshot::Sender<ProposeResponse>,
    ) {
        let ticket = self.replies.register(PendingReply::CommandInSession { session, reply });
        self.node.propose(ticket, session.proposal(command), timeout_ticks);
    }

    fn read(
        &mut self,
        query: StateQuery,
        consistency: ReadConsistency,
        timeout_ms: u64,
        reply: oneshot::Sender<QueryResult>,
    ) {
        match consistency {
            ReadConsistency::Stale => send_reply(reply, Ok(self.run_query(&query))),
            ReadConsistency::Linearizable => {
                let timeout_ticks = self.config.ticks(timeout_ms);
                let ticket = self.replies.register(PendingReply::Read { query, reply });
                self.node.read(ticket, timeout_ticks);
            }
        }
    }

    fn change_membership(
        &mut self,
        request: &MembershipRequest,
        timeout_ms: u64,
        reply: oneshot::Sender<OperationResponse>,
    ) {
        let timeout_ticks = self.config.ticks(timeout_ms);
        match self.membership_change(request) {
            Ok(change) => {
                let ticket = self.replies.register(PendingReply::Operation(reply));
                self.node.change_membership(ticket, change, timeout_ticks);
            }
            Err(error) => reject(reply, &error),
        }
    }

    fn transfer_leadership(&mut self, to: &str, reply: oneshot::Sender<OperationResponse>) {
        match self.find_member(to) {
            Ok(id) => {
                let ticket = self.replies.register(PendingReply::Operation(reply));
                self.node.transfer_leadership(ticket, id);
            }
            Err(error) => reject(reply, &error),
        }
    }

    fn report_verdict(&mut self, report: VerdictReport, reply: oneshot::Sender<VerdictReceipt>) {
        increment(&self.peer_context.counters.verdicts_reported);
        let now = self.clock.now();
        // Without a quorum the verdict would not reach the other instances; the response tells the proxy so.
        let accepted = self.is_quorum_available()
            && self.votes.record_verdict(now, &report.proxy, report.verdict).is_ok();
        send_reply(reply, VerdictReceipt { accepted });
    }

    fn membership_change(&self, request: &MembershipRequest) -> Result<MembershipChange, InvalidOperation> {
        match request {
            MembershipRequest::Add { id, name, address } => {
                address
                    .parse::<SocketAddr>()
                    .map_err(|source| InvalidOperation::Address { address: address.clone(), source })?;
                let id = parse_instance_id(id)?;
                Ok(MembershipChange::Add(Member { id, name: name.clone(), address: address.clone() }))
            }
            MembershipRequest::Remove(member) => Ok(MembershipChange::Remove(self.find_member(member)?)),
        }
    }

    /// Finds the member with this name or id.
    fn find_member(&self, name_or_id: &str) -> Result<InstanceId, InvalidOperation> {
        let has_name_or_id =
            |member: &&Member| member.name == name_or_id || format_instance_id(member.id) == name_or_id;
        match self.node.state().members().find(has_name_or_id) {
            Some(member) => Ok(member.id),
            None => Err(InvalidOperation::UnknownMember(name_or_id.to_owned())),
        }
    }
}

fn reject(reply: oneshot::Sender<OperationResponse>, error: &InvalidOperation) {
    send_reply(reply, OperationResponse::Rejected { reason: error.to_string() });
}
