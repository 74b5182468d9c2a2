//! The owner's record of the prompt prefixes that each prefill engine has probably cached.

use std::collections::VecDeque;
use std::hash::Hasher;

use rustc_hash::FxHasher;

use crate::prelude::*;

/// Tokens (words) in one block of an engine's KV cache.
pub const BLOCK_TOKENS: u32 = 1_000;

/// Maximum number of blocks hashed per prompt.
const MAX_PROMPT_BLOCKS: usize = 32;

/// Maximum number of blocks recorded per engine.
const MAX_INDEX_BLOCKS: usize = 512;

/// Hashes of a prompt's leading full blocks; each covers all words up to the block's end.
pub fn hash_prefix(prompt: &str) -> Vec<u64> {
    let mut hasher = FxHasher::default();
    let mut hashes = Vec::new();
    let mut words = 0;
    for word in prompt.split_ascii_whitespace() {
        hasher.write(word.as_bytes());
        hasher.write_u8(0);
        words += 1;
        if words % BLOCK_TOKENS == 0 {
            hashes.push(hasher.finish());
        }
        if hashes.len() == MAX_PROMPT_BLOCKS {
            break;
        }
    }
    hashes
}

/// Blocks that one engine has probably cached. The oldest are dropped first.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    /// How often each block is in `order`.
    blocks: FastMap<u64, u32>,
    /// Hashes of the recorded blocks, oldest first.
    order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Tokens of the prompt that the engine has probably cached, so that it need not compute them again.
    pub fn cached_tokens(&self, prefix: &[u64]) -> u32 {
        let blocks = prefix
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        blocks as u32 * BLOCK_TOKENS
    }

    /// Records the blocks of a prompt that was granted to the engine.
    pub fn record(&mut self, prefix: &[u64]) {
        for hash in prefix {
            *self.blocks.entry(*hash).or_default() += 1;
            self.order.push_back(*hash);
        }
        while self.order.len() > MAX_INDEX_BLOCKS {
            self.evict_oldest();
        }
    }

    /// Removes all blocks, for an engine that lost its cache.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    fn evict_oldest(&mut self) {
        let Some(hash) = self.order.pop_front() else {
            return;
        };
        let Some(uses) = self.blocks.get_mut(&hash) else {
            return;
        };
        *uses -= 1;
        if *uses == 0 {
            self.blocks.remove(&hash);
        }
    }
}
