//! The first worker's connections to discovery, the release controller and the agent. Updates from them go to
//! the policy, and the policy's votes go to them.

use calloop::Readiness;
use garnetcrank_policy::api::{Build, Event, Micros, RolloutStatus, VoteResult};
use garnetcrank_vote_router::{RouterAction, Vote, VoteOrigin};

use super::Proxy;
use crate::agent_client::AgentClient;
use crate::discovery::{Discovery, DiscoveryUpdate};
use crate::feature_settings::FeatureSettings;
use crate::lifecycle::Lifecycle;
use crate::process_settings::{ProcessSettings, StartupSettings};
use crate::readiness::ConnId;
use crate::release_controller::ReleaseController;
use crate::workers::WorkerMessage;

/// State that only the first worker has.
pub(super) struct ControlPlane {
    /// Client that watches and polls the endpoint list.
    pub(super) discovery: Discovery,
    /// Client that watches the newest build's rollout and casts votes on it.
    pub(super) release_controller: ReleaseController,
    /// Client of the agent on this host, present if the instances may communicate through agents.
    pub(super) agent: Option<AgentClient>,
    /// Lifecycle of the process.
    pub(super) lifecycle: Lifecycle,
    /// Settings that a reload can't change.
    pub(super) startup_settings: StartupSettings,
}

/// Exposure cap of a build, as last received.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExposureCap {
    build: Build,
    cap: f64,
}

impl ControlPlane {
    /// Creates the control plane of a process that starts now. Nothing is connected before the first tick.
    pub(super) fn new(process: &ProcessSettings, features: &FeatureSettings, now: Micros) -> Self {
        let settings = &process.settings;
        let rollout = &settings.config.rollout;
        let longest_deadline = settings.config.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let agent = features
            .consensus
            .as_ref()
            .map(|consensus| AgentClient::new(consensus, &process.name, rollout.vote_ttl, process.seed));
        ControlPlane {
            discovery: Discovery::new(process.discovery, settings, process.seed),
            release_controller: ReleaseController::new(
                process.release_controller,
                rollout.vote_timeout,
                process.seed,
            ),
            agent,
            lifecycle: Lifecycle::start(now, longest_deadline),
            startup_settings: StartupSettings::from_process(process),
        }
    }

    /// Returns whether everything is connected and only waits for updates.
    pub(super) fn is_idle(&self) -> bool {
        let agent_is_idle = self.agent.as_ref().is_none_or(AgentClient::is_idle);
        agent_is_idle && self.discovery.is_idle() && self.release_controller.is_idle()
    }
}

impl Proxy {
    /// Connects, reconnects and expires calls where that is due.
    pub(super) fn tick_control_plane(&mut self, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let endpoints = control_plane.discovery.on_tick(&self.handle, &mut self.conn_ids, now);
        let rollout_events = control_plane.release_controller.on_tick(&self.handle, &mut self.conn_ids, now);
        let router_actions = match &mut control_plane.agent {
            Some(agent) => agent.on_tick(&self.handle, &mut self.conn_ids, now),
            None => Vec::new(),
        };
        self.apply_discovery_update(endpoints);
        self.apply_rollout_events(rollout_events);
        self.perform_router_actions(router_actions, now);
    }

    /// Processes input from a connection to discovery.
    pub(super) fn on_discovery_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let update = control_plane.discovery.on_ready(id, readiness, now);
        self.apply_discovery_update(update);
    }

    /// Processes input from a connection to the release controller.
    pub(super) fn on_release_controller_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let events = control_plane.release_controller.on_ready(id, readiness, now);
        self.apply_rollout_events(events);
    }

    /// Processes input from a connection to the agent.
    pub(super) fn on_agent_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let Some(agent) = &mut control_plane.agent else { return };
        let actions = agent.on_ready(&self.handle, &mut self.conn_ids, id, readiness, now);
        self.perform_router_actions(actions, now);
    }

    /// Starts or stops watching the endpoint list.
    pub(super) fn watch_endpoints(&mut self, watch: bool, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let update = control_plane.discovery.set_watching(watch, now);
        self.apply_discovery_update(update);
    }

    /// Polls discovery for the complete endpoint list.
    pub(super) fn poll_endpoints(&mut self, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let update = control_plane.discovery.poll(&self.handle, &mut self.conn_ids, now);
        self.apply_discovery_update(update);
    }

    /// Updates the endpoints' addresses on all workers, then notifies the policy.
    pub(super) fn apply_discovery_update(&mut self, update: DiscoveryUpdate) {
        let now = self.clock.now();
        for address in &update.addresses {
            self.upstream.update_address(address, now, &mut self.upstream_events);
        }
        if !update.addresses.is_empty() {
            for other in self.shared.others(self.worker) {
                let messages = update.addresses.iter().cloned().map(WorkerMessage::EndpointChanged);
                self.shared.post(other, messages);
            }
        }
        for endpoints in update.endpoint_updates {
            self.shared.queue_update(Event::EndpointsUpdated(endpoints));
        }
    }

    /// Notifies the policy of events from the release controller. Rollout statuses pass through the agent
    /// client first, which may lower their exposure cap.
    pub(super) fn apply_rollout_events(&mut self, events: Vec<Event>) {
        for event in events {
            if matches!(event, Event::VoteCompleted(VoteResult::Counted, _)) {
                self.counters.votes_counted += 1;
            }
            let event = match event {
                Event::RolloutUpdated(status) => Event::RolloutUpdated(self.on_rollout_status(status)),
                Event::VoteCompleted(result, Some(status)) => {
                    Event::VoteCompleted(result, Some(self.on_rollout_status(status)))
                }
                other => other,
            };
            self.shared.queue_update(event);
        }
    }

    /// Returns the status that the policy is to be notified of. If it lowers the exposure cap, the new cap is
    /// enforced at once.
    fn on_rollout_status(&mut self, received: RolloutStatus) -> RolloutStatus {
        let agent = self.control_plane.as_mut().and_then(|control_plane| control_plane.agent.as_mut());
        let status = match agent {
            Some(agent) => agent.on_rollout_status(self.clock.now(), received),
            None => received,
        };
        self.enforce_exposure_cap(&status);
        status
    }

    /// Ends attempts that were decided under a higher cap and of which nothing has been sent yet.
    fn enforce_exposure_cap(&mut self, status: &RolloutStatus) {
        let cap = ExposureCap { build: status.build, cap: status.exposure_cap };
        let Some(previous) = self.exposure_cap.replace(cap) else { return };
        let is_lowered = previous.build == cap.build && cap.cap < previous.cap;
        if !is_lowered {
            return;
        }
        let now = self.clock.now();
        self.upstream.end_unsent_attempts_of_build(cap.build, now, &mut self.upstream_events);
        for other in self.shared.others(self.worker) {
            self.shared.post(other, [WorkerMessage::ExposureLowered(cap.build)]);
        }
    }

    /// Sends the policy's vote to the agent if there is one, otherwise to the release controller.
    pub(super) fn route_vote(&mut self, vote: Vote, now: Micros) {
        let agent = self.control_plane.as_mut().and_then(|control_plane| control_plane.agent.as_mut());
        match agent {
            Some(agent) => {
                let actions = agent.on_vote(&self.handle, &mut self.conn_ids, now, vote);
                self.perform_router_actions(actions, now);
            }
            None => self.cast_vote(vote, VoteOrigin::Own, now),
        }
    }

    /// Performs the actions that the agent client leaves to its caller.
    fn perform_router_actions(&mut self, actions: Vec<RouterAction>, now: Micros) {
        for action in actions {
            match action {
                RouterAction::CastVote(vote, origin) => self.cast_vote(vote, origin, now),
                RouterAction::VoteCompleted(result) => {
                    self.shared.dispatcher().queue_event(Event::VoteCompleted(result, None));
                }
                RouterAction::RolloutUpdated(status) => {
                    self.shared.queue_update(Event::RolloutUpdated(status));
                }
                // The agent client has already sent it.
                RouterAction::SendToAgent(_) => {}
            }
        }
    }

    fn cast_vote(&mut self, vote: Vote, origin: VoteOrigin, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        self.counters.votes += 1;
        let release_controller = &mut control_plane.release_controller;
        let event = release_controller.cast_vote(&self.handle, &mut self.conn_ids, now, vote, origin);
        if let Some(event) = event {
            self.shared.dispatcher().queue_event(event);
        }
    }
}
