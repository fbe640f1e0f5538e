//! Assigns prompts to cache stores.
//!
//! All nodes assign a prompt to the same store by rendezvous hashing, without coordination, so that each
//! segment is stored once and the capacities add up. The last shared segment decides: earlier ones are shared
//! by many prompts and therefore end up in most stores.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::StoreEndpoint;
use crate::forwarding::prompt::Prompt;

/// The cache store for a prompt's shared segments; `None` if there is no store or no shared segment.
pub fn shard_of(prompt: &Prompt, stores: impl Iterator<Item = StoreEndpoint>) -> Option<StoreEndpoint> {
    let last = prompt.shared().last()?;
    stores.max_by_key(|store| xxh3_64_with_seed(store.id.as_str().as_bytes(), last.id.0))
}
