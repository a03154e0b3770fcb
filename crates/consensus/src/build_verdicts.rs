//! The proxies' verdicts on a build, their replication, and the vote derived from them.
//!
//! Each proxy's policy determines its verdict on a rollout. A verdict to roll back becomes a permanent
//! decision (`condemned/BUILD`), and a verdict to hold or to advance becomes this instance's notice. The
//! holder of the lease of the role `votes` casts the most severe verdict that has not expired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{Index, InstanceId, Role, Subject, Ticks};
use crate::replicated_state::{Command, Notice, ReplicatedState, SubjectState};

/// The space of condemned builds.
pub const CONDEMNED_SPACE: &str = "condemned";
/// The topic of the instances' verdicts.
pub const VERDICT_TOPIC: &str = "trust";
/// Maximum number of proxies of one instance whose verdicts are recorded.
pub const MAX_PROXIES: usize = 1024;
/// Range of build numbers below the newest condemned build in which condemned builds are retained; older ones
/// are retired. Build numbers increase over time.
pub const CONDEMNED_BUILD_RANGE: u64 = 256;
/// Publications of a notice within one TTL of a verdict, so that two may be lost before the verdict expires.
const PUBLICATIONS_PER_TTL: u64 = 3;
/// Number of TTLs without a verdict after which a proxy is removed, so that another one can be recorded.
const PROXY_RETENTION_TTLS: u64 = 10;

/// Returns the role whose holder casts the vote at the release controller.
pub fn vote_role() -> Role {
    Role("votes".to_owned())
}

/// The kind of a verdict on a build, ordered from the mildest to the most severe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictKind {
    /// No verdict, or a withdrawn one.
    #[serde(rename = "none")]
    Abstain,
    /// Verdict to continue the rollout.
    #[serde(rename = "on")]
    Advance,
    /// Verdict to hold the rollout, which stops its clock.
    Hold,
    /// Verdict to roll the build back.
    #[serde(rename = "back")]
    RollBack,
}

/// A verdict on a build at a stage of its rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildVerdict {
    /// The build.
    pub build: u64,
    /// The stage.
    pub stage: u64,
    /// The kind of the verdict.
    #[serde(rename = "word")]
    pub kind: VerdictKind,
}

impl BuildVerdict {
    /// Returns a sort key: a newer build takes precedence, then a later stage, then a more severe verdict.
    fn precedence(&self) -> (u64, u64, VerdictKind) {
        (self.build, self.stage, self.kind)
    }
}

/// A verdict and the time at which it was reported or published.
#[derive(Debug, Clone, Copy)]
struct TimedVerdict {
    verdict: BuildVerdict,
    at: Ticks,
}

/// The last publication of another member's notice that this instance has seen.
#[derive(Debug, Clone, Copy)]
struct ObservedNotice {
    published_at: Index,
    /// Time at which it was first seen, in this instance's ticks: instances share no clock.
    first_seen: Ticks,
}

/// The verdicts known to one instance.
#[derive(Debug)]
pub struct BuildVerdicts {
    id: InstanceId,
    /// Ticks after which a verdict expires unless it is reported again.
    ttl: u64,
    by_proxy: BTreeMap<String, TimedVerdict>,
    published: Option<TimedVerdict>,
    observed: BTreeMap<InstanceId, ObservedNotice>,
    /// Builds that this instance has proposed to condemn, and the time of the proposal.
    pending_condemnations: BTreeMap<u64, Ticks>,
}

/// The error for a verdict from a new proxy when those of [`MAX_PROXIES`] proxies are already recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("verdicts of {MAX_PROXIES} proxies, the maximum, are already recorded")]
pub struct TooManyProxies;

impl BuildVerdicts {
    /// Creates an empty record. A verdict expires after `ttl` ticks unless it is reported again.
    pub fn new(id: InstanceId, ttl: u64) -> Self {
        Self {
            id,
            ttl,
            by_proxy: BTreeMap::new(),
            published: None,
            observed: BTreeMap::new(),
            pending_condemnations: BTreeMap::new(),
        }
    }

    /// Records the verdict of a proxy's policy.
    ///
    /// # Errors
    /// The verdicts of [`MAX_PROXIES`] other proxies are already recorded; this proxy has to vote on its own.
    pub fn record_verdict(
        &mut self,
        now: Ticks,
        proxy: &str,
        verdict: BuildVerdict,
    ) -> Result<(), TooManyProxies> {
        if !self.by_proxy.contains_key(proxy) && self.by_proxy.len() >= MAX_PROXIES {
            return Err(TooManyProxies);
        }
        self.by_proxy.insert(proxy.to_owned(), TimedVerdict { verdict, at: now });
        Ok(())
    }

    /// Removes the verdict of a proxy that has disconnected. Builds that it condemned remain condemned.
    pub fn remove_proxy(&mut self, proxy: &str) {
        self.by_proxy.remove(proxy);
    }

    /// Returns the commands to propose now.
    pub fn proposals(&mut self, now: Ticks, state: &ReplicatedState) -> Vec<Command> {
        self.remove_old_entries(now);
        let mut commands = self.condemn_commands(now, state);
        commands.extend(self.notice_command(now));
        commands
    }

    fn remove_old_entries(&mut self, now: Ticks) {
        let ttl = self.ttl;
        self.by_proxy.retain(|_, reported| now.0 < reported.at.0 + PROXY_RETENTION_TTLS * ttl);
        self.pending_condemnations.retain(|_, proposed_at| now.0 < proposed_at.0 + ttl);
    }

    /// Returns commands that condemn the builds which a proxy wants to roll back, and that retire the oldest
    /// condemned builds.
    fn condemn_commands(&mut self, now: Ticks, state: &ReplicatedState) -> Vec<Command> {
        let rolled_back: BTreeSet<u64> = (self.by_proxy.values())
            .filter(|reported| reported.verdict.kind == VerdictKind::RollBack)
            .filter(|reported| self.is_current(now, reported.at))
            .map(|reported| reported.verdict.build)
            .collect();
        let mut commands = Vec::new();
        for build in rolled_back {
            let subject = Subject::new(CONDEMNED_SPACE, build);
            if state.subject_state(&subject).is_some() || self.pending_condemnations.contains_key(&build) {
                continue;
            }
            self.pending_condemnations.insert(build, now);
            commands.push(Command::Decide { subject, value: self.id.0.to_le_bytes().to_vec() });
            if let Some(below) = build.checked_sub(CONDEMNED_BUILD_RANGE) {
                commands.push(Command::RetireSubjects { space: CONDEMNED_SPACE.to_owned(), below });
            }
        }
        commands
    }

    /// Returns the command that publishes this instance's notice, if its verdict has changed or the notice is
    /// due again.
    fn notice_command(&mut self, now: Ticks) -> Option<Command> {
        let own = self.own_verdict(now);
        let published = self.published.map(|published| published.verdict);
        let refresh_ticks = self.ttl / PUBLICATIONS_PER_TTL;
        let is_due = self.published.is_some_and(|published| now.0 >= published.at.0 + refresh_ticks);
        if own == published && !is_due {
            return None;
        }
        self.published = own.map(|verdict| TimedVerdict { verdict, at: now });
        let value = own.map(|verdict| postcard::to_stdvec(&verdict).unwrap_or_default());
        Some(Command::PublishNotice { from: self.id, topic: VERDICT_TOPIC.to_owned(), value })
    }

    /// Returns the most severe unexpired verdict of this instance's proxies on the latest stage of the newest
    /// build for which any of them has a verdict.
    fn own_verdict(&self, now: Ticks) -> Option<BuildVerdict> {
        (self.by_proxy.values())
            .filter(|reported| reported.verdict.kind != VerdictKind::Abstain)
            .filter(|reported| self.is_current(now, reported.at))
            .map(|reported| reported.verdict)
            .max_by_key(BuildVerdict::precedence)
    }

    fn is_current(&self, now: Ticks, since: Ticks) -> bool {
        now.0 < since.0 + self.ttl
    }

    /// Returns the vote that the holder of the lease should cast at the release controller.
    pub fn vote_to_cast(&mut self, now: Ticks, state: &ReplicatedState) -> Option<BuildVerdict> {
        self.observe_notices(now, state);
        let others = (state.notices(VERDICT_TOPIC))
            .filter(|(id, _)| *id != self.id)
            .filter_map(|(id, notice)| self.current_notice(now, id, notice));
        let newest = others.chain(self.own_verdict(now)).max_by_key(BuildVerdict::precedence)?;
        // A condemned build remains condemned at every later stage, and after the proxies that condemned it
        // have disconnected.
        let kind = match self.is_condemned(state, newest.build) {
            true => VerdictKind::RollBack,
            false => newest.kind,
        };
        Some(BuildVerdict { kind, ..newest })
    }

    /// Returns the verdict in another member's notice; `None` if it has expired or can't be decoded.
    fn current_notice(&self, now: Ticks, from: InstanceId, notice: &Notice) -> Option<BuildVerdict> {
        let observed = self.observed.get(&from)?;
        if !self.is_current(now, observed.first_seen) {
            return None;
        }
        postcard::from_bytes(&notice.value).ok()
    }

    /// Records which notices are new. Must be called regularly, even without the lease, or else a notice
    /// published long ago would be mistaken for a new one when the lease is acquired.
    pub fn observe_notices(&mut self, now: Ticks, state: &ReplicatedState) {
        self.observed.retain(|id, _| state.member(*id).is_some());
        for (id, notice) in state.notices(VERDICT_TOPIC) {
            let seen_now = ObservedNotice { published_at: notice.published_at, first_seen: now };
            let observed = self.observed.entry(id).or_insert(seen_now);
            if observed.published_at != notice.published_at {
                *observed = seen_now;
            }
        }
    }

    /// Returns whether a build is condemned.
    pub fn is_condemned(&self, state: &ReplicatedState, build: u64) -> bool {
        let subject = Subject::new(CONDEMNED_SPACE, build);
        matches!(state.subject_state(&subject), Some(SubjectState::Decided(_)))
    }
}

/// Returns the condemned builds, in order.
pub fn condemned_builds(state: &ReplicatedState) -> impl Iterator<Item = u64> {
    state.subjects(CONDEMNED_SPACE, 0).map(|(subject, _)| subject.number)
}
