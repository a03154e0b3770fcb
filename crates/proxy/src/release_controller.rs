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
use crate::pending_calls::{EndedCall, PendingCalls, ReadyCall};
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest};
use crate::watch_stream::{FIRST_BYTE_TIMEOUT, ReconnectBackoff, WatchEvents, WatchStream, WatchTimeouts};
pub(crate) use protocol::RolloutState;
use protocol::{EventLine, PROGRESS_EVENT, VoteRequest};

/// Silence after which the event stream is dead: three of its heartbeats, one a second, and a margin.
const SILENCE_TIMEOUT: Micros = 3_500 * MS;
/// Maximum size of the answer to a vote, in bytes; it is one line.
const MAX_ANSWER_BYTES: usize = 16 * 1024;
/// Maximum number of votes under way. The policy casts one at a time, and the release controller accepts 32
/// connections.
const MAX_VOTES: usize = 8;
/// Wait for the answer to a vote where the deployment sets none.
const DEFAULT_VOTE_TIMEOUT: Micros = SECOND;
/// By how much reports of one state may differ in age, since they travel for different times.
const TRAVEL_TOLERANCE: Micros = SECOND;

/// The newest rollout state that is known.
#[derive(Clone, Copy)]
struct KnownState {
    state: RolloutState,
    /// When the state began.
    since: Micros,
}

/// What became of a vote.
struct VoteOutcome {
    result: VoteResult,
    /// The rollout status in its answer, unless that is older than the known one.
    rollout: Option<RolloutStatus>,
}

impl From<VoteResult> for VoteOutcome {
    /// Without a rollout status in the answer.
    fn from(result: VoteResult) -> Self {
        VoteOutcome { result, rollout: None }
    }
}

/// Client of the release controller.
pub(crate) struct ReleaseController {
    address: SocketAddr,
    watch: WatchStream,
    /// Votes that were sent and have not been answered.
    pending: PendingCalls<VoteOrigin>,
    vote_timeout: Micros,
    known: Option<KnownState>,
    /// An event of an unknown type was logged; further ones are not.
    unknown_event_logged: bool,
    /// Reconnects of the event stream.
    pub(crate) reconnects: u64,
    /// Rollout states that were older than the known one.
    pub(crate) stale: u64,
}

impl ReleaseController {
    /// A client that knows nothing yet. `vote_timeout` of 0 stands for one second.
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
            known: None,
            unknown_event_logged: false,
            reconnects: 0,
            stale: 0,
        }
    }

    /// Takes in a rollout state. Returns its status, unless the state is older than the known one.
    pub(crate) fn on_rollout_state(&mut self, state: RolloutState, now: Micros) -> Option<RolloutStatus> {
        let since = now.saturating_sub(state.age());
        if !self.is_newer(state, since) {
            self.stale += 1;
            return None;
        }
        self.known = Some(KnownState { state, since });
        Some(state.status())
    }

    fn is_newer(&self, state: RolloutState, since: Micros) -> bool {
        let Some(known) = self.known else { return true };
        let same_progress = state.progress() == known.state.progress();
        let began_later = since + TRAVEL_TOLERANCE >= known.since;
        state.progress() > known.state.progress() || (same_progress && began_later)
    }

    /// Takes in a configuration that was read again. Its state counts only if it is further on. New connections go to
    /// the new address; votes under way end at the old one.
    pub(crate) fn reconfigure(
        &mut self,
        address: SocketAddr,
        state: RolloutState,
        now: Micros,
    ) -> Vec<Event> {
        self.address = address;
        let last_events = self.watch.retarget(address, now);
        let mut events = self.take_events(last_events, now);
        let is_further = self.known.is_none_or(|known| state.progress() > known.state.progress());
        if is_further {
            let status = self.on_rollout_state(state, now);
            events.extend(status.map(Event::RolloutUpdated));
        }
        events
    }

    /// Whether there is nothing to do but to wait for events.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.watch.is_connected()
    }

    /// Casts a vote. Its result follows later as an event, or is returned if the vote cannot be sent.
    pub(crate) fn cast_vote(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        vote: Vote,
        origin: VoteOrigin,
    ) -> Option<Event> {
        // Fails only for types that JSON can't express, and this one has none.
        let body = serde_json::to_vec(&VoteRequest::from(vote)).unwrap_or_default();
        let id = ids.next();
        let call = CallRequest {
            to: self.address,
            method: "POST",
            target: "/votes",
            body: &body,
            max_response_bytes: MAX_ANSWER_BYTES,
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

    /// Reconnects and expires votes where that is due.
    pub(crate) fn on_tick(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> Vec<Event> {
        let target = || "/events".to_owned();
        let watch_events = self.watch.on_tick(handle, ids, Source::ReleaseController, now, target);
        let mut events = self.take_events(watch_events, now);
        for ended in self.pending.expire(now) {
            events.extend(self.on_vote_ended(ended, now));
        }
        events
    }

    /// Reads what has arrived on one of the client's connections.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> Vec<Event> {
        match self.pending.on_ready(id, readiness) {
            ReadyCall::Ended(ended) => self.on_vote_ended(ended, now).into_iter().collect(),
            ReadyCall::Pending => Vec::new(),
            ReadyCall::NotACall => {
                let watch_events = self.watch.on_ready(id, readiness, now);
                self.take_events(watch_events, now)
            }
        }
    }

    fn take_events(&mut self, watch_events: WatchEvents, now: Micros) -> Vec<Event> {
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
                // The form of other events is not specified, so it is not guessed.
                self.log_unknown_event(kind);
                Ok(None)
            }
        }
    }

    /// Logs an event of an unknown type, once a process.
    fn log_unknown_event(&mut self, kind: &str) {
        if !self.unknown_event_logged {
            self.unknown_event_logged = true;
            warn!(kind, "unknown rollout event ignored");
        }
    }

    /// What the policy is notified of when a vote ends: of a vote that it did not cast, only the rollout status.
    fn on_vote_ended(&mut self, ended: EndedCall<VoteOrigin>, now: Micros) -> Option<Event> {
        let vote = self.vote_outcome(ended.outcome, now);
        match ended.context {
            VoteOrigin::Own => Some(Event::VoteCompleted(vote.result, vote.rollout)),
            VoteOrigin::Cluster => vote.rollout.map(Event::RolloutUpdated),
        }
    }

    fn vote_outcome(&mut self, outcome: CallOutcome, now: Micros) -> VoteOutcome {
        match outcome {
            CallOutcome::Response(response) => self.read_vote_answer(&response, now),
            CallOutcome::NeverSent => VoteResult::Failed.into(),
            CallOutcome::Unknown => VoteResult::Unknown.into(),
        }
    }

    fn read_vote_answer(&mut self, response: &Response, now: Micros) -> VoteOutcome {
        match response.status {
            200 => match serde_json::from_slice::<RolloutState>(&response.body) {
                Ok(state) => {
                    let rollout = self.on_rollout_state(state, now);
                    VoteOutcome { result: VoteResult::Counted, rollout }
                }
                Err(error) => {
                    warn!(%error, "unreadable answer to a vote");
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
                warn!(status = other, "unexpected status of the answer to a vote");
                VoteResult::Unknown.into()
            }
        }
    }
}
