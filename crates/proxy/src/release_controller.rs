//! Client of the release controller: watches the rollout of the newest build and casts votes.

mod protocol;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_http::Response;
use garnetcrank_policy::api::{Event, Micros, RolloutStatus, VoteResult};
use garnetcrank_vote_router::{Vote, VoteOrigin};
use tracing::warn;

use crate::clock::{MS, SECOND};
use crate::pending_calls::{CallProgress, EndedCall, PendingCalls};
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest};
use crate::watch_stream::{FIRST_BYTE_TIMEOUT, ReconnectBackoff, WatchEvents, WatchStream, WatchTimeouts};
pub(crate) use protocol::RolloutState;
use protocol::{EventLine, PROGRESS_EVENT, VoteRequest};

/// Silence after which the event stream counts as dead: three of its heartbeat intervals of 1 s plus a margin.
const SILENCE_TIMEOUT: Micros = 3_500 * MS;
/// Maximum size of the response to a vote, in bytes; the response is one line.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Maximum number of pending votes. The policy casts one at a time, and the release controller accepts 32 connections.
const MAX_VOTES: usize = 8;
/// Timeout of a vote if the deployment sets none.
const DEFAULT_VOTE_TIMEOUT: Micros = SECOND;
/// Tolerated difference in age between reports of one state, since their transmission times differ.
const AGE_TOLERANCE: Micros = SECOND;

/// Newest rollout state received.
#[derive(Clone, Copy)]
struct LatestState {
    state: RolloutState,
    /// Time at which the state began.
    began_at: Micros,
}

/// Outcome of a vote.
struct VoteOutcome {
    result: VoteResult,
    /// Rollout status in the response, unless it is older than the latest one.
    rollout: Option<RolloutStatus>,
}

impl From<VoteResult> for VoteOutcome {
    /// Creates an outcome without a rollout status.
    fn from(result: VoteResult) -> Self {
        VoteOutcome { result, rollout: None }
    }
}

/// Client of the release controller.
pub(crate) struct ReleaseController {
    address: SocketAddr,
    watch: WatchStream,
    /// Votes that were sent and have no response yet.
    pending: PendingCalls<VoteOrigin>,
    vote_timeout: Micros,
    latest: Option<LatestState>,
    /// Whether an event of an unknown type was logged. Further ones are not logged.
    unknown_event_logged: bool,
    /// Number of times that the event stream was lost.
    pub(crate) reconnects: u64,
    /// Number of rollout states received that were older than the latest one.
    pub(crate) stale_updates: u64,
}

impl ReleaseController {
    /// Creates a client without a rollout state. A `vote_timeout` of 0 selects the default of 1 s.
    pub(crate) fn new(address: SocketAddr, vote_timeout: Micros, seed: u64) -> Self {
        ReleaseController {
            address,
            watch: WatchStream::new(
                "release-controller",
                address,
                WatchTimeouts { silence: SILENCE_TIMEOUT, first_byte: FIRST_BYTE_TIMEOUT },
                ReconnectBackoff::REMOTE,
                seed,
            ),
            pending: PendingCalls::new(MAX_VOTES),
            vote_timeout: if vote_timeout > 0 { vote_timeout } else { DEFAULT_VOTE_TIMEOUT },
            latest: None,
            unknown_event_logged: false,
            reconnects: 0,
            stale_updates: 0,
        }
    }

    /// Applies a rollout state. Returns its status, unless the state is older than the latest one.
    pub(crate) fn on_rollout_state(&mut self, state: RolloutState, now: Micros) -> Option<RolloutStatus> {
        let began_at = now.saturating_sub(state.age());
        if !self.is_newer(state, began_at) {
            self.stale_updates += 1;
            return None;
        }
        self.latest = Some(LatestState { state, began_at });
        Some(state.status())
    }

    fn is_newer(&self, state: RolloutState, began_at: Micros) -> bool {
        let Some(latest) = self.latest else { return true };
        let same_progress = state.progress() == latest.state.progress();
        let is_no_older = began_at + AGE_TOLERANCE >= latest.began_at;
        state.progress() > latest.state.progress() || (same_progress && is_no_older)
    }

    /// Applies a reloaded configuration. Its rollout state is applied only if the rollout has progressed. New
    /// connections go to the new address; pending votes complete at the old one.
    pub(crate) fn reconfigure(
        &mut self,
        address: SocketAddr,
        state: RolloutState,
        now: Micros,
    ) -> Vec<Event> {
        self.address = address;
        let final_events = self.watch.retarget(address, now);
        let mut events = self.handle_events(final_events, now);
        let has_progressed = self.latest.is_none_or(|latest| state.progress() > latest.state.progress());
        if has_progressed {
            let status = self.on_rollout_state(state, now);
            events.extend(status.map(Event::RolloutUpdated));
        }
        events
    }

    /// Returns whether no vote is pending and the watch stream is connected, so that the client only waits
    /// for updates.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.watch.is_connected()
    }

    /// Casts a vote. Its result follows as an event, or is returned immediately if the vote cannot be sent.
    pub(crate) fn cast_vote(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        vote: Vote,
        origin: VoteOrigin,
    ) -> Option<Event> {
        // Serialization fails only for types that JSON cannot represent, and this request contains none.
        let body = serde_json::to_vec(&VoteRequest::from(vote)).unwrap_or_default();
        let id = ids.next();
        let call = CallRequest {
            address: self.address,
            method: "POST",
            target: "/votes",
            body: &body,
            max_response_bytes: MAX_RESPONSE_BYTES,
            deadline: now + self.vote_timeout,
        };
        match self.pending.start(handle, id, Source::ReleaseController(id), call, origin) {
            Ok(()) => None,
            Err(error) => {
                warn!(%error, "vote could not be sent");
                let is_own = origin == VoteOrigin::Own;
                is_own.then_some(Event::VoteCompleted(VoteResult::Failed, None))
            }
        }
    }

    /// Performs a due reconnect and expires overdue votes.
    pub(crate) fn on_tick(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> Vec<Event> {
        let target = || "/events".to_owned();
        let watch_events = self.watch.on_tick(handle, ids, Source::ReleaseController, now, target);
        let mut events = self.handle_events(watch_events, now);
        for ended in self.pending.expire(now) {
            events.extend(self.on_vote_ended(ended, now));
        }
        events
    }

    /// Handles readiness of one of the client's connections.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> Vec<Event> {
        match self.pending.on_ready(id, readiness) {
            CallProgress::Ended(ended) => self.on_vote_ended(ended, now).into_iter().collect(),
            CallProgress::Pending => Vec::new(),
            CallProgress::UnknownConnection => {
                let watch_events = self.watch.on_ready(id, readiness, now);
                self.handle_events(watch_events, now)
            }
        }
    }

    fn handle_events(&mut self, watch_events: WatchEvents, now: Micros) -> Vec<Event> {
        self.reconnects += u64::from(watch_events.lost);
        let mut events = Vec::new();
        for line in watch_events.non_empty_lines() {
            match self.read_event(line, now) {
                Ok(status) => events.extend(status.map(Event::RolloutUpdated)),
                Err(error) => {
                    warn!(%error, "unreadable rollout event");
                    self.watch.disconnect(now, "unreadable rollout event");
                    self.reconnects += 1;
                    break;
                }
            }
        }
        events
    }

    fn read_event(&mut self, line: &[u8], now: Micros) -> Result<Option<RolloutStatus>, serde_json::Error> {
        let event: EventLine = serde_json::from_slice(line)?;
        match (event.kind.as_deref(), event.object) {
            (Some(PROGRESS_EVENT), Some(object)) => {
                let state = serde_json::from_value(object)?;
                Ok(self.on_rollout_state(state, now))
            }
            (None, _) => Ok(None),
            (Some(kind), _) => {
                // The format of other events is not specified, so they are not parsed.
                self.log_unknown_event(kind);
                Ok(None)
            }
        }
    }

    /// Logs the first event of an unknown type.
    fn log_unknown_event(&mut self, kind: &str) {
        if !self.unknown_event_logged {
            self.unknown_event_logged = true;
            warn!(kind, "unknown rollout event ignored");
        }
    }

    /// Returns the event for the policy when a vote ends. A vote that the policy did not cast yields only the rollout
    /// status.
    fn on_vote_ended(&mut self, ended: EndedCall<VoteOrigin>, now: Micros) -> Option<Event> {
        let vote = self.vote_outcome(ended.outcome, now);
        match ended.context {
            VoteOrigin::Own => Some(Event::VoteCompleted(vote.result, vote.rollout)),
            VoteOrigin::Cluster => vote.rollout.map(Event::RolloutUpdated),
        }
    }

    fn vote_outcome(&mut self, outcome: CallOutcome, now: Micros) -> VoteOutcome {
        match outcome {
            CallOutcome::Response(response) => self.read_vote_response(&response, now),
            CallOutcome::NeverSent => VoteResult::Failed.into(),
            CallOutcome::Unknown => VoteResult::Unknown.into(),
        }
    }

    fn read_vote_response(&mut self, response: &Response, now: Micros) -> VoteOutcome {
        match response.status {
            200 => match serde_json::from_slice::<RolloutState>(&response.body) {
                Ok(state) => {
                    let rollout = self.on_rollout_state(state, now);
                    VoteOutcome { result: VoteResult::Counted, rollout }
                }
                Err(error) => {
                    warn!(%error, "unreadable response to a vote");
                    VoteResult::Unknown.into()
                }
            },
            409 => VoteResult::Obsolete.into(),
            429 => VoteResult::RateLimited.into(),
            500 => VoteResult::Failed.into(),
            400 => {
                let body = String::from_utf8_lossy(&response.body);
                warn!(%body, "vote rejected as invalid");
                VoteResult::Failed.into()
            }
            other => {
                warn!(status = other, "unexpected response status to a vote");
                VoteResult::Unknown.into()
            }
        }
    }
}
