//! The trust in a build: what each front's own decisions say of it, what all remember of it, and what the holder of
//! the grant has cast for all.
//!
//! How far a build goes is each front's `Brain` to say. Here a front's word to go back becomes a decision that stands
//! (`condemned/BUILD`), its word to hold or to go on becomes this instance's notice, and whoever holds the role
//! `votes` casts the gravest word that still stands.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Index, InstanceId, Role, Subject, Ticks};
use crate::replicated_state::{Command, ReplicatedState, SubjectState};

/// The space of condemned builds.
pub const CONDEMNED_SPACE: &str = "condemned";
/// The board of opinions.
pub const VERDICT_TOPIC: &str = "trust";
/// Fronts of one instance that are heard at the most.
pub const MAX_PROXIES: usize = 1024;
/// Condemned builds that are remembered: older ones are retired, and builds come in the order of their numbers.
pub const MAX_CONDEMNED_BUILDS: u64 = 256;

/// The role of who casts the platform's vote.
pub fn vote_role() -> Role {
    Role("votes".to_owned())
}

/// A word on a build, from the mildest to the gravest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictKind {
    /// Nothing to say, or no more.
    #[serde(rename = "none")]
    Abstain,
    /// Go on.
    #[serde(rename = "on")]
    Advance,
    /// Hold the clock.
    Hold,
    /// Send it back.
    #[serde(rename = "back")]
    RollBack,
}

/// A word on a build at a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildVerdict {
    /// The build.
    pub build: u64,
    /// The stage meant.
    pub stage: u64,
    /// The word.
    #[serde(rename = "word")]
    pub kind: VerdictKind,
}

impl BuildVerdict {
    /// The later build first, then its later stage, then the graver word.
    fn weight(&self) -> (u64, u64, VerdictKind) {
        (self.build, self.stage, self.kind)
    }
}

/// One instance's part in the trust.
#[derive(Debug)]
pub struct BuildVerdicts {
    me: InstanceId,
    /// Ticks that a word stands without being said again.
    life: u64,
    fronts: BTreeMap<String, (BuildVerdict, Ticks)>,
    posted: Option<(BuildVerdict, Ticks)>,
    /// Others' notices: when each was last seen to have been posted anew. By this instance's own ticks, for no
    /// clock is shared.
    heard: BTreeMap<InstanceId, (Index, Ticks)>,
    condemning: BTreeMap<u64, Ticks>,
}

impl BuildVerdicts {
    /// `life`: ticks that a word stands without being said again.
    pub fn new(me: InstanceId, life: u64) -> Self {
        Self {
            me,
            life,
            fronts: BTreeMap::new(),
            posted: None,
            heard: BTreeMap::new(),
            condemning: BTreeMap::new(),
        }
    }

    /// A front's own decisions say this. False: too many fronts, it goes on alone.
    pub fn record_verdict(&mut self, now: Ticks, front: &str, opinion: BuildVerdict) -> bool {
        if !self.fronts.contains_key(front) && self.fronts.len() >= MAX_PROXIES {
            return false;
        }
        self.fronts.insert(front.to_owned(), (opinion, now));
        true
    }

    /// A front has gone: what it said counts no more. What it had condemned stays condemned.
    pub fn remove_proxy(&mut self, front: &str) {
        self.fronts.remove(front);
    }

    fn stands(&self, now: Ticks, since: Ticks) -> bool {
        now.0 < since.0 + self.life
    }

    /// The gravest word of this instance's fronts on the newest build that any speaks of.
    fn own(&self, now: Ticks) -> Option<BuildVerdict> {
        let standing =
            self.fronts.values().filter(|(o, at)| o.kind != VerdictKind::Abstain && self.stands(now, *at));
        standing.map(|(opinion, _)| *opinion).max_by_key(BuildVerdict::weight)
    }

    /// What is to be proposed now.
    pub fn proposals(&mut self, now: Ticks, ledger: &ReplicatedState) -> Vec<Command> {
        let mut commands = Vec::new();
        self.fronts.retain(|_, (_, at)| now.0 < at.0 + 10 * self.life);
        self.condemning.retain(|_, at| now.0 < at.0 + self.life);
        let back = self
            .fronts
            .values()
            .filter(|(o, at)| o.kind == VerdictKind::RollBack && now.0 < at.0 + self.life);
        for build in back.map(|(opinion, _)| opinion.build).collect::<std::collections::BTreeSet<_>>() {
            let subject = Subject::new(CONDEMNED_SPACE, build);
            if ledger.subject_state(&subject).is_none() && !self.condemning.contains_key(&build) {
                self.condemning.insert(build, now);
                commands.push(Command::Decide { subject, value: self.me.0.to_le_bytes().to_vec() });
                if let Some(below) = build.checked_sub(MAX_CONDEMNED_BUILDS) {
                    commands.push(Command::RetireSubjects { space: CONDEMNED_SPACE.to_owned(), below });
                }
            }
        }
        let own = self.own(now);
        let said = self.posted.map(|(opinion, _)| opinion);
        let due = self.posted.is_some_and(|(_, at)| now.0 >= at.0 + self.life / 3);
        if own != said || due {
            self.posted = own.map(|opinion| (opinion, now));
            let value = own.map(|opinion| postcard::to_stdvec(&opinion).unwrap_or_default());
            commands.push(Command::PublishNotice { from: self.me, topic: VERDICT_TOPIC.to_owned(), value });
        }
        commands
    }

    /// What the holder of the role should have standing at the platform; asked by whoever holds it.
    pub fn vote_to_cast(&mut self, now: Ticks, ledger: &ReplicatedState) -> Option<BuildVerdict> {
        self.observe_notices(now, ledger);
        let others =
            ledger.notices(VERDICT_TOPIC).filter(|(id, _)| *id != self.me).filter_map(|(id, notice)| {
                let (_, since) = self.heard.get(&id)?;
                self.stands(now, *since).then(|| postcard::from_bytes::<BuildVerdict>(&notice.value).ok())?
            });
        let newest = others.chain(self.own(now)).max_by_key(BuildVerdict::weight)?;
        // Condemned is condemned, also after those who said so have gone, and at every later stage.
        let word = if self.is_condemned(ledger, newest.build) { VerdictKind::RollBack } else { newest.kind };
        Some(BuildVerdict { kind: word, ..newest })
    }

    /// Notes which notices are new. To be called now and then also without the role, or a notice that has stood for
    /// long would pass for a fresh one.
    pub fn observe_notices(&mut self, now: Ticks, ledger: &ReplicatedState) {
        self.heard.retain(|id, _| ledger.member(*id).is_some());
        for (id, notice) in ledger.notices(VERDICT_TOPIC) {
            let heard = self.heard.entry(id).or_insert((notice.published_at, now));
            if heard.0 != notice.published_at {
                *heard = (notice.published_at, now);
            }
        }
    }

    /// Whether a build is condemned.
    pub fn is_condemned(&self, ledger: &ReplicatedState, build: u64) -> bool {
        matches!(ledger.subject_state(&Subject::new(CONDEMNED_SPACE, build)), Some(SubjectState::Decided(_)))
    }
}

/// The builds that are condemned, in order.
pub fn condemned_builds(ledger: &ReplicatedState) -> impl Iterator<Item = u64> {
    ledger.subjects(CONDEMNED_SPACE, 0).map(|(subject, _)| subject.number)
}
