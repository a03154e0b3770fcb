//! Rejection of invalid hellos, and decoding of malformed frames.

use garnetcrank_consensus::chunking::Chunk;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use proptest::prelude::*;

use super::{
    Frame, Hello, MAGIC, MAX_FRAME_BYTES, PeerProtocolError, VERSION, check_hello, decode, encode, read,
};

fn member(id: u64, name: &str) -> Member {
    Member { id: InstanceId(id), name: name.into(), address: "127.0.0.1:1".into() }
}

#[test]
fn hellos_from_non_agents_or_duplicates_or_for_another_instance_are_rejected() {
    let hello = Hello {
        magic: MAGIC,
        version: VERSION,
        cluster: "c".into(),
        from: member(2, "b"),
        to: InstanceId(1),
    };
    let members = [member(1, "a"), member(2, "b")];
    let check = |hello: Hello| check_hello(&hello, "c", &member(1, "a"), &members);
    assert_eq!(check(hello.clone()), Ok(()));
    assert_eq!(
        check(Hello { from: member(7, "new"), ..hello.clone() }),
        Ok(()),
        "an instance that is not a member yet is accepted"
    );
    for invalid in [
        Hello { magic: *b"HTTP", ..hello.clone() },
        Hello { version: 2, ..hello.clone() },
        Hello { cluster: "d".into(), ..hello.clone() },
        Hello { to: InstanceId(9), ..hello.clone() },
        Hello { from: member(7, "b"), ..hello.clone() },
        Hello { from: member(7, "a"), ..hello.clone() },
        Hello { from: member(1, "x"), ..hello.clone() },
    ] {
        assert!(check(invalid.clone()).is_err(), "accepted {invalid:?}");
    }
}

#[test]
fn oversized_and_truncated_frames_are_read_errors() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let mut oversized: &[u8] = &u32::MAX.to_le_bytes();
        assert!(matches!(
            read::<Frame>(&mut oversized, MAX_FRAME_BYTES).await,
            Err(PeerProtocolError::FrameTooLong { .. })
        ));
        let frame = encode(&Frame::Message(vec![7; 100]));
        for cut in 0..frame.len() {
            let mut prefix = &frame[..cut];
            assert!(
                matches!(read::<Frame>(&mut prefix, MAX_FRAME_BYTES).await, Err(PeerProtocolError::Io(_))),
                "frame truncated to {cut} bytes"
            );
        }
        let mut complete = &frame[..];
        assert_eq!(
            read::<Frame>(&mut complete, MAX_FRAME_BYTES).await.unwrap(),
            Frame::Message(vec![7; 100])
        );
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_never_panics_and_frames_round_trip(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<Frame>(&bytes);
        let _ = decode::<Hello>(&bytes);
        let frame = Frame::Chunk(Chunk { transfer: 1, offset: 2, total_len: 3, bytes: bytes.clone() });
        prop_assert_eq!(decode::<Frame>(&encode(&frame)[4..]).unwrap(), frame);
        let mut with_trailing_byte = encode(&Frame::Message(bytes));
        with_trailing_byte.push(0);
        prop_assert!(decode::<Frame>(&with_trailing_byte[4..]).is_err());
    }
}
