//! Which segments the prompts that a node sends to engines have in common.
//!
//! A segment that nearly all prompts hold is on every engine that crashes, whatever the cause. Its presence there says
//! little, so it is no suspect until enough prompts without it have been seen, or the node has sent prompts for long.

use std::{collections::VecDeque, time::Duration};

use paddlemount_protocol::{quarantine::RequestFingerprint, time::Timestamp};

/// Number of prompts that are remembered.
const MAX_PROMPTS: usize = 64;
/// Minimum number of remembered prompts without a suspected segment.
const MIN_PROMPTS_WITHOUT: usize = 2;
/// One in so many of the remembered prompts must be without it.
const MIN_SHARE_WITHOUT: usize = 8;

/// Time after which a node that has sent prompts would have served a sound segment that all of them hold.
const SERVED_BY_THEN: Duration = Duration::from_secs(10);

/// The shared segments of the latest prompts of one model.
#[derive(Clone, Debug)]
pub(super) struct PromptSample {
    /// When the first prompt was sent.
    since: Timestamp,
    prompts: VecDeque<Box<[RequestFingerprint]>>,
}

impl PromptSample {
    /// The sample of a node that sends its first prompt at `since`.
    pub const fn new(since: Timestamp) -> Self {
        Self { since, prompts: VecDeque::new() }
    }

    /// Whether prompts have been sent for so long that each sound segment of all of them has been served.
    pub fn is_long(&self, now: Timestamp) -> bool {
        now.saturating_since(self.since) >= SERVED_BY_THEN
    }

    /// Records the shared segments of a prompt that is sent to an engine.
    pub fn record(&mut self, segments: impl Iterator<Item = RequestFingerprint>) {
        if self.prompts.len() == MAX_PROMPTS {
            self.prompts.pop_front();
        }
        self.prompts.push_back(segments.collect());
    }

    /// Whether enough prompts are without a segment to tell what it does.
    pub fn distinguishes(&self, segment: &RequestFingerprint) -> bool {
        let without = self.prompts.iter().filter(|prompt| !prompt.contains(segment)).count();
        without >= MIN_PROMPTS_WITHOUT && without * MIN_SHARE_WITHOUT >= self.prompts.len()
    }
}
