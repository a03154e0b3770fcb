//! The trust in a build: what each front's own decisions say of it, what all remember of it, and what the holder of
//! the grant has cast for all.
//!
//! How far a build goes is each front's `Brain` to say. Here a front's word to go back becomes a decision that stands
//! (`condemned/BUILD`), its word to hold or to go on becomes this instance's notice, and whoever holds the role
//! `votes` casts the gravest word that still stands.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Index, InstanceId, Role, Subject, Ticks};
use crate::ledger::{Command, Ledger, Standing};

/// The space of condemned builds.
pub const CONDEMNED: &str = "condemned";
/// The board of opinions.
pub const BOARD: &str = "trust";
/// Fronts of one instance that are heard at the most.
pub const FRONTS_MOST: usize = 1024;
/// Condemned builds that are remembered: older ones are retired, and builds come in the order of their numbers.
pub const REMEMBERED: u64 = 256;

/// The role of who casts the platform's vote.
pub fn role() -> Role {
    Role("votes".to_owned())
}

/// A word on a build, from the mildest to the gravest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Nothing to say, or no more.
    None,
    /// Go on.
    On,
    /// Hold the clock.
    Hold,
    /// Send it back.
    Back,
}

/// A word on a build at a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// The build.
    pub build: u64,
    /// The stage meant.
    pub stage: u64,
    /// The word.
    pub word: Word,
}

impl Opinion {
    /// The later build first, then its later stage, then the graver word.
    fn weight(&self) -> (u64, u64, Word) {
        (self.build, self.stage, self.word)
    }
}

/// One instance's part in the trust.
#[derive(Debug)]
pub struct Trust {
    me: InstanceId,
    /// Ticks that a word stands without being said again.
    life: u64,
    fronts: BTreeMap<String, (Opinion, Ticks)>,
    posted: Option<(Opinion, Ticks)>,
    /// Others' notices: when each was last seen to have been posted anew. By this instance's own ticks, for no
    /// clock is shared.
    heard: BTreeMap<InstanceId, (Index, Ticks)>,
    condemning: BTreeMap<u64, Ticks>,
}

impl Trust {
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
    pub fn front_says(&mut self, now: Ticks, front: &str, opinion: Opinion) -> bool {
        if !self.fronts.contains_key(front) && self.fronts.len() >= FRONTS_MOST {
            return false;
        }
        self.fronts.insert(front.to_owned(), (opinion, now));
        true
    }

    /// A front has gone: what it said counts no more. What it had condemned stays condemned.
    pub fn front_gone(&mut self, front: &str) {
        self.fronts.remove(front);
    }

    fn stands(&self, now: Ticks, since: Ticks) -> bool {
        now.0 < since.0 + self.life
    }

    /// The gravest word of this instance's fronts on the newest build that any speaks of.
    fn own(&self, now: Ticks) -> Option<Opinion> {
        let standing = self.fronts.values().filter(|(o, at)| o.word != Word::None && self.stands(now, *at));
        standing.map(|(opinion, _)| *opinion).max_by_key(Opinion::weight)
    }

    /// What is to be proposed now.
    pub fn proposals(&mut self, now: Ticks, ledger: &Ledger) -> Vec<Command> {
        let mut commands = Vec::new();
        self.fronts.retain(|_, (_, at)| now.0 < at.0 + 10 * self.life);
        self.condemning.retain(|_, at| now.0 < at.0 + self.life);
        let back = self.fronts.values().filter(|(o, at)| o.word == Word::Back && now.0 < at.0 + self.life);
        for build in back.map(|(opinion, _)| opinion.build).collect::<std::collections::BTreeSet<_>>() {
            let subject = Subject::new(CONDEMNED, build);
            if ledger.standing(&subject).is_none() && !self.condemning.contains_key(&build) {
                self.condemning.insert(build, now);
                commands.push(Command::Decide { subject, value: self.me.0.to_le_bytes().to_vec() });
                if let Some(below) = build.checked_sub(REMEMBERED) {
                    commands.push(Command::Retire { space: CONDEMNED.to_owned(), below });
                }
            }
        }
        let own = self.own(now);
        let said = self.posted.map(|(opinion, _)| opinion);
        let due = self.posted.is_some_and(|(_, at)| now.0 >= at.0 + self.life / 3);
        if own != said || due {
            self.posted = own.map(|opinion| (opinion, now));
            let value = own.map(|opinion| postcard::to_stdvec(&opinion).unwrap_or_default());
            commands.push(Command::Post { from: self.me, board: BOARD.to_owned(), value });
        }
        commands
    }

    /// What the holder of the role should have standing at the platform; asked by whoever holds it.
    pub fn to_cast(&mut self, now: Ticks, ledger: &Ledger) -> Option<Opinion> {
        self.listen(now, ledger);
        let others = ledger.notices(BOARD).filter(|(id, _)| *id != self.me).filter_map(|(id, notice)| {
            let (_, since) = self.heard.get(&id)?;
            self.stands(now, *since).then(|| postcard::from_bytes::<Opinion>(&notice.value).ok())?
        });
        let newest = others.chain(self.own(now)).max_by_key(Opinion::weight)?;
        // Condemned is condemned, also after those who said so have gone, and at every later stage.
        let word = if self.is_condemned(ledger, newest.build) { Word::Back } else { newest.word };
        Some(Opinion { word, ..newest })
    }

    /// Notes which notices are new. To be called now and then also without the role, or a notice that has stood for
    /// long would pass for a fresh one.
    pub fn listen(&mut self, now: Ticks, ledger: &Ledger) {
        self.heard.retain(|id, _| ledger.member(*id).is_some());
        for (id, notice) in ledger.notices(BOARD) {
            let heard = self.heard.entry(id).or_insert((notice.posted, now));
            if heard.0 != notice.posted {
                *heard = (notice.posted, now);
            }
        }
    }

    /// Whether a build is condemned.
    pub fn is_condemned(&self, ledger: &Ledger, build: u64) -> bool {
        matches!(ledger.standing(&Subject::new(CONDEMNED, build)), Some(Standing::Decided(_)))
    }
}

/// The builds that are condemned, in order.
pub fn condemned(ledger: &Ledger) -> impl Iterator<Item = u64> {
    ledger.subjects(CONDEMNED, 0).map(|(subject, _)| subject.number)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{Sequence, SessionId};
    use crate::ledger::{Member, Proposal};

    struct Cluster {
        ledger: Ledger,
        index: u64,
        sequence: u64,
    }

    impl Cluster {
        fn new() -> Self {
            let member = |id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() };
            let mut ledger = Ledger::founded([member(1), member(2)]);
            let command = Command::Open { nonce: 0 };
            ledger.apply(Index(1), &Proposal { session: SessionId(0), sequence: Sequence(0), command });
            Self { ledger, index: 1, sequence: 0 }
        }

        fn apply(&mut self, commands: Vec<Command>) {
            for command in commands {
                self.index += 1;
                self.sequence += 1;
                let proposal = Proposal { session: SessionId(1), sequence: Sequence(self.sequence), command };
                self.ledger.apply(Index(self.index), &proposal);
            }
        }
    }

    fn says(build: u64, stage: u64, word: Word) -> Opinion {
        Opinion { build, stage, word }
    }

    #[test]
    fn a_word_to_go_back_is_decided_once_and_outlives_who_said_it() {
        let (mut cluster, mut one, mut two) =
            (Cluster::new(), Trust::new(InstanceId(1), 100), Trust::new(InstanceId(2), 100));
        one.front_says(Ticks(0), "f1", says(42, 1, Word::Back));
        let commands = one.proposals(Ticks(0), &cluster.ledger);
        assert_eq!(commands.len(), 2, "the decision and the notice: {commands:?}");
        assert!(one.proposals(Ticks(1), &cluster.ledger).is_empty(), "not again while it is under way");
        cluster.apply(commands);
        assert_eq!(condemned(&cluster.ledger).collect::<Vec<_>>(), [42]);
        one.front_gone("f1");
        let commands = one.proposals(Ticks(2), &cluster.ledger);
        cluster.apply(commands);
        two.front_says(Ticks(5), "f2", says(42, 2, Word::On));
        assert_eq!(two.to_cast(Ticks(5), &cluster.ledger), Some(says(42, 2, Word::Back)));
        assert_eq!(two.to_cast(Ticks(200), &cluster.ledger), None, "nobody speaks of a build any more");
    }

    #[test]
    fn the_gravest_word_on_the_newest_build_counts_and_lapses_when_it_is_not_said_again() {
        let (mut cluster, mut one, mut two) =
            (Cluster::new(), Trust::new(InstanceId(1), 100), Trust::new(InstanceId(2), 100));
        one.front_says(Ticks(0), "a", says(42, 1, Word::Hold));
        one.front_says(Ticks(0), "b", says(42, 1, Word::On));
        cluster.apply(one.proposals(Ticks(0), &cluster.ledger));
        two.front_says(Ticks(0), "c", says(42, 1, Word::On));
        assert_eq!(two.to_cast(Ticks(0), &cluster.ledger), Some(says(42, 1, Word::Hold)));
        two.front_says(Ticks(90), "c", says(42, 1, Word::On));
        assert_eq!(
            two.to_cast(Ticks(101), &cluster.ledger),
            Some(says(42, 1, Word::On)),
            "the hold is stale"
        );
        one.front_says(Ticks(102), "a", says(43, 0, Word::Hold));
        cluster.apply(one.proposals(Ticks(102), &cluster.ledger));
        assert_eq!(two.to_cast(Ticks(102), &cluster.ledger), Some(says(43, 0, Word::Hold)));
    }

    #[test]
    fn a_standing_word_is_posted_again_and_a_silent_one_taken_off() {
        let (cluster, mut one) = (Cluster::new(), Trust::new(InstanceId(1), 90));
        one.front_says(Ticks(0), "a", says(42, 1, Word::Hold));
        assert_eq!(one.proposals(Ticks(0), &cluster.ledger).len(), 1);
        assert!(one.proposals(Ticks(29), &cluster.ledger).is_empty());
        assert_eq!(one.proposals(Ticks(30), &cluster.ledger).len(), 1);
        let off = one.proposals(Ticks(90), &cluster.ledger);
        assert!(matches!(&off[..], [Command::Post { value: None, .. }]), "{off:?}");
        assert!(one.proposals(Ticks(200), &cluster.ledger).is_empty());
    }

    #[test]
    fn old_condemnations_are_retired_and_fronts_are_bounded() {
        let (mut cluster, mut one) = (Cluster::new(), Trust::new(InstanceId(1), 100));
        for build in [42, 42 + REMEMBERED + 8] {
            one.front_says(Ticks(0), "a", says(build, 0, Word::Back));
            cluster.apply(one.proposals(Ticks(0), &cluster.ledger));
        }
        assert_eq!(condemned(&cluster.ledger).collect::<Vec<_>>(), [42 + REMEMBERED + 8]);
        for n in 0..FRONTS_MOST - 1 {
            assert!(one.front_says(Ticks(0), &format!("front {n}"), says(1, 0, Word::None)));
        }
        assert!(!one.front_says(Ticks(0), "one more", says(1, 0, Word::None)));
        one.proposals(Ticks(1000), &cluster.ledger);
        assert!(one.front_says(Ticks(1000), "one more", says(1, 0, Word::None)), "silent ones make room");
    }
}
