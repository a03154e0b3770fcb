//! The clerk: when this instance takes a role, renews it, acts under it and leaves it. Its ticks decide only how
//! soon; that no deposed holder acts is the ledger's and the gate's work.

use crate::ids::{Epoch, Index, InstanceId, Role, Ticks};
use crate::pending_requests::Answer;
use crate::replicated_state::{Command, Lease, Reply};

/// What the clerk asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Propose this; tell [`Clerk::answered`] what came of it.
    Propose(Command),
    /// Show this epoch to the gate; tell [`Clerk::shown`] or [`Clerk::deposed`] what it said.
    ObserveEpoch(Epoch),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Another holds it, or nobody.
    Watching,
    /// A take is under way.
    Taking,
    /// Held; the gate has not been shown the epoch yet.
    Showing { epoch: Epoch, since: Ticks, asked: Option<Ticks> },
    /// Held and shown. `until`: to act beyond it takes a renewal.
    Holding { epoch: Epoch, until: Ticks, renew: Ticks, under_way: Option<Ticks> },
}

/// One role's clerk at one instance.
#[derive(Debug)]
pub struct LeaseClient {
    role: Role,
    me: InstanceId,
    life: u64,
    state: State,
    /// The grant as last seen, and since when it looks so.
    seen: (Epoch, Index, Ticks),
    patience: u64,
}

impl LeaseClient {
    /// A clerk for `role`. `life`: ticks that a holder goes on without renewal; `stagger`: more ticks that this
    /// instance waits before it takes a role over, so that not all try at once.
    pub fn new(role: Role, me: InstanceId, life: u64, stagger: u64) -> Self {
        let seen = (Epoch(0), Index(0), Ticks(0));
        Self { role, me, life, state: State::Watching, seen, patience: life + stagger }
    }

    /// The role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The epoch under which this instance may act now. Whatever acts on it shows it to the gate as well.
    pub fn valid_epoch(&self, now: Ticks) -> Option<Epoch> {
        match self.state {
            State::Holding { epoch, until, .. } if now < until => Some(epoch),
            _ => None,
        }
    }

    /// What is to be done now, by the ledger as this instance has it.
    pub fn poll(&mut self, now: Ticks, grant: Option<&Lease>) -> Option<LeaseAction> {
        let (epoch, renewed) = grant.map_or((Epoch(0), Index(0)), |g| (g.epoch, g.renewed));
        if (epoch, renewed) != (self.seen.0, self.seen.1) {
            self.seen = (epoch, renewed, now);
        }
        let held = match self.state {
            State::Showing { epoch, .. } | State::Holding { epoch, .. } => Some(epoch),
            State::Watching | State::Taking => None,
        };
        if held.is_some_and(|held| held < epoch) {
            self.state = State::Watching;
        }
        match &mut self.state {
            State::Taking => None,
            State::Watching => self.watch(now, grant),
            State::Showing { epoch, asked, .. } => {
                if asked.is_some_and(|at| now.0 < at.0 + self.life / 3) {
                    return None;
                }
                *asked = Some(now);
                Some(LeaseAction::ObserveEpoch(*epoch))
            }
            State::Holding { epoch, renew, under_way, .. } => {
                if now < *renew || under_way.is_some() {
                    return None;
                }
                *under_way = Some(now);
                Some(LeaseAction::Propose(Command::RenewLease { role: self.role.clone(), epoch: *epoch }))
            }
        }
    }

    fn watch(&mut self, now: Ticks, grant: Option<&Lease>) -> Option<LeaseAction> {
        // Held by this instance in the ledger and not here: an earlier run of it, whose acts may still be on their
        // way. It starts under a new epoch like anyone else, but need not wait for itself.
        let mine = grant.is_some_and(|g| g.holder == Some(self.me));
        let free = grant.is_none_or(|g| g.holder.is_none());
        let waited = now.0.saturating_sub(self.seen.2.0);
        let wait = if mine || free { self.patience - self.life } else { self.patience };
        if waited < wait {
            return None;
        }
        self.state = State::Taking;
        let life = u32::try_from(self.life).unwrap_or(u32::MAX);
        Some(LeaseAction::Propose(Command::AcquireLease {
            role: self.role.clone(),
            holder: self.me,
            expected_epoch: self.seen.0,
            ttl: life,
        }))
    }

    /// What became of the proposal that was asked for.
    pub fn on_answer(&mut self, now: Ticks, answer: &Answer) {
        self.state = match (self.state, answer) {
            (State::Taking, Answer::Applied(Reply::LeaseAcquired(epoch))) => {
                State::Showing { epoch: *epoch, since: now, asked: None }
            }
            (State::Taking, _) => {
                self.seen.2 = now;
                State::Watching
            }
            (State::Holding { epoch, under_way: Some(at), .. }, Answer::Applied(Reply::Done)) => {
                // Counted from when it was proposed: the ledger may have let it lapse from any moment after that.
                State::Holding {
                    epoch,
                    until: Ticks(at.0 + self.life),
                    renew: self.renewal(at),
                    under_way: None,
                }
            }
            (State::Holding { .. }, Answer::Applied(Reply::StaleEpoch { .. })) => State::Watching,
            (State::Holding { epoch, until, .. }, _) => {
                State::Holding { epoch, until, renew: Ticks(now.0 + 1 + self.life / 10), under_way: None }
            }
            (state, _) => state,
        };
    }

    fn renewal(&self, from: Ticks) -> Ticks {
        Ticks(from.0 + self.life / 3)
    }

    /// The gate has taken this epoch as the newest.
    pub fn on_epoch_observed(&mut self, shown: Epoch) {
        if let State::Showing { epoch, since, .. } = self.state
            && epoch == shown
        {
            let until = Ticks(since.0 + self.life);
            self.state = State::Holding { epoch, until, renew: self.renewal(since), under_way: None };
        }
    }

    /// The gate, or anyone, knows of this later epoch.
    pub fn on_newer_epoch(&mut self, newest: Epoch) {
        match self.state {
            State::Showing { epoch, .. } | State::Holding { epoch, .. } if epoch < newest => {
                self.state = State::Watching;
            }
            _ => {}
        }
    }
}
