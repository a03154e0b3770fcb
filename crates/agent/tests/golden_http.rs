//! Golden tests of the JSON on the agent's HTTP port: each request body and each response, key by key.
//!
//! A scripted engine replaces the real one, so that every response can be produced; the routes and their JSON
//! are real. Proxies and operators' scripts of other versions use this API: it may be extended, but nothing
//! here may change.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use garnetcrank_agent::api::{
    LeaseView, MemberView, MembershipRequest, OperationResponse, ProposeResponse, StatusView, SubjectPage,
    SubjectView, VerdictReceipt, VerdictReport, VoteAssignment, WatchEvent,
};
use garnetcrank_agent::counters::{Counters, add};
use garnetcrank_agent::engine_input::{
    EngineInput, EngineRequest, PublishedState, QueryError, QueryOutput, ReadConsistency, StateQuery,
};
use garnetcrank_agent::http_api::{HttpApi, routes};
use garnetcrank_consensus::build_verdicts::{BuildVerdict, VerdictKind};
use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject, Term};
use garnetcrank_consensus::raft_node::{self, NodeStatus};
use garnetcrank_consensus::replicated_state::{Command, Proposal, Reply, SubjectState};
use garnetcrank_test_support::agent_cluster::http_client;
use serde_json::{Value, json};
use tokio::sync::watch;

/// HTTP API with the test in place of the engine.
struct TestServer {
    address: SocketAddr,
    inputs: Arc<Mutex<Receiver<EngineInput>>>,
    published: watch::Sender<PublishedState>,
    counters: Arc<Counters>,
    http: ureq::Agent,
    _runtime: tokio::runtime::Runtime,
}

/// Status code, content type and body.
type Response = (u16, String, String);

impl TestServer {
    fn start() -> Self {
        Self::start_with_queue(16)
    }

    fn start_with_queue(queue: usize) -> Self {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let (engine, inputs) = sync_channel(queue);
        let (published, receiver) = watch::channel(PublishedState::default());
        let counters = Arc::new(Counters::default());
        let api = HttpApi { engine, published: receiver, counters: counters.clone() };
        let listener =
            runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        runtime.spawn(async move { axum::serve(listener, routes(api)).await });
        let http = http_client(Duration::from_secs(20));
        Self { address, inputs: Arc::new(Mutex::new(inputs)), published, counters, http, _runtime: runtime }
    }

    /// Sends a request that needs no response of the engine.
    fn send(&self, method: &str, path: &str, body: &str) -> Response {
        let url = format!("http://{}{path}", self.address);
        let result = match method {
            "GET" => self.http.get(&url).call(),
            _ => self.http.post(&url).header("content-type", "application/json").send(body),
        };
        let mut response = result.expect("the server responds");
        let content_type = response
            .headers()
            .get("content-type")
            .map(|content_type| content_type.to_str().unwrap().to_owned());
        let text = response.body_mut().read_to_string().expect("the body is text");
        (response.status().as_u16(), content_type.unwrap_or_default(), text)
    }

    /// Sends a request that reaches the engine, where `engine` handles it.
    ///
    /// # Panics
    /// The engine receives no request, or `engine` panics.
    fn send_to_engine(
        &self,
        method: &str,
        path: &str,
        body: &str,
        engine: impl FnOnce(EngineRequest) + Send,
    ) -> Response {
        std::thread::scope(|threads| {
            let inputs = self.inputs.clone();
            let handler = threads.spawn(move || {
                let input = inputs
                    .lock()
                    .unwrap()
                    .recv_timeout(Duration::from_secs(10))
                    .expect("the engine receives a request");
                let EngineInput::Request(request) = input else { panic!("unexpected input: {input:?}") };
                engine(request);
            });
            let response = self.send(method, path, body);
            handler.join().expect("the engine receives the expected request");
            response
        })
    }
}

/// Asserts status code 200 and exactly this JSON: keys, their order and all values.
#[track_caller]
fn assert_json(response: Response, golden: &str) {
    let expected = (200, "application/json".to_owned(), golden.to_owned());
    assert_eq!(response, expected);
}

/// Asserts the form of every error: one key, `error`, whose text contains `fragment`.
#[track_caller]
fn assert_error((status, content_type, text): Response, expected: u16, fragment: &str) {
    assert_eq!((status, content_type.as_str()), (expected, "application/json"), "{text}");
    let value: Value = serde_json::from_str(&text).expect("the body is JSON");
    let object = value.as_object().expect("the body is an object");
    assert_eq!(object.keys().collect::<Vec<_>>(), ["error"], "{text}");
    assert!(
        object["error"].as_str().expect("the error is a text").contains(fragment),
        "{text} does not contain {fragment:?}"
    );
}

fn member_view() -> MemberView {
    let (id, name, address) = ("00000000000000ab".into(), "n1".into(), "10.0.0.1:7001".into());
    MemberView {
        id,
        name,
        address,
        role: "voter".into(),
        recently_active: Some(true),
        matched_index: Some(17),
    }
}

fn status(node_role: raft_node::NodeRole) -> StatusView {
    let non_member =
        MemberView { role: "none".into(), recently_active: None, matched_index: None, ..member_view() };
    StatusView {
        cluster: "fronts".into(),
        me: member_view(),
        version: "0.1.0".into(),
        starts: 3,
        uptime_ms: 4_000,
        node: NodeStatus {
            id: InstanceId(171),
            role: node_role,
            leader: Some(InstanceId(172)),
            term: Term(5),
            committed: Index(18),
            applied: Index(17),
            last_index: Index(19),
            log_entries: 20,
            pending_requests: 21,
            storage_low: false,
        },
        leader: Some("n2".into()),
        members: vec![member_view(), non_member],
        subject_count: 22,
        session_count: 23,
        store_bytes: 24,
    }
}

#[test]
fn health_is_plain_text() {
    let server = TestServer::start();
    let expected = (200, "text/plain; charset=utf-8".to_owned(), "ok\n".to_owned());
    assert_eq!(server.send("GET", "/healthz", ""), expected);
}

#[test]
fn status_has_each_key() {
    let server = TestServer::start();
    let golden = |role: &str| {
        let start = concat!(
            r#"{"cluster":"fronts","#,
            r#""me":{"id":"00000000000000ab","name":"n1","address":"10.0.0.1:7001","part":"voter","living":true,"#,
            r#""matched":17},"version":"0.1.0","starts":3,"up_ms":4000,"node":{"id":171,"standing":""#,
        );
        let end = concat!(
            r#"","leader":172,"term":5,"committed":18,"applied":17,"last":19,"held":20,"waiting":21,"#,
            r#""scarce":false},"leader":"n2","#,
            r#""members":[{"id":"00000000000000ab","name":"n1","address":"10.0.0.1:7001","part":"voter","#,
            r#""living":true,"matched":17},"#,
            r#"{"id":"00000000000000ab","name":"n1","address":"10.0.0.1:7001","part":"none"}],"#,
            r#""subjects":22,"sessions":23,"store_bytes":24}"#,
        );
        format!("{start}{role}{end}")
    };
    for (role, name) in [
        (raft_node::NodeRole::Follower, "follower"),
        (raft_node::NodeRole::PreCandidate, "pre_candidate"),
        (raft_node::NodeRole::Candidate, "candidate"),
        (raft_node::NodeRole::Leader, "leader"),
    ] {
        let response = server.send_to_engine("GET", "/v1/status", "", |request| {
            let EngineRequest::Status(reply) = request else { panic!("unexpected request: {request:?}") };
            reply.send(status(role)).unwrap();
        });
        assert_json(response, &golden(name));
    }
    let response = server.send_to_engine("GET", "/v1/status", "", |request| {
        let EngineRequest::Status(reply) = request else { panic!("unexpected request: {request:?}") };
        let mut status = status(raft_node::NodeRole::Follower);
        (status.leader, status.node.leader) = (None, None);
        reply.send(status).unwrap();
    });
    let text = golden("follower").replace(r#""leader":172"#, r#""leader":null"#);
    assert_json(response, &text.replace(r#""leader":"n2""#, r#""leader":null"#));
}

#[test]
fn counters_have_each_key_with_its_own_value() {
    let server = TestServer::start();
    let counters = &server.counters;
    let each = [
        &counters.messages_sent,
        &counters.outbound_messages_dropped,
        &counters.messages_received,
        &counters.inbound_messages_dropped,
        &counters.protocol_violations,
        &counters.hellos_rejected,
        &counters.connections_established,
        &counters.connections_failed,
        &counters.batches_committed,
        &counters.entries_committed,
        &counters.commit_time_us,
        &counters.snapshots_written,
        &counters.elections_won,
        &counters.process_pauses,
        &counters.http_requests,
        &counters.requests_shed,
        &counters.proposals_applied,
        &counters.proposals_timed_out,
        &counters.leases_acquired,
        &counters.verdicts_reported,
    ];
    (1..).zip(each).for_each(|(value, counter)| add(counter, value));
    let golden = concat!(
        r#"{"applied":17,"busy":16,"commit_us":11,"commits":9,"connected":7,"disconnected":8,"entries":10,"#,
        r#""freezes":14,"granted":19,"hellos_refused":6,"led":13,"overrun":4,"received":3,"requests":15,"#,
        r#""sent":1,"snapshots":12,"unanswered":18,"unreadable":5,"unsent":2,"verdicts":20}"#
    );
    assert_json(server.send("GET", "/v1/counters", ""), golden);
}

/// Each response to a proposal, with its JSON.
fn propose_responses() -> Vec<(ProposeResponse, &'static str)> {
    let applied = |reply| ProposeResponse::Applied { reply };
    vec![
        (applied(Reply::SessionOpened(SessionId(7))), r#"{"result":"applied","reply":{"Opened":7}}"#),
        (
            applied(Reply::Decided { value: vec![1, 255], first: true }),
            r#"{"result":"applied","reply":{"Decided":{"value":[1,255],"first":true}}}"#,
        ),
        (applied(Reply::LeaseAcquired(Epoch(3))), r#"{"result":"applied","reply":{"Granted":3}}"#),
        (applied(Reply::Done), r#"{"result":"applied","reply":"Done"}"#),
        (applied(Reply::Dispatched(Epoch(4))), r#"{"result":"applied","reply":{"Handed":4}}"#),
        (applied(Reply::InDoubt(Epoch(5))), r#"{"result":"applied","reply":{"InDoubt":5}}"#),
        (applied(Reply::Executed(Epoch(6))), r#"{"result":"applied","reply":{"Ran":6}}"#),
        (
            applied(Reply::StaleEpoch { current: Epoch(8) }),
            r#"{"result":"applied","reply":{"Stale":{"current":8}}}"#,
        ),
        (applied(Reply::Retired { below: 9 }), r#"{"result":"applied","reply":{"Retired":{"below":9}}}"#),
        (applied(Reply::SessionExpired), r#"{"result":"applied","reply":"SessionLost"}"#),
        (applied(Reply::Superseded), r#"{"result":"applied","reply":"Overtaken"}"#),
        (applied(Reply::CapacityExceeded), r#"{"result":"applied","reply":"Full"}"#),
        (applied(Reply::Rejected("why".into())), r#"{"result":"applied","reply":{"Refused":"why"}}"#),
        (ProposeResponse::NotProposed, r#"{"result":"not_proposed"}"#),
        (ProposeResponse::Indeterminate, r#"{"result":"may_yet"}"#),
        (ProposeResponse::Busy, r#"{"result":"busy"}"#),
        (ProposeResponse::StoreFull, r#"{"result":"store_full"}"#),
        (ProposeResponse::Rejected { reason: "no".into() }, r#"{"result":"refused","why":"no"}"#),
    ]
}

#[test]
fn sessions_and_proposals_get_each_response_as_json() {
    let server = TestServer::start();
    for (expected, golden) in propose_responses() {
        let parsed: ProposeResponse = serde_json::from_str(golden).expect("clients can parse the response");
        assert_eq!(parsed, expected);
        let sent = expected.clone();
        let response = server.send_to_engine("POST", "/v1/sessions?within_ms=700", "", move |request| {
            let EngineRequest::OpenSession { timeout_ms: 700, reply } = request else {
                panic!("unexpected request: {request:?}")
            };
            reply.send(sent).unwrap();
        });
        assert_json(response, golden);
        let body = r#"{"command":{"Open":{"nonce":1}}}"#;
        let response = server.send_to_engine("POST", "/v1/propose", body, move |request| {
            let EngineRequest::Execute {
                command: Command::OpenSession { nonce: 1 },
                timeout_ms: 5_000,
                reply,
            } = request
            else {
                panic!("unexpected request: {request:?}")
            };
            reply.send(expected).unwrap();
        });
        assert_json(response, golden);
    }
    // Without a timeout the default applies, and one beyond the limit is reduced to it.
    for (path, expected) in [("/v1/sessions", 5_000), ("/v1/sessions?within_ms=999999", 60_000)] {
        let response = server.send_to_engine("POST", path, "", move |request| {
            let EngineRequest::OpenSession { timeout_ms: timeout, reply } = request else {
                panic!("unexpected request: {request:?}")
            };
            assert_eq!(timeout, expected);
            reply.send(ProposeResponse::Busy).unwrap();
        });
        assert_json(response, r#"{"result":"busy"}"#);
    }
}

/// Each command, with its JSON.
fn commands() -> Vec<(Command, &'static str)> {
    let role = || Role("votes".into());
    let order = || Subject::new("orders", 9);
    let resolve_order = |was_executed| Command::ResolveOrder {
        role: role(),
        epoch: Epoch(4),
        order: order(),
        executed: was_executed,
    };
    let from = InstanceId(11);
    vec![
        (Command::OpenSession { nonce: 77 }, r#"{"Open":{"nonce":77}}"#),
        (
            Command::Decide { subject: Subject::new("condemned", 42), value: vec![1, 255] },
            r#"{"Decide":{"subject":{"space":"condemned","number":42},"value":[1,255]}}"#,
        ),
        (
            Command::AcquireLease {
                role: role(),
                holder: InstanceId(12),
                expected_epoch: Epoch(3),
                ttl: 150,
            },
            r#"{"Take":{"role":"votes","holder":12,"expect":3,"life":150}}"#,
        ),
        (Command::RenewLease { role: role(), epoch: Epoch(4) }, r#"{"Renew":{"role":"votes","epoch":4}}"#),
        (
            Command::ReleaseLease { role: role(), epoch: Epoch(4), successor: None },
            r#"{"Leave":{"role":"votes","epoch":4,"to":null}}"#,
        ),
        (
            Command::ReleaseLease { role: role(), epoch: Epoch(4), successor: Some(InstanceId(12)) },
            r#"{"Leave":{"role":"votes","epoch":4,"to":12}}"#,
        ),
        (
            Command::DispatchOrder { role: role(), epoch: Epoch(4), order: order() },
            r#"{"Hand":{"role":"votes","epoch":4,"order":{"space":"orders","number":9}}}"#,
        ),
        (
            resolve_order(true),
            r#"{"Settle":{"role":"votes","epoch":4,"order":{"space":"orders","number":9},"ran":true}}"#,
        ),
        (
            resolve_order(false),
            r#"{"Settle":{"role":"votes","epoch":4,"order":{"space":"orders","number":9},"ran":false}}"#,
        ),
        (
            Command::PublishNotice { from, topic: "trust".into(), value: Some(vec![7]) },
            r#"{"Post":{"from":11,"board":"trust","value":[7]}}"#,
        ),
        (
            Command::PublishNotice { from, topic: "trust".into(), value: None },
            r#"{"Post":{"from":11,"board":"trust","value":null}}"#,
        ),
        (
            Command::RetireSubjects { space: "condemned".into(), below: 1000 },
            r#"{"Retire":{"space":"condemned","below":1000}}"#,
        ),
    ]
}

#[test]
fn each_command_is_accepted_alone_and_in_a_session() {
    let server = TestServer::start();
    for (command, json) in commands() {
        assert_eq!(serde_json::to_string(&command).unwrap(), json, "clients serialize it as the golden JSON");
        let body = format!(r#"{{"command":{json},"within_ms":800}}"#);
        let expected = command.clone();
        let response = server.send_to_engine("POST", "/v1/propose", &body, move |request| {
            let EngineRequest::Execute { command, timeout_ms: 800, reply } = request else {
                panic!("unexpected request: {request:?}")
            };
            assert_eq!(command, expected);
            reply.send(ProposeResponse::Busy).unwrap();
        });
        assert_json(response, r#"{"result":"busy"}"#);
        let json = format!(r#"{{"session":5,"sequence":6,"command":{json}}}"#);
        let expected = Proposal { session: SessionId(5), sequence: Sequence(6), command };
        assert_eq!(
            serde_json::to_string(&expected).unwrap(),
            json,
            "clients serialize it as the golden JSON"
        );
        let body = format!(r#"{{"command":null,"proposal":{json},"within_ms":null}}"#);
        let response = server.send_to_engine("POST", "/v1/propose", &body, move |request| {
            let EngineRequest::Propose { proposal, timeout_ms: 5_000, reply } = request else {
                panic!("unexpected request: {request:?}")
            };
            assert_eq!(proposal, expected);
            reply.send(ProposeResponse::Busy).unwrap();
        });
        assert_json(response, r#"{"result":"busy"}"#);
    }
}

#[test]
fn a_page_of_the_ledger_has_each_key_and_the_options_reach_the_engine() {
    let server = TestServer::start();
    let page = || {
        let views = [
            ("condemned", 42, SubjectState::Decided(vec![1, 255])),
            ("orders", 8, SubjectState::Dispatched(Epoch(3))),
            ("orders", 9, SubjectState::Executed(Epoch(4))),
        ];
        let view = |(space, number, subject_state)| SubjectView {
            subject: Subject::new(space, number),
            state: subject_state,
        };
        let next = Some(Subject::new("orders", 9));
        SubjectPage { applied: Index(17), subjects: views.into_iter().map(view).collect(), next }
    };
    let golden = concat!(
        r#"{"applied":17,"subjects":["#,
        r#"{"subject":{"space":"condemned","number":42},"standing":{"Decided":[1,255]}},"#,
        r#"{"subject":{"space":"orders","number":8},"standing":{"Handed":3}},"#,
        r#"{"subject":{"space":"orders","number":9},"standing":{"Ran":4}}],"#,
        r#""next":{"space":"orders","number":9}}"#
    );
    assert_eq!(serde_json::from_str::<SubjectPage>(golden).expect("clients can parse the page"), page());
    let path = "/v1/ledger?space=orders&after=orders/7&stale=1&within_ms=900";
    let response = server.send_to_engine("GET", path, "", |request| {
        let EngineRequest::Read {
            query: StateQuery::Page { after, space },
            consistency: ReadConsistency::Stale,
            timeout_ms: 900,
            reply,
        } = request
        else {
            panic!("unexpected request: {request:?}")
        };
        assert_eq!((after, space.as_deref()), (Some(Subject::new("orders", 7)), Some("orders")));
        reply.send(Ok(QueryOutput::Subjects(page()))).unwrap();
    });
    assert_json(response, golden);
    let response = server.send_to_engine("GET", "/v1/ledger?stale=0", "", |request| {
        let EngineRequest::Read {
            query: StateQuery::Page { after: None, space: None },
            consistency: ReadConsistency::Linearizable,
            timeout_ms: 5_000,
            reply,
        } = request
        else {
            panic!("unexpected request: {request:?}")
        };
        reply
            .send(Ok(QueryOutput::Subjects(SubjectPage { applied: Index(1), subjects: vec![], next: None })))
            .unwrap();
    });
    assert_json(response, r#"{"applied":1,"subjects":[],"next":null}"#);
    let response =
        server.send_to_engine("GET", "/v1/ledger/condemned/42?stale=1&within_ms=10", "", |request| {
            let EngineRequest::Read {
                query: StateQuery::Subject(subject),
                consistency: ReadConsistency::Stale,
                timeout_ms: 10,
                reply,
            } = request
            else {
                panic!("unexpected request: {request:?}")
            };
            assert_eq!(subject, Subject::new("condemned", 42));
            reply.send(Ok(QueryOutput::Subjects(SubjectPage { next: None, ..page() }))).unwrap();
        });
    assert_json(response, &golden.replace(r#""next":{"space":"orders","number":9}"#, r#""next":null"#));
    let response = server.send_to_engine("GET", "/v1/ledger", "", |request| {
        let EngineRequest::Read { consistency: ReadConsistency::Linearizable, reply, .. } = request else {
            panic!("unexpected request: {request:?}")
        };
        reply.send(Err(QueryError::NoQuorum)).unwrap();
    });
    assert_error(response, 503, "no quorum");
    assert_error(server.send("GET", "/v1/ledger?after=x", ""), 400, "SPACE/NUMBER");
    assert_error(server.send("GET", "/v1/ledger/condemned/x", ""), 400, "condemned/x");
}

#[test]
fn grants_have_each_key() {
    let server = TestServer::start();
    let lease = |holder: Option<&str>| LeaseView {
        role: "votes".into(),
        holder: holder.map(str::to_owned),
        epoch: Epoch(4),
        renewed_at: Index(99),
    };
    let response = server.send_to_engine("GET", "/v1/grants?stale=1", "", |request| {
        let EngineRequest::Read {
            query: StateQuery::Leases,
            consistency: ReadConsistency::Stale,
            timeout_ms: 5_000,
            reply,
        } = request
        else {
            panic!("unexpected request: {request:?}")
        };
        reply.send(Ok(QueryOutput::Leases(vec![lease(Some("n1")), lease(None)]))).unwrap();
    });
    let golden = concat!(
        r#"[{"role":"votes","holder":"n1","epoch":4,"renewed":99},"#,
        r#"{"role":"votes","holder":null,"epoch":4,"renewed":99}]"#
    );
    assert_json(response, golden);
    let parsed: Vec<LeaseView> = serde_json::from_str(golden).expect("clients can parse the leases");
    assert_eq!(parsed, [lease(Some("n1")), lease(None)]);
    let response = server.send_to_engine("GET", "/v1/grants", "", |request| {
        let EngineRequest::Read {
            query: StateQuery::Leases,
            consistency: ReadConsistency::Linearizable,
            timeout_ms: 5_000,
            reply,
        } = request
        else {
            panic!("unexpected request: {request:?}")
        };
        reply.send(Err(QueryError::Busy)).unwrap();
    });
    assert_error(response, 503, "waits");
}

/// Each response to a request that only the leader carries out, with its JSON.
fn operation_responses() -> Vec<(OperationResponse, &'static str)> {
    vec![
        (OperationResponse::Done, r#"{"result":"done"}"#),
        (
            OperationResponse::NotLeader { leader: Some("n2".into()) },
            r#"{"result":"not_leader","leader":"n2"}"#,
        ),
        (OperationResponse::NotLeader { leader: None }, r#"{"result":"not_leader","leader":null}"#),
        (OperationResponse::Indeterminate, r#"{"result":"may_yet"}"#),
        (OperationResponse::Rejected { reason: "no".into() }, r#"{"result":"refused","why":"no"}"#),
    ]
}

#[test]
fn members_transfer_and_snapshot_parse_their_bodies_and_get_each_response_as_json() {
    let server = TestServer::start();
    let add = MembershipRequest::Add { id: "ab".into(), name: "n4".into(), address: "10.0.0.4:7001".into() };
    let changes = [
        (add, r#"{"add":{"id":"ab","name":"n4","address":"10.0.0.4:7001"}}"#),
        (MembershipRequest::Remove("n3".into()), r#"{"remove":"n3"}"#),
    ];
    for (expected, golden) in operation_responses() {
        assert_eq!(
            serde_json::from_str::<OperationResponse>(golden).expect("clients can parse the response"),
            expected
        );
        for (change, body) in changes.clone() {
            assert_eq!(
                serde_json::to_string(&change).unwrap(),
                body,
                "clients serialize it as the golden JSON"
            );
            let sent = expected.clone();
            let response = server.send_to_engine("POST", "/v1/members?within_ms=600", body, move |request| {
                let EngineRequest::ChangeMembership { request: received, timeout_ms: 600, reply } = request
                else {
                    panic!("unexpected request: {request:?}")
                };
                assert_eq!(received, change);
                reply.send(sent).unwrap();
            });
            assert_json(response, golden);
        }
        let sent = expected.clone();
        let response = server.send_to_engine("POST", "/v1/transfer", r#"{"to":"n2"}"#, move |request| {
            let EngineRequest::TransferLeadership { to, reply } = request else {
                panic!("unexpected request: {request:?}")
            };
            assert_eq!(to, "n2");
            reply.send(sent).unwrap();
        });
        assert_json(response, golden);
        for body in ["", "{}"] {
            let sent = expected.clone();
            let response = server.send_to_engine("POST", "/v1/snapshot", body, move |request| {
                let EngineRequest::Compact(reply) = request else {
                    panic!("unexpected request: {request:?}")
                };
                reply.send(sent).unwrap();
            });
            assert_json(response, golden);
        }
    }
}

/// Each kind of verdict, with its name in the JSON.
const VERDICT_KINDS: [(VerdictKind, &str); 4] = [
    (VerdictKind::Abstain, "none"),
    (VerdictKind::Advance, "on"),
    (VerdictKind::Hold, "hold"),
    (VerdictKind::RollBack, "back"),
];

#[test]
fn each_verdict_is_accepted_or_not() {
    let server = TestServer::start();
    for (verdict_kind, name) in VERDICT_KINDS {
        for is_accepted in [true, false] {
            let body = format!(r#"{{"front":"f1","opinion":{{"build":42,"stage":3,"word":"{name}"}}}}"#);
            let expected = VerdictReport {
                proxy: "f1".into(),
                verdict: BuildVerdict { build: 42, stage: 3, kind: verdict_kind },
            };
            assert_eq!(
                serde_json::to_string(&expected).unwrap(),
                body,
                "clients serialize it as the golden JSON"
            );
            let response = server.send_to_engine("POST", "/v1/verdicts", &body, move |request| {
                let EngineRequest::ReportVerdict { report, reply } = request else {
                    panic!("unexpected request: {request:?}")
                };
                assert_eq!(report, expected);
                reply.send(VerdictReceipt { accepted: is_accepted }).unwrap();
            });
            assert_json(response, &format!(r#"{{"heard":{is_accepted}}}"#));
        }
    }
}

#[test]
fn a_watch_gets_each_state_and_only_the_voting_proxy_gets_the_vote() {
    // Each watch notifies the engine twice: when its proxy connects and when it disconnects.
    let server = TestServer::start_with_queue(64);
    let build_verdict = |verdict_kind| Some(BuildVerdict { build: 42, stage: 3, kind: verdict_kind });
    let vote_assignment = |cast_verdict| Some(VoteAssignment { epoch: Epoch(4), verdict: cast_verdict });
    let mut lines = vec![
        (Vec::new(), None, false, r#"{"condemned":[],"together":false}"#.to_owned()),
        (vec![41, 42], None, true, r#"{"condemned":[41,42],"together":true}"#.to_owned()),
        (
            vec![],
            vote_assignment(None),
            true,
            r#"{"condemned":[],"cast":{"epoch":4,"opinion":null},"together":true}"#.to_owned(),
        ),
    ];
    for (verdict_kind, name) in VERDICT_KINDS {
        let verdict_json = format!(r#"{{"build":42,"stage":3,"word":"{name}"}}"#);
        let line =
            format!(r#"{{"condemned":[7],"cast":{{"epoch":4,"opinion":{verdict_json}}},"together":true}}"#);
        lines.push((vec![7], vote_assignment(build_verdict(verdict_kind)), true, line));
    }
    for (condemned, assignment, has_quorum, golden) in lines {
        let event =
            WatchEvent { condemned_builds: condemned, vote: assignment, quorum_available: has_quorum };
        assert_eq!(serde_json::from_str::<WatchEvent>(&golden).expect("clients can parse the event"), event);
        server
            .published
            .send_replace(PublishedState { event: event.clone(), voting_proxy: Some("f1".into()) });
        let without_vote = serde_json::to_string(&WatchEvent { vote: None, ..event }).unwrap();
        assert!(!without_vote.contains("cast"), "{without_vote}");
        for (proxy, golden) in [("f1", &golden), ("f2", &without_vote)] {
            let url = format!("http://{}/v1/watch?front={proxy}", server.address);
            let mut response = server.http.get(&url).call().expect("the server responds");
            assert_eq!(response.status().as_u16(), 200);
            assert_eq!(response.headers()["content-type"], "application/x-ndjson");
            let mut line = String::new();
            let mut reader = std::io::BufReader::new(response.body_mut().as_reader());
            std::io::BufRead::read_line(&mut reader, &mut line).expect("a line can be read");
            assert_eq!(line, format!("{golden}\n"));
        }
    }
    let inputs = server.inputs.lock().unwrap();
    let input = inputs.recv_timeout(Duration::from_secs(10)).expect("the engine is notified of the proxy");
    assert!(matches!(&input, EngineInput::ProxyConnected(name) if name == "f1"), "{input:?}");
    drop(inputs);
    assert_error(server.send("GET", "/v1/watch", ""), 400, "front");
    assert_error(server.send("GET", "/v1/watch?front=", ""), 400, "front");
    assert_error(server.send("GET", &format!("/v1/watch?front={}", "x".repeat(65)), ""), 400, "front");
}

#[test]
fn an_invalid_body_is_an_error_that_names_the_key() {
    let server = TestServer::start();
    for (path, body, fragment) in [
        ("/v1/propose", json!({}), "proposal"),
        (
            "/v1/propose",
            json!({"command": {"Open": {"nonce": 1}}, "proposal": {"session": 1, "sequence": 1, "command": {"Open": {"nonce": 1}}}}),
            "proposal",
        ),
        ("/v1/propose", json!({"commands": 1}), "commands"),
        ("/v1/propose", json!({"command": {"Decide": {"subject": {"space": "s"}, "value": []}}}), "number"),
        ("/v1/propose", json!({"command": {"Unknown": {}}}), "Unknown"),
        ("/v1/propose", json!({"command": {"Open": {"nonce": 1}}, "within_ms": "soon"}), "within_ms"),
        (
            "/v1/propose",
            json!({"proposal": {"session": 1, "command": {"Open": {"nonce": 1}}}}),
            "proposal: missing field `sequence`",
        ),
        ("/v1/members", json!({"add": {"id": "1", "name": "x"}}), "address"),
        ("/v1/members", json!({"replace": "x"}), "replace"),
        ("/v1/transfer", json!({}), "to"),
        ("/v1/transfer", json!({"to": 5}), "to"),
        ("/v1/verdicts", json!({"front": "f", "opinion": {"build": 1, "stage": 0, "word": "maybe"}}), "word"),
        ("/v1/verdicts", json!({"front": "f", "opinion": {"build": 1, "word": "on"}}), "stage"),
        (
            "/v1/verdicts",
            json!({"front": "f", "opinion": {"build": 1, "stage": 0, "word": "on"}, "extra": 1}),
            "extra",
        ),
        ("/v1/verdicts", json!({"opinion": {"build": 1, "stage": 0, "word": "on"}}), "front"),
    ] {
        assert_error(server.send("POST", path, &body.to_string()), 400, fragment);
    }
    for path in ["/v1/propose", "/v1/members", "/v1/transfer", "/v1/verdicts"] {
        assert_error(server.send("POST", path, "no json"), 400, "");
    }
}

#[test]
fn an_unknown_path_a_wrong_method_and_a_long_body_have_their_status_codes() {
    let server = TestServer::start();
    assert_error(server.send("GET", "/v1/nothing", ""), 404, "no such path");
    assert_error(server.send("POST", "/", "{}"), 404, "no such path");
    for (method, path) in [
        ("POST", "/healthz"),
        ("POST", "/v1/status"),
        ("POST", "/v1/counters"),
        ("GET", "/v1/sessions"),
        ("GET", "/v1/propose"),
        ("POST", "/v1/ledger"),
        ("POST", "/v1/ledger/a/1"),
        ("POST", "/v1/grants"),
        ("GET", "/v1/members"),
        ("GET", "/v1/transfer"),
        ("GET", "/v1/snapshot"),
        ("GET", "/v1/verdicts"),
        ("POST", "/v1/watch?front=f"),
    ] {
        assert_eq!(server.send(method, path, "").0, 405, "{method} {path}");
    }
    let long = format!(r#"{{"to":"{}"}}"#, "x".repeat(64 * 1024));
    assert_eq!(server.send("POST", "/v1/transfer", &long).0, 413);
    assert_eq!(server.send("GET", "/v1/ledger?within_ms=soon", "").0, 400);
}

#[test]
fn an_engine_that_stops_is_busy_or_does_not_respond_is_an_error() {
    let server = TestServer::start();
    let response = server.send_to_engine("GET", "/v1/status", "", drop);
    assert_error(response, 503, "ending");
    let busy = TestServer::start_with_queue(0);
    assert_error(busy.send("GET", "/v1/status", ""), 503, "busy");
    assert_error(busy.send("GET", "/v1/watch?front=f", ""), 503, "busy");
    let (sender, receiver) = std::sync::mpsc::channel();
    let response = server
        .send_to_engine("POST", "/v1/sessions?within_ms=0", "", move |request| sender.send(request).unwrap());
    assert_error(response, 504, "answer");
    drop(receiver);
}
