//! Which of several stores of kept parts a prompt's parts belong to.
//!
//! All nodes find the same store for the same prompt without a word between them (rendezvous hashing), so that a part
//! lies at one of them and their room adds up. The last shared part decides: what comes before it is shared by many
//! prompts, and so lies at most stores.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CacheStore;
use crate::forwarding::prompt::Prompt;

/// The store that keeps a prompt's shared parts; none where there is no store or nothing is shared.
pub fn shard_of(prompt: &Prompt, stores: impl Iterator<Item = CacheStore>) -> Option<CacheStore> {
    let last = prompt.shared().last()?;
    stores.max_by_key(|store| xxh3_64_with_seed(store.id.as_str().as_bytes(), last.id.0))
}
