//! Golden tests: the exact bytes on a connection between agents, from the hello on. Agents of two versions are
//! connected during an upgrade: bytes may be added for a new version of the protocol, those of version 1 never change.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use garnetcrank_agent::counters::Counters;
use garnetcrank_agent::engine_input::EngineInput;
use garnetcrank_agent::peer_protocol::{self, Frame, Hello, HelloReply, MAGIC, VERSION};
use garnetcrank_agent::peer_transport::{self, PeerContext, PeerSender};
use garnetcrank_consensus::chunking::Chunk;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::raft_node;
use garnetcrank_consensus::replicated_state::Member;
use serde::{Deserialize, Serialize};

const MEMBER_HEX: &str = "ac02 026e31 0d31302e302e302e313a37303031";
/// A heartbeat of instance 3 to instance 2, in Raft's encoding.
const MESSAGE_HEX: &str = "0808 1002 1803 2004 4007";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16).expect("hex");
    digits.chunks(2).map(byte).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn member() -> Member {
    Member { id: InstanceId(300), name: "n1".into(), address: "10.0.0.1:7001".into() }
}

/// The length, then the content: both directions.
fn check<T>(value: &T, content: &str)
where
    T: Serialize + for<'a> Deserialize<'a> + PartialEq + std::fmt::Debug,
{
    let content = bytes(content);
    let mut whole = u32::try_from(content.len()).expect("a length").to_le_bytes().to_vec();
    whole.extend(&content);
    assert_eq!(hex(&peer_protocol::encode(value)), hex(&whole), "{value:?} encoded");
    let decoded: T = peer_protocol::decode(&content).expect("golden bytes are decoded");
    assert_eq!(&decoded, value, "decoded");
    assert_eq!(hex(&peer_protocol::encode(&decoded)), hex(&whole), "{value:?} encoded again");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let read: T = runtime
        .block_on(peer_protocol::read(&mut &whole[..], peer_protocol::MAX_FRAME_BYTES))
        .expect("it is read");
    assert_eq!(&read, value, "read from a connection");
}

#[test]
fn constants_of_version_one_stay() {
    assert_eq!(hex(&MAGIC), "47434147");
    assert_eq!(VERSION, 1);
    assert_eq!(peer_protocol::MAX_FRAME_BYTES, 4_194_304);
    assert_eq!(peer_protocol::MAX_HELLO_BYTES, 1_024);
    assert_eq!(peer_protocol::MAX_UNCHUNKED_BYTES, 2_097_152);
}

#[test]
fn hello_welcome_and_frames_have_the_same_bytes_in_both_directions() {
    let hello = Hello {
        magic: MAGIC,
        version: 300,
        cluster: "fronts".into(),
        from: member(),
        to: InstanceId(0x1_0000_0001),
    };
    check(&hello, &format!("47434147 ac02 0666726f6e7473 {MEMBER_HEX} 8180808010"));
    check(&HelloReply::Accepted(member()), &format!("00 {MEMBER_HEX}"));
    check(&HelloReply::Rejected("no peer".into()), "01 076e6f2070656572");
    check(&Frame::Message(vec![0xaa, 0xbb]), "00 02aabb");
    let chunk = Chunk { transfer: 1, offset: 200, total_len: 3000, bytes: vec![4, 5] };
    check(&Frame::Chunk(chunk), "01 01 c801 b817 020405");
    check(&Frame::Heartbeat, "02");
    let message = raft_node::decode_message(&bytes(MESSAGE_HEX)).expect("a message");
    assert_eq!((message.to, message.from, message.term, message.commit), (2, 3, 4, 7));
    assert_eq!(hex(&raft_node::encode_message(&message)), hex(&bytes(MESSAGE_HEX)));
    check(&Frame::Message(raft_node::encode_message(&message)), &format!("00 0a {MESSAGE_HEX}"));
}

fn peer_context(id: u64, name: &str) -> Arc<PeerContext> {
    Arc::new(PeerContext {
        me: Member { id: InstanceId(id), name: name.into(), address: "10.0.0.1:7001".into() },
        cluster: "fronts".into(),
        members: RwLock::new(Vec::new()),
        counters: Arc::new(Counters::default()),
    })
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime")
}

fn read_frame(from: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    from.read_exact(&mut length).expect("a length");
    let mut content = vec![0; u32::from_le_bytes(length) as usize];
    from.read_exact(&mut content).expect("a frame");
    content
}

fn write_frame(to: &mut TcpStream, content: &[u8]) {
    let length = u32::try_from(content.len()).expect("a length");
    to.write_all(&length.to_le_bytes()).expect("written");
    to.write_all(content).expect("written");
}

fn listening(runtime: &tokio::runtime::Runtime) -> (SocketAddr, Receiver<EngineInput>) {
    let (engine, inputs) = sync_channel(16);
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port");
    let address = listener.local_addr().expect("an address");
    runtime.spawn(peer_transport::listen(listener, peer_context(2, "n2"), engine));
    (address, inputs)
}

/// Instance 3, `n3`, at an address, to whoever answers.
const HELLO_OF_3: &str = "47434147 01 0666726f6e7473 03 026e33 0d31302e302e302e333a37303031 00";

#[test]
fn an_agent_understands_the_bytes_of_a_caller() {
    let runtime = runtime();
    let (address, inputs) = listening(&runtime);
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    write_frame(&mut stream, &bytes(HELLO_OF_3));
    assert_eq!(hex(&read_frame(&mut stream)), hex(&bytes("00 02 026e32 0d31302e302e302e313a37303031")));
    let wait = Duration::from_secs(10);
    let caller = inputs.recv_timeout(wait).expect("the caller is made known");
    let EngineInput::PeerDiscovered(caller) = caller else { panic!("{caller:?}") };
    assert_eq!((caller.id.0, caller.name.as_str(), caller.address.as_str()), (3, "n3", "10.0.0.3:7001"));
    write_frame(&mut stream, &bytes("02"));
    write_frame(&mut stream, &bytes(&format!("00 0a {MESSAGE_HEX}")));
    // The same message in two chunks of one transfer.
    write_frame(&mut stream, &bytes("01 05 00 0a 04 08081002"));
    write_frame(&mut stream, &bytes("01 05 04 0a 06 180320044007"));
    for _ in 0..2 {
        let input = inputs.recv_timeout(wait).expect("the message comes in");
        let EngineInput::PeerMessage(message) = input else { panic!("{input:?}") };
        assert_eq!(hex(&raft_node::encode_message(&message)), hex(&bytes(MESSAGE_HEX)));
    }
}

#[test]
fn a_caller_of_another_version_is_refused_in_the_same_bytes() {
    let runtime = runtime();
    let (address, _inputs) = listening(&runtime);
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    write_frame(&mut stream, &bytes(&HELLO_OF_3.replacen("47434147 01", "47434147 02", 1)));
    let refusal = read_frame(&mut stream);
    assert_eq!(refusal[0], 1, "a refusal");
    assert_eq!(usize::from(refusal[1]), refusal.len() - 2, "its length");
    assert!(String::from_utf8_lossy(&refusal[2..]).contains("version"));
}

#[test]
fn an_agent_calls_a_peer_in_the_same_bytes() {
    let runtime = runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (engine, _inputs) = sync_channel(16);
    let to = Member { id: InstanceId(2), name: "n2".into(), address: address.to_string() };
    let sender = PeerSender::connect(&peer_context(3, "n3"), to, address, engine, runtime.handle());
    let (mut stream, _) = listener.accept().expect("a caller");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
    let hello = "47434147 01 0666726f6e7473 03 026e33 0d31302e302e302e313a37303031 02";
    assert_eq!(hex(&read_frame(&mut stream)), hex(&bytes(hello)));
    write_frame(&mut stream, &bytes("00 02 026e32 0d31302e302e302e313a37303031"));
    sender.send(&raft_node::decode_message(&bytes(MESSAGE_HEX)).expect("a message"));
    // A heartbeat may come before the message, and one comes each second.
    let mut frames = std::iter::repeat_with(|| read_frame(&mut stream)).take(5);
    let alive = bytes("02");
    let message = frames.find(|frame| *frame != alive).expect("a message");
    assert_eq!(hex(&message), hex(&bytes(&format!("00 0a {MESSAGE_HEX}"))));
    assert!(frames.any(|frame| frame == alive), "a heartbeat");
}
