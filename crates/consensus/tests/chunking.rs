//! Chunks make the message again, and a faulty sequence of them is rejected.

use garnetcrank_consensus::chunking::{Chunk, ChunkAssembler, ChunkError, MAX_MESSAGE_BYTES, split};

#[test]
fn pieces_make_the_message_again_and_nothing_else_does() {
    let message: Vec<u8> = (0..200_000u32).map(|n| n as u8).collect();
    let pieces: Vec<Chunk> = split(7, &message).collect();
    assert_eq!(pieces.len(), 4);
    let mut joiner = ChunkAssembler::default();
    for piece in &pieces[..3] {
        assert_eq!(joiner.push(piece.clone()), Ok(None));
    }
    assert_eq!(joiner.push(pieces[3].clone()), Ok(Some(message.clone())));
    assert_eq!(joiner.buffered_bytes(), 0);

    assert_eq!(joiner.push(pieces[0].clone()), Ok(None));
    assert!(matches!(joiner.push(pieces[2].clone()), Err(ChunkError::Gap { .. })));
    assert_eq!(joiner.push(pieces[0].clone()), Ok(None));
    for piece in split(8, b"short") {
        assert_eq!(joiner.push(piece), Ok(Some(b"short".to_vec())), "a new transfer ends the old one");
    }
    let long = Chunk { transfer: 9, offset: 0, total_len: MAX_MESSAGE_BYTES + 1, bytes: vec![1] };
    assert!(matches!(joiner.push(long), Err(ChunkError::TooLarge(_))));
    let beyond = Chunk { transfer: 9, offset: 0, total_len: 1, bytes: vec![1, 2] };
    assert!(matches!(joiner.push(beyond), Err(ChunkError::TooLarge(_))));
    let wrapped = Chunk { transfer: 9, offset: u64::MAX, total_len: u64::MAX, bytes: vec![1] };
    assert!(joiner.push(wrapped).is_err());
}
