//! `POST /v1/chat/completions`.

use std::sync::Arc;

use paddlemount_protocol::{
    caller::{ChatChoice, ChatMessage, ChatRequest, ChatResponse, PromptTokensDetails, Usage, prompt_text},
    engine::FinishReason,
    identity::RequestId,
    prefix::{CacheScope, hash_blocks},
    refusal::{Refusal, RefusalCode},
};
use tokio::sync::mpsc::Receiver;
use xitca_web::{WebContext, http::WebResponse};

use super::{
    admission::{Admitted, RequestOptions, admit, read_json, read_options},
    answer::{identify, new_request_id, refuse, trace},
    stream::{AnswerHead, guarded_json, streamed},
};
use crate::{
    active::ActiveGuard,
    exchange::{self, ExchangeSpec, Output},
    quarantine,
    state::NodeState,
};

/// The default of `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// The path of chat requests, as part of their fingerprints.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Limit on `max_tokens`.
pub const MAX_TOKENS_LIMIT: u32 = 32_768;

/// Answers a chat request, streamed or in one body.
pub async fn complete(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let request = new_request_id();
    let state = context.state();
    match prepare(context, &request).await {
        Ok(prepared) => answer(state, request, prepared).await,
        Err(refusal) => refuse(state, &request, &refusal),
    }
}

struct Prepared {
    guard: ActiveGuard,
    spec: ExchangeSpec,
    stream: bool,
}

async fn prepare(context: &WebContext<'_, Arc<NodeState>>, request: &RequestId) -> Result<Prepared, Refusal> {
    let state = context.state();
    let headers = context.req().headers();
    let mut admitted = admit(state, headers)?;
    let prepared = match prepare_admitted(context, request, &mut admitted).await {
        Ok(prepared) => prepared,
        Err(refusal) => {
            state.observations.record_refusal(request, &admitted.tenant, &refusal);
            return Err(refusal);
        }
    };
    let (spec, stream) = prepared;
    Ok(Prepared { guard: admitted.guard, spec, stream })
}

async fn prepare_admitted(
    context: &WebContext<'_, Arc<NodeState>>,
    request: &RequestId,
    admitted: &mut Admitted,
) -> Result<(ExchangeSpec, bool), Refusal> {
    let state = context.state();
    let options = read_options(context.req().headers(), true, state.settings.timeouts.deadline)?;
    let chat: ChatRequest = read_json(context, admitted).await?;
    let stream = chat.stream;
    Ok((spec(state, request, admitted, options, chat)?, stream))
}

fn spec(
    state: &NodeState,
    request: &RequestId,
    admitted: &Admitted,
    options: RequestOptions,
    chat: ChatRequest,
) -> Result<ExchangeSpec, Refusal> {
    let Admitted { tenant, configuration, .. } = admitted;
    let pool =
        configuration.pool_of_model(&chat.model).filter(|_| configuration.may_use(tenant, &chat.model));
    let Some((pool, settings)) = pool else {
        let message = format!("no model `{}`; GET /v1/models lists yours", chat.model);
        return Err(Refusal::not_run(RefusalCode::NotFound, message));
    };
    if let Some(adapter) = chat.adapter.as_ref().filter(|adapter| !settings.adapters.contains(adapter)) {
        let message = format!("model `{}` has no adapter `{adapter}`", chat.model);
        return Err(Refusal::not_run(RefusalCode::NotFound, message));
    }
    check_messages(&chat.messages)?;
    let max_tokens = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).min(MAX_TOKENS_LIMIT);
    if max_tokens == 0 {
        return Err(Refusal::not_run(RefusalCode::InvalidRequest, "max_tokens must be above 0"));
    }
    let prompt = prompt_text(&chat.messages);
    let limit = state.settings.limits.prompt_bytes;
    if prompt.len() > limit {
        let message = format!("the prompt has {} bytes, {limit} are allowed", prompt.len());
        return Err(Refusal::not_run(RefusalCode::TooLarge, message));
    }
    let scope = CacheScope::new(tenant, &chat.model, settings.weights, chat.adapter.as_ref());
    let arrived = state.clock.now();
    let fingerprint_path = format!("{CHAT_PATH}?model={}", chat.model);
    Ok(ExchangeSpec {
        fingerprint: quarantine::fingerprint(&fingerprint_path, tenant, prompt.as_bytes()),
        request: request.clone(),
        tenant: tenant.clone(),
        tenant_weight: configuration
            .document
            .configuration
            .tenants
            .get(tenant)
            .map_or(1, |settings| settings.weight),
        pool: pool.clone(),
        model: chat.model,
        weights: settings.weights,
        adapter: chat.adapter,
        reuse_weight: settings.reuse_weight,
        blocks: hash_blocks(scope, prompt.as_bytes()),
        scope,
        prompt,
        max_tokens,
        priority: options.priority,
        repeatable: options.repeatable,
        arrived,
        deadline: arrived + options.deadline,
        traceparent: options.traceparent,
    })
}

fn check_messages(messages: &[ChatMessage]) -> Result<(), Refusal> {
    const ROLES: [&str; 5] = ["system", "developer", "user", "assistant", "tool"];
    if messages.is_empty() {
        return Err(Refusal::not_run(RefusalCode::InvalidRequest, "messages must not be empty"));
    }
    match messages.iter().find(|message| !ROLES.contains(&message.role.as_str())) {
        None => Ok(()),
        Some(message) => {
            let message = format!("role `{}` is unknown; use one of {}", message.role, ROLES.join(", "));
            Err(Refusal::not_run(RefusalCode::InvalidRequest, message))
        }
    }
}

async fn answer(state: &Arc<NodeState>, request: RequestId, prepared: Prepared) -> WebResponse {
    let Prepared { guard, spec, stream } = prepared;
    let traceparent = spec.traceparent.clone();
    let head = AnswerHead { created: spec.arrived.as_millis() / 1_000, model: spec.model.clone(), request };
    let output = exchange::start(state, spec);
    let mut response = if stream {
        streamed(state, &head, output, guard).await
    } else {
        buffered(state, &head, output, guard).await
    };
    identify(&mut response, &head.request);
    trace(&mut response, traceparent.as_deref());
    response
}

async fn buffered(
    state: &Arc<NodeState>,
    head: &AnswerHead,
    mut output: Receiver<Output>,
    guard: ActiveGuard,
) -> WebResponse {
    let mut content = String::new();
    let (tokens, reason, usage) = loop {
        match output.recv().await {
            Some(Output::Admitted | Output::Started) => {}
            Some(Output::Token(text)) => content.push_str(&text),
            Some(Output::Finished { tokens, reason, usage }) => break (tokens, reason, usage),
            Some(Output::Refused(refusal)) => return refuse(state, &head.request, &refusal),
            None => {
                let refusal = Refusal::unknown(RefusalCode::Internal, "the request ended without an ending");
                return refuse(state, &head.request, &refusal);
            }
        }
    };
    state.metrics.requests.completed.increment(1);
    let message = ChatMessage { role: "assistant".into(), content };
    let body = ChatResponse {
        id: head.request.clone(),
        object: "chat.completion".into(),
        created: head.created,
        model: head.model.clone(),
        choices: vec![ChatChoice { index: 0, message, finish_reason: Some(reason_text(reason).into()) }],
        usage: usage_of(usage, tokens),
    };
    guarded_json(&body, guard)
}

/// The finish reason in the words of the API.
pub fn reason_text(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

/// The token counts in the form of the API.
pub fn usage_of(prompt: exchange::Usage, completion_tokens: u32) -> Usage {
    Usage {
        prompt_tokens: prompt.prompt_tokens,
        completion_tokens,
        total_tokens: prompt.prompt_tokens.saturating_add(completion_tokens),
        prompt_tokens_details: PromptTokensDetails { cached_tokens: prompt.cached_tokens },
    }
}
