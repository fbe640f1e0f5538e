//! Deterministic answers of engines.
//!
//! An answer is a pure function of the model, its weights, the cache scope (and through it the
//! tenant and adapter) and the prompt. Tests can therefore compute the expected answer of any request,
//! and another engine continues an answer with the same text.

use paddlemount_protocol::{
    engine::FinishReason,
    identity::{ModelId, WeightsVersion},
    prefix::CacheScope,
};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128_with_seed};

/// Minimum length of an answer that `max_tokens` does not truncate.
pub const MIN_ANSWER_TOKENS: u32 = 24;

/// Exclusive upper bound of the length of an answer.
pub const MAX_ANSWER_TOKENS: u32 = 152;

const ANSWER_SEED: u64 = 0x616e_7377_6572_0001;
const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";
const SYLLABLES_PER_TOKEN: u32 = 3;

/// Compact description from which an answer is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPlan {
    seed: u64,
    /// Number of tokens in the complete answer.
    pub tokens: u32,
    /// Why the answer ends.
    pub reason: FinishReason,
}

impl AnswerPlan {
    /// Plans the answer to `prompt` by `model` with `weights` within `scope`.
    pub fn new(
        model: &ModelId,
        weights: WeightsVersion,
        scope: CacheScope,
        prompt: &str,
        max_tokens: u32,
    ) -> Self {
        let mut identity = Vec::with_capacity(64);
        identity.extend_from_slice(&scope.0.to_le_bytes());
        identity.extend_from_slice(&weights.0.to_le_bytes());
        identity.extend_from_slice(model.as_str().as_bytes());
        let identity_seed = xxh3_64_with_seed(&identity, ANSWER_SEED);
        let hash = xxh3_128_with_seed(prompt.as_bytes(), identity_seed);
        let seed = (hash >> 64) as u64;
        let range = u64::from(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS);
        let full_length = MIN_ANSWER_TOKENS + (hash as u64 % range) as u32;
        if full_length > max_tokens {
            Self { seed, tokens: max_tokens, reason: FinishReason::Length }
        } else {
            Self { seed, tokens: full_length, reason: FinishReason::Stop }
        }
    }

    /// The text of the token at `index`.
    pub fn token(&self, index: u32) -> String {
        let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        let mut text = String::with_capacity(2 * SYLLABLES_PER_TOKEN as usize + 1);
        for _ in 0..SYLLABLES_PER_TOKEN {
            text.push(char::from(CONSONANTS[(bits & 15) as usize]));
            text.push(char::from(VOWELS[(bits >> 4 & 3) as usize]));
            bits >>= 6;
        }
        text.push(' ');
        text
    }

    /// The text of the complete answer.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

/// Returns the tokens of the answer that a request must receive, in order.
pub fn expected_answer(
    model: &ModelId,
    weights: WeightsVersion,
    scope: CacheScope,
    prompt: &str,
    max_tokens: u32,
) -> Vec<String> {
    let plan = AnswerPlan::new(model, weights, scope, prompt, max_tokens);
    (0..plan.tokens).map(|index| plan.token(index)).collect()
}
