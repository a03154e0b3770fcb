//! Storage backend that makes a change of the file's length durable before any write that depends on it.

use std::io;

use redb::StorageBackend;

/// Storage backend that syncs after each change of length. Without this sync a file system may write the
/// header's block before the new length: after a crash the header could then refer to pages beyond the end of
/// the file, and redb could not open it.
#[derive(Debug)]
pub(crate) struct SyncedDevice<B>(pub(crate) B);

impl<B: StorageBackend> StorageBackend for SyncedDevice<B> {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)?;
        self.0.sync_data()
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.0.close()
    }
}
