//! Changes of membership: one instance at a time, as a learner first, a voter once it has caught up.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Ticket};
use crate::replicated_state::Member;

/// Members at the most. Three to nine decide quickly; more is slower, and the operators' choice.
pub const MAX_MEMBERS: usize = 1024;

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// An instance joins.
    Add(Member),
    /// An instance leaves for good. Its name may be used again, by an instance with another number.
    Remove(InstanceId),
}

/// What goes into the log beside the library's own record of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Noted {
    /// The instance and run that asked, and its ticket.
    pub(crate) asked: (InstanceId, u64, Ticket),
    /// What it asked for.
    pub(crate) change: MembershipChange,
}

/// One voter or learner as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProgress {
    /// Who.
    pub id: InstanceId,
    /// Whether it votes.
    pub is_voter: bool,
    /// Whether it has been heard from within the last election time-out.
    pub recently_active: bool,
    /// The last index it is known to hold.
    pub matched: u64,
}

/// What the leader makes of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Way {
    /// It begins as a learner.
    AsLearner(Member),
    /// It goes.
    Out(InstanceId),
    /// It is so already.
    Already,
    /// No, and why.
    No(String),
}

/// Whether a change may begin now. Refused is whatever could leave the cluster without a living quorum.
pub(crate) fn way(
    change: &MembershipChange,
    me: InstanceId,
    members: &[Member],
    seen: &[PeerProgress],
) -> Way {
    match change {
        MembershipChange::Add(new) => {
            if members.iter().any(|m| m == new) {
                return Way::Already;
            }
            if new.id == InstanceId(0) || new.name.is_empty() || new.name.len() > 64 {
                return Way::No("a member needs a number and a name of 1 to 64 bytes".to_owned());
            }
            if let Some(old) = members.iter().find(|m| m.id == new.id) {
                return Way::No(format!("{:016x} is {} at {} already", old.id.0, old.name, old.address));
            }
            // The same name with another number is an instance that lost its store: as the old member it could vote
            // a second time in a term that it has forgotten.
            if let Some(old) = members.iter().find(|m| m.name == new.name) {
                return Way::No(format!(
                    "{} is a member as {:016x}; if its store is lost, remove that member first",
                    old.name, old.id.0
                ));
            }
            if members.len() >= MAX_MEMBERS {
                return Way::No(format!("{MAX_MEMBERS} members at the most"));
            }
            if seen.iter().any(|s| !s.is_voter) {
                return Way::No("another instance is still catching up: one at a time".to_owned());
            }
            Way::AsLearner(new.clone())
        }
        MembershipChange::Remove(id) => {
            if !members.iter().any(|m| m.id == *id) {
                return Way::Already;
            }
            if *id == me {
                return Way::No("it leads: transfer the lead first".to_owned());
            }
            let rest: Vec<&PeerProgress> = seen.iter().filter(|s| s.is_voter && s.id != *id).collect();
            let living = rest.iter().filter(|s| s.recently_active).count();
            if living < rest.len() / 2 + 1 {
                return Way::No(format!(
                    "{living} of the {} that would be left are heard from: too few to decide anything",
                    rest.len()
                ));
            }
            Way::Out(*id)
        }
    }
}

/// A learner that may vote from now on: it lives and holds all but the last few entries. One that holds nothing yet
/// never does, however short the log: as a voter it would stand for a quorum that can't be had.
pub(crate) fn caught_up(seen: &[PeerProgress], last: u64, slack: u64) -> Option<InstanceId> {
    seen.iter()
        .find(|s| !s.is_voter && s.recently_active && s.matched > 0 && s.matched + slack >= last)
        .map(|s| s.id)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: u64, name: &str) -> Member {
        Member { id: InstanceId(id), name: name.into(), address: "127.0.0.1:1".into() }
    }

    fn seen(id: u64, votes: bool, living: bool, matched: u64) -> PeerProgress {
        PeerProgress { id: InstanceId(id), is_voter: votes, recently_active: living, matched }
    }

    #[test]
    fn an_empty_disk_under_an_old_name_is_refused() {
        let members = [member(1, "a"), member(2, "b")];
        let all = [seen(1, true, true, 9), seen(2, true, false, 3)];
        let way = |change| way(&change, InstanceId(1), &members, &all);
        assert!(matches!(way(MembershipChange::Add(member(7, "b"))), Way::No(why) if why.contains("remove")));
        assert!(matches!(way(MembershipChange::Add(member(2, "c"))), Way::No(_)));
        assert_eq!(way(MembershipChange::Add(member(2, "b"))), Way::Already);
        assert_eq!(way(MembershipChange::Add(member(7, "c"))), Way::AsLearner(member(7, "c")));
        assert_eq!(way(MembershipChange::Remove(InstanceId(9))), Way::Already);
        assert_eq!(
            way(MembershipChange::Remove(InstanceId(2))),
            Way::Out(InstanceId(2)),
            "the dead one may go"
        );
        assert!(
            matches!(way(MembershipChange::Remove(InstanceId(1))), Way::No(why) if why.contains("transfer"))
        );
    }

    #[test]
    fn a_member_beyond_a_thousand_is_the_first_that_is_refused() {
        let members: Vec<_> = (1..=1024).map(|id| member(id, &format!("m{id}"))).collect();
        let all: Vec<_> = (1..=1024).map(|id| seen(id, true, true, 9)).collect();
        let add = MembershipChange::Add(member(2000, "new"));
        let among = |n: usize| way(&add, InstanceId(1), &members[..n], &all[..n]);
        assert_eq!(among(1023), Way::AsLearner(member(2000, "new")));
        assert!(matches!(among(1024), Way::No(why) if why.contains("at the most")));
    }

    #[test]
    fn a_change_that_leaves_no_living_quorum_is_refused() {
        let members = [member(1, "a"), member(2, "b"), member(3, "c")];
        let all = [seen(1, true, true, 9), seen(2, true, true, 9), seen(3, true, false, 3)];
        let way = |id| way(&MembershipChange::Remove(InstanceId(id)), InstanceId(1), &members, &all);
        assert!(matches!(way(2), Way::No(why) if why.contains("1 of the 2")));
        assert_eq!(way(3), Way::Out(InstanceId(3)));
    }

    #[test]
    fn a_learner_votes_once_it_lives_and_has_caught_up() {
        let all = |living, matched| [seen(1, true, true, 100), seen(2, false, living, matched)];
        assert_eq!(caught_up(&all(true, 95), 100, 4), None);
        assert_eq!(caught_up(&all(false, 100), 100, 4), None);
        assert_eq!(caught_up(&all(true, 0), 3, 4), None, "it holds nothing");
        assert_eq!(caught_up(&all(true, 96), 100, 4), Some(InstanceId(2)));
    }
}
