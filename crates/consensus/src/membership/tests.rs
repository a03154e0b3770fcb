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
fn an_empty_disk_under_an_old_name_is_rejected() {
    let members = [member(1, "a"), member(2, "b")];
    let all = [peer(1, true, true, 9), peer(2, true, false, 3)];
    let decide = |change| decide_change(&change, InstanceId(1), &members, &all);
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
        "the dead one may go"
    );
    assert!(
        matches!(decide(MembershipChange::Remove(InstanceId(1))), Err(error) if error.to_string().contains("transfer"))
    );
}

#[test]
fn the_member_beyond_the_limit_is_the_first_that_is_rejected() {
    let members: Vec<_> = (1..=1024).map(|id| member(id, &format!("m{id}"))).collect();
    let all: Vec<_> = (1..=1024).map(|id| peer(id, true, true, 9)).collect();
    let add = MembershipChange::Add(member(2000, "new"));
    let among = |n: usize| decide_change(&add, InstanceId(1), &members[..n], &all[..n]);
    assert_eq!(among(1023), Ok(ChangeDecision::AddLearner(InstanceId(2000))));
    assert!(matches!(among(1024), Err(error) if error.to_string().contains("at the most")));
}

#[test]
fn a_removal_that_leaves_no_active_quorum_is_rejected() {
    let members = [member(1, "a"), member(2, "b"), member(3, "c")];
    let all = [peer(1, true, true, 9), peer(2, true, true, 9), peer(3, true, false, 3)];
    let decide = |id| decide_change(&MembershipChange::Remove(InstanceId(id)), InstanceId(1), &members, &all);
    assert!(matches!(decide(2), Err(error) if error.to_string().contains("1 of the 2")));
    assert_eq!(decide(3), Ok(ChangeDecision::Remove(InstanceId(3))));
}

#[test]
fn a_learner_votes_once_it_is_active_and_has_caught_up() {
    let all = |active, matched| [peer(1, true, true, 100), peer(2, false, active, matched)];
    assert_eq!(caught_up_learner(&all(true, 95), 100, 4), None);
    assert_eq!(caught_up_learner(&all(false, 100), 100, 4), None);
    assert_eq!(caught_up_learner(&all(true, 0), 3, 4), None, "it holds nothing");
    assert_eq!(caught_up_learner(&all(true, 96), 100, 4), Some(InstanceId(2)));
}
