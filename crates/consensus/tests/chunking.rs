//! Tests that chunks reassemble to the original message and that an invalid sequence of chunks is rejected.

use garnetcrank_consensus::chunking::{Chunk, ChunkAssembler, ChunkError, MAX_MESSAGE_BYTES, split};

#[test]
fn only_the_complete_sequence_of_chunks_reassembles_the_message() {
    let message: Vec<u8> = (0..200_000u32).map(|n| n as u8).collect();
    let chunks: Vec<Chunk> = split(7, &message).collect();
    assert_eq!(chunks.len(), 4);
    let mut assembler = ChunkAssembler::default();
    for chunk in &chunks[..3] {
        assert_eq!(assembler.push(chunk.clone()), Ok(None));
    }
    assert_eq!(assembler.push(chunks[3].clone()), Ok(Some(message.clone())));
    assert_eq!(assembler.buffered_bytes(), 0);

    assert_eq!(assembler.push(chunks[0].clone()), Ok(None));
    assert!(matches!(assembler.push(chunks[2].clone()), Err(ChunkError::Gap { .. })));
    assert_eq!(assembler.push(chunks[0].clone()), Ok(None));
    for chunk in split(8, b"short") {
        assert_eq!(
            assembler.push(chunk),
            Ok(Some(b"short".to_vec())),
            "a new transfer discards the incomplete one"
        );
    }
    let oversized = Chunk { transfer: 9, offset: 0, total_len: MAX_MESSAGE_BYTES + 1, bytes: vec![1] };
    assert!(matches!(assembler.push(oversized), Err(ChunkError::InvalidSize(_))));
    let past_end = Chunk { transfer: 9, offset: 0, total_len: 1, bytes: vec![1, 2] };
    assert!(matches!(assembler.push(past_end), Err(ChunkError::InvalidSize(_))));
    let overflowing = Chunk { transfer: 9, offset: u64::MAX, total_len: u64::MAX, bytes: vec![1] };
    assert!(assembler.push(overflowing).is_err());
}
