//! Bounds the memory that callers' bodies take. A request whose body does not fit is refused before it is read.
//!
//! Bodies are kept in blocks of one size that are used again and never freed: freed buffers of some megabytes stay
//! with the allocator, once for each thread, so that the process would take several times what its bodies hold.

use std::sync::{Arc, Mutex};

use crate::runtime::lock;

/// Share of the process's memory that bodies may take, in percent.
const BODY_PERCENT: u64 = 50;

/// Bytes of each body that are not counted, so that long bodies never keep short ones out. The number of callers'
/// connections bounds their sum.
const UNCOUNTED_BYTES: usize = 8 * 1024;

/// Size of a block, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// The blocks of all bodies in this process, with a bound on the bytes that bodies reserve.
#[derive(Debug)]
pub struct BodyMemory {
    limit_bytes: usize,
    state: Mutex<BlockState>,
}

#[derive(Debug, Default)]
struct BlockState {
    /// Bytes that all bodies have reserved.
    reserved_bytes: usize,
    free_blocks: Vec<Vec<u8>>,
}

impl BodyMemory {
    /// Creates a bound for a process that may use so many bytes in all.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        let limit_bytes = memory_bytes.saturating_mul(BODY_PERCENT) / 100;
        Arc::new(Self {
            limit_bytes: usize::try_from(limit_bytes).unwrap_or(usize::MAX),
            state: Mutex::default(),
        })
    }

    /// An empty body that is about to be read.
    pub fn begin_body(self: &Arc<Self>) -> CallerBody {
        CallerBody {
            start: Vec::new(),
            blocks: Vec::new(),
            reserved_bytes: 0,
            memory: Some(self.clone()),
        }
    }

    /// Reserves further bytes for a body that has reserved some already. Returns false if they don't fit beside
    /// other bodies; alone, a body of any length fits.
    fn reserve(&self, added_bytes: usize, own_bytes: usize) -> bool {
        let mut state = lock(&self.state);
        let total_bytes = state.reserved_bytes.saturating_add(added_bytes);
        let fits = total_bytes <= self.limit_bytes || state.reserved_bytes == own_bytes;
        if fits {
            state.reserved_bytes = total_bytes;
        }
        fits
    }

    fn take_block(&self) -> Vec<u8> {
        let free_block = lock(&self.state).free_blocks.pop();
        free_block.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    fn give_back(&self, reserved_bytes: usize, blocks: Vec<Vec<u8>>) {
        let mut state = lock(&self.state);
        state.reserved_bytes -= reserved_bytes;
        state.free_blocks.extend(blocks.into_iter().map(|mut block| {
            block.clear();
            block
        }));
    }
}

/// A caller's body. Its memory is given back on drop.
#[derive(Debug, Default)]
pub struct CallerBody {
    /// The first bytes, up to the size of a block.
    start: Vec<u8>,
    /// The bytes behind those; all blocks but the last are full.
    blocks: Vec<Vec<u8>>,
    reserved_bytes: usize,
    /// Where the memory is reserved; `None` for an empty body.
    memory: Option<Arc<BodyMemory>>,
}

impl CallerBody {
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
        let Some(memory) = &self.memory else {
            return false;
        };
        let counted_bytes = bytes.saturating_sub(UNCOUNTED_BYTES);
        let added_bytes = counted_bytes.saturating_sub(self.reserved_bytes);
        let has_room = added_bytes == 0 || memory.reserve(added_bytes, self.reserved_bytes);
        if has_room {
            self.reserved_bytes += added_bytes;
        }
        has_room
    }

    /// Appends bytes. Returns false if they don't fit beside other bodies.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if !self.reserve(self.len() + bytes.len()) {
            return false;
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            let segment = self.last_segment();
            let count = rest.len().min(BLOCK_BYTES - segment.len());
            segment.extend_from_slice(&rest[..count]);
            rest = &rest[count..];
        }
        true
    }

    /// The segment that takes the next byte.
    fn last_segment(&mut self) -> &mut Vec<u8> {
        let last_length = self.blocks.last().unwrap_or(&self.start).len();
        if last_length >= BLOCK_BYTES {
            let block = self.memory.as_ref().map(|memory| memory.take_block());
            self.blocks.push(block.unwrap_or_default());
        }
        self.blocks.last_mut().unwrap_or(&mut self.start)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(memory) = &self.memory {
            memory.give_back(self.reserved_bytes, std::mem::take(&mut self.blocks));
        }
    }
}
