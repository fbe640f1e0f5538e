//! Mixed traffic: model requests with long shared prefixes, and bookings.

use std::{sync::Arc, time::Duration};

use paddlemount_protocol::{
    caller::{ChatMessage, ChatRequest, prompt_text},
    engine::FinishReason,
    identity::{ModelId, TenantId},
    prefix::CacheScope,
};
use paddlemount_standins::engine::answer::AnswerPlan;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{task::JoinSet, time::Instant};

use super::{
    DemoSettings,
    caller::Caller,
    cluster::{Cluster, MODEL, TENANTS, WEIGHTS, caller_key},
    record::{BookingRecord, ChatRecord, Records},
};

const PREAMBLE_BYTES: usize = 3_000;
const RULES_BYTES: usize = 8_000;
const TEMPLATE_BYTES: usize = 12_000;
const RULES: usize = 3;
const TEMPLATES: usize = 8;
const MAX_TOKENS: u32 = 120;
/// One in this many model requests is not streamed.
const UNARY_EVERY: usize = 4;
const OPERATIONS: [&str; 3] = ["slot", "hold", "charge"];
const WORDS: [&str; 24] = [
    "the",
    "renter",
    "shall",
    "return",
    "vehicle",
    "before",
    "noon",
    "unless",
    "damage",
    "is",
    "reported",
    "to",
    "counter",
    "within",
    "one",
    "day",
    "claim",
    "fuel",
    "winter",
    "tyre",
    "charge",
    "applies",
    "per",
    "kilometre",
];

/// Sends requests at even intervals for the length of the demo, and waits until all have ended.
pub async fn run(cluster: &Arc<Cluster>, settings: &DemoSettings, records: &Arc<Records>) {
    let caller = Caller::new(cluster.caller_addresses());
    let mut requests = JoinSet::new();
    let mut planner = Planner::new(settings.seed);
    let started_at = Instant::now();
    let total = settings.requests_per_second + settings.bookings_per_second;
    let interval = Duration::from_secs_f64(1.0 / total);
    let mut chats_due = 0.0;
    let mut number = 0;
    while started_at.elapsed() < settings.length {
        chats_due += settings.requests_per_second / total;
        let (caller, records) = (caller.clone(), Arc::clone(records));
        if chats_due >= 1.0 {
            chats_due -= 1.0;
            requests.spawn(send_question(caller, records, planner.question(number), number));
        } else {
            requests.spawn(book(caller, records, planner.booking(number), number));
        }
        number += 1;
        while requests.try_join_next().is_some() {}
        tokio::time::sleep_until(started_at + interval * number as u32).await;
    }
    while let Some(ended) = requests.join_next().await {
        if let Err(error) = ended {
            log::error!("a caller task failed: {error}");
            records.note("a caller ended with an error");
        }
    }
}

struct Question {
    tenant: &'static str,
    request: ChatRequest,
}

struct Booking {
    tenant: &'static str,
    operation: &'static str,
    key: String,
    body: serde_json::Value,
}

struct Planner {
    random: StdRng,
    run: u64,
}

impl Planner {
    fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), run: rand::random() }
    }

    /// A random index below `count`, skewed towards low ones.
    fn skewed_index(&mut self, count: usize) -> usize {
        let uniform: f64 = self.random.random();
        ((uniform * uniform * count as f64) as usize).min(count - 1)
    }

    fn question(&mut self, number: usize) -> Question {
        let tenant = TENANTS[self.skewed_index(TENANTS.len())];
        let (rules, template) = (self.skewed_index(RULES), self.skewed_index(TEMPLATES));
        let opening = [
            text(1, PREAMBLE_BYTES),
            text(100 + rules as u64, RULES_BYTES),
            text(1_000 + (rules * TEMPLATES + template) as u64, TEMPLATE_BYTES),
        ];
        let question = text(1_000_000 + number as u64, 200 + self.random.random_range(0..300));
        let message = |role: &str, content: String| ChatMessage { role: role.to_owned(), content };
        let messages = vec![message("system", opening.concat()), message("user", question)];
        let stream = !number.is_multiple_of(UNARY_EVERY);
        let max_tokens = Some(MAX_TOKENS);
        let request =
            ChatRequest { model: ModelId::from(MODEL), messages, stream, max_tokens, adapter: None };
        Question { tenant, request }
    }

    fn booking(&mut self, number: usize) -> Booking {
        let tenant = TENANTS[self.skewed_index(TENANTS.len())];
        let operation = OPERATIONS[self.random.random_range(0..OPERATIONS.len())];
        let key = uuid::Uuid::now_v7().to_string();
        let body =
            serde_json::json!({ "run": self.run, "contract": number, "vehicle": format!("KP-{number:05}") });
        Booking { tenant, operation, key, body }
    }
}

/// Deterministic text of a given length.
fn text(seed: u64, bytes: usize) -> String {
    let mut random = StdRng::seed_from_u64(seed);
    let mut text = String::with_capacity(bytes + 16);
    while text.len() < bytes {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text.truncate(bytes);
    text
}

async fn send_question(caller: Caller, records: Arc<Records>, question: Question, number: usize) {
    let sent = records.since_start();
    let ending = caller.chat(number, &caller_key(question.tenant), &question.request).await;
    let correct = ending.result.as_ref().is_ok_and(|answer| {
        let plan = expected(&question);
        let reason = if plan.reason == FinishReason::Stop { "stop" } else { "length" };
        answer.text == plan.text() && answer.reason == reason && answer.usage.completion_tokens == plan.tokens
    });
    records.chat(ChatRecord { sent, streamed: question.request.stream, correct, ending });
}

/// The expected answer.
fn expected(question: &Question) -> AnswerPlan {
    let (model, tenant) = (&question.request.model, TenantId::from(question.tenant));
    let scope = CacheScope::new(&tenant, model, WEIGHTS, None);
    let prompt = prompt_text(&question.request.messages);
    AnswerPlan::new(model, WEIGHTS, scope, &prompt, MAX_TOKENS)
}

async fn book(caller: Caller, records: Arc<Records>, booking: Booking, number: usize) {
    let sent = records.since_start();
    let Booking { tenant, operation, key, body } = booking;
    let ending = caller.book(number, &caller_key(tenant), operation, &key, &body).await;
    let correct =
        ending.result.as_ref().is_ok_and(|answer| answer.operation == operation && answer.request == body);
    records.booking(BookingRecord { sent, key, correct, ending });
}
