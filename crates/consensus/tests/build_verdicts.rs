//! Tests that the verdicts of proxies and instances on a build are combined into a single vote.

use garnetcrank_consensus::build_verdicts::{
    BuildVerdict, BuildVerdicts, CONDEMNED_BUILD_RANGE, MAX_PROXIES, TooManyProxies, VerdictKind,
    condemned_builds,
};
use garnetcrank_consensus::ids::{Index, InstanceId, Sequence, SessionId, Ticks};
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal, ReplicatedState};

/// The replicated state that the instances of a cluster share, and one session that proposes commands to it.
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
fn a_roll_back_verdict_is_decided_once_and_outlasts_the_proxy_that_reported_it() {
    let (mut cluster, mut first_instance, mut second_instance) =
        (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100), BuildVerdicts::new(InstanceId(2), 100));
    first_instance
        .record_verdict(Ticks(0), "f1", verdict(42, 1, VerdictKind::RollBack))
        .expect("the verdict is recorded");
    let commands = first_instance.proposals(Ticks(0), &cluster.state);
    assert_eq!(commands.len(), 2, "one decision and one notice: {commands:?}");
    assert!(
        first_instance.proposals(Ticks(1), &cluster.state).is_empty(),
        "nothing is proposed twice while the first proposal is pending"
    );
    cluster.apply(commands);
    assert_eq!(condemned_builds(&cluster.state).collect::<Vec<_>>(), [42]);
    first_instance.remove_proxy("f1");
    let commands = first_instance.proposals(Ticks(2), &cluster.state);
    cluster.apply(commands);
    second_instance
        .record_verdict(Ticks(5), "f2", verdict(42, 2, VerdictKind::Advance))
        .expect("the verdict is recorded");
    assert_eq!(
        second_instance.vote_to_cast(Ticks(5), &cluster.state),
        Some(verdict(42, 2, VerdictKind::RollBack))
    );
    assert_eq!(second_instance.vote_to_cast(Ticks(200), &cluster.state), None, "every verdict has expired");
}

#[test]
fn the_most_severe_verdict_on_the_newest_build_is_cast_until_it_expires() {
    let (mut cluster, mut first_instance, mut second_instance) =
        (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100), BuildVerdicts::new(InstanceId(2), 100));
    first_instance
        .record_verdict(Ticks(0), "a", verdict(42, 1, VerdictKind::Hold))
        .expect("the verdict is recorded");
    first_instance
        .record_verdict(Ticks(0), "b", verdict(42, 1, VerdictKind::Advance))
        .expect("the verdict is recorded");
    cluster.apply(first_instance.proposals(Ticks(0), &cluster.state));
    second_instance
        .record_verdict(Ticks(0), "c", verdict(42, 1, VerdictKind::Advance))
        .expect("the verdict is recorded");
    assert_eq!(
        second_instance.vote_to_cast(Ticks(0), &cluster.state),
        Some(verdict(42, 1, VerdictKind::Hold))
    );
    second_instance
        .record_verdict(Ticks(90), "c", verdict(42, 1, VerdictKind::Advance))
        .expect("the verdict is recorded");
    assert_eq!(
        second_instance.vote_to_cast(Ticks(101), &cluster.state),
        Some(verdict(42, 1, VerdictKind::Advance)),
        "the hold verdict has expired"
    );
    first_instance
        .record_verdict(Ticks(102), "a", verdict(43, 0, VerdictKind::Hold))
        .expect("the verdict is recorded");
    cluster.apply(first_instance.proposals(Ticks(102), &cluster.state));
    assert_eq!(
        second_instance.vote_to_cast(Ticks(102), &cluster.state),
        Some(verdict(43, 0, VerdictKind::Hold))
    );
}

#[test]
fn a_current_verdict_is_republished_and_an_expired_one_is_withdrawn() {
    let (cluster, mut first_instance) = (Cluster::new(), BuildVerdicts::new(InstanceId(1), 90));
    first_instance
        .record_verdict(Ticks(0), "a", verdict(42, 1, VerdictKind::Hold))
        .expect("the verdict is recorded");
    assert_eq!(first_instance.proposals(Ticks(0), &cluster.state).len(), 1);
    assert!(first_instance.proposals(Ticks(29), &cluster.state).is_empty());
    assert_eq!(first_instance.proposals(Ticks(30), &cluster.state).len(), 1);
    let withdrawal = first_instance.proposals(Ticks(90), &cluster.state);
    assert!(matches!(&withdrawal[..], [Command::PublishNotice { value: None, .. }]), "{withdrawal:?}");
    assert!(first_instance.proposals(Ticks(200), &cluster.state).is_empty());
}

#[test]
fn old_condemned_builds_are_retired_and_the_number_of_proxies_is_bounded() {
    let (mut cluster, mut first_instance) = (Cluster::new(), BuildVerdicts::new(InstanceId(1), 100));
    for build in [42, 42 + CONDEMNED_BUILD_RANGE + 8] {
        first_instance
            .record_verdict(Ticks(0), "a", verdict(build, 0, VerdictKind::RollBack))
            .expect("the verdict is recorded");
        cluster.apply(first_instance.proposals(Ticks(0), &cluster.state));
    }
    assert_eq!(condemned_builds(&cluster.state).collect::<Vec<_>>(), [42 + CONDEMNED_BUILD_RANGE + 8]);
    for n in 0..MAX_PROXIES - 1 {
        assert!(
            first_instance
                .record_verdict(Ticks(0), &format!("proxy {n}"), verdict(1, 0, VerdictKind::Abstain))
                .is_ok()
        );
    }
    assert_eq!(
        first_instance.record_verdict(Ticks(0), "one more", verdict(1, 0, VerdictKind::Abstain)),
        Err(TooManyProxies)
    );
    first_instance.proposals(Ticks(1000), &cluster.state);
    assert!(
        first_instance.record_verdict(Ticks(1000), "one more", verdict(1, 0, VerdictKind::Abstain)).is_ok(),
        "proxies that stopped reporting are removed"
    );
}
