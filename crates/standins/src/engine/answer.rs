//! The text that an engine answers.
//!
//! An answer is a pure function of the model, its weights, the cache scope (and through it the
//! tenant and adapter) and the prompt. A test can therefore compute what any request must get, and
//! an answer continued by another engine reads the same.

use paddlemount_protocol::{
    engine::FinishReason,
    identity::{ModelId, WeightsVersion},
    prefix::CacheScope,
};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128_with_seed};

/// Tokens of the shortest answer that is not cut by `max_tokens`.
pub const MIN_ANSWER_TOKENS: u32 = 24;

/// Answers have between [`MIN_ANSWER_TOKENS`] and this many tokens less one.
pub const MAX_ANSWER_TOKENS: u32 = 152;

const ANSWER_SEED: u64 = 0x616e_7377_6572_0001;
const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";
const SYLLABLES_PER_TOKEN: u32 = 3;

/// Everything that determines an answer, in a few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPlan {
    seed: u64,
    /// Number of tokens in the whole answer.
    pub tokens: u32,
    /// Why it ends.
    pub reason: FinishReason,
}

impl AnswerPlan {
    /// The answer to `prompt` by `model` with `weights` within `scope`.
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
        let natural = MIN_ANSWER_TOKENS + (hash as u64 % range) as u32;
        if natural > max_tokens {
            Self { seed, tokens: max_tokens, reason: FinishReason::Length }
        } else {
            Self { seed, tokens: natural, reason: FinishReason::Stop }
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

    /// The whole answer's text.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

/// What a request must get: the answer's tokens in order.
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
