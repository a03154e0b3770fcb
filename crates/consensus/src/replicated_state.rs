//! The ledger: what all instances agree on, in the order of the log. A pure state machine: the same commands give
//! the same state and replies everywhere, so nothing here may look at a clock, a random number or hash order.
//!
//! - A **subject** is decided once. What is retired from below is never decided again.
//! - A **session** makes a proposal that is sent again the same proposal: it is applied once, and later copies get
//!   the reply of the first.
//! - A **grant** gives a role to one instance under an epoch. Whoever acts on it shows that epoch to a gate.
//! - An **order** is handed out under an epoch before it is sent. Whoever takes the role over finds it in doubt and
//!   may hand it out again only on the gate's word that it never ran and never will.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject};

/// Sessions kept; the one used longest ago goes first.
pub const MAX_SESSIONS: usize = 4096;
/// Subjects kept. Beyond that new ones are refused until old ones are retired: a decision is never dropped by itself.
pub const MAX_SUBJECTS: usize = 1_000_000;
/// Roles kept.
pub const MAX_ROLES: usize = 256;
/// Spaces that have a floor.
pub const MAX_SPACES: usize = 1024;
/// Boards on which a member may have a notice.
pub const MAX_TOPICS: usize = 64;
/// Longest value of a decision or a notice, in bytes.
pub const MAX_VALUE_BYTES: usize = 4096;

/// An instance that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its number.
    pub id: InstanceId,
    /// Its name, unique among the members.
    pub name: String,
    /// Where the others reach it.
    pub address: String,
}

/// One thing that may be proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A new session; its number is the reply. `nonce` only tells two proposers' commands apart.
    #[serde(rename = "Open")]
    OpenSession {
        /// Any number.
        nonce: u64,
    },
    /// Decide a subject, unless it is decided.
    Decide {
        /// What.
        subject: Subject,
        /// How.
        value: Vec<u8>,
    },
    /// Take a role whose epoch is `expect`, or was never held (0).
    #[serde(rename = "Take")]
    AcquireLease {
        /// Which.
        role: Role,
        /// For whom.
        holder: InstanceId,
        /// The epoch that the proposer saw: another one in between wins.
        #[serde(rename = "expect")]
        expected_epoch: Epoch,
        /// How long a holder that can't renew goes on at the most, in its own ticks: advice, for speed.
        #[serde(rename = "life")]
        ttl: u32,
    },
    /// A holder's sign of life.
    #[serde(rename = "Renew")]
    RenewLease {
        /// Which.
        role: Role,
        /// Under which epoch it holds it.
        epoch: Epoch,
    },
    /// A holder gives a role up, or passes it on; either way its own epoch is over.
    #[serde(rename = "Leave")]
    ReleaseLease {
        /// Which.
        role: Role,
        /// Under which epoch it held it.
        epoch: Epoch,
        /// To whom; none: whoever takes it.
        #[serde(rename = "to")]
        successor: Option<InstanceId>,
    },
    /// Hand an order out, before it is sent.
    #[serde(rename = "Hand")]
    DispatchOrder {
        /// The role that hands out.
        role: Role,
        /// Under which epoch.
        epoch: Epoch,
        /// The order.
        order: Subject,
    },
    /// The gate's word on an order handed out, asked after the gate was shown `epoch`.
    #[serde(rename = "Settle")]
    ResolveOrder {
        /// The role that hands out.
        role: Role,
        /// The epoch that the gate had been shown when it was asked.
        epoch: Epoch,
        /// The order.
        order: Subject,
        /// Whether it ran. If not, it may be handed out again: the gate lets no older epoch through any more.
        #[serde(rename = "ran")]
        executed: bool,
    },
    /// A member's notice on a board, in place of its last one: what it thinks at the moment, not a decision.
    #[serde(rename = "Post")]
    PublishNotice {
        /// Whose.
        from: InstanceId,
        /// Which board.
        #[serde(rename = "board")]
        topic: String,
        /// What it says; none takes it off.
        value: Option<Vec<u8>>,
    },
    /// Forget subjects of a space below a number; they can't be decided any more.
    #[serde(rename = "Retire")]
    RetireSubjects {
        /// The space.
        space: String,
        /// The lowest number that stays.
        below: u64,
    },
}

/// A proposal: a command and where it stands in its proposer's session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The session; 0 for [`Command::Open`], which needs none.
    pub session: SessionId,
    /// Its place there. A proposer that goes on to a later one has given this one up for good.
    pub sequence: Sequence,
    /// The command.
    pub command: Command,
}

/// Who holds a role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; none after it left.
    pub holder: Option<InstanceId>,
    /// The epoch; it only grows.
    pub epoch: Epoch,
    /// The holder's own limit without renewal, in its ticks.
    #[serde(rename = "life")]
    pub ttl: u32,
    /// The index of its latest sign of life.
    pub renewed: Index,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The session is open.
    #[serde(rename = "Opened")]
    SessionOpened(SessionId),
    /// It is decided so; `first` if this proposal decided it.
    Decided {
        /// The value that counts.
        value: Vec<u8>,
        /// Whether it was this one.
        first: bool,
    },
    /// The role is held under this epoch from here on.
    #[serde(rename = "Granted")]
    LeaseAcquired(Epoch),
    /// The sign of life counts, the role was left, the order settled, the space retired.
    Done,
    /// The order is handed out under this epoch and may be sent once.
    #[serde(rename = "Handed")]
    Dispatched(Epoch),
    /// The order was handed out under this epoch before; whether it ran is the gate's to say.
    InDoubt(Epoch),
    /// The order ran under this epoch.
    #[serde(rename = "Ran")]
    Executed(Epoch),
    /// The epoch shown is not the present one.
    #[serde(rename = "Stale")]
    StaleEpoch {
        /// The present one.
        current: Epoch,
    },
    /// The subject's number is below its space's floor.
    Retired {
        /// The lowest number that stays.
        below: u64,
    },
    /// The session is not known (any more): the proposal was not applied now, and may have been earlier.
    #[serde(rename = "SessionLost")]
    SessionExpired,
    /// A later proposal of the same session came first: this one was not applied and never will be.
    #[serde(rename = "Overtaken")]
    Superseded,
    /// The ledger holds as much as it may.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// The command makes no sense as it stands.
    #[serde(rename = "Refused")]
    Rejected(String),
}

/// How a subject stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubjectState {
    /// Decided.
    Decided(Vec<u8>),
    /// An order that was handed out under an epoch.
    #[serde(rename = "Handed")]
    Dispatched(Epoch),
    /// An order that ran, handed out under an epoch.
    #[serde(rename = "Ran")]
    Executed(Epoch),
}

/// What a member has on a board.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// What it says.
    pub value: Vec<u8>,
    /// When it was last posted.
    #[serde(rename = "posted")]
    pub published_at: Index,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    sequence: Sequence,
    reply: Reply,
    used: Index,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    applied: Index,
    subjects: BTreeMap<Subject, SubjectState>,
    floors: BTreeMap<String, u64>,
    roles: BTreeMap<Role, Lease>,
    sessions: BTreeMap<SessionId, Session>,
    members: BTreeMap<InstanceId, Member>,
    notices: BTreeMap<String, BTreeMap<InstanceId, Notice>>,
}

impl ReplicatedState {
    /// The ledger of a cluster that begins with these members.
    pub fn with_members(members: impl IntoIterator<Item = Member>) -> Self {
        Self { members: members.into_iter().map(|m| (m.id, m)).collect(), ..Self::default() }
    }

    /// The last index applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// How a subject stands, if it does.
    pub fn subject_state(&self, subject: &Subject) -> Option<&SubjectState> {
        self.subjects.get(subject)
    }

    /// Subjects of a space, from a number on, in order.
    pub fn subjects<'a>(
        &'a self,
        space: &str,
        from: u64,
    ) -> impl Iterator<Item = (&'a Subject, &'a SubjectState)> {
        let first = Subject::new(space, from);
        let space = space.to_owned();
        self.subjects.range(first..).take_while(move |(subject, _)| subject.space == space)
    }

    /// All subjects in order, after one.
    pub fn subjects_after(&self, after: Option<&Subject>) -> impl Iterator<Item = (&Subject, &SubjectState)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.subjects.range((after.map_or(Unbounded, Excluded), Unbounded))
    }

    /// How many subjects are held.
    pub fn subject_count(&self) -> usize {
        self.subjects.len()
    }

    /// How many sessions are held.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Who holds a role.
    pub fn lease(&self, role: &Role) -> Option<&Lease> {
        self.roles.get(role)
    }

    /// All roles that were ever held.
    pub fn leases(&self) -> impl Iterator<Item = (&Role, &Lease)> {
        self.roles.iter()
    }

    /// The members' notices on a board.
    pub fn notices(&self, board: &str) -> impl Iterator<Item = (InstanceId, &Notice)> {
        self.notices.get(board).into_iter().flatten().map(|(id, notice)| (*id, notice))
    }

    /// The members, learners among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// A member has been added, at this index of the log.
    pub fn add_member(&mut self, index: Index, member: Member) {
        self.applied = index;
        self.members.insert(member.id, member);
    }

    /// A member has been removed, at this index of the log. What it held is given up: its epochs are over.
    pub fn remove_member(&mut self, index: Index, id: InstanceId) {
        self.applied = index;
        self.members.remove(&id);
        for board in self.notices.values_mut() {
            board.remove(&id);
        }
        for grant in self.roles.values_mut().filter(|grant| grant.holder == Some(id)) {
            grant.holder = None;
            grant.epoch.0 += 1;
        }
    }

    /// An entry without a command, at this index of the log.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies the proposal at this index of the log.
    pub fn apply(&mut self, index: Index, proposal: &Proposal) -> Reply {
        self.applied = index;
        if let Command::OpenSession { .. } = proposal.command {
            let id = SessionId(index.0);
            let reply = Reply::SessionOpened(id);
            self.make_room_for_a_session();
            self.sessions.insert(id, Session { sequence: Sequence(0), reply: reply.clone(), used: index });
            return reply;
        }
        // A copy that comes after its session has gone could be a second application: it gets no effect.
        let Some(session) = self.sessions.get_mut(&proposal.session) else { return Reply::SessionExpired };
        session.used = index;
        if proposal.sequence == session.sequence {
            return session.reply.clone();
        }
        if proposal.sequence < session.sequence {
            return Reply::Superseded;
        }
        let reply = self.run(index, &proposal.command);
        if let Some(session) = self.sessions.get_mut(&proposal.session) {
            session.sequence = proposal.sequence;
            session.reply = reply.clone();
        }
        reply
    }

    fn make_room_for_a_session(&mut self) {
        if self.sessions.len() < MAX_SESSIONS {
            return;
        }
        if let Some(oldest) = self.sessions.iter().min_by_key(|(id, s)| (s.used, **id)).map(|(id, _)| *id) {
            self.sessions.remove(&oldest);
        }
    }

    fn run(&mut self, index: Index, command: &Command) -> Reply {
        match command {
            Command::OpenSession { .. } => Reply::Rejected("a session opens without one".to_owned()),
            Command::Decide { subject, value } => self.decide(subject, value),
            Command::AcquireLease { role, holder, expected_epoch: expect, ttl: life } => {
                self.take(index, role, *holder, *expect, *life)
            }
            Command::RenewLease { role, epoch } => match self.held(role, *epoch) {
                Ok(grant) => {
                    grant.renewed = index;
                    Reply::Done
                }
                Err(reply) => reply,
            },
            Command::ReleaseLease { role, epoch, successor: to } => self.leave(index, role, *epoch, *to),
            Command::DispatchOrder { role, epoch, order } => self.hand(role, *epoch, order),
            Command::ResolveOrder { role, epoch, order, executed: ran } => {
                self.settle(role, *epoch, order, *ran)
            }
            Command::PublishNotice { from, topic: board, value } => {
                self.post(index, *from, board, value.as_deref())
            }
            Command::RetireSubjects { space, below } => self.retire(space, *below),
        }
    }

    /// The grant of a role that is held under just this epoch.
    fn held(&mut self, role: &Role, epoch: Epoch) -> Result<&mut Lease, Reply> {
        match self.roles.get_mut(role) {
            Some(grant) if grant.epoch == epoch && grant.holder.is_some() => Ok(grant),
            Some(grant) => Err(Reply::StaleEpoch { current: grant.epoch }),
            None => Err(Reply::StaleEpoch { current: Epoch(0) }),
        }
    }

    fn room(&self, subject: &Subject) -> Result<(), Reply> {
        let below = self.floors.get(&subject.space).copied().unwrap_or(0);
        if subject.number < below {
            return Err(Reply::Retired { below });
        }
        if self.subjects.len() >= MAX_SUBJECTS {
            return Err(Reply::CapacityExceeded);
        }
        Ok(())
    }

    fn decide(&mut self, subject: &Subject, value: &[u8]) -> Reply {
        if value.len() > MAX_VALUE_BYTES {
            return Reply::Rejected(format!("a value has {MAX_VALUE_BYTES} bytes at the most"));
        }
        match self.subjects.get(subject) {
            Some(SubjectState::Decided(value)) => Reply::Decided { value: value.clone(), first: false },
            Some(_) => Reply::Rejected(format!("{subject} is an order")),
            None => match self.room(subject) {
                Err(reply) => reply,
                Ok(()) => {
                    self.subjects.insert(subject.clone(), SubjectState::Decided(value.to_vec()));
                    Reply::Decided { value: value.to_vec(), first: true }
                }
            },
        }
    }

    fn take(&mut self, index: Index, role: &Role, holder: InstanceId, expect: Epoch, life: u32) -> Reply {
        if !self.members.contains_key(&holder) {
            return Reply::Rejected(format!("{holder} is no member"));
        }
        let current = self.roles.get(role).map_or(Epoch(0), |grant| grant.epoch);
        if current != expect {
            return Reply::StaleEpoch { current };
        }
        if current == Epoch(0) && self.roles.len() >= MAX_ROLES {
            return Reply::CapacityExceeded;
        }
        let epoch = Epoch(current.0 + 1);
        self.roles.insert(role.clone(), Lease { holder: Some(holder), epoch, ttl: life, renewed: index });
        Reply::LeaseAcquired(epoch)
    }

    fn leave(&mut self, index: Index, role: &Role, epoch: Epoch, to: Option<InstanceId>) -> Reply {
        if let Some(to) = to
            && !self.members.contains_key(&to)
        {
            return Reply::Rejected(format!("{to} is no member"));
        }
        match self.held(role, epoch) {
            Ok(grant) => {
                grant.epoch.0 += 1;
                grant.holder = to;
                grant.renewed = index;
                Reply::Done
            }
            Err(reply) => reply,
        }
    }

    fn hand(&mut self, role: &Role, epoch: Epoch, order: &Subject) -> Reply {
        if let Err(reply) = self.held(role, epoch) {
            return reply;
        }
        match self.subjects.get(order) {
            Some(SubjectState::Decided(_)) => Reply::Rejected(format!("{order} is no order")),
            // Also under the same epoch: the one that handed it out may have sent it and crashed.
            Some(SubjectState::Dispatched(epoch)) => Reply::InDoubt(*epoch),
            Some(SubjectState::Executed(epoch)) => Reply::Executed(*epoch),
            None => match self.room(order) {
                Err(reply) => reply,
                Ok(()) => {
                    self.subjects.insert(order.clone(), SubjectState::Dispatched(epoch));
                    Reply::Dispatched(epoch)
                }
            },
        }
    }

    fn settle(&mut self, role: &Role, epoch: Epoch, order: &Subject, ran: bool) -> Reply {
        if let Err(reply) = self.held(role, epoch) {
            return reply;
        }
        match self.subjects.get(order) {
            Some(SubjectState::Dispatched(handed)) if ran => {
                let handed = *handed;
                self.subjects.insert(order.clone(), SubjectState::Executed(handed));
                Reply::Done
            }
            // The gate's word covers older epochs alone: what this epoch handed out may still be on its way there.
            Some(SubjectState::Dispatched(handed)) if *handed < epoch => {
                self.subjects.remove(order);
                Reply::Done
            }
            Some(SubjectState::Dispatched(handed)) => Reply::InDoubt(*handed),
            Some(SubjectState::Executed(handed)) => Reply::Executed(*handed),
            Some(SubjectState::Decided(_)) => Reply::Rejected(format!("{order} is no order")),
            None => Reply::Rejected(format!("{order} was not handed out")),
        }
    }

    fn post(&mut self, index: Index, from: InstanceId, board: &str, value: Option<&[u8]>) -> Reply {
        if !self.members.contains_key(&from) {
            return Reply::Rejected(format!("{from} is no member"));
        }
        if value.is_some_and(|value| value.len() > MAX_VALUE_BYTES) || board.len() > 64 {
            return Reply::Rejected(format!(
                "a notice has {MAX_VALUE_BYTES} bytes at the most, a board's name 64"
            ));
        }
        if !self.notices.contains_key(board) && self.notices.len() >= MAX_TOPICS {
            return Reply::CapacityExceeded;
        }
        let notices = self.notices.entry(board.to_owned()).or_default();
        match value {
            Some(value) => drop(notices.insert(from, Notice { value: value.to_vec(), published_at: index })),
            None => drop(notices.remove(&from)),
        }
        if notices.is_empty() {
            self.notices.remove(board);
        }
        Reply::Done
    }

    fn retire(&mut self, space: &str, below: u64) -> Reply {
        let present = self.floors.get(space).copied();
        if present.is_none() && self.floors.len() >= MAX_SPACES {
            return Reply::CapacityExceeded;
        }
        if present.is_none_or(|present| present < below) {
            self.floors.insert(space.to_owned(), below);
            let gone = Subject::new(space, 0)..Subject::new(space, below);
            let gone: Vec<Subject> = self.subjects.range(gone).map(|(subject, _)| subject.clone()).collect();
            for subject in gone {
                self.subjects.remove(&subject);
            }
        }
        Reply::Done
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(id: u64) -> Member {
        Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }
    }

    struct Run {
        ledger: ReplicatedState,
        index: u64,
        session: SessionId,
        sequence: u64,
    }

    impl Run {
        fn new() -> Self {
            let mut ledger = ReplicatedState::with_members([member(1), member(2)]);
            let open = Proposal {
                session: SessionId(0),
                sequence: Sequence(0),
                command: Command::OpenSession { nonce: 1 },
            };
            assert_eq!(ledger.apply(Index(1), &open), Reply::SessionOpened(SessionId(1)));
            Self { ledger, index: 1, session: SessionId(1), sequence: 0 }
        }

        fn again(&mut self, sequence: u64, command: &Command) -> Reply {
            self.index += 1;
            let sequence = Sequence(sequence);
            self.ledger.apply(
                Index(self.index),
                &Proposal { session: self.session, sequence, command: command.clone() },
            )
        }

        fn go(&mut self, command: Command) -> Reply {
            self.sequence += 1;
            self.again(self.sequence, &command)
        }
    }

    fn orders() -> Role {
        Role("orders".into())
    }

    fn take(holder: u64, expect: u64) -> Command {
        Command::AcquireLease {
            role: orders(),
            holder: InstanceId(holder),
            expected_epoch: Epoch(expect),
            ttl: 100,
        }
    }

    fn hand(epoch: u64, number: u64) -> Command {
        Command::DispatchOrder { role: orders(), epoch: Epoch(epoch), order: Subject::new("order", number) }
    }

    fn settle(epoch: u64, number: u64, ran: bool) -> Command {
        Command::ResolveOrder {
            role: orders(),
            epoch: Epoch(epoch),
            order: Subject::new("order", number),
            executed: ran,
        }
    }

    #[test]
    fn the_first_decision_stands() {
        let mut run = Run::new();
        let decide =
            |value: u8| Command::Decide { subject: Subject::new("condemned", 42), value: vec![value] };
        assert_eq!(run.go(decide(1)), Reply::Decided { value: vec![1], first: true });
        assert_eq!(run.go(decide(2)), Reply::Decided { value: vec![1], first: false });
    }

    #[test]
    fn a_proposal_sent_again_is_the_same_proposal() {
        let mut run = Run::new();
        assert_eq!(run.go(take(1, 0)), Reply::LeaseAcquired(Epoch(1)));
        assert_eq!(
            run.again(1, &take(1, 0)),
            Reply::LeaseAcquired(Epoch(1)),
            "a copy gets the first one's reply"
        );
        assert_eq!(run.ledger.lease(&orders()).unwrap().epoch, Epoch(1));
        run.go(Command::RenewLease { role: orders(), epoch: Epoch(1) });
        assert_eq!(run.again(1, &take(1, 0)), Reply::Superseded);
        run.session = SessionId(999);
        assert_eq!(run.again(9, &take(1, 1)), Reply::SessionExpired);
        assert_eq!(run.ledger.lease(&orders()).unwrap().epoch, Epoch(1), "no effect without a session");
    }

    #[test]
    fn an_epoch_deposes_all_lower_ones() {
        let mut run = Run::new();
        run.go(take(1, 0));
        assert_eq!(run.go(hand(1, 5)), Reply::Dispatched(Epoch(1)));
        assert_eq!(
            run.go(take(2, 0)),
            Reply::StaleEpoch { current: Epoch(1) },
            "two who both saw nobody: one wins"
        );
        assert_eq!(run.go(take(2, 1)), Reply::LeaseAcquired(Epoch(2)));
        assert_eq!(run.go(hand(1, 6)), Reply::StaleEpoch { current: Epoch(2) });
        assert_eq!(
            run.go(Command::RenewLease { role: orders(), epoch: Epoch(1) }),
            Reply::StaleEpoch { current: Epoch(2) }
        );
        assert_eq!(run.go(settle(1, 5, false)), Reply::StaleEpoch { current: Epoch(2) });
    }

    #[test]
    fn an_order_in_doubt_is_handed_out_again_only_on_the_gates_word() {
        let mut run = Run::new();
        run.go(take(1, 0));
        run.go(hand(1, 5));
        run.go(hand(1, 6));
        assert_eq!(run.go(settle(1, 5, false)), Reply::InDoubt(Epoch(1)), "it may be on its way to the gate");
        run.go(take(2, 1));
        assert_eq!(run.go(hand(2, 5)), Reply::InDoubt(Epoch(1)));
        assert_eq!(run.go(settle(2, 5, false)), Reply::Done);
        assert_eq!(run.go(hand(2, 5)), Reply::Dispatched(Epoch(2)));
        assert_eq!(run.go(settle(2, 6, true)), Reply::Done);
        assert_eq!(run.go(hand(2, 6)), Reply::Executed(Epoch(1)));
    }

    #[test]
    fn a_notice_is_its_members_last_word_and_goes_with_it() {
        let mut run = Run::new();
        let post = |from, value: Option<u8>| Command::PublishNotice {
            from: InstanceId(from),
            topic: "trust".into(),
            value: value.map(|v| vec![v]),
        };
        assert_eq!(run.go(post(1, Some(1))), Reply::Done);
        run.go(post(2, Some(2)));
        run.go(post(1, Some(3)));
        let held =
            |run: &Run| run.ledger.notices("trust").map(|(id, n)| (id.0, n.value[0])).collect::<Vec<_>>();
        assert_eq!(held(&run), [(1, 3), (2, 2)]);
        run.go(post(1, None));
        assert_eq!(held(&run), [(2, 2)]);
        run.index += 1;
        run.ledger.remove_member(Index(run.index), InstanceId(2));
        assert!(held(&run).is_empty());
        assert!(matches!(run.go(post(2, Some(1))), Reply::Rejected(_)));
    }

    #[test]
    fn what_is_retired_is_not_decided_again() {
        let mut run = Run::new();
        let decide = |n| Command::Decide { subject: Subject::new("condemned", n), value: vec![] };
        run.go(decide(3));
        run.go(decide(9));
        assert_eq!(run.go(Command::RetireSubjects { space: "condemned".into(), below: 5 }), Reply::Done);
        assert_eq!(run.go(decide(3)), Reply::Retired { below: 5 });
        assert_eq!(run.ledger.subjects("condemned", 0).count(), 1);
        run.go(Command::RetireSubjects { space: "condemned".into(), below: 2 });
        assert_eq!(run.go(decide(3)), Reply::Retired { below: 5 }, "a floor never sinks");
    }

    #[test]
    fn a_member_that_is_removed_loses_its_roles_for_good() {
        let mut run = Run::new();
        run.go(take(2, 0));
        run.index += 1;
        run.ledger.remove_member(Index(run.index), InstanceId(2));
        assert_eq!(run.go(hand(1, 5)), Reply::StaleEpoch { current: Epoch(2) });
        assert!(matches!(run.go(take(2, 2)), Reply::Rejected(_)));
        assert_eq!(run.go(take(1, 2)), Reply::LeaseAcquired(Epoch(3)));
    }

    #[test]
    fn sessions_have_an_end_and_the_used_ones_stay() {
        let mut run = Run::new();
        run.go(take(1, 0));
        for n in 0..MAX_SESSIONS as u64 + 10 {
            run.index += 1;
            let open = Proposal {
                session: SessionId(0),
                sequence: Sequence(0),
                command: Command::OpenSession { nonce: n },
            };
            run.ledger.apply(Index(run.index), &open);
            if n % 100 == 0 {
                assert_eq!(run.go(Command::RenewLease { role: orders(), epoch: Epoch(1) }), Reply::Done);
            }
        }
        assert_eq!(run.ledger.session_count(), MAX_SESSIONS);
    }
}
