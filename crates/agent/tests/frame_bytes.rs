//! Frames between agents keep their bytes, so that agents of different versions understand each other.
//!
//! The expected bytes were recorded with the code of commit 8a93f45. They contain no names, so they change if
//! fields or variants are reordered.

use garnetcrank_agent::peer_protocol::{Frame, Hello, HelloReply, MAGIC, VERSION, decode, encode};
use garnetcrank_consensus::chunking::Chunk;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use serde::{Deserialize, Serialize};

/// Asserts that `value` is encoded as a length of four bytes followed by `bytes`, and decoded from `bytes`.
fn assert_frame<T>(value: &T, bytes: &[u8])
where
    T: Serialize + for<'a> Deserialize<'a> + PartialEq + std::fmt::Debug,
{
    let framed = encode(value);
    assert_eq!(framed[..4], (bytes.len() as u32).to_le_bytes());
    assert_eq!(framed[4..], *bytes);
    assert_eq!(decode::<T>(bytes).expect("the frame can be decoded"), *value);
}

fn member() -> Member {
    Member { id: InstanceId(9), name: "alma".to_owned(), address: "h:1".to_owned() }
}

#[test]
fn hello_frames_keep_their_bytes() {
    let (magic, version) = (MAGIC, VERSION);
    let hello = Hello { magic, version, cluster: "eger".to_owned(), from: member(), to: InstanceId(300) };
    assert_frame(&hello, b"GCAG\x01\x04eger\x09\x04alma\x03h:1\xac\x02");
    assert_frame(&HelloReply::Accepted(member()), b"\x00\x09\x04alma\x03h:1");
    assert_frame(&HelloReply::Rejected("no peer".to_owned()), b"\x01\x07no peer");
}

#[test]
fn frames_after_the_hello_keep_their_bytes() {
    assert_frame(&Frame::Message(vec![1, 2, 3]), b"\x00\x03\x01\x02\x03");
    let chunk = Chunk { transfer: 5, offset: 6, total_len: 130, bytes: vec![0xfe, 0xff] };
    assert_frame(&Frame::Chunk(chunk), b"\x01\x05\x06\x82\x01\x02\xfe\xff");
    assert_frame(&Frame::Heartbeat, b"\x02");
}
