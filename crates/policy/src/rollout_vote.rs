//! Votes of this instance on the newest build.

use fastrand::Rng;

use crate::api::{Action, Build, Micros, RolloutPhase, RolloutStatus, Verdict, VoteMode, VoteResult};
use crate::build_health::{BuildRecord, SUSTAINED_FAILURE};
use crate::engine::{Policy, TICK};
use crate::units::{MILLISECOND, SECOND};

/// First wait after a vote that did not count, doubled each time ...
const BACKOFF_INITIAL: Micros = 250 * MILLISECOND;
/// ... up to this: all instances share the release controller's rate.
const BACKOFF_MAX: Micros = 2 * SECOND;
/// Renewal of a valid vote, unless its ttl asks for an earlier one.
const RENEWAL: Micros = 4 * SECOND;

/// A vote cast or wished.
#[derive(Clone, Copy, PartialEq)]
struct Vote {
    build: Build,
    stage: usize,
    verdict: Verdict,
}

/// A vote, and when it was cast.
#[derive(Clone, Copy)]
struct CastVote {
    vote: Vote,
    at: Micros,
}

/// The votes of this instance.
pub(crate) struct VoteState {
    /// The last vote that the release controller counted.
    counted: Option<CastVote>,
    /// The vote that waits for the release controller's answer.
    pending: Option<CastVote>,
    not_before: Micros,
    backoff: Micros,
}

impl VoteState {
    pub(crate) fn new() -> Self {
        VoteState { counted: None, pending: None, not_before: 0, backoff: BACKOFF_INITIAL }
    }

    /// Waits for a random span about the present backoff before the next vote.
    fn back_off(&mut self, now: Micros, rng: &mut Rng) {
        self.not_before = now + self.backoff / 2 + rng.u64(0..self.backoff);
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }

    /// The counted vote, while it is valid.
    fn valid(&self, now: Micros, ttl: Micros) -> Option<CastVote> {
        self.counted.filter(|cast| now < cast.at + ttl)
    }
}

impl Policy {
    /// Casts the vote that is due, if any.
    pub(crate) fn cast_vote(&mut self) {
        if self.awaits_vote_result() {
            return;
        }
        let valid = self.votes.valid(self.now, self.config.rollout.vote_ttl);
        let Some(vote) = self.vote_due(valid) else { return };
        if self.now < self.votes.not_before {
            return;
        }
        self.votes.pending = Some(CastVote { vote, at: self.now });
        let Vote { build, stage, verdict } = vote;
        self.actions.push(Action::Vote { build, stage, verdict });
        let line = || format!("vote {verdict:?} on build {} stage {stage}", build.0);
        // A changed verdict is this instance's own decision, a renewal changes nothing.
        if valid.is_none_or(|before| before.vote.verdict != verdict) {
            self.log(line());
        } else {
            self.log_shared_event(line);
        }
    }

    /// Whether the last vote still waits for its result; without one for long, it is given up.
    fn awaits_vote_result(&mut self) -> bool {
        let timeout = 2 * self.config.rollout.vote_timeout;
        let Some(pending) = self.votes.pending else { return false };
        if self.now < pending.at + timeout {
            return true;
        }
        self.votes.pending = None;
        self.votes.back_off(self.now, &mut self.rng);
        false
    }

    /// The vote to cast now, given the one that is valid.
    fn vote_due(&self, valid: Option<CastVote>) -> Option<Vote> {
        match (self.wished_vote(), valid) {
            (Some(wish), Some(cast)) if wish == cast.vote => {
                (self.now >= cast.at + self.vote_renewal()).then_some(wish)
            }
            (Some(wish), _) => Some(wish),
            // A hold that no failure backs any more is withdrawn, so that it costs no further delay.
            (None, Some(cast)) if cast.vote.verdict == Verdict::Hold => {
                Some(Vote { verdict: Verdict::Abstain, ..cast.vote })
            }
            (None, _) => None,
        }
    }

    /// How long after it was cast a vote is renewed: the answer to the renewal must arrive while it is valid.
    fn vote_renewal(&self) -> Micros {
        let ttl = self.config.rollout.vote_ttl;
        let wait = self.config.rollout.vote_timeout;
        RENEWAL.min(ttl.saturating_sub(wait + 4 * TICK).max(ttl / 2))
    }

    /// What this instance would have the release controller do, if anything.
    fn wished_vote(&self) -> Option<Vote> {
        let status = self.rollout.active_status()?;
        let record = self.builds.get(&status.build)?;
        let verdict = self.wished_verdict(&status, record)?;
        Some(Vote { build: status.build, stage: status.stage, verdict })
    }

    fn wished_verdict(&self, status: &RolloutStatus, record: &BuildRecord) -> Option<Verdict> {
        let stages_advance_alone = self.config.rollout.mode == VoteMode::Timer;
        if record.has_failed() {
            return Some(Verdict::RollBack);
        }
        if status.phase == RolloutPhase::Released {
            return None;
        }
        if record.is_failing() {
            return stages_advance_alone.then_some(Verdict::Hold);
        }
        if stages_advance_alone || !record.judged {
            return None;
        }
        let soaked = self.now >= self.latest_start(status.build, record) + SUSTAINED_FAILURE;
        soaked.then_some(Verdict::Advance)
    }

    /// When the latest endpoint of a build started, as far as known.
    fn latest_start(&self, build: Build, record: &BuildRecord) -> Micros {
        let endpoints = self.endpoints.active().filter(|endpoint| endpoint.record.build == build);
        endpoints.filter_map(|endpoint| endpoint.record.started).max().unwrap_or(record.created_at)
    }

    pub(crate) fn on_vote_completed(&mut self, result: VoteResult, status: Option<RolloutStatus>) {
        if let Some(cast) = self.votes.pending.take() {
            match result {
                VoteResult::Counted => {
                    self.votes.backoff = BACKOFF_INITIAL;
                    self.votes.counted = (cast.vote.verdict != Verdict::Abstain).then_some(cast);
                }
                // Not repeated at once: the stage has moved on, and the status is on its way.
                VoteResult::Obsolete => self.votes.not_before = self.now + BACKOFF_MAX / 2,
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
