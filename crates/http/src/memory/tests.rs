//! Tests that bytes are counted from the first one until the buffer or message is dropped.

use super::MemoryGauge;
use crate::{InputState, Parsed, Request, RequestReader, ResponseReader, Ring};

const HEAD: &[u8] = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n";

/// Moves `bytes` through the ring to the reader, in parts that fit.
fn read_in_parts(ring: &mut Ring, reader: &mut RequestReader, bytes: &[u8]) -> Option<Request> {
    for part in bytes.chunks(4096) {
        ring.push(part).expect("the ring has space");
        if let Parsed::Complete(request) = reader.read(ring).expect("a valid request") {
            return Some(request);
        }
    }
    None
}

#[test]
fn a_request_is_counted_from_its_first_byte_until_it_is_dropped() {
    let gauge = MemoryGauge::default();
    let (mut ring, mut reader) = (Ring::counted(32 * 1024, &gauge), RequestReader::new(64 * 1024));
    assert!(read_in_parts(&mut ring, &mut reader, &HEAD[..20]).is_none());
    assert!(gauge.bytes() >= 20, "part of a head");
    assert!(read_in_parts(&mut ring, &mut reader, &HEAD[20..]).is_none());
    assert!(read_in_parts(&mut ring, &mut reader, &[b'x'; 49_999]).is_none());
    assert!(gauge.bytes() >= 49_999 + HEAD.len(), "all but one byte");
    let request = read_in_parts(&mut ring, &mut reader, b"x").expect("complete");
    drop((ring, reader));
    assert!(gauge.bytes() >= 50_000, "the message outlives its connection");
    drop(request);
    assert_eq!(gauge.bytes(), 0);
}

#[test]
fn a_partial_request_of_a_closed_connection_is_no_longer_counted() {
    let gauge = MemoryGauge::default();
    let (mut ring, mut reader) = (Ring::counted(32 * 1024, &gauge), RequestReader::new(64 * 1024));
    assert!(read_in_parts(&mut ring, &mut reader, HEAD).is_none());
    assert!(read_in_parts(&mut ring, &mut reader, &[b'x'; 30_000]).is_none());
    reader.reset();
    assert!(gauge.bytes() < 30_000 && reader.memory_bytes() == 0);
    drop(ring);
    assert_eq!(gauge.bytes(), 0);
}

#[test]
fn a_response_is_counted_until_it_is_dropped_and_a_streamed_one_until_it_is_taken() {
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n";
    let gauge = MemoryGauge::default();
    let mut ring = Ring::counted(64 * 1024, &gauge);
    let (mut buffered, mut streamed) =
        (ResponseReader::buffered(64 * 1024), ResponseReader::streamed(64 * 1024));
    for reader in [&mut buffered, &mut streamed] {
        ring.push(head).expect("the ring has space");
        ring.push(&[b'x'; 49_999]).expect("the ring has space");
        assert!(matches!(reader.read(&mut ring, InputState::Open), Ok(Parsed::Incomplete)));
        assert!(gauge.bytes() >= 49_999);
    }
    assert_eq!(streamed.take_body().len(), 49_999);
    assert!(streamed.memory_bytes() < 1_000 && buffered.memory_bytes() >= 49_999);
    drop((buffered, streamed, ring));
    assert_eq!(gauge.bytes(), 0);
}

#[test]
fn an_empty_ring_can_release_its_memory() {
    let gauge = MemoryGauge::default();
    let mut ring = Ring::counted(4096, &gauge);
    ring.push(&[0; 4096]).expect("the ring has space");
    ring.consume(4095);
    ring.release_if_empty();
    assert!(gauge.bytes() >= 4096, "a ring with a byte keeps its memory");
    ring.consume(1);
    ring.release_if_empty();
    assert_eq!((gauge.bytes(), ring.capacity()), (0, 0));
}
