//! Callers' bodies, whose memory is reserved in the account before they are read.

use std::sync::Arc;

use super::memory_account::{BLOCK_BYTES, MemoryAccount, MemoryKind, MemoryShare};

/// Bytes of each body that are not counted, so that long bodies never keep short ones out. They are part of what
/// is reserved for the connection.
const UNCOUNTED_BYTES: usize = 8 * 1024;

/// A caller's body. Its memory is given back on drop.
#[derive(Debug, Default)]
pub struct CallerBody {
    /// The first bytes, which are not counted.
    start: Vec<u8>,
    /// The bytes behind those; all blocks but the last are full.
    blocks: Vec<Vec<u8>>,
    /// Where the memory is reserved; `None` for an empty body.
    share: Option<MemoryShare>,
}

impl CallerBody {
    /// An empty body that is about to be read.
    pub fn begin(account: &Arc<MemoryAccount>) -> Self {
        Self {
            start: Vec::new(),
            blocks: Vec::new(),
            share: Some(account.share(MemoryKind::Bodies)),
        }
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.segments().map(<[u8]>::len).sum()
    }

    /// Returns the bytes in order, in pieces.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        std::iter::once(&*self.start).chain(self.blocks.iter().map(Vec::as_slice))
    }

    /// Makes room for so many bytes in all. Returns false if they don't fit beside other bodies.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let block_count = bytes.saturating_sub(UNCOUNTED_BYTES).div_ceil(BLOCK_BYTES);
        let counted_bytes = block_count.saturating_mul(BLOCK_BYTES);
        self.share
            .as_mut()
            .is_some_and(|share| share.grow_to(counted_bytes))
    }

    /// Appends bytes. Returns false if they don't fit beside other bodies.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if !self.reserve(self.len() + bytes.len()) {
            return false;
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            let (segment, size) = self.last_segment();
            let count = rest.len().min(size - segment.len());
            segment.extend_from_slice(&rest[..count]);
            rest = &rest[count..];
        }
        true
    }

    /// The segment that takes the next byte, and its size in bytes.
    fn last_segment(&mut self) -> (&mut Vec<u8>, usize) {
        let is_full = match self.blocks.last() {
            Some(block) => block.len() >= BLOCK_BYTES,
            None => self.start.len() >= UNCOUNTED_BYTES,
        };
        if is_full {
            let block = self.share.as_ref().map(|share| share.account().take_block());
            self.blocks.push(block.unwrap_or_default());
        }
        match self.blocks.last_mut() {
            Some(block) => (block, BLOCK_BYTES),
            None => (&mut self.start, UNCOUNTED_BYTES),
        }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(share) = &mut self.share {
            share.clear();
            share.account().give_back(std::mem::take(&mut self.blocks));
        }
    }
}
