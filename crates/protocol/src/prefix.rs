//! Prompt prefix identity: chained hashes over blocks of prompt text.
//!
//! A prompt is divided into blocks of [`BLOCK_BYTES`] bytes. The hash of a block covers its bytes and the
//! hash of the previous block, or the [`CacheScope`] for the first block. Within one scope, equal hashes
//! therefore mean equal text from the start of the prompt up to and including that block.
//!
//! Engines count tokens. One block of text stands for [`BLOCK_TOKENS`] tokens; an engine maps it to the cache
//! blocks that hold these tokens and reports it under the hash of the text.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::identity::{AdapterId, ModelId, TenantId, WeightsVersion};

/// Bytes of prompt text per block.
pub const BLOCK_BYTES: usize = 256;

/// Tokens per block.
pub const BLOCK_TOKENS: u32 = 64;

/// Bytes of prompt text per token.
pub const BYTES_PER_TOKEN: usize = BLOCK_BYTES / BLOCK_TOKENS as usize;

const SCOPE_SEED: u64 = 0x7061_6464_6c65_0001;
const BLOCK_SEED: u64 = 0x7061_6464_6c65_0002;

macro_rules! hash_type {
    ($($(#[$documentation:meta])* $name:ident;)*) => {$(
        $(#[$documentation])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, formatter)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
                u128::from_str_radix(&text, 16).map($name).map_err(D::Error::custom)
            }
        }
    )*};
}

hash_type! {
    /// Isolation scope of cached prompt state: tenant, model, weights version and adapter.
    CacheScope;
    /// Identifies a prompt prefix that ends with a certain block.
    BlockHash;
}

impl CacheScope {
    /// The scope of a tenant's prompts for a model, weights version and adapter.
    pub fn new(
        tenant: &TenantId,
        model: &ModelId,
        weights: WeightsVersion,
        adapter: Option<&AdapterId>,
    ) -> Self {
        let mut bytes = Vec::with_capacity(96);
        push_field(&mut bytes, tenant.as_str());
        push_field(&mut bytes, model.as_str());
        push_field(&mut bytes, adapter.map_or("", AdapterId::as_str));
        bytes.push(u8::from(adapter.is_some()));
        bytes.extend_from_slice(&weights.0.to_le_bytes());
        Self(xxh3_128_with_seed(&bytes, SCOPE_SEED))
    }
}

fn push_field(bytes: &mut Vec<u8>, field: &str) {
    bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
    bytes.extend_from_slice(field.as_bytes());
}

impl BlockHash {
    /// The hash of a prompt's first block.
    pub fn first(scope: CacheScope, block: &[u8]) -> Self {
        Self::chained(scope.0, block)
    }

    /// The hash of the block that follows the prefix `self`.
    pub fn followed_by(self, block: &[u8]) -> Self {
        Self::chained(self.0, block)
    }

    fn chained(previous: u128, block: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(16 + block.len());
        bytes.extend_from_slice(&previous.to_le_bytes());
        bytes.extend_from_slice(block);
        Self(xxh3_128_with_seed(&bytes, BLOCK_SEED))
    }
}

/// Hashes of all complete blocks of a prompt, in order; a partial last block has none.
pub fn hash_blocks(scope: CacheScope, prompt: &[u8]) -> Vec<BlockHash> {
    let mut hashes: Vec<BlockHash> = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        let hash = match hashes.last() {
            Some(previous) => previous.followed_by(block),
            None => BlockHash::first(scope, block),
        };
        hashes.push(hash);
    }
    hashes
}

/// The number of tokens in a prompt of `bytes` bytes, rounded up.
pub fn prompt_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
