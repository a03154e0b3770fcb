//! Properties of the policy as a state machine.

mod common;

use common::{
    Harness, MS, NEW, OLD, READ, config, endpoint_record, fails_at_new, forwarded_to, rollout_status,
    trial_with_vote_mode,
};
use garnetcrank_policy::api::{
    AttemptResult, Build, ClassId, EndpointId, EndpointRecord, EndpointStatus, EndpointUpdate, Event,
    Outcome, PeerId, RequestId, RolloutPhase, VoteMode, VoteResult,
};

#[test]
fn a_request_is_forwarded_after_unusual_but_valid_events() {
    let mut single_class = config();
    single_class.classes.truncate(1);
    single_class.tenants.clear();
    let mut harness = Harness::new(single_class);
    harness.send(Event::Timer(99));
    harness.send(Event::AttemptCompleted(AttemptResult {
        id: RequestId(5),
        attempt: 3,
        outcome: Outcome::Success,
        latency: 0,
        request_finished: true,
        load_report: Vec::new(),
    }));
    harness.send(Event::ResponseStarted { id: RequestId(5), attempt: 9 });
    harness.set_endpoints(vec![endpoint_record(1, OLD), endpoint_record(1, NEW), endpoint_record(1, OLD)]);
    harness.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![EndpointRecord {
        status: EndpointStatus::Removed,
        ..endpoint_record(77, OLD)
    }])));
    harness.send(Event::RolloutUpdated(rollout_status(Build(99), 7, RolloutPhase::OnTrial, 0.5)));
    harness.send(Event::VoteCompleted(VoteResult::Unknown, None));
    harness.send(Event::BuildTally { build: Build(3), class: READ, count: 0, errors: 9, mean: 0, age: 0 });
    harness.send(Event::ResponseFlagged { endpoint: EndpointId(400), class: READ, age: u64::MAX / 4 });
    harness.send(Event::GossipReceived { from: PeerId(9), bytes: vec![1, 2] });
    harness.send(Event::HealthCheckCompleted {
        endpoint: EndpointId(3),
        outcome: Outcome::Overloaded,
        latency: 0,
        load_report: vec![],
    });
    let (id, actions) = harness.request(READ);
    assert!(forwarded_to(&actions).is_some());
    harness.set_endpoints(Vec::new());
    harness.complete(id, 0, Outcome::Success, 0);
    harness.tick(25);
}

#[test]
fn equal_events_cause_equal_actions() {
    let run = || {
        let mut harness = trial_with_vote_mode(VoteMode::Timer);
        let mut all_actions = Vec::new();
        for i in 0..300u32 {
            let class = ClassId(i as usize % 3);
            let (id, actions) = harness.request(class);
            let endpoint = forwarded_to(&actions);
            all_actions.extend(actions);
            harness.now += 3 * MS;
            if let Some(endpoint) = endpoint {
                all_actions.extend(harness.complete(id, 0, fails_at_new(class, endpoint), 30 * MS));
            }
            all_actions.extend(harness.tick(7));
        }
        all_actions
    };
    assert_eq!(run(), run());
}
