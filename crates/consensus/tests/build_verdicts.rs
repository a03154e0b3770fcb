//! How the verdicts of proxies and instances on a build become one vote.

use garnetcrank_consensus::build_verdicts::{
    BuildVerdict, BuildVerdicts, MAX_CONDEMNED_BUILDS, MAX_PROXIES, TooManyProxies, VerdictKind,
    condemned_builds,
};
use garnetcrank_consensus::ids::{Index, InstanceId, Sequence, SessionId, Ticks};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, ReplicatedState};

struct Cluster {
    state: ReplicatedState,
    index: u64,
    sequence: u64,
}

impl Cluster {
    fn new() -> Self {
        let member = |id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() };
        let mut state = ReplicatedState::with_members([member(1), member(2)]);
        let command = Command::OpenSession { nonce: 0 };
        state.apply(Index(1), &Proposal { session: SessionId(0), sequence: Sequence(0), command });
        Self { state, index: 1, sequence: 0 }
    }

    fn apply(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.index += 1;
            self.sequence += 1;
            let proposal = Proposal { session: SessionId(1), sequence: Sequence(self.sequence), command };
            self.state.apply(Index(self.index), &proposal);
        }
    }
}

fn verdict(build: u64, stage: u64, kind: VerdictKind) -> BuildVerdict {
    BuildVerdict { build, stage, kind }
}

#[test]
fn a_verdict_to_roll_back_is_decided_once_and_outlives_its_proxy() {
    let (mut cluster, mut one, mut two) =
        (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100), BuildVerdicts::new(InstanceId(2), 100));
    one.record_verdict(Ticks(0), "f1", verdict(42, 1, VerdictKind::RollBack)).expect("it is recorded");
    let commands = one.proposals(Ticks(0), &cluster.state);
    assert_eq!(commands.len(), 2, "the decision and the notice: {commands:?}");
    assert!(one.proposals(Ticks(1), &cluster.state).is_empty(), "not again while it is under way");
    cluster.apply(commands);
    assert_eq!(condemned_builds(&cluster.state).collect::<Vec<_>>(), [42]);
    one.remove_proxy("f1");
    let commands = one.proposals(Ticks(2), &cluster.state);
    cluster.apply(commands);
    two.record_verdict(Ticks(5), "f2", verdict(42, 2, VerdictKind::Advance)).expect("it is recorded");
    assert_eq!(two.vote_to_cast(Ticks(5), &cluster.state), Some(verdict(42, 2, VerdictKind::RollBack)));
    assert_eq!(two.vote_to_cast(Ticks(200), &cluster.state), None, "no verdict is current any more");
}

#[test]
fn the_most_severe_verdict_on_the_newest_build_counts_and_expires_unless_reported_again() {
    let (mut cluster, mut one, mut two) =
        (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100), BuildVerdicts::new(InstanceId(2), 100));
    one.record_verdict(Ticks(0), "a", verdict(42, 1, VerdictKind::Hold)).expect("it is recorded");
    one.record_verdict(Ticks(0), "b", verdict(42, 1, VerdictKind::Advance)).expect("it is recorded");
    cluster.apply(one.proposals(Ticks(0), &cluster.state));
    two.record_verdict(Ticks(0), "c", verdict(42, 1, VerdictKind::Advance)).expect("it is recorded");
    assert_eq!(two.vote_to_cast(Ticks(0), &cluster.state), Some(verdict(42, 1, VerdictKind::Hold)));
    two.record_verdict(Ticks(90), "c", verdict(42, 1, VerdictKind::Advance)).expect("it is recorded");
    assert_eq!(
        two.vote_to_cast(Ticks(101), &cluster.state),
        Some(verdict(42, 1, VerdictKind::Advance)),
        "the hold is stale"
    );
    one.record_verdict(Ticks(102), "a", verdict(43, 0, VerdictKind::Hold)).expect("it is recorded");
    cluster.apply(one.proposals(Ticks(102), &cluster.state));
    assert_eq!(two.vote_to_cast(Ticks(102), &cluster.state), Some(verdict(43, 0, VerdictKind::Hold)));
}

#[test]
fn a_current_verdict_is_published_again_and_an_expired_one_withdrawn() {
    let (cluster, mut one) = (Cluster::new(), BuildVerdicts::new(InstanceId(1), 90));
    one.record_verdict(Ticks(0), "a", verdict(42, 1, VerdictKind::Hold)).expect("it is recorded");
    assert_eq!(one.proposals(Ticks(0), &cluster.state).len(), 1);
    assert!(one.proposals(Ticks(29), &cluster.state).is_empty());
    assert_eq!(one.proposals(Ticks(30), &cluster.state).len(), 1);
    let off = one.proposals(Ticks(90), &cluster.state);
    assert!(matches!(&off[..], [Command::PublishNotice { value: None, .. }]), "{off:?}");
    assert!(one.proposals(Ticks(200), &cluster.state).is_empty());
}

#[test]
fn old_condemnations_are_retired_and_proxies_are_bounded() {
    let (mut cluster, mut one) = (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100));
    for build in [42, 42 + MAX_CONDEMNED_BUILDS + 8] {
        one.record_verdict(Ticks(0), "a", verdict(build, 0, VerdictKind::RollBack)).expect("it is recorded");
        cluster.apply(one.proposals(Ticks(0), &cluster.state));
    }
    assert_eq!(condemned_builds(&cluster.state).collect::<Vec<_>>(), [42 + MAX_CONDEMNED_BUILDS + 8]);
    for n in 0..MAX_PROXIES - 1 {
        assert!(
            one.record_verdict(Ticks(0), &format!("proxy {n}"), verdict(1, 0, VerdictKind::Abstain)).is_ok()
        );
    }
    assert_eq!(
        one.record_verdict(Ticks(0), "one more", verdict(1, 0, VerdictKind::Abstain)),
        Err(TooManyProxies)
    );
    one.proposals(Ticks(1000), &cluster.state);
    assert!(
        one.record_verdict(Ticks(1000), "one more", verdict(1, 0, VerdictKind::Abstain)).is_ok(),
        "silent ones make room"
    );
}
