//! What the proxies think of a build, what all instances remember of it, and the one vote that follows.
//!
//! How far a build is rolled out is each proxy's policy to say. Here a proxy's verdict to roll back becomes a
//! permanent decision (`condemned/BUILD`), its verdict to hold or to advance becomes this instance's notice, and
//! whoever holds the lease of the role `votes` casts the most severe verdict that has not expired.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{Index, InstanceId, Role, Subject, Ticks};
use crate::replicated_state::{Command, Notice, ReplicatedState, SubjectState};

/// The space of condemned builds.
pub const CONDEMNED_SPACE: &str = "condemned";
/// The topic of instances' verdicts.
pub const VERDICT_TOPIC: &str = "trust";
/// Greatest number of proxies of one instance whose verdicts count.
pub const MAX_PROXIES: usize = 1024;
/// Condemned builds that are remembered: older ones are retired, and builds come in the order of their numbers.
pub const MAX_CONDEMNED_BUILDS: u64 = 256;
/// A notice is published again after this part of a verdict's ttl, so that two may be lost before it expires.
const PUBLICATIONS_PER_TTL: u64 = 3;
/// A proxy that has reported no verdict for so many ttls makes room for another.
const PROXY_RETENTION_TTLS: u64 = 10;

/// The role of the instance that casts the platform's vote.
pub fn vote_role() -> Role {
    Role("votes".to_owned())
}

/// A verdict on a build, from the mildest to the most severe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictKind {
    /// None, or no longer one.
    #[serde(rename = "none")]
    Abstain,
    /// Go on with the rollout.
    #[serde(rename = "on")]
    Advance,
    /// Stop the rollout's clock.
    Hold,
    /// Roll the build back.
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
    /// The verdict.
    #[serde(rename = "word")]
    pub kind: VerdictKind,
}

impl BuildVerdict {
    /// The later build first, then its later stage, then the more severe verdict.
    fn precedence(&self) -> (u64, u64, VerdictKind) {
        (self.build, self.stage, self.kind)
    }
}

/// A verdict and when it was reported or published.
#[derive(Debug, Clone, Copy)]
struct TimedVerdict {
    verdict: BuildVerdict,
    at: Ticks,
}

/// When another member's notice was last published, as this instance saw it.
#[derive(Debug, Clone, Copy)]
struct ObservedNotice {
    published_at: Index,
    /// By this instance's own ticks, for no clock is shared.
    first_seen: Ticks,
}

/// One instance's part in judging builds.
#[derive(Debug)]
pub struct BuildVerdicts {
    id: InstanceId,
    /// Ticks after which a verdict expires unless it is reported again.
    ttl: u64,
    by_proxy: BTreeMap<String, TimedVerdict>,
    published: Option<TimedVerdict>,
    observed: BTreeMap<InstanceId, ObservedNotice>,
    /// Builds that this instance has proposed to condemn, and since when.
    condemning: BTreeMap<u64, Ticks>,
}

/// No further proxy's verdict is recorded: there are [`MAX_PROXIES`] already.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("verdicts of {MAX_PROXIES} proxies are recorded already")]
pub struct TooManyProxies;

impl BuildVerdicts {
    /// `ttl`: ticks after which a verdict expires unless it is reported again.
    pub fn new(id: InstanceId, ttl: u64) -> Self {
        Self {
            id,
            ttl,
            by_proxy: BTreeMap::new(),
            published: None,
            observed: BTreeMap::new(),
            condemning: BTreeMap::new(),
        }
    }

    /// A proxy reports its own policy's verdict.
    ///
    /// # Errors
    /// Verdicts of too many proxies are recorded already: this one decides alone.
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

    /// A proxy has disconnected: its verdict no longer counts. What it had condemned stays condemned.
    pub fn remove_proxy(&mut self, proxy: &str) {
        self.by_proxy.remove(proxy);
    }

    /// What is to be proposed now.
    pub fn proposals(&mut self, now: Ticks, state: &ReplicatedState) -> Vec<Command> {
        self.forget_old(now);
        let mut commands = self.condemnations(now, state);
        commands.extend(self.publication(now));
        commands
    }

    fn forget_old(&mut self, now: Ticks) {
        let ttl = self.ttl;
        self.by_proxy.retain(|_, reported| now.0 < reported.at.0 + PROXY_RETENTION_TTLS * ttl);
        self.condemning.retain(|_, proposed_at| now.0 < proposed_at.0 + ttl);
    }

    /// Commands that condemn the builds which a proxy wants rolled back, and retire the oldest condemned ones.
    fn condemnations(&mut self, now: Ticks, state: &ReplicatedState) -> Vec<Command> {
        let rolled_back: BTreeSet<u64> = (self.by_proxy.values())
            .filter(|reported| reported.verdict.kind == VerdictKind::RollBack)
            .filter(|reported| self.is_current(now, reported.at))
            .map(|reported| reported.verdict.build)
            .collect();
        let mut commands = Vec::new();
        for build in rolled_back {
            let subject = Subject::new(CONDEMNED_SPACE, build);
            if state.subject_state(&subject).is_some() || self.condemning.contains_key(&build) {
                continue;
            }
            self.condemning.insert(build, now);
            commands.push(Command::Decide { subject, value: self.id.0.to_le_bytes().to_vec() });
            if let Some(below) = build.checked_sub(MAX_CONDEMNED_BUILDS) {
                commands.push(Command::RetireSubjects { space: CONDEMNED_SPACE.to_owned(), below });
            }
        }
        commands
    }

    /// This instance's notice, if its verdict has changed or the notice is to be published again.
    fn publication(&mut self, now: Ticks) -> Option<Command> {
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

    /// The most severe current verdict of this instance's proxies on the newest build that any has a verdict on.
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

    /// The vote that the holder of the lease should have cast at the platform.
    pub fn vote_to_cast(&mut self, now: Ticks, state: &ReplicatedState) -> Option<BuildVerdict> {
        self.observe_notices(now, state);
        let others = (state.notices(VERDICT_TOPIC))
            .filter(|(id, _)| *id != self.id)
            .filter_map(|(id, notice)| self.current_notice(now, id, notice));
        let newest = others.chain(self.own_verdict(now)).max_by_key(BuildVerdict::precedence)?;
        // A condemned build stays condemned, also after the proxies that condemned it have gone, and at every later
        // stage.
        let kind = match self.is_condemned(state, newest.build) {
            true => VerdictKind::RollBack,
            false => newest.kind,
        };
        Some(BuildVerdict { kind, ..newest })
    }

    /// What another member's notice says, unless it has expired.
    fn current_notice(&self, now: Ticks, from: InstanceId, notice: &Notice) -> Option<BuildVerdict> {
        let observed = self.observed.get(&from)?;
        if !self.is_current(now, observed.first_seen) {
            return None;
        }
        postcard::from_bytes(&notice.value).ok()
    }

    /// Records which notices are new. To be called now and then also without the lease, or a notice published long
    /// ago would pass for a new one.
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

    /// Whether a build is condemned.
    pub fn is_condemned(&self, state: &ReplicatedState, build: u64) -> bool {
        let subject = Subject::new(CONDEMNED_SPACE, build);
        matches!(state.subject_state(&subject), Some(SubjectState::Decided(_)))
    }
}

/// The builds that are condemned, in order.
pub fn condemned_builds(state: &ReplicatedState) -> impl Iterator<Item = u64> {
    state.subjects(CONDEMNED_SPACE, 0).map(|(subject, _)| subject.number)
}
