//! Golden tests: JSON on the agent's local port, each request body and each response key by key. A scripted core takes
//! the place of the real one, so every answer can be had at will; the routes and what they read and write are real.
//! Proxies and scripts of operators of other versions speak this: forms may be added, none here may change.

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
use garnetcrank_test_support::agent_cluster::client;
use serde_json::{Value, json};
use tokio::sync::watch;

/// The port with the test as its core.
struct Port {
    address: SocketAddr,
    inputs: Arc<Mutex<Receiver<EngineInput>>>,
    published: watch::Sender<PublishedState>,
    counters: Arc<Counters>,
    http: ureq::Agent,
    _runtime: tokio::runtime::Runtime,
}

/// Status, content type and body.
type Answer = (u16, String, String);

impl Port {
    fn open() -> Self {
        Self::open_with_queue(16)
    }

    fn open_with_queue(queue: usize) -> Self {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let (engine, inputs) = sync_channel(queue);
        let (published, receiver) = watch::channel(PublishedState::default());
        let counters = Arc::new(Counters::default());
        let api = HttpApi { engine, published: receiver, counters: counters.clone() };
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port");
        let address = listener.local_addr().expect("an address");
        runtime.spawn(async move { axum::serve(listener, routes(api)).await });
        let http = client(Duration::from_secs(20));
        Self { address, inputs: Arc::new(Mutex::new(inputs)), published, counters, http, _runtime: runtime }
    }

    /// A request that the port answers by itself.
    fn send(&self, method: &str, path: &str, body: &str) -> Answer {
        let url = format!("http://{}{path}", self.address);
        let sent = match method {
            "GET" => self.http.get(&url).call(),
            _ => self.http.post(&url).header("content-type", "application/json").send(body),
        };
        let mut answer = sent.expect("an answer");
        let kind = answer.headers().get("content-type").map(|kind| kind.to_str().unwrap().to_owned());
        let text = answer.body_mut().read_to_string().expect("a text");
        (answer.status().as_u16(), kind.unwrap_or_default(), text)
    }

    /// A request that the core answers, by `core`, which must have been asked.
    fn ask(&self, method: &str, path: &str, body: &str, core: impl FnOnce(EngineRequest) + Send) -> Answer {
        std::thread::scope(|threads| {
            let inputs = self.inputs.clone();
            let asked = threads.spawn(move || {
                let input =
                    inputs.lock().unwrap().recv_timeout(Duration::from_secs(10)).expect("it is asked");
                let EngineInput::Request(ask) = input else { panic!("{input:?}") };
                core(ask);
            });
            let answer = self.send(method, path, body);
            asked.join().expect("the core was asked the right thing");
            answer
        })
    }
}

/// Status 200 and this very text: keys, their order and all values.
#[track_caller]
fn is_json(answer: Answer, golden: &str) {
    let wanted = (200, "application/json".to_owned(), golden.to_owned());
    assert_eq!(answer, wanted);
}

/// The form of every error: one key, `error`, whose text names something.
#[track_caller]
fn is_fault((status, kind, text): Answer, wanted: u16, names: &str) {
    assert_eq!((status, kind.as_str()), (wanted, "application/json"), "{text}");
    let value: Value = serde_json::from_str(&text).expect("JSON");
    let object = value.as_object().expect("an object");
    assert_eq!(object.keys().collect::<Vec<_>>(), ["error"], "{text}");
    assert!(object["error"].as_str().expect("a text").contains(names), "{text} names {names}");
}

fn view() -> MemberView {
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

fn status(standing: raft_node::NodeRole) -> StatusView {
    let newcomer = MemberView { role: "none".into(), recently_active: None, matched_index: None, ..view() };
    StatusView {
        cluster: "fronts".into(),
        me: view(),
        version: "0.1.0".into(),
        starts: 3,
        uptime_ms: 4_000,
        node: NodeStatus {
            id: InstanceId(171),
            role: standing,
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
        members: vec![view(), newcomer],
        subject_count: 22,
        session_count: 23,
        store_bytes: 24,
    }
}

#[test]
fn health_is_a_text() {
    let port = Port::open();
    let wanted = (200, "text/plain; charset=utf-8".to_owned(), "ok\n".to_owned());
    assert_eq!(port.send("GET", "/healthz", ""), wanted);
}

#[test]
fn status_has_each_key() {
    let port = Port::open();
    let golden = |standing: &str| {
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
        format!("{start}{standing}{end}")
    };
    for (standing, name) in [
        (raft_node::NodeRole::Follower, "follower"),
        (raft_node::NodeRole::PreCandidate, "pre_candidate"),
        (raft_node::NodeRole::Candidate, "candidate"),
        (raft_node::NodeRole::Leader, "leader"),
    ] {
        let answer = port.ask("GET", "/v1/status", "", |ask| {
            let EngineRequest::Status(reply) = ask else { panic!("{ask:?}") };
            reply.send(status(standing)).unwrap();
        });
        is_json(answer, &golden(name));
    }
    let answer = port.ask("GET", "/v1/status", "", |ask| {
        let EngineRequest::Status(reply) = ask else { panic!("{ask:?}") };
        let mut status = status(raft_node::NodeRole::Follower);
        (status.leader, status.node.leader) = (None, None);
        reply.send(status).unwrap();
    });
    let text = golden("follower").replace(r#""leader":172"#, r#""leader":null"#);
    is_json(answer, &text.replace(r#""leader":"n2""#, r#""leader":null"#));
}

#[test]
fn counters_have_each_key_with_its_own_figure() {
    let port = Port::open();
    let counters = &port.counters;
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
    (1..).zip(each).for_each(|(n, counter)| add(counter, n));
    let golden = concat!(
        r#"{"applied":17,"busy":16,"commit_us":11,"commits":9,"connected":7,"disconnected":8,"entries":10,"#,
        r#""freezes":14,"granted":19,"hellos_refused":6,"led":13,"overrun":4,"received":3,"requests":15,"#,
        r#""sent":1,"snapshots":12,"unanswered":18,"unreadable":5,"unsent":2,"verdicts":20}"#
    );
    is_json(port.send("GET", "/v1/counters", ""), golden);
}

/// Each answer to a proposal, and its JSON.
fn proposed() -> Vec<(ProposeResponse, &'static str)> {
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
fn a_session_is_opened_and_a_proposal_answered_in_each_form() {
    let port = Port::open();
    for (proposed, golden) in proposed() {
        let parsed: ProposeResponse = serde_json::from_str(golden).expect("clients read it");
        assert_eq!(parsed, proposed);
        let given = proposed.clone();
        let answer = port.ask("POST", "/v1/sessions?within_ms=700", "", move |ask| {
            let EngineRequest::OpenSession { timeout_ms: 700, reply } = ask else { panic!("{ask:?}") };
            reply.send(given).unwrap();
        });
        is_json(answer, golden);
        let body = r#"{"command":{"Open":{"nonce":1}}}"#;
        let answer = port.ask("POST", "/v1/propose", body, move |ask| {
            let EngineRequest::Execute {
                command: Command::OpenSession { nonce: 1 },
                timeout_ms: 5_000,
                reply,
            } = ask
            else {
                panic!("{ask:?}")
            };
            reply.send(proposed).unwrap();
        });
        is_json(answer, golden);
    }
    // Without a wait, and with one beyond the limit.
    for (path, within) in [("/v1/sessions", 5_000), ("/v1/sessions?within_ms=999999", 60_000)] {
        let answer = port.ask("POST", path, "", move |ask| {
            let EngineRequest::OpenSession { timeout_ms: wait, reply } = ask else { panic!("{ask:?}") };
            assert_eq!(wait, within);
            reply.send(ProposeResponse::Busy).unwrap();
        });
        is_json(answer, r#"{"result":"busy"}"#);
    }
}

/// Each command, and its JSON.
fn commands() -> Vec<(Command, &'static str)> {
    let role = || Role("votes".into());
    let order = || Subject::new("orders", 9);
    let settle = |ran| Command::ResolveOrder { role: role(), epoch: Epoch(4), order: order(), executed: ran };
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
            settle(true),
            r#"{"Settle":{"role":"votes","epoch":4,"order":{"space":"orders","number":9},"ran":true}}"#,
        ),
        (
            settle(false),
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
fn each_command_is_taken_alone_and_in_a_session() {
    let port = Port::open();
    for (command, json) in commands() {
        assert_eq!(serde_json::to_string(&command).unwrap(), json, "as clients write it");
        let body = format!(r#"{{"command":{json},"within_ms":800}}"#);
        let wanted = command.clone();
        let answer = port.ask("POST", "/v1/propose", &body, move |ask| {
            let EngineRequest::Execute { command, timeout_ms: 800, reply } = ask else { panic!("{ask:?}") };
            assert_eq!(command, wanted);
            reply.send(ProposeResponse::Busy).unwrap();
        });
        is_json(answer, r#"{"result":"busy"}"#);
        let json = format!(r#"{{"session":5,"sequence":6,"command":{json}}}"#);
        let wanted = Proposal { session: SessionId(5), sequence: Sequence(6), command };
        assert_eq!(serde_json::to_string(&wanted).unwrap(), json, "as clients write it");
        let body = format!(r#"{{"command":null,"proposal":{json},"within_ms":null}}"#);
        let answer = port.ask("POST", "/v1/propose", &body, move |ask| {
            let EngineRequest::Propose { proposal, timeout_ms: 5_000, reply } = ask else {
                panic!("{ask:?}")
            };
            assert_eq!(proposal, wanted);
            reply.send(ProposeResponse::Busy).unwrap();
        });
        is_json(answer, r#"{"result":"busy"}"#);
    }
}

#[test]
fn a_page_of_the_ledger_has_each_key_and_the_options_reach_the_core() {
    let port = Port::open();
    let page = || {
        let views = [
            ("condemned", 42, SubjectState::Decided(vec![1, 255])),
            ("orders", 8, SubjectState::Dispatched(Epoch(3))),
            ("orders", 9, SubjectState::Executed(Epoch(4))),
        ];
        let view =
            |(space, number, standing)| SubjectView { subject: Subject::new(space, number), state: standing };
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
    assert_eq!(serde_json::from_str::<SubjectPage>(golden).expect("clients read it"), page());
    let path = "/v1/ledger?space=orders&after=orders/7&stale=1&within_ms=900";
    let answer = port.ask("GET", path, "", |ask| {
        let EngineRequest::Read {
            query: StateQuery::Page { after, space },
            consistency: ReadConsistency::Stale,
            timeout_ms: 900,
            reply,
        } = ask
        else {
            panic!("{ask:?}")
        };
        assert_eq!((after, space.as_deref()), (Some(Subject::new("orders", 7)), Some("orders")));
        reply.send(Ok(QueryOutput::Subjects(page()))).unwrap();
    });
    is_json(answer, golden);
    let answer = port.ask("GET", "/v1/ledger?stale=0", "", |ask| {
        let EngineRequest::Read {
            query: StateQuery::Page { after: None, space: None },
            consistency: ReadConsistency::Linearizable,
            timeout_ms: 5_000,
            reply,
        } = ask
        else {
            panic!("{ask:?}")
        };
        reply
            .send(Ok(QueryOutput::Subjects(SubjectPage { applied: Index(1), subjects: vec![], next: None })))
            .unwrap();
    });
    is_json(answer, r#"{"applied":1,"subjects":[],"next":null}"#);
    let answer = port.ask("GET", "/v1/ledger/condemned/42?stale=1&within_ms=10", "", |ask| {
        let EngineRequest::Read {
            query: StateQuery::Subject(subject),
            consistency: ReadConsistency::Stale,
            timeout_ms: 10,
            reply,
        } = ask
        else {
            panic!("{ask:?}")
        };
        assert_eq!(subject, Subject::new("condemned", 42));
        reply.send(Ok(QueryOutput::Subjects(SubjectPage { next: None, ..page() }))).unwrap();
    });
    is_json(answer, &golden.replace(r#""next":{"space":"orders","number":9}"#, r#""next":null"#));
    let answer = port.ask("GET", "/v1/ledger", "", |ask| {
        let EngineRequest::Read { consistency: ReadConsistency::Linearizable, reply, .. } = ask else {
            panic!("{ask:?}")
        };
        reply.send(Err(QueryError::NoQuorum)).unwrap();
    });
    is_fault(answer, 503, "no quorum");
    is_fault(port.send("GET", "/v1/ledger?after=x", ""), 400, "SPACE/NUMBER");
    is_fault(port.send("GET", "/v1/ledger/condemned/x", ""), 400, "condemned/x");
}

#[test]
fn grants_have_each_key() {
    let port = Port::open();
    let grant = |holder: Option<&str>| LeaseView {
        role: "votes".into(),
        holder: holder.map(str::to_owned),
        epoch: Epoch(4),
        renewed_at: Index(99),
    };
    let answer = port.ask("GET", "/v1/grants?stale=1", "", |ask| {
        let EngineRequest::Read {
            query: StateQuery::Leases,
            consistency: ReadConsistency::Stale,
            timeout_ms: 5_000,
            reply,
        } = ask
        else {
            panic!("{ask:?}")
        };
        reply.send(Ok(QueryOutput::Leases(vec![grant(Some("n1")), grant(None)]))).unwrap();
    });
    let golden = concat!(
        r#"[{"role":"votes","holder":"n1","epoch":4,"renewed":99},"#,
        r#"{"role":"votes","holder":null,"epoch":4,"renewed":99}]"#
    );
    is_json(answer, golden);
    let parsed: Vec<LeaseView> = serde_json::from_str(golden).expect("clients read it");
    assert_eq!(parsed, [grant(Some("n1")), grant(None)]);
    let answer = port.ask("GET", "/v1/grants", "", |ask| {
        let EngineRequest::Read {
            query: StateQuery::Leases,
            consistency: ReadConsistency::Linearizable,
            timeout_ms: 5_000,
            reply,
        } = ask
        else {
            panic!("{ask:?}")
        };
        reply.send(Err(QueryError::Busy)).unwrap();
    });
    is_fault(answer, 503, "waits");
}

/// Each answer to what only the leader does, and its JSON.
fn operated() -> Vec<(OperationResponse, &'static str)> {
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
fn members_transfer_and_snapshot_take_their_bodies_and_answer_in_each_form() {
    let port = Port::open();
    let add = MembershipRequest::Add { id: "ab".into(), name: "n4".into(), address: "10.0.0.4:7001".into() };
    let changes = [
        (add, r#"{"add":{"id":"ab","name":"n4","address":"10.0.0.4:7001"}}"#),
        (MembershipRequest::Remove("n3".into()), r#"{"remove":"n3"}"#),
    ];
    for (operated, golden) in operated() {
        assert_eq!(serde_json::from_str::<OperationResponse>(golden).expect("clients read it"), operated);
        for (change, body) in changes.clone() {
            assert_eq!(serde_json::to_string(&change).unwrap(), body, "as clients write it");
            let given = operated.clone();
            let answer = port.ask("POST", "/v1/members?within_ms=600", body, move |ask| {
                let EngineRequest::ChangeMembership { request: asked, timeout_ms: 600, reply } = ask else {
                    panic!("{ask:?}")
                };
                assert_eq!(asked, change);
                reply.send(given).unwrap();
            });
            is_json(answer, golden);
        }
        let given = operated.clone();
        let answer = port.ask("POST", "/v1/transfer", r#"{"to":"n2"}"#, move |ask| {
            let EngineRequest::TransferLeadership { to, reply } = ask else { panic!("{ask:?}") };
            assert_eq!(to, "n2");
            reply.send(given).unwrap();
        });
        is_json(answer, golden);
        for body in ["", "{}"] {
            let given = operated.clone();
            let answer = port.ask("POST", "/v1/snapshot", body, move |ask| {
                let EngineRequest::Compact(reply) = ask else { panic!("{ask:?}") };
                reply.send(given).unwrap();
            });
            is_json(answer, golden);
        }
    }
}

const WORDS: [(VerdictKind, &str); 4] = [
    (VerdictKind::Abstain, "none"),
    (VerdictKind::Advance, "on"),
    (VerdictKind::Hold, "hold"),
    (VerdictKind::RollBack, "back"),
];

#[test]
fn each_verdict_is_heard_or_not() {
    let port = Port::open();
    for (word, name) in WORDS {
        for heard in [true, false] {
            let body = format!(r#"{{"front":"f1","opinion":{{"build":42,"stage":3,"word":"{name}"}}}}"#);
            let wanted = VerdictReport {
                proxy: "f1".into(),
                verdict: BuildVerdict { build: 42, stage: 3, kind: word },
            };
            assert_eq!(serde_json::to_string(&wanted).unwrap(), body, "as clients write it");
            let answer = port.ask("POST", "/v1/verdicts", &body, move |ask| {
                let EngineRequest::ReportVerdict { report, reply } = ask else { panic!("{ask:?}") };
                assert_eq!(report, wanted);
                reply.send(VerdictReceipt { accepted: heard }).unwrap();
            });
            is_json(answer, &format!(r#"{{"heard":{heard}}}"#));
        }
    }
}

#[test]
fn a_watch_has_a_line_for_each_state_and_only_the_caster_is_told_to_cast() {
    // Each watch tells the core twice, when its front comes and when it goes.
    let port = Port::open_with_queue(64);
    let opinion = |word| Some(BuildVerdict { build: 42, stage: 3, kind: word });
    let cast = |opinion| Some(VoteAssignment { epoch: Epoch(4), verdict: opinion });
    let mut lines = vec![
        (Vec::new(), None, false, r#"{"condemned":[],"together":false}"#.to_owned()),
        (vec![41, 42], None, true, r#"{"condemned":[41,42],"together":true}"#.to_owned()),
        (
            vec![],
            cast(None),
            true,
            r#"{"condemned":[],"cast":{"epoch":4,"opinion":null},"together":true}"#.to_owned(),
        ),
    ];
    for (word, name) in WORDS {
        let opinion_json = format!(r#"{{"build":42,"stage":3,"word":"{name}"}}"#);
        let line =
            format!(r#"{{"condemned":[7],"cast":{{"epoch":4,"opinion":{opinion_json}}},"together":true}}"#);
        lines.push((vec![7], cast(opinion(word)), true, line));
    }
    for (condemned, cast, together, golden) in lines {
        let event = WatchEvent { condemned_builds: condemned, vote: cast, quorum_available: together };
        assert_eq!(serde_json::from_str::<WatchEvent>(&golden).expect("clients read it"), event);
        port.published.send_replace(PublishedState { event: event.clone(), voting_proxy: Some("f1".into()) });
        let without = serde_json::to_string(&WatchEvent { vote: None, ..event }).unwrap();
        assert!(!without.contains("cast"), "{without}");
        for (front, golden) in [("f1", &golden), ("f2", &without)] {
            let url = format!("http://{}/v1/watch?front={front}", port.address);
            let mut answer = port.http.get(&url).call().expect("an answer");
            assert_eq!(answer.status().as_u16(), 200);
            assert_eq!(answer.headers()["content-type"], "application/x-ndjson");
            let mut line = String::new();
            let mut reader = std::io::BufReader::new(answer.body_mut().as_reader());
            std::io::BufRead::read_line(&mut reader, &mut line).expect("a line");
            assert_eq!(line, format!("{golden}\n"));
        }
    }
    let inputs = port.inputs.lock().unwrap();
    let came = inputs.recv_timeout(Duration::from_secs(10)).expect("a front came");
    assert!(matches!(&came, EngineInput::ProxyConnected(name) if name == "f1"), "{came:?}");
    drop(inputs);
    is_fault(port.send("GET", "/v1/watch", ""), 400, "front");
    is_fault(port.send("GET", "/v1/watch?front=", ""), 400, "front");
    is_fault(port.send("GET", &format!("/v1/watch?front={}", "x".repeat(65)), ""), 400, "front");
}

#[test]
fn a_faulty_body_is_an_error_that_names_the_key() {
    let port = Port::open();
    for (path, body, names) in [
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
        is_fault(port.send("POST", path, &body.to_string()), 400, names);
    }
    for path in ["/v1/propose", "/v1/members", "/v1/transfer", "/v1/verdicts"] {
        is_fault(port.send("POST", path, "no json"), 400, "");
    }
}

#[test]
fn an_unknown_path_a_wrong_method_and_a_long_body_have_their_codes() {
    let port = Port::open();
    is_fault(port.send("GET", "/v1/nothing", ""), 404, "no such path");
    is_fault(port.send("POST", "/", "{}"), 404, "no such path");
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
        assert_eq!(port.send(method, path, "").0, 405, "{method} {path}");
    }
    let long = format!(r#"{{"to":"{}"}}"#, "x".repeat(64 * 1024));
    assert_eq!(port.send("POST", "/v1/transfer", &long).0, 413);
    assert_eq!(port.send("GET", "/v1/ledger?within_ms=soon", "").0, 400);
}

#[test]
fn a_core_that_ends_is_busy_or_does_not_answer_is_told() {
    let port = Port::open();
    let answer = port.ask("GET", "/v1/status", "", drop);
    is_fault(answer, 503, "ending");
    let busy = Port::open_with_queue(0);
    is_fault(busy.send("GET", "/v1/status", ""), 503, "busy");
    is_fault(busy.send("GET", "/v1/watch?front=f", ""), 503, "busy");
    let (sender, held) = std::sync::mpsc::channel();
    let answer = port.ask("POST", "/v1/sessions?within_ms=0", "", move |ask| sender.send(ask).unwrap());
    is_fault(answer, 504, "answer");
    drop(held);
}
