//! Weighs transfers of cached tokens between engines and cache stores against prefilling the tokens.
//!
//! A link carries one transfer after another, and each occupies the links of both ends for its set-up as well
//! as for its bytes. A transfer of a short prefix therefore takes longer than prefilling it, and delays the
//! transfers of long prefixes behind it.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use paddlemount_protocol::{identity::ZoneId, time::Timestamp};

use super::prompt::Prompt;

/// How long a transfer occupies the links of both ends before its first byte. Too large a value costs at most
/// the prefill of as many tokens as an engine reads in this time.
pub const SETUP: Duration = Duration::from_millis(8);
/// The factor on the time of the bytes between zones.
const ZONE_CROSSING_FACTOR: f64 = 2.0;
/// How often engines send what has been added to a copied run.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// The time to prefill a token where the pool's rate has not been measured.
pub const FALLBACK_PREFILL_PER_TOKEN: Duration = Duration::from_micros(20);
/// The time between two tokens of an answer at an engine with many running requests.
pub const FALLBACK_OUTPUT_PER_TOKEN: Duration = Duration::from_millis(10);
/// The number of links whose queues are remembered before idle ones are removed.
const MAX_IDLE_LINKS: usize = 256;

/// The link of an engine or of a cache store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Bandwidth in Mbit/s; 0 if not stated.
    pub mbps: f64,
}

/// The time from the request for a transfer to its last byte; `None` if the operator's document does not
/// state the rates. `queued` is how long both links are busy with earlier transfers.
pub fn transfer_time(
    tokens: u64,
    bytes_per_token: u64,
    source: Link,
    target: Link,
    crosses_zones: bool,
    queued: Duration,
) -> Option<Duration> {
    let mbps = source.mbps.min(target.mbps);
    if bytes_per_token == 0 || mbps <= 0.0 {
        return None;
    }
    let megabits = tokens as f64 * bytes_per_token as f64 * 8.0 / 1e6;
    let factor = if crosses_zones { ZONE_CROSSING_FACTOR } else { 1.0 };
    let sending = Duration::try_from_secs_f64(megabits * factor / mbps).ok()?;
    queued.checked_add(SETUP)?.checked_add(sending)
}

/// Whether a transfer is requested, and why not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// There was nothing to transfer, or no rates to weigh it by.
    #[default]
    Unweighed,
    /// It takes less time than what it saves.
    Pays,
    /// The tokens are prefilled faster than transferred.
    PrefillIsFaster,
    /// It would pay if the links were idle.
    LinkIsBusy,
    /// The run ends before a copy of it would be complete.
    RunIsShort,
    /// The copies occupy the links for longer than repeating the run would take.
    CopyIsDear,
}

impl Verdict {
    /// Whether the transfer is requested.
    pub const fn is_allowed(self) -> bool {
        matches!(self, Self::Unweighed | Self::Pays)
    }

    /// The name in metrics and log lines; `None` if nothing was weighed.
    pub const fn label(self) -> Option<&'static str> {
        match self {
            Self::Unweighed => None,
            Self::Pays => Some("pays"),
            Self::PrefillIsFaster => Some("prefill_is_faster"),
            Self::LinkIsBusy => Some("link_is_busy"),
            Self::RunIsShort => Some("run_is_short"),
            Self::CopyIsDear => Some("copy_is_dear"),
        }
    }
}

/// A weighed transfer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Weighed {
    pub verdict: Verdict,
    /// How long it occupies both links, without the queue before it; zero if it was not weighed.
    pub occupies: Duration,
}

impl Weighed {
    /// The transfer, if it is requested.
    pub fn requested(self) -> Option<Self> {
        self.verdict.is_allowed().then_some(self)
    }
}

/// The weighed transfers of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTransfers {
    pub import: Weighed,
    pub save: Weighed,
    pub copy: Weighed,
}

/// The rates by which the transfers of a pool are weighed.
#[derive(Clone, Copy, Debug)]
pub struct TransferRates<'a> {
    pub bytes_per_token: u64,
    /// The link of each engine of the pool.
    pub engine: Link,
    /// The link of the cache store of the request.
    pub store: Link,
    /// The zone of that store.
    pub store_zone: Option<&'a ZoneId>,
    /// The time in which engines of the pool prefill a token.
    pub prefill_per_token: Duration,
    /// The time between two tokens of an answer.
    pub output_per_token: Duration,
}

impl TransferRates<'_> {
    /// The time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        self.prefill_per_token.saturating_mul(tokens)
    }

    /// The number of tokens that are prefilled in `time`.
    pub fn tokens_in(&self, time: Duration) -> u64 {
        (time.as_secs_f64() / self.prefill_per_token.as_secs_f64().max(f64::MIN_POSITIVE)) as u64
    }

    /// Weighs an import of `tokens` from an engine against prefilling them.
    pub fn import_from_engine(&self, tokens: u32, crosses_zones: bool, queued: Duration) -> Weighed {
        self.weigh(tokens, self.engine, crosses_zones, queued)
    }

    /// Weighs a transfer of `tokens` between an engine in `zone` and the cache store against prefilling them.
    /// Saving is weighed likewise: a later request can only profit if it fetches them in less time than it
    /// would prefill them.
    pub fn with_store(&self, tokens: u32, zone: &ZoneId, queued: Duration) -> Weighed {
        let crosses_zones = self.store_zone.is_some_and(|store| store != zone);
        self.weigh(tokens, self.store, crosses_zones, queued)
    }

    fn weigh(&self, tokens: u32, source: Link, crosses_zones: bool, queued: Duration) -> Weighed {
        let time = transfer_time(
            tokens.into(),
            self.bytes_per_token,
            source,
            self.engine,
            crosses_zones,
            Duration::ZERO,
        );
        let Some(occupies) = time else { return Weighed::default() };
        let prefill = self.prefill_time(tokens);
        let verdict = if occupies >= prefill {
            Verdict::PrefillIsFaster
        } else if queued.saturating_add(occupies) >= prefill {
            Verdict::LinkIsBusy
        } else {
            Verdict::Pays
        };
        Weighed { verdict, occupies }
    }

    /// Weighs the copies of a run that cannot be resumed without one, from its prompt and expected answer.
    pub fn copy(&self, prompt: &Prompt, crosses_zones: bool, queued: Duration) -> Weighed {
        let time = |tokens: u32| {
            let link = self.engine;
            transfer_time(tokens.into(), self.bytes_per_token, link, link, crosses_zones, Duration::ZERO)
        };
        let tokens = prompt.prompt_tokens.saturating_add(prompt.output_tokens);
        let (Some(first), Some(all)) = (time(prompt.prompt_tokens), time(tokens)) else {
            return Weighed::default();
        };
        let answer = self.output_per_token.saturating_mul(prompt.output_tokens);
        let copies = (answer.as_secs_f64() / COPY_INTERVAL.as_secs_f64()) as u32;
        let occupies = all.saturating_add(SETUP.saturating_mul(copies));
        let run = self.prefill_time(prompt.prompt_tokens).saturating_add(answer);
        let verdict = if COPY_INTERVAL.saturating_add(first) >= answer {
            Verdict::RunIsShort
        } else if COPY_INTERVAL.saturating_add(first).saturating_add(queued) >= answer {
            Verdict::LinkIsBusy
        } else if occupies >= run {
            Verdict::CopyIsDear
        } else {
            Verdict::Pays
        };
        Weighed { verdict, occupies }
    }
}

/// Until when links are busy with transfers that this node has requested.
#[derive(Debug, Default)]
pub struct LinkQueues {
    busy_until: BTreeMap<SocketAddr, Timestamp>,
}

impl LinkQueues {
    /// Records a transfer that occupies the links of `ends`.
    pub fn record(&mut self, ends: [SocketAddr; 2], occupies: Duration, now: Timestamp) {
        if occupies.is_zero() {
            return;
        }
        let start = now + self.queued(ends, now);
        if self.busy_until.len() >= MAX_IDLE_LINKS {
            self.busy_until.retain(|_, until| now < *until);
        }
        for end in ends {
            self.busy_until.insert(end, start + occupies);
        }
    }

    /// How long a transfer between `ends` waits for earlier ones.
    pub fn queued(&self, ends: [SocketAddr; 2], now: Timestamp) -> Duration {
        let waits = ends.iter().filter_map(|end| self.busy_until.get(end));
        waits.map(|until| until.saturating_since(now)).max().unwrap_or_default()
    }
}
