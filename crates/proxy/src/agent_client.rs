//! Client of the agent on this host. It sends votes to the agent and reads its updates. `garnetcrank-vote-router`
//! decides whether a vote goes to the agent or to the release controller.

mod protocol;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_policy::api::{Micros, RolloutStatus};
use garnetcrank_vote_router::{AgentUpdate, RouterAction, Vote, VoteRouter};
use tracing::{info, warn};

use crate::feature_settings::ConsensusSettings;
use crate::pending_calls::{CallProgress, EndedCall, PendingCalls};
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest};
use crate::watch_stream::{ReconnectBackoff, WatchEvents, WatchStream, WatchTimeouts};
use protocol::{BuildVerdict, UpdateLine, VoteRequest, VoteResponse};

/// Maximum size of the response to a vote, in bytes; the response is one line.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;
/// Maximum number of pending votes.
const MAX_CALLS: usize = 4;
/// Maximum number of descriptors that the client uses, for its calls and the watch stream.
pub(crate) const MAX_DESCRIPTORS: usize = MAX_CALLS + 1;

/// Client of the agent.
pub(crate) struct AgentClient {
    proxy_name: String,
    agent: SocketAddr,
    call_timeout: Micros,
    watch: WatchStream,
    /// Votes that were sent and have no response yet.
    pending: PendingCalls<Vote>,
    router: VoteRouter,
    /// Number of times that the watch stream was lost or could not be established. A disconnect after an
    /// expired vote is not counted.
    pub(crate) reconnects: u64,
    /// Number of votes that the agent has forwarded to the cluster.
    pub(crate) verdicts_forwarded: u64,
}

impl AgentClient {
    /// Creates a client for the proxy `proxy_name`. Votes expire at the release controller after `vote_ttl`.
    pub(crate) fn new(settings: &ConsensusSettings, proxy_name: &str, vote_ttl: Micros, seed: u64) -> Self {
        AgentClient {
            proxy_name: proxy_name.to_owned(),
            agent: settings.agent,
            call_timeout: settings.call_timeout(),
            watch: WatchStream::new(
                "agent",
                settings.agent,
                WatchTimeouts { silence: settings.silence_timeout(), first_byte: settings.silence_timeout() },
                ReconnectBackoff::REMOTE,
                seed,
            ),
            pending: PendingCalls::new(MAX_CALLS),
            router: VoteRouter::new(vote_ttl),
            reconnects: 0,
            verdicts_forwarded: 0,
        }
    }

    /// Returns whether no vote is pending and the watch stream is connected, so that the client only waits
    /// for updates.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.watch.is_connected()
    }

    /// Handles a rollout status from the release controller. Returns the status to pass to the policy.
    pub(crate) fn on_rollout_status(&mut self, now: Micros, status: RolloutStatus) -> RolloutStatus {
        self.router.on_rollout_update(now, status)
    }

    /// Handles a vote of the policy. Returns the actions that the caller must perform.
    pub(crate) fn on_vote(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        vote: Vote,
    ) -> Vec<RouterAction> {
        let action = self.router.on_vote(vote);
        self.send_votes(handle, ids, now, vec![action])
    }

    /// Performs a due reconnect and expires overdue calls. Returns the actions that the caller must perform.
    pub(crate) fn on_tick(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> Vec<RouterAction> {
        let used_agent = self.router.uses_agent();
        let mut actions = Vec::new();
        let name = &self.proxy_name;
        let target = || format!("/v1/watch?front={name}");
        let events = self.watch.on_tick(handle, ids, Source::Agent, now, target);
        self.handle_events(events, now, &mut actions);
        self.expire_calls(now, &mut actions);
        actions.extend(self.router.on_tick(now));
        self.log_route_change(used_agent);
        self.send_votes(handle, ids, now, actions)
    }

    /// Handles readiness of one of the client's connections. Returns the actions that the caller must perform.
    pub(crate) fn on_ready(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
    ) -> Vec<RouterAction> {
        let used_agent = self.router.uses_agent();
        let mut actions = Vec::new();
        match self.pending.on_ready(id, readiness) {
            CallProgress::Ended(ended) => actions.extend(self.on_call_ended(ended)),
            CallProgress::Pending => {}
            CallProgress::UnknownConnection => {
                let events = self.watch.on_ready(id, readiness, now);
                self.handle_events(events, now, &mut actions);
            }
        }
        self.log_route_change(used_agent);
        self.send_votes(handle, ids, now, actions)
    }

    /// Sends the votes that go to the agent. Returns the other actions.
    fn send_votes(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        actions: Vec<RouterAction>,
    ) -> Vec<RouterAction> {
        let mut remaining = Vec::new();
        for action in actions {
            match action {
                RouterAction::SendToAgent(vote) => remaining.extend(self.send_vote(handle, ids, now, vote)),
                other => remaining.push(other),
            }
        }
        remaining
    }

    fn send_vote(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        vote: Vote,
    ) -> Option<RouterAction> {
        let request = VoteRequest { proxy_name: &self.proxy_name, verdict: BuildVerdict::from(vote) };
        // Serialization fails only for types that JSON cannot represent, and this request contains none.
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let id = ids.next();
        let call = CallRequest {
            address: self.agent,
            method: "POST",
            target: "/v1/verdicts",
            body: &body,
            max_response_bytes: MAX_RESPONSE_BYTES,
            deadline: now + self.call_timeout,
        };
        match self.pending.start(handle, id, Source::Agent(id), call, vote) {
            Ok(()) => None,
            Err(error) => {
                warn!(%error, "vote could not be sent to the agent");
                self.router.on_agent_response(vote, false)
            }
        }
    }

    fn on_call_ended(&mut self, ended: EndedCall<Vote>) -> Option<RouterAction> {
        let forwarded = match ended.outcome {
            CallOutcome::Response(response) if response.status == 200 => {
                serde_json::from_slice::<VoteResponse>(&response.body).is_ok_and(|body| body.forwarded)
            }
            CallOutcome::Response(_) | CallOutcome::NeverSent | CallOutcome::Unknown => false,
        };
        self.verdicts_forwarded += u64::from(forwarded);
        self.router.on_agent_response(ended.context, forwarded)
    }

    /// Expires overdue calls. An agent that misses one deadline counts as lost, so that no further vote waits for it.
    fn expire_calls(&mut self, now: Micros, actions: &mut Vec<RouterAction>) {
        let expired = self.pending.expire(now);
        if expired.is_empty() {
            return;
        }
        actions.extend(self.router.on_agent_lost(now));
        self.watch.disconnect(now, "no response to a vote within the call timeout");
        for ended in expired {
            actions.extend(self.on_call_ended(ended));
        }
    }

    fn handle_events(&mut self, events: WatchEvents, now: Micros, actions: &mut Vec<RouterAction>) {
        let mut lost = events.lost;
        for line in events.non_empty_lines() {
            match serde_json::from_slice::<UpdateLine>(line) {
                Ok(update) => {
                    actions.extend(self.router.on_agent_update(now, AgentUpdate::from(update)));
                }
                Err(error) => {
                    self.watch.disconnect(now, &format!("unreadable update: {error}"));
                    lost = true;
                    break;
                }
            }
        }
        if lost {
            self.reconnects += 1;
            actions.extend(self.router.on_agent_lost(now));
        }
    }

    fn log_route_change(&self, used_agent: bool) {
        match (used_agent, self.router.uses_agent()) {
            (false, true) => info!("votes go to the agent"),
            (true, false) => warn!("agent unavailable or without quorum, voting alone"),
            _ => {}
        }
    }
}
