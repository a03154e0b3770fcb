//! Answers that are due to callers: who waits for which ticket, and what a Raft answer means to them.

use std::collections::HashMap;

use garnetcrank_consensus::ids::Ticket;
use garnetcrank_consensus::pending_requests::{Answer, TicketAnswer};
use garnetcrank_consensus::replicated_state::{Command, Reply};
use tokio::sync::oneshot;
use tracing::error;

use super::Engine;
use super::sessions::PooledSession;
use crate::api::{OperationResponse, ProposeResponse};
use crate::counters::count;
use crate::engine_input::{QueryError, QueryResult, StateQuery};

/// What is to be done with the answer to a ticket.
pub(super) enum PendingReply {
    /// A proposal of the engine itself.
    OwnProposal,
    /// A caller's proposal, or its session being opened.
    Proposal(oneshot::Sender<ProposeResponse>),
    /// A session being opened for a caller's command.
    SessionForCommand {
        command: Command,
        /// Timeout of the command itself, in ticks.
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

/// All answers that are due, by ticket.
#[derive(Default)]
pub(super) struct PendingReplies {
    by_ticket: HashMap<Ticket, PendingReply>,
    last_ticket: u64,
}

impl PendingReplies {
    /// Registers a reply; its ticket goes to the Raft node with the request.
    pub(super) fn register(&mut self, reply: PendingReply) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.by_ticket.insert(ticket, reply);
        ticket
    }
}

/// Sends a caller its answer.
pub(super) fn send_reply<T>(reply: oneshot::Sender<T>, answer: T) {
    // A caller that has gone needs no answer.
    let _ = reply.send(answer);
}

impl Engine {
    /// Passes on the answers that the Raft node has ready.
    pub(super) fn deliver_answers(&mut self) {
        for TicketAnswer { ticket, answer } in self.node.take_answers() {
            match self.replies.by_ticket.remove(&ticket) {
                Some(reply) => self.deliver(reply, answer),
                None => error!(%ticket, "a request was answered twice: report this with the log"),
            }
        }
    }

    fn deliver(&mut self, reply: PendingReply, answer: Answer) {
        match reply {
            PendingReply::OwnProposal => self.on_own_proposal_answered(answer),
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

    /// Goes on with a caller's command once its session is open.
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
                count(&counters.proposals_applied);
                ProposeResponse::Applied { reply }
            }
            Answer::Busy => {
                count(&counters.requests_shed);
                ProposeResponse::Busy
            }
            Answer::StoreFull => ProposeResponse::StoreFull,
            Answer::Rejected(reason) => ProposeResponse::Rejected { reason },
            Answer::NotProposed => {
                count(&counters.proposals_timed_out);
                ProposeResponse::NotProposed
            }
            Answer::Indeterminate
            | Answer::ReadReady
            | Answer::MembershipChanged
            | Answer::ReadTimedOut
            | Answer::NotLeader(_) => {
                count(&counters.proposals_timed_out);
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

/// Whether a session's last proposal is known to be applied, and the session to be open still.
fn is_session_reusable(answer: &Answer) -> bool {
    match answer {
        Answer::Applied(reply) => *reply != Reply::SessionExpired,
        _ => false,
    }
}
