//! How the verdicts of proxies and instances on a build become one vote.

use garnetcrank_consensus::build_verdicts::{
    BuildVerdict, BuildVerdicts, MAX_CONDEMNED_BUILDS, MAX_PROXIES, VerdictKind, condemned_builds,
};
use garnetcrank_consensus::ids::{Index, InstanceId, Sequence, SessionId, Ticks};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, ReplicatedState};

struct Cluster {
    ledger: ReplicatedState,
    index: u64,
    sequence: u64,
}

impl Cluster {
    fn new() -> Self {
        let member = |id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() };
        let mut ledger = ReplicatedState::with_members([member(1), member(2)]);
        let command = Command::OpenSession { nonce: 0 };
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

fn says(build: u64, stage: u64, word: VerdictKind) -> BuildVerdict {
    BuildVerdict { build, stage, kind: word }
}

#[test]
fn a_word_to_go_back_is_decided_once_and_outlives_who_said_it() {
    let (mut cluster, mut one, mut two) =
        (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100), BuildVerdicts::new(InstanceId(2), 100));
    one.record_verdict(Ticks(0), "f1", says(42, 1, VerdictKind::RollBack));
    let commands = one.proposals(Ticks(0), &cluster.ledger);
    assert_eq!(commands.len(), 2, "the decision and the notice: {commands:?}");
    assert!(one.proposals(Ticks(1), &cluster.ledger).is_empty(), "not again while it is under way");
    cluster.apply(commands);
    assert_eq!(condemned_builds(&cluster.ledger).collect::<Vec<_>>(), [42]);
    one.remove_proxy("f1");
    let commands = one.proposals(Ticks(2), &cluster.ledger);
    cluster.apply(commands);
    two.record_verdict(Ticks(5), "f2", says(42, 2, VerdictKind::Advance));
    assert_eq!(two.vote_to_cast(Ticks(5), &cluster.ledger), Some(says(42, 2, VerdictKind::RollBack)));
    assert_eq!(two.vote_to_cast(Ticks(200), &cluster.ledger), None, "nobody speaks of a build any more");
}

#[test]
fn the_gravest_word_on_the_newest_build_counts_and_lapses_when_it_is_not_said_again() {
    let (mut cluster, mut one, mut two) =
        (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100), BuildVerdicts::new(InstanceId(2), 100));
    one.record_verdict(Ticks(0), "a", says(42, 1, VerdictKind::Hold));
    one.record_verdict(Ticks(0), "b", says(42, 1, VerdictKind::Advance));
    cluster.apply(one.proposals(Ticks(0), &cluster.ledger));
    two.record_verdict(Ticks(0), "c", says(42, 1, VerdictKind::Advance));
    assert_eq!(two.vote_to_cast(Ticks(0), &cluster.ledger), Some(says(42, 1, VerdictKind::Hold)));
    two.record_verdict(Ticks(90), "c", says(42, 1, VerdictKind::Advance));
    assert_eq!(
        two.vote_to_cast(Ticks(101), &cluster.ledger),
        Some(says(42, 1, VerdictKind::Advance)),
        "the hold is stale"
    );
    one.record_verdict(Ticks(102), "a", says(43, 0, VerdictKind::Hold));
    cluster.apply(one.proposals(Ticks(102), &cluster.ledger));
    assert_eq!(two.vote_to_cast(Ticks(102), &cluster.ledger), Some(says(43, 0, VerdictKind::Hold)));
}

#[test]
fn a_standing_word_is_posted_again_and_a_silent_one_taken_off() {
    let (cluster, mut one) = (Cluster::new(), BuildVerdicts::new(InstanceId(1), 90));
    one.record_verdict(Ticks(0), "a", says(42, 1, VerdictKind::Hold));
    assert_eq!(one.proposals(Ticks(0), &cluster.ledger).len(), 1);
    assert!(one.proposals(Ticks(29), &cluster.ledger).is_empty());
    assert_eq!(one.proposals(Ticks(30), &cluster.ledger).len(), 1);
    let off = one.proposals(Ticks(90), &cluster.ledger);
    assert!(matches!(&off[..], [Command::PublishNotice { value: None, .. }]), "{off:?}");
    assert!(one.proposals(Ticks(200), &cluster.ledger).is_empty());
}

#[test]
fn old_condemnations_are_retired_and_fronts_are_bounded() {
    let (mut cluster, mut one) = (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100));
    for build in [42, 42 + MAX_CONDEMNED_BUILDS + 8] {
        one.record_verdict(Ticks(0), "a", says(build, 0, VerdictKind::RollBack));
        cluster.apply(one.proposals(Ticks(0), &cluster.ledger));
    }
    assert_eq!(condemned_builds(&cluster.ledger).collect::<Vec<_>>(), [42 + MAX_CONDEMNED_BUILDS + 8]);
    for n in 0..MAX_PROXIES - 1 {
        assert!(one.record_verdict(Ticks(0), &format!("front {n}"), says(1, 0, VerdictKind::Abstain)));
    }
    assert!(!one.record_verdict(Ticks(0), "one more", says(1, 0, VerdictKind::Abstain)));
    one.proposals(Ticks(1000), &cluster.ledger);
    assert!(
        one.record_verdict(Ticks(1000), "one more", says(1, 0, VerdictKind::Abstain)),
        "silent ones make room"
    );
}
