//! Hellos that are rejected, and bytes that are no frames.

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
fn strangers_duplicates_and_calls_for_another_instance_are_rejected() {
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
    assert_eq!(check(Hello { from: member(7, "new"), ..hello.clone() }), Ok(()), "one that is to be added");
    for bad in [
        Hello { magic: *b"HTTP", ..hello.clone() },
        Hello { version: 2, ..hello.clone() },
        Hello { cluster: "d".into(), ..hello.clone() },
        Hello { to: InstanceId(9), ..hello.clone() },
        Hello { from: member(7, "b"), ..hello.clone() },
        Hello { from: member(7, "a"), ..hello.clone() },
        Hello { from: member(1, "x"), ..hello.clone() },
    ] {
        assert!(check(bad.clone()).is_err(), "{bad:?}");
    }
}

#[test]
fn a_length_beyond_the_limit_and_a_frame_cut_short_end_the_reading() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let mut long: &[u8] = &u32::MAX.to_le_bytes();
        assert!(matches!(
            read::<Frame>(&mut long, MAX_FRAME_BYTES).await,
            Err(PeerProtocolError::FrameTooLong { .. })
        ));
        let frame = encode(&Frame::Message(vec![7; 100]));
        for cut in 0..frame.len() {
            let mut prefix = &frame[..cut];
            assert!(
                matches!(read::<Frame>(&mut prefix, MAX_FRAME_BYTES).await, Err(PeerProtocolError::Io(_))),
                "{cut}"
            );
        }
        let mut rest = &frame[..];
        assert_eq!(read::<Frame>(&mut rest, MAX_FRAME_BYTES).await.unwrap(), Frame::Message(vec![7; 100]));
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_a_frame_or_an_error_and_frames_come_back(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<Frame>(&bytes);
        let _ = decode::<Hello>(&bytes);
        let frame = Frame::Chunk(Chunk { transfer: 1, offset: 2, total_len: 3, bytes: bytes.clone() });
        prop_assert_eq!(decode::<Frame>(&encode(&frame)[4..]).unwrap(), frame);
        let mut more = encode(&Frame::Message(bytes));
        more.push(0);
        prop_assert!(decode::<Frame>(&more[4..]).is_err());
    }
}
