//! Tests of the order, capacity and memory of the ring buffer.

use super::{MAX_EMPTY_CAPACITY, Ring, RingFull};

#[test]
fn bytes_keep_their_order_over_many_wraps() {
    let mut ring = Ring::new(7);
    let (mut next_in, mut next_out) = (0u8, 0u8);
    for step in 0..5_000usize {
        let bytes: Vec<u8> = (0..step % 5).map(|i| next_in.wrapping_add(i as u8)).collect();
        if ring.push(&bytes).is_ok() {
            next_in = next_in.wrapping_add(bytes.len() as u8);
        }
        let mut out = Vec::new();
        ring.take(step % 4, &mut out);
        for byte in out {
            assert_eq!(byte, next_out);
            next_out = next_out.wrapping_add(1);
        }
        assert!(ring.len() <= 7);
    }
}

#[test]
fn bytes_that_do_not_fit_are_rejected_completely() {
    let mut ring = Ring::new(4);
    assert_eq!(ring.push(b"abc"), Ok(()));
    assert_eq!(ring.push(b"de"), Err(RingFull));
    assert_eq!(ring.contiguous(), b"abc");
    assert_eq!(ring.fill(&mut &b"xyz"[..]).expect("reads from a slice"), 1);
    assert_eq!((ring.free_bytes(), ring.contiguous()), (0, &b"abcx"[..]));
}

#[test]
fn a_wrapped_ring_is_written_in_order() {
    let mut ring = Ring::new(6);
    ring.push(b"abcd").expect("fits");
    ring.consume(3);
    ring.push(b"efghi").expect("fits");
    let mut out = Vec::new();
    while !ring.is_empty() {
        ring.drain(&mut out).expect("writes to a vector");
    }
    assert_eq!(out, b"defghi");
}

#[test]
fn an_emptied_ring_releases_its_memory() {
    let mut ring = Ring::new(200_000);
    ring.push(&[7; 150_000]).expect("fits");
    ring.consume(150_000);
    assert!(ring.capacity() <= MAX_EMPTY_CAPACITY);
}
