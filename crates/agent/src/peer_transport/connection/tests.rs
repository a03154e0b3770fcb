//! Tests of what is reported for the end of a connection to a peer.

use std::io::{Error, ErrorKind};

use super::read_error;
use crate::peer_protocol::PeerProtocolError;

/// Guards against an orderly close by the peer that is reported as a reset.
#[test]
fn a_close_and_a_reset_by_the_peer_are_reported_as_what_they_are() {
    let reported_kind = |read| match read_error(read) {
        PeerProtocolError::Io(error) => Some(error.kind()),
        _ => None,
    };
    assert_eq!(reported_kind(Ok(0)), Some(ErrorKind::UnexpectedEof));
    assert_eq!(reported_kind(Err(Error::from(ErrorKind::ConnectionReset))), Some(ErrorKind::ConnectionReset));
    assert!(matches!(read_error(Ok(1)), PeerProtocolError::UnexpectedBytes));
}
