//! Golden tests of the exact bytes on a connection between agents, from the hello on.
//!
//! Agents of two versions are connected during an upgrade. A new version of the protocol may add bytes, but
//! those of version 1 never change.

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

/// Encoding of [`member`].
const MEMBER_HEX: &str = "ac02 026e31 0d31302e302e302e313a37303031";
/// A heartbeat of instance 3 to instance 2, in Raft's encoding.
const MESSAGE_HEX: &str = "0808 1002 1803 2004 4007";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex");
    digits.chunks(2).map(byte).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn member() -> Member {
    Member { id: InstanceId(300), name: "n1".into(), address: "10.0.0.1:7001".into() }
}

/// Asserts that `value` is encoded as a length followed by `content`, and that both are decoded to `value`.
fn assert_frame<T>(value: &T, content: &str)
where
    T: Serialize + for<'a> Deserialize<'a> + PartialEq + std::fmt::Debug,
{
    let content = bytes(content);
    let mut frame = u32::try_from(content.len()).expect("the length fits").to_le_bytes().to_vec();
    frame.extend(&content);
    assert_eq!(hex(&peer_protocol::encode(value)), hex(&frame), "{value:?} encoded");
    let decoded: T = peer_protocol::decode(&content).expect("the golden bytes can be decoded");
    assert_eq!(&decoded, value, "{content:02x?} decoded");
    assert_eq!(hex(&peer_protocol::encode(&decoded)), hex(&frame), "{value:?} encoded again");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("the runtime can be built");
    let read: T = runtime
        .block_on(peer_protocol::read(&mut &frame[..], peer_protocol::MAX_FRAME_BYTES))
        .expect("the frame can be read");
    assert_eq!(&read, value, "read from a connection");
}

#[test]
fn constants_of_protocol_version_1_do_not_change() {
    assert_eq!(hex(&MAGIC), "47434147");
    assert_eq!(VERSION, 1);
    assert_eq!(peer_protocol::MAX_FRAME_BYTES, 4_194_304);
    assert_eq!(peer_protocol::MAX_HELLO_BYTES, 1_024);
    assert_eq!(peer_protocol::MAX_UNCHUNKED_BYTES, 2_097_152);
}

#[test]
fn hello_reply_and_frames_are_encoded_and_decoded_as_the_golden_bytes() {
    let hello = Hello {
        magic: MAGIC,
        version: 300,
        cluster: "fronts".into(),
        from: member(),
        to: InstanceId(0x1_0000_0001),
    };
    assert_frame(&hello, &format!("47434147 ac02 0666726f6e7473 {MEMBER_HEX} 8180808010"));
    assert_frame(&HelloReply::Accepted(member()), &format!("00 {MEMBER_HEX}"));
    assert_frame(&HelloReply::Rejected("no peer".into()), "01 076e6f2070656572");
    assert_frame(&Frame::Message(vec![0xaa, 0xbb]), "00 02aabb");
    let chunk = Chunk { transfer: 1, offset: 200, total_len: 3000, bytes: vec![4, 5] };
    assert_frame(&Frame::Chunk(chunk), "01 01 c801 b817 020405");
    assert_frame(&Frame::Heartbeat, "02");
    let message = raft_node::decode_message(&bytes(MESSAGE_HEX)).expect("the message can be decoded");
    assert_eq!((message.to, message.from, message.term, message.commit), (2, 3, 4, 7));
    assert_eq!(hex(&raft_node::encode_message(&message)), hex(&bytes(MESSAGE_HEX)));
    assert_frame(&Frame::Message(raft_node::encode_message(&message)), &format!("00 0a {MESSAGE_HEX}"));
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
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("the runtime can be built")
}

/// Reads a frame and returns its content.
fn read_frame(from: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    from.read_exact(&mut length).expect("the length can be read");
    let mut content = vec![0; u32::from_le_bytes(length) as usize];
    from.read_exact(&mut content).expect("the content can be read");
    content
}

/// Writes a frame with this content.
fn write_frame(to: &mut TcpStream, content: &[u8]) {
    let length = u32::try_from(content.len()).expect("the length fits");
    to.write_all(&length.to_le_bytes()).expect("the length can be written");
    to.write_all(content).expect("the content can be written");
}

/// Starts the listener of agent `n2`. Returns its address and the inputs that it sends to the engine.
fn start_listener(runtime: &tokio::runtime::Runtime) -> (SocketAddr, Receiver<EngineInput>) {
    let (engine, inputs) = sync_channel(16);
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    runtime.spawn(peer_transport::listen(listener, peer_context(2, "n2"), engine));
    (address, inputs)
}

/// Hello of instance 3, `n3` at 10.0.0.3:7001, to any instance.
const HELLO_OF_3: &str = "47434147 01 0666726f6e7473 03 026e33 0d31302e302e302e333a37303031 00";

#[test]
fn an_agent_accepts_the_golden_bytes_of_a_connecting_peer() {
    let runtime = runtime();
    let (address, inputs) = start_listener(&runtime);
    let mut stream = TcpStream::connect(address).expect("the listener accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the read timeout can be set");
    write_frame(&mut stream, &bytes(HELLO_OF_3));
    assert_eq!(hex(&read_frame(&mut stream)), hex(&bytes("00 02 026e32 0d31302e302e302e313a37303031")));
    let timeout = Duration::from_secs(10);
    let peer = inputs.recv_timeout(timeout).expect("the engine is notified of the peer");
    let EngineInput::PeerDiscovered(peer) = peer else { panic!("unexpected input: {peer:?}") };
    assert_eq!((peer.id.0, peer.name.as_str(), peer.address.as_str()), (3, "n3", "10.0.0.3:7001"));
    write_frame(&mut stream, &bytes("02"));
    write_frame(&mut stream, &bytes(&format!("00 0a {MESSAGE_HEX}")));
    // The same message in two chunks of one transfer.
    write_frame(&mut stream, &bytes("01 05 00 0a 04 08081002"));
    write_frame(&mut stream, &bytes("01 05 04 0a 06 180320044007"));
    for _ in 0..2 {
        let input = inputs.recv_timeout(timeout).expect("the engine receives the message");
        let EngineInput::PeerMessage(message) = input else { panic!("unexpected input: {input:?}") };
        assert_eq!(hex(&raft_node::encode_message(&message)), hex(&bytes(MESSAGE_HEX)));
    }
}

#[test]
fn a_hello_of_another_version_is_rejected_in_the_golden_format() {
    let runtime = runtime();
    let (address, _inputs) = start_listener(&runtime);
    let mut stream = TcpStream::connect(address).expect("the listener accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the read timeout can be set");
    write_frame(&mut stream, &bytes(&HELLO_OF_3.replacen("47434147 01", "47434147 02", 1)));
    let rejection = read_frame(&mut stream);
    assert_eq!(rejection[0], 1, "the reply must be a rejection");
    assert_eq!(usize::from(rejection[1]), rejection.len() - 2, "the length of the reason must be correct");
    assert!(String::from_utf8_lossy(&rejection[2..]).contains("version"));
}

#[test]
fn an_agent_connects_to_a_peer_with_the_golden_bytes() {
    let runtime = runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let (engine, _inputs) = sync_channel(16);
    let to = Member { id: InstanceId(2), name: "n2".into(), address: address.to_string() };
    let sender = PeerSender::connect(&peer_context(3, "n3"), to, address, engine, runtime.handle());
    let (mut stream, _) = listener.accept().expect("the agent connects");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the read timeout can be set");
    let hello = "47434147 01 0666726f6e7473 03 026e33 0d31302e302e302e313a37303031 02";
    assert_eq!(hex(&read_frame(&mut stream)), hex(&bytes(hello)));
    write_frame(&mut stream, &bytes("00 02 026e32 0d31302e302e302e313a37303031"));
    sender.send(&raft_node::decode_message(&bytes(MESSAGE_HEX)).expect("the message can be decoded"));
    // A heartbeat is sent each second, and may also be sent before the message.
    let mut frames = std::iter::repeat_with(|| read_frame(&mut stream)).take(5);
    let heartbeat = bytes("02");
    let message = frames.find(|frame| *frame != heartbeat).expect("the agent sends the message");
    assert_eq!(hex(&message), hex(&bytes(&format!("00 0a {MESSAGE_HEX}"))));
    assert!(frames.any(|frame| frame == heartbeat), "the agent must send heartbeats");
}
