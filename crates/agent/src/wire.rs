//! Frames between peers: a length, then a frame in postcard's encoding. The first frame of a connection is a hello,
//! whose layout never changes; what follows is of the version that it names.

use garnetcrank_consensus::chunking::{CHUNK_BYTES, Chunk};
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The version spoken here.
pub const VERSION: u32 = 1;
/// First bytes of each connection: what is not a peer is told at once.
pub const MAGIC: [u8; 4] = *b"GCAG";
/// Longest frame, in bytes.
pub const FRAME_MOST: usize = 4 * 1024 * 1024;
/// Longest hello or answer to one, in bytes.
pub const HELLO_MOST: usize = 1024;
/// A message beyond this goes in pieces, in bytes.
pub const WHOLE_MOST: usize = 2 * 1024 * 1024;

/// Who calls, and whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// See [`MAGIC`].
    pub magic: [u8; 4],
    /// The caller's version.
    pub version: u32,
    /// The caller's cluster.
    pub cluster: String,
    /// The caller.
    pub from: Member,
    /// Whom it means to reach; 0: whoever answers.
    pub to: InstanceId,
}

/// The answer to a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Welcome {
    /// Go on; this is who answers.
    Yes(Member),
    /// No, and why.
    No(String),
}

/// A frame behind the hello, from the caller only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the agreement.
    Message(Vec<u8>),
    /// A part of one that is too long.
    Piece(Chunk),
    /// A sign of life.
    Alive,
}

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection broke or ended.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Bytes that are no frame.
    #[error("can't be read: {0}")]
    Unreadable(String),
}

/// A value as a frame's bytes, its length in front.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    // Fails only for lengths that are not known beforehand, and no type of ours has one.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// The value that a frame's bytes (without the length) are.
///
/// # Errors
/// They are none, or more follows.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, WireError> {
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|e| WireError::Unreadable(e.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Unreadable(format!("{} bytes too many", rest.len())));
    }
    Ok(value)
}

/// Writes a value as a frame.
///
/// # Errors
/// The connection broke.
pub async fn write<T: Serialize>(to: &mut (impl AsyncWriteExt + Unpin), value: &T) -> Result<(), WireError> {
    to.write_all(&encode(value)).await?;
    to.flush().await?;
    Ok(())
}

/// Reads a frame of `most` bytes at the most. Memory is taken as bytes come, not as a length announces them.
///
/// # Errors
/// The connection broke, or the bytes make no sense.
pub async fn read<T: for<'a> Deserialize<'a>>(
    from: &mut (impl AsyncReadExt + Unpin),
    most: usize,
) -> Result<T, WireError> {
    let length = from.read_u32_le().await? as usize;
    if length > most {
        return Err(WireError::Unreadable(format!("a frame of {length} bytes, {most} at the most")));
    }
    let mut bytes = Vec::with_capacity(length.min(CHUNK_BYTES));
    let read = from.take(length as u64).read_to_end(&mut bytes).await?;
    if read < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    decode(&bytes)
}

/// Why a hello is refused, if it is: another cluster or version, a name that belongs to another instance, or a call
/// for someone else.
pub fn refusal(hello: &Hello, cluster: &str, me: &Member, members: &[Member]) -> Option<String> {
    if hello.magic != MAGIC {
        return Some("no peer".to_owned());
    }
    if hello.version != VERSION {
        return Some(format!("version {} is spoken here, not {}", VERSION, hello.version));
    }
    if hello.cluster != cluster {
        return Some(format!("this is cluster {cluster}, not {}", hello.cluster));
    }
    // Whoever is at this address now is not the instance that the caller knew: its store is another.
    if hello.to != InstanceId(0) && hello.to != me.id {
        return Some(format!("this is {} ({:016x}), not {:016x}", me.name, me.id.0, hello.to.0));
    }
    if hello.from.id == me.id || hello.from.name == me.name {
        return Some(format!("{} ({:016x}) is this instance's own name or number", me.name, me.id.0));
    }
    let other = members.iter().find(|m| m.name == hello.from.name && m.id != hello.from.id)?;
    Some(format!(
        "{} is a member as {:016x}, not as {:016x}: if its store is lost, remove that member first",
        other.name, other.id.0, hello.from.id.0
    ))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn member(id: u64, name: &str) -> Member {
        Member { id: InstanceId(id), name: name.into(), address: "127.0.0.1:1".into() }
    }

    #[test]
    fn strangers_doubles_and_calls_for_someone_else_are_refused() {
        let hello = Hello {
            magic: MAGIC,
            version: VERSION,
            cluster: "c".into(),
            from: member(2, "b"),
            to: InstanceId(1),
        };
        let members = [member(1, "a"), member(2, "b")];
        let refused = |hello: Hello| refusal(&hello, "c", &member(1, "a"), &members);
        assert_eq!(refused(hello.clone()), None);
        assert_eq!(
            refused(Hello { from: member(7, "new"), ..hello.clone() }),
            None,
            "one that is to be added"
        );
        for bad in [
            Hello { magic: *b"HTTP", ..hello.clone() },
            Hello { version: 2, ..hello.clone() },
            Hello { cluster: "d".into(), ..hello.clone() },
            Hello { to: InstanceId(9), ..hello.clone() },
            Hello { from: member(7, "b"), ..hello.clone() },
            Hello { from: member(7, "a"), ..hello.clone() },
            Hello { from: member(1, "x"), ..hello.clone() },
        ] {
            assert!(refused(bad.clone()).is_some(), "{bad:?}");
        }
    }

    #[test]
    fn a_length_beyond_the_limit_and_a_frame_cut_short_end_the_reading() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let mut long: &[u8] = &u32::MAX.to_le_bytes();
            assert!(matches!(read::<Frame>(&mut long, FRAME_MOST).await, Err(WireError::Unreadable(_))));
            let whole = encode(&Frame::Message(vec![7; 100]));
            for cut in 0..whole.len() {
                let mut part = &whole[..cut];
                assert!(matches!(read::<Frame>(&mut part, FRAME_MOST).await, Err(WireError::Io(_))), "{cut}");
            }
            let mut rest = &whole[..];
            assert_eq!(read::<Frame>(&mut rest, FRAME_MOST).await.unwrap(), Frame::Message(vec![7; 100]));
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
            let frame = Frame::Piece(Chunk { transfer: 1, offset: 2, total_len: 3, bytes: bytes.clone() });
            prop_assert_eq!(decode::<Frame>(&encode(&frame)[4..]).unwrap(), frame);
            let mut more = encode(&Frame::Message(bytes));
            more.push(0);
            prop_assert!(decode::<Frame>(&more[4..]).is_err());
        }
    }
}
