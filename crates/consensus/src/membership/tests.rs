use super::{ChangeDecision, ChangeError, MembershipChange, PeerProgress, caught_up_learner, decide_change};
use crate::ids::InstanceId;
use crate::replicated_state::Member;

fn member(id: u64, name: &str) -> Member {
    Member { id: InstanceId(id), name: name.into(), address: "127.0.0.1:1".into() }
}

fn peer(id: u64, is_voter: bool, recently_active: bool, matched: u64) -> PeerProgress {
    PeerProgress { id: InstanceId(id), is_voter, recently_active, matched }
}

#[test]
fn adding_a_member_with_an_existing_name_and_another_id_is_rejected() {
    let members = [member(1, "a"), member(2, "b")];
    let peers = [peer(1, true, true, 9), peer(2, true, false, 3)];
    let decide = |change| decide_change(&change, InstanceId(1), &members, &peers);
    assert!(
        matches!(decide(MembershipChange::Add(member(7, "b"))), Err(error) if error.to_string().contains("remove"))
    );
    assert!(matches!(decide(MembershipChange::Add(member(2, "c"))), Err(ChangeError::IdInUse(_))));
    assert_eq!(decide(MembershipChange::Add(member(2, "b"))), Ok(ChangeDecision::AlreadyDone));
    assert_eq!(decide(MembershipChange::Add(member(7, "c"))), Ok(ChangeDecision::AddLearner(InstanceId(7))));
    assert_eq!(decide(MembershipChange::Remove(InstanceId(9))), Ok(ChangeDecision::AlreadyDone));
    assert_eq!(
        decide(MembershipChange::Remove(InstanceId(2))),
        Ok(ChangeDecision::Remove(InstanceId(2))),
        "an inactive member can be removed while a quorum of the others is active"
    );
    assert!(
        matches!(decide(MembershipChange::Remove(InstanceId(1))), Err(error) if error.to_string().contains("transfer"))
    );
}

#[test]
fn adding_a_member_is_rejected_only_when_the_maximum_is_reached() {
    let members: Vec<_> = (1..=1024).map(|id| member(id, &format!("m{id}"))).collect();
    let peers: Vec<_> = (1..=1024).map(|id| peer(id, true, true, 9)).collect();
    let add = MembershipChange::Add(member(2000, "new"));
    let decide_with = |n: usize| decide_change(&add, InstanceId(1), &members[..n], &peers[..n]);
    assert_eq!(decide_with(1023), Ok(ChangeDecision::AddLearner(InstanceId(2000))));
    assert!(matches!(decide_with(1024), Err(error) if error.to_string().contains("at the most")));
}

#[test]
fn a_removal_that_leaves_no_active_quorum_is_rejected() {
    let members = [member(1, "a"), member(2, "b"), member(3, "c")];
    let peers = [peer(1, true, true, 9), peer(2, true, true, 9), peer(3, true, false, 3)];
    let decide =
        |id| decide_change(&MembershipChange::Remove(InstanceId(id)), InstanceId(1), &members, &peers);
    assert!(matches!(decide(2), Err(error) if error.to_string().contains("1 of the 2")));
    assert_eq!(decide(3), Ok(ChangeDecision::Remove(InstanceId(3))));
}

#[test]
fn a_learner_is_promoted_once_it_is_active_and_has_caught_up() {
    let peers = |active, matched| [peer(1, true, true, 100), peer(2, false, active, matched)];
    assert_eq!(caught_up_learner(&peers(true, 95), 100, 4), None);
    assert_eq!(caught_up_learner(&peers(false, 100), 100, 4), None);
    assert_eq!(caught_up_learner(&peers(true, 0), 3, 4), None, "a learner without entries is not promoted");
    assert_eq!(caught_up_learner(&peers(true, 96), 100, 4), Some(InstanceId(2)));
}
