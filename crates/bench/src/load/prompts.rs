//! Prompts with long shared prefixes.

use paddlemount_protocol::{
    caller::{ChatMessage, prompt_text},
    prefix::CacheScope,
};
use paddlemount_standins::engine::answer::AnswerPlan;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::Workload;

const WORDS: [&str; 16] = [
    "the", "hirer", "returns", "vehicle", "clause", "claim", "permit", "deposit", "within", "days", "unless",
    "damage", "notice", "site", "road", "terms",
];

/// Generates the prompts of a run; a number always gives the same prompt.
pub(super) struct Prompts {
    workload: Workload,
    scope: CacheScope,
    openings: Vec<String>,
}

/// A conversation with its expected answer.
pub(super) struct Prompt {
    pub(super) number: u64,
    pub(super) messages: Vec<ChatMessage>,
    pub(super) text: String,
    pub(super) scope: CacheScope,
    pub(super) expected: AnswerPlan,
}

impl Prompts {
    pub(super) fn new(workload: &Workload) -> Self {
        let scope = CacheScope::new(&workload.tenant, &workload.model, workload.weights, None);
        let opening = |number: u32| words(workload.seed ^ (u64::from(number) << 40), workload.opening_bytes);
        let openings = (0..workload.openings.max(1)).map(opening).collect();
        Self { workload: workload.clone(), scope, openings }
    }

    pub(super) fn prompt(&self, number: u64) -> Prompt {
        let mut random = SmallRng::seed_from_u64(self.workload.seed.wrapping_add(number));
        let opening = &self.openings[random.random_range(0..self.openings.len())];
        let own = format!("{number}: {}", words(random.random(), self.workload.own_bytes));
        let messages = vec![
            ChatMessage { role: "system".to_owned(), content: opening.clone() },
            ChatMessage { role: "user".to_owned(), content: own },
        ];
        let text = prompt_text(&messages);
        let workload = &self.workload;
        let expected =
            AnswerPlan::new(&workload.model, workload.weights, self.scope, &text, workload.max_tokens);
        Prompt { number, messages, text, scope: self.scope, expected }
    }
}

fn words(seed: u64, bytes: usize) -> String {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut text = String::with_capacity(bytes + 8);
    while text.len() < bytes {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text.truncate(bytes);
    text
}
