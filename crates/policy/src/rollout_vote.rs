//! Votes of this instance on the newest build.

use fastrand::Rng;

use crate::api::{Action, Build, Micros, RolloutPhase, RolloutStatus, Verdict, VoteMode, VoteResult};
use crate::build_health::{BuildRecord, SUSTAINED_FAILURE_TIME};
use crate::engine::{PERIODIC_WORK_INTERVAL, Policy};
use crate::units::{MILLISECOND, SECOND};

/// Mean wait after the first vote that was not counted; doubled after each further one.
const INITIAL_VOTE_BACKOFF: Micros = 250 * MILLISECOND;
/// Upper limit of that wait; all instances share the release controller's rate limit.
const MAX_VOTE_BACKOFF: Micros = 2 * SECOND;
/// Longest interval at which a valid vote is renewed; a short vote TTL requires an earlier renewal.
const MAX_RENEWAL_INTERVAL: Micros = 4 * SECOND;

/// A verdict on a build at one of its stages.
#[derive(Clone, Copy, PartialEq)]
struct Vote {
    build: Build,
    stage: usize,
    verdict: Verdict,
}

/// A vote with the time at which it was cast.
#[derive(Clone, Copy)]
struct CastVote {
    vote: Vote,
    cast_at: Micros,
}

/// State of this instance's votes.
pub(crate) struct VoteState {
    /// Last vote that the release controller counted.
    counted: Option<CastVote>,
    /// Vote that the release controller has not answered yet.
    pending: Option<CastVote>,
    /// Earliest time of the next vote.
    next_vote_at: Micros,
    backoff: Micros,
}

impl VoteState {
    pub(crate) fn new() -> Self {
        VoteState { counted: None, pending: None, next_vote_at: 0, backoff: INITIAL_VOTE_BACKOFF }
    }

    /// Delays the next vote by a random 0.5 to 1.5 times the current backoff, and doubles the backoff.
    fn back_off(&mut self, now: Micros, rng: &mut Rng) {
        self.next_vote_at = now + self.backoff / 2 + rng.u64(0..self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_VOTE_BACKOFF);
    }

    /// Returns the counted vote, unless it has expired.
    fn valid_vote(&self, now: Micros, ttl: Micros) -> Option<CastVote> {
        self.counted.filter(|cast| now < cast.cast_at + ttl)
    }
}

impl Policy {
    /// Casts a vote if one is due.
    pub(crate) fn cast_vote_if_due(&mut self) {
        if self.awaits_vote_result() {
            return;
        }
        let valid = self.votes.valid_vote(self.now, self.config.rollout.vote_ttl);
        let Some(vote) = self.vote_due(valid) else { return };
        if self.now < self.votes.next_vote_at {
            return;
        }
        self.votes.pending = Some(CastVote { vote, cast_at: self.now });
        let Vote { build, stage, verdict } = vote;
        self.actions.push(Action::Vote { build, stage, verdict });
        let line = || format!("vote {verdict:?} on build {} stage {stage}", build.0);
        // A changed verdict is this instance's own decision; only some instances log their renewals.
        if valid.is_none_or(|previous| previous.vote.verdict != verdict) {
            self.log(line());
        } else {
            self.log_shared_event(line);
        }
    }

    /// Returns whether the last vote is still waiting for its result. After twice the vote time-out the vote
    /// is abandoned and the backoff applies.
    fn awaits_vote_result(&mut self) -> bool {
        let timeout = 2 * self.config.rollout.vote_timeout;
        let Some(pending) = self.votes.pending else { return false };
        if self.now < pending.cast_at + timeout {
            return true;
        }
        self.votes.pending = None;
        self.votes.back_off(self.now, &mut self.rng);
        false
    }

    /// Returns the vote to cast now, given the vote that is still valid.
    fn vote_due(&self, valid: Option<CastVote>) -> Option<Vote> {
        match (self.desired_vote(), valid) {
            (Some(desired), Some(cast)) if desired == cast.vote => {
                (self.now >= cast.cast_at + self.vote_renewal_interval()).then_some(desired)
            }
            (Some(desired), _) => Some(desired),
            // The failure behind the hold has ended: withdrawing the vote avoids further delay.
            (None, Some(cast)) if cast.vote.verdict == Verdict::Hold => {
                Some(Vote { verdict: Verdict::Abstain, ..cast.vote })
            }
            (None, _) => None,
        }
    }

    /// Returns the age at which a vote is renewed. The answer to the renewal must arrive before the vote
    /// expires.
    fn vote_renewal_interval(&self) -> Micros {
        let ttl = self.config.rollout.vote_ttl;
        let timeout = self.config.rollout.vote_timeout;
        MAX_RENEWAL_INTERVAL.min(ttl.saturating_sub(timeout + 4 * PERIODIC_WORK_INTERVAL).max(ttl / 2))
    }

    /// Returns the vote that follows from this instance's assessment of the newest build, if any.
    fn desired_vote(&self) -> Option<Vote> {
        let status = self.rollout.active_status()?;
        let record = self.builds.get(&status.build)?;
        let verdict = self.desired_verdict(&status, record)?;
        Some(Vote { build: status.build, stage: status.stage, verdict })
    }

    fn desired_verdict(&self, status: &RolloutStatus, record: &BuildRecord) -> Option<Verdict> {
        let stages_advance_by_timer = self.config.rollout.mode == VoteMode::Timer;
        if record.has_failed() {
            return Some(Verdict::RollBack);
        }
        if status.phase == RolloutPhase::Released {
            return None;
        }
        if record.is_failing() {
            return stages_advance_by_timer.then_some(Verdict::Hold);
        }
        if stages_advance_by_timer || !record.has_assessed_class {
            return None;
        }
        let soaked = self.now >= self.latest_start(status.build, record) + SUSTAINED_FAILURE_TIME;
        soaked.then_some(Verdict::Advance)
    }

    /// Returns the latest known start time of a build's active endpoints, or the time at which the build
    /// appeared if no start time is known.
    fn latest_start(&self, build: Build, record: &BuildRecord) -> Micros {
        let endpoints = self.endpoints.active().filter(|endpoint| endpoint.record.build == build);
        endpoints.filter_map(|endpoint| endpoint.record.started).max().unwrap_or(record.created_at)
    }

    pub(crate) fn on_vote_completed(&mut self, result: VoteResult, status: Option<RolloutStatus>) {
        if let Some(cast) = self.votes.pending.take() {
            match result {
                VoteResult::Counted => {
                    self.votes.backoff = INITIAL_VOTE_BACKOFF;
                    self.votes.counted = (cast.vote.verdict != Verdict::Abstain).then_some(cast);
                }
                // The vote is not repeated at once: the stage has changed, and the new status should arrive
                // within this delay.
                VoteResult::Obsolete => self.votes.next_vote_at = self.now + MAX_VOTE_BACKOFF / 2,
                VoteResult::RateLimited | VoteResult::Failed | VoteResult::Unknown => {
                    self.votes.back_off(self.now, &mut self.rng);
                }
            }
        }
        if let Some(status) = status {
            self.on_rollout_updated(status);
        }
    }
}
