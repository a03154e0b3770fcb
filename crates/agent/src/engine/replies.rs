//! Pending replies, by ticket, and the conversion of the Raft node's answers into responses.

use std::collections::HashMap;

use garnetcrank_consensus::ids::Ticket;
use garnetcrank_consensus::pending_requests::{Answer, TicketAnswer};
use garnetcrank_consensus::replicated_state::{Command, Reply};
use tokio::sync::oneshot;
use tracing::error;

use super::Engine;
use super::sessions::PooledSession;
use crate::api::{OperationResponse, ProposeResponse};
use crate::counters::increment;
use crate::engine_input::{QueryError, QueryResult, StateQuery};

/// The destination of the answer to a ticket.
pub(super) enum PendingReply {
    /// A proposal of the engine itself.
    EngineProposal,
    /// A caller's own proposal, or its request to open a session.
    Proposal(oneshot::Sender<ProposeResponse>),
    /// A session being opened by the engine for a caller's command.
    SessionForCommand {
        command: Command,
        /// Timeout of the proposal that carries the command, in ticks.
        timeout_ticks: u64,
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A caller's command in a session of the engine.
    CommandInSession { session: PooledSession, reply: oneshot::Sender<ProposeResponse> },
    /// A linearizable read.
    Read { query: StateQuery, reply: oneshot::Sender<QueryResult> },
    /// A change of membership or a transfer of leadership.
    Operation(oneshot::Sender<OperationResponse>),
}

/// All pending replies, by ticket.
#[derive(Default)]
pub(super) struct PendingReplies {
    by_ticket: HashMap<Ticket, PendingReply>,
    last_ticket: u64,
}

impl PendingReplies {
    /// Registers a reply and returns its ticket, which is passed to the Raft node with the request.
    pub(super) fn register(&mut self, reply: PendingReply) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.by_ticket.insert(ticket, reply);
        ticket
    }
}

/// Sends an answer to its caller.
pub(super) fn send_reply<T>(reply: oneshot::Sender<T>, answer: T) {
    // The send fails only if the caller no longer waits, which needs no handling.
    let _ = reply.send(answer);
}

impl Engine {
    /// Delivers the answers that the Raft node has ready.
    pub(super) fn deliver_answers(&mut self) {
        for TicketAnswer { ticket, answer } in self.node.take_answers() {
            match self.replies.by_ticket.remove(&ticket) {
                Some(reply) => self.deliver(reply, answer),
                None => error!(%ticket, "answer without a pending request: report this bug with the log"),
            }
        }
    }

    fn deliver(&mut self, reply: PendingReply, answer: Answer) {
        match reply {
            PendingReply::EngineProposal => self.on_engine_proposal_answered(answer),
            PendingReply::Proposal(reply) => send_reply(reply, self.propose_response(answer)),
            PendingReply::SessionForCommand { command, timeout_ticks, reply } => {
                self.on_session_opened(answer, command, timeout_ticks, reply);
            }
            PendingReply::CommandInSession { session, reply } => {
                if is_session_reusable(&answer) {
                    self.sessions.put_back(session);
                }
                send_reply(reply, self.propose_response(answer));
            }
            PendingReply::Read { query, reply } => {
                let result = match answer {
                    Answer::ReadReady => Ok(self.run_query(&query)),
                    Answer::Busy => Err(QueryError::Busy),
                    _ => Err(QueryError::NoQuorum),
                };
                send_reply(reply, result);
            }
            PendingReply::Operation(reply) => send_reply(reply, self.operation_response(answer)),
        }
    }

    /// Proposes a caller's command once its session is open.
    fn on_session_opened(
        &mut self,
        answer: Answer,
        command: Command,
        timeout_ticks: u64,
        reply: oneshot::Sender<ProposeResponse>,
    ) {
        match answer {
            Answer::Applied(Reply::SessionOpened(id)) => {
                self.propose_in_session(PooledSession::new(id), command, timeout_ticks, reply);
            }
            // The session may have been opened, but the command was never proposed.
            Answer::Indeterminate => send_reply(reply, ProposeResponse::NotProposed),
            answer => send_reply(reply, self.propose_response(answer)),
        }
    }

    fn propose_response(&self, answer: Answer) -> ProposeResponse {
        let counters = &self.peer_context.counters;
        match answer {
            Answer::Applied(reply) => {
                increment(&counters.proposals_applied);
                ProposeResponse::Applied { reply }
            }
            Answer::Busy => {
                increment(&counters.requests_shed);
                ProposeResponse::Busy
            }
            Answer::StoreFull => ProposeResponse::StoreFull,
            Answer::Rejected(reason) => ProposeResponse::Rejected { reason },
            Answer::NotProposed => {
                increment(&counters.proposals_timed_out);
                ProposeResponse::NotProposed
            }
            Answer::Indeterminate
            | Answer::ReadReady
            | Answer::MembershipChanged
            | Answer::ReadTimedOut
            | Answer::NotLeader(_) => {
                increment(&counters.proposals_timed_out);
                ProposeResponse::Indeterminate
            }
        }
    }

    fn operation_response(&self, answer: Answer) -> OperationResponse {
        match answer {
            Answer::MembershipChanged => OperationResponse::Done,
            Answer::NotLeader(leader) => {
                OperationResponse::NotLeader { leader: leader.map(|id| self.member_name(id)) }
            }
            Answer::Rejected(reason) => OperationResponse::Rejected { reason },
            _ => OperationResponse::Indeterminate,
        }
    }
}

/// Returns whether a session's last proposal was applied and the session has not expired.
fn is_session_reusable(answer: &Answer) -> bool {
    match answer {
        Answer::Applied(reply) => *reply != Reply::SessionExpired,
        _ => false,
    }
}
