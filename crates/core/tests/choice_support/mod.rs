//! Back ends and requests for tests of choices.

use std::net::SocketAddr;

use paddlemount_core::forwarding::{
    backends::BackendId,
    choice::{Candidate, Placement},
    prompt::{Prompt, Segment, SegmentId},
};
use paddlemount_protocol::{
    identity::{ModelId, WeightsVersion, ZoneId},
    time::Timestamp,
};

/// Back ends with some version of the weights each.
pub struct Fixture {
    pub ids: Vec<BackendId>,
    pub zone: ZoneId,
    pub weights: Vec<u64>,
}

/// The address of a back end.
pub fn address(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + number as u16).into()
}

impl Fixture {
    pub fn of(weights: &[u64]) -> Self {
        let ids = (0..weights.len()).map(|number| BackendId::from(format!("engine-{number}"))).collect();
        Self { ids, zone: ZoneId::from("z"), weights: weights.to_vec() }
    }

    pub fn candidates(&self) -> Vec<Candidate<'_>> {
        let candidate = |(number, id)| Candidate {
            software: None,
            id,
            address: address(number),
            zone: &self.zone,
            weights: Some(WeightsVersion(self.weights[number])),
            slots: 8,
            eligible: true,
            outdated: false,
            profile: None,
        };
        self.ids.iter().enumerate().map(candidate).collect()
    }

    pub fn placement<'a>(&'a self, prompt: &'a Prompt, seed: u64) -> Placement<'a> {
        Placement {
            prompt: Some(prompt),
            isolated: None,
            zone: &self.zone,
            seed,
            store: None,
            sample_size: None,
            replicate: false,
            transfers: None,
            now: Timestamp::ZERO,
            timing: None,
        }
    }
}

/// A prompt with these shared segments, and a last one of its own.
pub fn prompt(shared: &[(u64, u32)], own: u32) -> Prompt {
    let mut segments: Vec<Segment> =
        shared.iter().map(|(id, tokens)| Segment { id: SegmentId(*id), tokens: *tokens }).collect();
    segments.push(Segment { id: SegmentId(999), tokens: own });
    Prompt {
        model: ModelId::from("m"),
        prompt_tokens: segments.iter().map(|segment| segment.tokens).sum(),
        output_tokens: 50,
        segments,
    }
}
