//! Continuous batching: admission to the batch, prefill and decode steps.
//!
//! A step decodes one token for each request whose prompt is prefilled, and prefills a chunk of the
//! remaining prompts in order of admission. Requests enter and leave the batch between steps.

use std::time::Duration;

use paddlemount_protocol::{
    engine::{CacheChange, LoadReport},
    identity::AttemptId,
    prefix::{BLOCK_TOKENS, BlockHash},
    time::Timestamp,
};

use super::{
    EngineEvent, EngineModel, EngineOutput, ModelRequest, TokenOutputs, Waiting, cache::BlockKey, checks,
};

/// A request in the batch.
pub(super) struct Running {
    pub(super) request: ModelRequest,
    /// Number of leading blocks of the prompt that are cached; the last one is pinned.
    cached_blocks: usize,
    /// Prefilled tokens of the prompt and the answer prefix.
    prefilled: u32,
    /// Tokens to prefill in the current step.
    chunk: u32,
    /// Reserved blocks that are not filled yet.
    reserved: u32,
    /// The index of the next token.
    pub(super) next_index: u32,
}

impl Running {
    const fn prefill_target(&self) -> u32 {
        self.request.prompt_tokens.saturating_add(self.request.answer_prefix_tokens)
    }

    const fn missing_tokens(&self) -> u32 {
        self.prefill_target().saturating_sub(self.prefilled)
    }

    fn block_key(&self, index: usize) -> BlockKey {
        BlockKey { scope: self.request.scope, hash: self.request.blocks[index] }
    }

    fn pinned(&self) -> Option<BlockKey> {
        self.cached_blocks.checked_sub(1).map(|last| self.block_key(last))
    }
}

/// Number of tokens in `blocks` full blocks.
pub(super) fn tokens_of(blocks: usize) -> u32 {
    u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
}

/// Number of blocks that a running request needs for prompt and answer.
pub(super) fn blocks_needed(request: &ModelRequest) -> u32 {
    let answer = request.answer_tokens.max(request.answer_prefix_tokens);
    checks::blocks_of(request.prompt_tokens.saturating_add(answer))
}

impl EngineModel {
    /// Starts a step if there is work and none is in progress.
    pub(super) fn start_step(&mut self, now: Timestamp) {
        if self.step_ends_at.is_some() || self.stalled || !self.up {
            return;
        }
        self.admit(now);
        self.begin_load_when_idle(now);
        if self.running.is_empty() {
            return;
        }
        let decoding = self.running.iter().filter(|running| running.missing_tokens() == 0).count();
        let prefilling = self.plan_prefill();
        self.step_ends_at = Some(now + self.step_duration(decoding, prefilling));
    }

    fn plan_prefill(&mut self) -> u32 {
        let limit = self.settings.behaviour.speed.prefill_chunk_tokens.max(1);
        let mut planned = 0;
        for running in &mut self.running {
            running.chunk = running.missing_tokens().min(limit - planned);
            planned += running.chunk;
        }
        planned
    }

    fn step_duration(&self, decoding: usize, prefilling: u32) -> Duration {
        let speed = &self.settings.behaviour.speed;
        let decode_ms = match decoding.checked_sub(1) {
            Some(others) => speed.decode_base_ms + others as f64 * speed.decode_per_request_ms,
            None => 0.0,
        };
        let prefill_ms = f64::from(prefilling) / speed.prefill_tokens_per_second * 1e3;
        let microseconds = (decode_ms + prefill_ms) * self.slowdown * 1e3;
        Duration::from_micros((microseconds.round() as u64).max(1))
    }

    fn admit(&mut self, now: Timestamp) {
        let slots = self.settings.behaviour.speed.batch_slots.max(1) as usize;
        while self.running.len() < slots {
            let Some((key, waiting)) = self.waiting.pop_first() else { return };
            if waiting.request.deadline <= now {
                let attempt = waiting.request.attempt;
                self.output(
                    now,
                    EngineEvent::Failed { attempt, message: "the deadline passed in the queue" },
                );
                continue;
            }
            if let Some(waiting) = self.admit_one(waiting, now) {
                self.waiting.insert(key, waiting);
                return;
            }
        }
    }

    /// Admits a request to the batch, or returns it if there is not enough memory.
    fn admit_one(&mut self, waiting: Waiting, now: Timestamp) -> Option<Waiting> {
        if let Some(transfer) = &waiting.request.import {
            self.store_transfer(transfer, now);
        }
        let request = &waiting.request;
        let cached_blocks = self.cache.matched(request.scope, &request.blocks);
        let pinned = cached_blocks
            .checked_sub(1)
            .map(|last| BlockKey { scope: request.scope, hash: request.blocks[last] });
        let reserved = blocks_needed(request).saturating_sub(cached_blocks as u32);
        if let Some(key) = pinned {
            self.cache.pin(key);
        }
        if !self.reserve(reserved, now) {
            if let Some(key) = pinned {
                self.cache.unpin(key);
            }
            return Some(waiting);
        }
        self.enter_batch(waiting.request, cached_blocks, reserved, now);
        None
    }

    pub(super) fn reserve(&mut self, blocks: u32, now: Timestamp) -> bool {
        let mut evicted = Vec::new();
        let reserved = self.cache.reserve(blocks, &mut evicted);
        if !evicted.is_empty() {
            self.feed.record(CacheChange::Removed { blocks: evicted }, now);
        }
        reserved
    }

    fn enter_batch(&mut self, request: ModelRequest, cached_blocks: usize, reserved: u32, now: Timestamp) {
        let next_index = request.answer_prefix_tokens;
        let mut running = Running { request, cached_blocks, prefilled: 0, chunk: 0, reserved, next_index };
        // The last token is always computed, since its output is the first token of the answer.
        running.prefilled = tokens_of(cached_blocks).min(running.prefill_target().saturating_sub(1));
        let attempt = running.request.attempt.clone();
        let prompt_tokens = running.request.prompt_tokens;
        let cached_tokens = running.prefilled.min(prompt_tokens);
        let ended = next_index >= running.request.answer_tokens;
        self.running.push(running);
        let load = self.current_load(now);
        self.output(now, EngineEvent::Started { attempt, prompt_tokens, cached_tokens, load });
        if ended {
            let index = self.running.len() - 1;
            self.end_running(index, now);
        }
    }

    /// Completes the step that ends at `now`.
    pub(super) fn finish_step(&mut self, now: Timestamp) {
        self.step_ends_at = None;
        let mut index = 0;
        while index < self.running.len() {
            self.finish_prefill_chunk(index, now);
            if self.running[index].missing_tokens() == 0 {
                self.generate_token(index, now);
            }
            let running = &self.running[index];
            if running.next_index >= running.request.answer_tokens {
                self.end_running(index, now);
            } else {
                index += 1;
            }
        }
        self.expire_ended(now);
    }

    fn finish_prefill_chunk(&mut self, index: usize, now: Timestamp) {
        let running = &mut self.running[index];
        if running.chunk == 0 {
            return;
        }
        running.prefilled += running.chunk;
        running.chunk = 0;
        let filled = ((running.prefilled / BLOCK_TOKENS) as usize).min(running.request.blocks.len());
        let stored = self.store_filled(index, filled);
        if !stored.is_empty() {
            self.feed.record(CacheChange::Stored { blocks: stored }, now);
        }
    }

    /// Caches the blocks that a request has filled and moves its pin to the last one.
    fn store_filled(&mut self, index: usize, filled: usize) -> Vec<BlockHash> {
        let running = &mut self.running[index];
        let mut stored = Vec::new();
        if filled <= running.cached_blocks {
            return stored;
        }
        let pinned = running.pinned();
        for block in running.cached_blocks..filled {
            let parent = block.checked_sub(1).map(|previous| running.request.blocks[previous]);
            let key = running.block_key(block);
            running.reserved = running.reserved.saturating_sub(1);
            if self.cache.insert(key, parent) {
                stored.push(key.hash);
            }
        }
        running.cached_blocks = filled;
        if let Some(key) = running.pinned() {
            self.cache.pin(key);
        }
        if let Some(key) = pinned {
            self.cache.unpin(key);
        }
        stored
    }

    fn generate_token(&mut self, index: usize, now: Timestamp) {
        let running = &mut self.running[index];
        let token = running.next_index;
        running.next_index += 1;
        let is_first = token == running.request.answer_prefix_tokens;
        if is_first || self.settings.token_outputs == TokenOutputs::All {
            let attempt = running.request.attempt.clone();
            self.output(now, EngineEvent::Token { attempt, index: token });
        }
    }

    fn end_running(&mut self, index: usize, now: Timestamp) {
        let running = self.leave_batch(index);
        let tokens = running.next_index;
        let attempt = running.request.attempt;
        let reason = running.request.reason;
        let grace = Duration::from_millis(self.settings.behaviour.service.resume_grace_ms);
        self.ended.insert(attempt.clone(), tokens);
        self.ended_expiries.push_back((now + grace, attempt.clone()));
        let load = self.current_load(now);
        self.output(now, EngineEvent::Ended { attempt, tokens, reason, load });
    }

    fn leave_batch(&mut self, index: usize) -> Running {
        let running = self.running.remove(index);
        self.cache.release(running.reserved);
        if let Some(key) = running.pinned() {
            self.cache.unpin(key);
        }
        running
    }

    pub(super) fn remove_running(&mut self, attempt: &AttemptId) -> bool {
        let found = self.running.iter().position(|running| running.request.attempt == *attempt);
        if let Some(index) = found {
            self.leave_batch(index);
        }
        found.is_some()
    }

    fn expire_ended(&mut self, now: Timestamp) {
        while self.ended_expiries.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            if let Some((_, attempt)) = self.ended_expiries.pop_front() {
                self.ended.remove(&attempt);
            }
        }
    }

    pub(super) fn output(&mut self, at: Timestamp, event: EngineEvent) {
        self.outputs.push(EngineOutput { at, event });
    }

    /// The actual load at `now`.
    pub fn current_load(&self, now: Timestamp) -> LoadReport {
        let running: u32 = self.running.iter().map(Running::missing_tokens).sum();
        let queued: u32 = self.queued().map(|waiting| waiting.missing_tokens).sum();
        LoadReport {
            measured_at: now,
            running: self.running.len() as u32,
            waiting: (self.waiting.len() + self.importing.len()) as u32,
            queued_prefill_tokens: running.saturating_add(queued),
            cached_blocks: self.cache.len(),
        }
    }

    pub(super) fn record_load(&mut self, now: Timestamp) {
        let load = self.current_load(now);
        self.history.record(load);
    }
}
