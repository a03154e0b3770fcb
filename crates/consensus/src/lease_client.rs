//! The lease client, which determines when this instance acquires a role's lease, renews it and may act under
//! it.
//!
//! Ticks affect only how soon a lease changes hands. The replicated state and the fencing gate ensure that a
//! deposed holder can't act.

use crate::ids::{Epoch, Index, InstanceId, Role, Ticks};
use crate::pending_requests::Answer;
use crate::replicated_state::{Command, Lease, Reply};

/// Renewals within one TTL of the lease, so that two may be lost before the lease expires. An unanswered
/// request to the fencing gate is repeated at the same interval.
const RENEWALS_PER_TTL: u64 = 3;
/// Divisor of the lease's TTL: a failed renewal is proposed again after one tick plus the TTL divided by this
/// number.
const RETRIES_PER_TTL: u64 = 10;

/// An action that the lease client's caller has to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Proposal of this command; its answer is passed to [`LeaseClient::on_answer`].
    Propose(Command),
    /// Request to the fencing gate to observe this epoch; its answer is passed to
    /// [`LeaseClient::on_epoch_observed`] or [`LeaseClient::on_newer_epoch`].
    ObserveEpoch(Epoch),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseState {
    /// Lease free or held by another instance.
    NoLease,
    /// Proposal to acquire the lease in flight.
    Acquiring,
    /// Lease held, but the fencing gate has not confirmed the epoch yet.
    AwaitingFencing { epoch: Epoch, acquired_at: Ticks, requested_at: Option<Ticks> },
    /// Lease held and its epoch confirmed by the gate. Valid until `valid_until`, unless it is renewed.
    Active { epoch: Epoch, valid_until: Ticks, renew_at: Ticks, renewal_sent_at: Option<Ticks> },
}

impl LeaseState {
    /// Returns the epoch under which this instance holds the lease.
    fn epoch(self) -> Option<Epoch> {
        match self {
            LeaseState::NoLease | LeaseState::Acquiring => None,
            LeaseState::AwaitingFencing { epoch, .. } | LeaseState::Active { epoch, .. } => Some(epoch),
        }
    }
}

/// The lease as last seen in this instance's replicated state.
#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    epoch: Epoch,
    renewed: Index,
    /// Time at which this epoch and renewal were first seen, or at which this instance last failed to acquire
    /// the lease. In this instance's ticks: instances share no clock.
    since: Ticks,
}

/// The lease client of one role at one instance.
#[derive(Debug)]
pub struct LeaseClient {
    role: Role,
    id: InstanceId,
    /// Ticks for which a holder may act without a renewal.
    ttl: u64,
    /// Additional ticks before this instance tries to acquire the lease.
    stagger: u64,
    state: LeaseState,
    observed: ObservedLease,
}

impl LeaseClient {
    /// Creates a client for `role`. A holder may act for `ttl` ticks without a renewal. This instance waits
    /// for `stagger` additional ticks before it tries to acquire the lease, so that not all instances try at
    /// once.
    pub fn new(role: Role, id: InstanceId, ttl: u64, stagger: u64) -> Self {
        let observed = ObservedLease { epoch: Epoch(0), renewed: Index(0), since: Ticks(0) };
        Self { role, id, ttl, stagger, state: LeaseState::NoLease, observed }
    }

    /// Returns the role of the lease.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the epoch under which this instance may act now. Every action must present this epoch to the
    /// fencing gate as well.
    pub fn valid_epoch(&self, now: Ticks) -> Option<Epoch> {
        match self.state {
            LeaseState::Active { epoch, valid_until, .. } if now < valid_until => Some(epoch),
            _ => None,
        }
    }

    /// Returns the next action, if one is due, given the lease in this instance's replicated state.
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
        // If the replicated state names this instance as the holder, an earlier incarnation acquired the
        // lease, and its messages may still be in transit. This incarnation needs a new epoch, but need not
        // wait for the TTL.
        let required_delay = match lease.and_then(|lease| lease.holder) {
            Some(holder) if holder != self.id => self.ttl + self.stagger,
            _ => self.stagger,
        };
        let elapsed = now.0.saturating_sub(self.observed.since.0);
        if elapsed < required_delay {
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

    /// Handles the answer to the command of [`LeaseAction::Propose`].
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

    /// Returns the active state of a lease that is valid for one TTL from `start`. A renewal counts from the
    /// time at which it was proposed, because other instances may count its TTL from any later moment.
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

    /// Handles the fencing gate's confirmation that it has observed this epoch.
    pub fn on_epoch_observed(&mut self, observed: Epoch) {
        if let LeaseState::AwaitingFencing { epoch, acquired_at, .. } = self.state
            && epoch == observed
        {
            self.state = self.active_from(epoch, acquired_at);
        }
    }

    /// Handles a report of a newer epoch, from the fencing gate or another source: gives up a lease that is
    /// held under an older one.
    pub fn on_newer_epoch(&mut self, newest: Epoch) {
        if self.state.epoch().is_some_and(|epoch| epoch < newest) {
            self.state = LeaseState::NoLease;
        }
    }
}
