//! The memory that callers and slow replicas take, by kind. What does not fit is refused before it is read.
//!
//! Bodies are kept in blocks of one size that are used again: freed buffers of some megabytes stay with the
//! allocator, once for each thread, so that the process would take several times what its bodies hold.

use std::sync::{Arc, Mutex};

use crate::runtime::lock;

/// Share of the process's memory that all kinds may take together, in percent. Of 64 MB, the process itself takes
/// 13 MB, and buffers of sockets that are not counted one by one up to 15 MB.
const ACCOUNT_PERCENT: u64 = 42;

/// Size of a block, in bytes.
pub const BLOCK_BYTES: usize = 16 * 1024;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Heads of requests that are longer than the read buffer.
    Heads,
    /// Callers' bodies.
    Bodies,
    /// Answers in progress to callers, with the buffers of their sockets.
    Answers,
    /// Requests in progress to replicas: buffers of their sockets.
    Upstream,
    /// Input that callers sent ahead of the answer before it.
    ReadAhead,
    /// Callers' connections themselves, with their tasks and read buffers.
    Connections,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Heads,
        Self::Bodies,
        Self::Answers,
        Self::Upstream,
        Self::ReadAhead,
        Self::Connections,
    ];

    /// Returns the word used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Answers => "answers",
            Self::Upstream => "upstream",
            Self::ReadAhead => "read_ahead",
            Self::Connections => "connections",
        }
    }

    /// Share of the process's memory that this kind may take, in percent. No kind can take all of the account,
    /// so that a crowd of one kind leaves room for ordinary callers.
    fn limit_percent(self) -> u64 {
        match self {
            Self::Heads | Self::Upstream | Self::ReadAhead => 10,
            Self::Answers => 12,
            Self::Connections => 25,
            Self::Bodies => 34,
        }
    }
}

/// The memory of one process that callers and replicas take.
#[derive(Debug)]
pub struct MemoryAccount {
    memory_bytes: u64,
    state: Mutex<AccountState>,
}

#[derive(Debug, Default)]
struct AccountState {
    /// Bytes held by kind, in the order of [`MemoryKind::ALL`].
    held_bytes: [usize; MemoryKind::ALL.len()],
    /// Blocks of bodies that ended.
    free_blocks: Vec<Vec<u8>>,
}

impl AccountState {
    /// Drops free blocks until so many further bytes fit. Returns false if they don't fit without free blocks.
    fn make_room(&mut self, added_bytes: usize, limit_bytes: usize) -> bool {
        let needed_bytes = self.held_bytes.iter().sum::<usize>().saturating_add(added_bytes);
        if needed_bytes > limit_bytes {
            return false;
        }
        self.free_blocks
            .truncate((limit_bytes - needed_bytes) / BLOCK_BYTES);
        true
    }
}

impl MemoryAccount {
    /// Creates the account of a process that may use so many bytes in all.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            memory_bytes,
            state: Mutex::default(),
        })
    }

    /// Returns a share of the account that holds nothing yet.
    pub fn share(self: &Arc<Self>, kind: MemoryKind) -> MemoryShare {
        MemoryShare {
            account: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Returns the bytes that a kind holds.
    pub fn held_bytes(&self, kind: MemoryKind) -> usize {
        lock(&self.state).held_bytes[kind as usize]
    }

    fn limit_bytes(&self, percent: u64) -> usize {
        let limit_bytes = self.memory_bytes.saturating_mul(percent) / 100;
        usize::try_from(limit_bytes).unwrap_or(usize::MAX)
    }

    /// Reserves further bytes for a share that holds some already. A body alone fits whatever its length.
    fn reserve(&self, kind: MemoryKind, added_bytes: usize, own_bytes: usize) -> bool {
        let kind_limit_bytes = self.limit_bytes(kind.limit_percent());
        let total_limit_bytes = self.limit_bytes(ACCOUNT_PERCENT);
        let mut state = lock(&self.state);
        let kind_bytes = state.held_bytes[kind as usize];
        let is_alone = kind == MemoryKind::Bodies && kind_bytes == own_bytes;
        // For a body that takes its block from the free ones, those are not dropped in vain.
        let fits = kind_bytes.saturating_add(added_bytes) <= kind_limit_bytes
            && match kind {
                MemoryKind::Bodies => {
                    state.held_bytes.iter().sum::<usize>().saturating_add(added_bytes) <= total_limit_bytes
                }
                _ => state.make_room(added_bytes, total_limit_bytes),
            };
        if fits || is_alone {
            state.held_bytes[kind as usize] += added_bytes;
        }
        fits || is_alone
    }

    fn release(&self, kind: MemoryKind, bytes: usize) {
        lock(&self.state).held_bytes[kind as usize] -= bytes;
    }

    /// Returns an empty block.
    pub fn take_block(&self) -> Vec<u8> {
        let free_block = lock(&self.state).free_blocks.pop();
        free_block.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    /// Takes blocks back, as many as fit beside what is held.
    pub fn give_back(&self, blocks: Vec<Vec<u8>>) {
        let total_limit_bytes = self.limit_bytes(ACCOUNT_PERCENT);
        let mut state = lock(&self.state);
        let cleared = blocks.into_iter().map(|mut block| {
            block.clear();
            block
        });
        state.free_blocks.extend(cleared);
        state.make_room(0, total_limit_bytes);
    }
}

/// Bytes that are held in the account; given back on drop.
#[derive(Debug)]
pub struct MemoryShare {
    account: Arc<MemoryAccount>,
    kind: MemoryKind,
    bytes: usize,
}

impl MemoryShare {
    /// The account.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Holds so many bytes in all, if it holds fewer. Returns false, and holds what it held, if they don't fit.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added_bytes = bytes.saturating_sub(self.bytes);
        let has_room = added_bytes == 0 || self.account.reserve(self.kind, added_bytes, self.bytes);
        if has_room {
            self.bytes += added_bytes;
        }
        has_room
    }

    /// Holds so many bytes in all even if they don't fit, in place of a holder that gives back as many.
    pub fn take_over(&mut self, bytes: usize) {
        let added_bytes = bytes.saturating_sub(self.bytes);
        lock(&self.account.state).held_bytes[self.kind as usize] += added_bytes;
        self.bytes += added_bytes;
    }

    /// Gives back what is held.
    pub fn clear(&mut self) {
        self.account.release(self.kind, std::mem::take(&mut self.bytes));
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MEMORY_BYTES: u64 = 10_000_000;

    // Guards against a crowd of one kind that takes what ordinary callers need.
    #[test]
    fn no_kind_takes_the_whole_account() {
        for kind in MemoryKind::ALL {
            let account = MemoryAccount::new(MEMORY_BYTES);
            let mut shares = Vec::new();
            loop {
                let mut share = account.share(kind);
                if !share.grow_to(100_000) {
                    break;
                }
                shares.push(share);
            }
            for other in MemoryKind::ALL.into_iter().filter(|other| *other != kind) {
                assert!(account.share(other).grow_to(100_000), "{kind:?} {other:?}");
            }
            drop(shares);
            assert_eq!(account.held_bytes(kind), 0);
        }
    }

    // Guards against free blocks that the account does not see.
    #[test]
    fn free_blocks_make_room_for_other_kinds() {
        let account = MemoryAccount::new(MEMORY_BYTES);
        let blocks = (0..900).map(|_| account.take_block()).collect();
        account.give_back(blocks);
        let limit_bytes = account.limit_bytes(ACCOUNT_PERCENT);
        assert!(lock(&account.state).free_blocks.len() <= limit_bytes / BLOCK_BYTES);
        let mut connections = account.share(MemoryKind::Connections);
        assert!(connections.grow_to(2_400_000));
        assert!(lock(&account.state).free_blocks.len() <= (limit_bytes - 2_400_000) / BLOCK_BYTES);
    }

    #[test]
    fn a_single_body_fits_whatever_its_length() {
        let account = MemoryAccount::new(MEMORY_BYTES);
        let mut body = account.share(MemoryKind::Bodies);
        assert!(body.grow_to(9_000_000));
        assert!(!account.share(MemoryKind::Bodies).grow_to(1));
    }
}
