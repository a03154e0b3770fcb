//! The lease client: when this instance acquires a role's lease, renews it, acts under it and stops. Its ticks decide
//! only how soon; that no deposed holder acts is the work of the replicated state and the fencing gate.

use crate::ids::{Epoch, Index, InstanceId, Role, Ticks};
use crate::pending_requests::Answer;
use crate::replicated_state::{Command, Lease, Reply};

/// A renewal, and a question to the gate without an answer, are due after this part of the lease's ttl: two may be
/// lost before the lease lapses.
const RENEWALS_PER_TTL: u64 = 3;
/// A renewal that failed is proposed again after this part of the ttl, and one tick at the least.
const RETRIES_PER_TTL: u64 = 10;

/// What a lease client asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Propose this, and call [`LeaseClient::on_answer`] with what came of it.
    Propose(Command),
    /// Show this epoch to the fencing gate, and call [`LeaseClient::on_epoch_observed`] or
    /// [`LeaseClient::on_newer_epoch`] with its answer.
    ObserveEpoch(Epoch),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    /// Another instance holds the lease, or nobody.
    NoLease,
    /// A proposal to acquire it is in flight.
    Acquiring,
    /// Held; the fencing gate has not observed the epoch yet.
    AwaitingFencing { epoch: Epoch, acquired_at: Ticks, requested_at: Option<Ticks> },
    /// Held and observed by the gate. To act from `valid_until` on takes a renewal.
    Active { epoch: Epoch, valid_until: Ticks, renew_at: Ticks, renewal_sent_at: Option<Ticks> },
}

impl LeaseState {
    /// The epoch under which the lease is held here.
    fn epoch(self) -> Option<Epoch> {
        match self {
            LeaseState::NoLease | LeaseState::Acquiring => None,
            LeaseState::AwaitingFencing { epoch, .. } | LeaseState::Active { epoch, .. } => Some(epoch),
        }
    }
}

/// The lease as the replicated state last showed it here.
#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    epoch: Epoch,
    renewed: Index,
    /// Since when it looks so, by this instance's own ticks: no clock is shared.
    since: Ticks,
}

/// One role's lease client at one instance.
#[derive(Debug)]
pub struct LeaseClient {
    role: Role,
    id: InstanceId,
    /// Ticks that a holder may go on without a renewal.
    ttl: u64,
    /// More ticks that this instance waits before it acquires the lease.
    stagger: u64,
    state: LeaseState,
    observed: ObservedLease,
}

impl LeaseClient {
    /// A client for `role`. `ttl`: ticks that a holder may go on without a renewal; `stagger`: more ticks that this
    /// instance waits before it acquires the lease, so that not all instances try at once.
    pub fn new(role: Role, id: InstanceId, ttl: u64, stagger: u64) -> Self {
        let observed = ObservedLease { epoch: Epoch(0), renewed: Index(0), since: Ticks(0) };
        Self { role, id, ttl, stagger, state: LeaseState::NoLease, observed }
    }

    /// The role.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The epoch under which this instance may act now. Whatever acts on it shows it to the fencing gate as well.
    pub fn valid_epoch(&self, now: Ticks) -> Option<Epoch> {
        match self.state {
            LeaseState::Active { epoch, valid_until, .. } if now < valid_until => Some(epoch),
            _ => None,
        }
    }

    /// What is to be done now, by the lease as the replicated state here has it.
    pub fn poll(&mut self, now: Ticks, lease: Option<&Lease>) -> Option<LeaseAction> {
        self.observe(now, lease);
        match self.state {
            LeaseState::Acquiring => None,
            LeaseState::NoLease => self.acquire_if_due(now, lease),
            LeaseState::AwaitingFencing { epoch, acquired_at, requested_at } => {
                if requested_at.is_some_and(|requested_at| now < self.renewal_due(requested_at)) {
                    return None;
                }
                self.state = LeaseState::AwaitingFencing { epoch, acquired_at, requested_at: Some(now) };
                Some(LeaseAction::ObserveEpoch(epoch))
            }
            LeaseState::Active { epoch, valid_until, renew_at, renewal_sent_at } => {
                if now < renew_at || renewal_sent_at.is_some() {
                    return None;
                }
                self.state = LeaseState::Active { epoch, valid_until, renew_at, renewal_sent_at: Some(now) };
                Some(LeaseAction::Propose(Command::RenewLease { role: self.role.clone(), epoch }))
            }
        }
    }

    fn observe(&mut self, now: Ticks, lease: Option<&Lease>) {
        let (epoch, renewed) = match lease {
            Some(lease) => (lease.epoch, lease.renewed),
            None => (Epoch(0), Index(0)),
        };
        if epoch != self.observed.epoch || renewed != self.observed.renewed {
            self.observed = ObservedLease { epoch, renewed, since: now };
        }
        self.on_newer_epoch(epoch);
    }

    fn acquire_if_due(&mut self, now: Ticks, lease: Option<&Lease>) -> Option<LeaseAction> {
        // Held by this instance in the replicated state and not here: by an earlier incarnation, whose acts may still
        // be on their way. This one starts under a new epoch like any other, but need not wait for itself.
        let wait = match lease.and_then(|lease| lease.holder) {
            Some(holder) if holder != self.id => self.ttl + self.stagger,
            _ => self.stagger,
        };
        let waited = now.0.saturating_sub(self.observed.since.0);
        if waited < wait {
            return None;
        }
        self.state = LeaseState::Acquiring;
        Some(LeaseAction::Propose(Command::AcquireLease {
            role: self.role.clone(),
            holder: self.id,
            expected_epoch: self.observed.epoch,
            ttl: u32::try_from(self.ttl).unwrap_or(u32::MAX),
        }))
    }

    /// What became of the command that [`LeaseAction::Propose`] asked for.
    pub fn on_answer(&mut self, now: Ticks, answer: &Answer) {
        match self.state {
            LeaseState::Acquiring => self.on_acquire_answer(now, answer),
            LeaseState::Active { .. } => self.on_renewal_answer(now, answer),
            LeaseState::NoLease | LeaseState::AwaitingFencing { .. } => {}
        }
    }

    fn on_acquire_answer(&mut self, now: Ticks, answer: &Answer) {
        if let Answer::Applied(Reply::LeaseAcquired(epoch)) = answer {
            self.state = LeaseState::AwaitingFencing { epoch: *epoch, acquired_at: now, requested_at: None };
        } else {
            self.observed.since = now;
            self.state = LeaseState::NoLease;
        }
    }

    fn on_renewal_answer(&mut self, now: Ticks, answer: &Answer) {
        let LeaseState::Active { epoch, valid_until, renewal_sent_at, .. } = self.state else { return };
        self.state = match (answer, renewal_sent_at) {
            (Answer::Applied(Reply::Done), Some(sent_at)) => self.active_from(epoch, sent_at),
            (Answer::Applied(Reply::StaleEpoch { .. }), _) => LeaseState::NoLease,
            _ => {
                let renew_at = Ticks(now.0 + 1 + self.ttl / RETRIES_PER_TTL);
                LeaseState::Active { epoch, valid_until, renew_at, renewal_sent_at: None }
            }
        };
    }

    /// Active for a ttl that counts from when the lease was proposed: others may take it for lapsed from any moment
    /// after that.
    fn active_from(&self, epoch: Epoch, start: Ticks) -> LeaseState {
        LeaseState::Active {
            epoch,
            valid_until: Ticks(start.0 + self.ttl),
            renew_at: self.renewal_due(start),
            renewal_sent_at: None,
        }
    }

    fn renewal_due(&self, start: Ticks) -> Ticks {
        Ticks(start.0 + self.ttl / RENEWALS_PER_TTL)
    }

    /// The fencing gate has taken this epoch as the newest.
    pub fn on_epoch_observed(&mut self, observed: Epoch) {
        if let LeaseState::AwaitingFencing { epoch, acquired_at, .. } = self.state
            && epoch == observed
        {
            self.state = self.active_from(epoch, acquired_at);
        }
    }

    /// The fencing gate, or anyone, knows of this later epoch: whoever holds an older one stops.
    pub fn on_newer_epoch(&mut self, newest: Epoch) {
        if self.state.epoch().is_some_and(|epoch| epoch < newest) {
            self.state = LeaseState::NoLease;
        }
    }
}
