//! The retries of all nodes together, whatever the outcome of attempts.

use std::time::Duration;

use bolero::TypeGenerator;
use paddlemount_core::forwarding::{
    attempt::{AttemptEnd, AttemptHistory, NextAction, next_action},
    budget::{WindowBudget, WindowBudgetSettings},
    document::RouteKind,
    reserve_grant::Beginning,
    retry_reserve::SlackShare,
};
use paddlemount_protocol::time::Timestamp;

const WINDOW_MS: u64 = 10_000;
const SLACK: u32 = 54;
const NODES: u32 = 7;
const SHARE_PER_MILLE: u32 = 200;

fn budget(share_per_mille: u32, started: u64, draw: f64) -> WindowBudget {
    WindowBudget::new(WindowBudgetSettings {
        share_per_mille,
        window: Duration::from_millis(WINDOW_MS),
        started: Timestamp::from_millis(started),
        draw,
    })
}

/// The budgets of one process of a node.
struct Process {
    retries: WindowBudget,
    misdirected_retries: WindowBudget,
    share: SlackShare,
    /// When it started, unless it is the first process of its node.
    restarted_at: Option<u64>,
}

impl Process {
    fn start(draw: u8, restarted_at: Option<u64>) -> Self {
        let (draw, started) = (f64::from(draw) / 256.0, restarted_at.unwrap_or(0));
        let mut share = SlackShare::default();
        share.record(Some(NODES), None, Timestamp::from_millis(started));
        Self {
            retries: budget(SHARE_PER_MILLE, started, draw),
            misdirected_retries: budget(0, started, draw),
            share,
            restarted_at,
        }
    }

    fn set_reserve(&mut self, now: u64) {
        let beginning = if self.restarted_at.is_some() { Beginning::Granted } else { Beginning::First };
        let reserve = self.share.reserve(SLACK, beginning, Timestamp::from_millis(now));
        self.retries.set_reserve(reserve);
        self.misdirected_retries.set_reserve(reserve);
    }
}

/// When requests and retries arrived.
#[derive(Default)]
struct Arrivals {
    requests: Vec<u64>,
    /// Attempts after the first one of their request.
    retries: Vec<u64>,
    /// Those of them that followed a misdirected attempt and were misdirected as well.
    misdirected_retries: Vec<u64>,
}

#[derive(Debug, TypeGenerator)]
enum Step {
    /// A node gets requests whose attempts end in this way, in order; the last attempt is answered.
    Requests {
        node: u8,
        count: u8,
        ends: [u8; 6],
    },
    /// A node's process is replaced by a new one, at most once per window and node.
    Restart {
        node: u8,
        draw: u8,
    },
    Wait {
        tens_of_ms: u8,
    },
}

fn end_of(byte: u8) -> AttemptEnd {
    match byte % 5 {
        0 => AttemptEnd::NotSent,
        1 => AttemptEnd::NotRun,
        2 | 3 => AttemptEnd::Misdirected,
        _ => AttemptEnd::Unclear,
    }
}

/// Sends one request with its retries, as a node does.
fn serve(process: &mut Process, ends: &[u8], at_ms: u64, arrivals: &mut Arrivals) {
    let now = Timestamp::from_millis(at_ms);
    let (mut history, mut misdirected_at) = (AttemptHistory::default(), None);
    process.set_reserve(at_ms);
    process.retries.record_request(now);
    arrivals.requests.push(at_ms);
    for byte in ends {
        let end = end_of(*byte);
        if end == AttemptEnd::NotSent {
            history.not_sent += 1;
        } else {
            if history.sent > 0 {
                arrivals.retries.push(at_ms);
            }
            match (misdirected_at.take(), end) {
                (Some(_), AttemptEnd::Misdirected) => arrivals.misdirected_retries.push(at_ms),
                (Some(at), _) => process.misdirected_retries.refund(at),
                (None, AttemptEnd::Misdirected) if history.sent > 0 => {
                    process.misdirected_retries.record_retry(now)
                }
                (None, _) => {}
            }
            history.sent += 1;
            history.misdirected += u32::from(end == AttemptEnd::Misdirected);
        }
        let Process { retries, misdirected_retries, .. } = process;
        let mut drawn = None;
        let action = next_action(RouteKind::Repeatable, 3, end, history, true, || {
            if end == AttemptEnd::Misdirected {
                drawn = misdirected_retries.try_retry(now).then_some(now);
                if drawn.is_none() {
                    return false;
                }
            }
            retries.try_retry(now)
        });
        misdirected_at = drawn.or(misdirected_at);
        if action != NextAction::Retry {
            break;
        }
    }
    if let Some(at) = misdirected_at {
        process.misdirected_retries.refund(at);
    }
}

fn within(times: &[u64], from: u64, to: u64) -> usize {
    times.iter().filter(|at| **at >= from && **at <= to).count()
}

/// Maximum number of requests in the window from `start`, the window before it, and the one half a window
/// earlier.
fn requests_for(requests: &[u64], start: u64) -> usize {
    let counted = |earlier: u64| match start.checked_sub(earlier) {
        Some(from) => within(requests, from, from + WINDOW_MS),
        None => within(requests, 0, (start + WINDOW_MS).saturating_sub(earlier)),
    };
    [0, WINDOW_MS / 2, WINDOW_MS].into_iter().map(counted).max().unwrap_or(0)
}

/// No window has more retries than the share of its requests, of those of the window before or of the one
/// half a window earlier, and the slack; nor more misdirected retries after misdirected attempts than the
/// slack.
#[test]
fn all_nodes_together_keep_to_the_sum_whatever_the_outcome_of_attempts() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut processes: Vec<Process> = (0..NODES).map(|_| Process::start(0, None)).collect();
        let (mut now, mut arrivals) = (0, Arrivals::default());
        for step in steps {
            match step {
                Step::Requests { node, count, ends } => {
                    let process = &mut processes[usize::from(*node) % NODES as usize];
                    for _ in 0..*count {
                        serve(process, ends, now, &mut arrivals);
                    }
                }
                Step::Restart { node, draw } => {
                    let process = &mut processes[usize::from(*node) % NODES as usize];
                    if process.restarted_at.is_none_or(|at| now - at > 2 * WINDOW_MS) {
                        *process = Process::start(*draw, Some(now));
                    }
                }
                Step::Wait { tens_of_ms } => now += u64::from(*tens_of_ms) * 10,
            }
        }
        for end in &arrivals.retries {
            let start = end.saturating_sub(WINDOW_MS);
            let earned = requests_for(&arrivals.requests, start);
            let retries = within(&arrivals.retries, start, *end);
            let allowed = earned as f64 * f64::from(SHARE_PER_MILLE) / 1_000.0 + f64::from(SLACK);
            assert!(retries as f64 <= allowed, "{retries} of {allowed} within {start} to {end}");
            let misdirected_retries = within(&arrivals.misdirected_retries, start, *end);
            assert!(
                misdirected_retries <= SLACK as usize,
                "{misdirected_retries} misdirected retries after misdirected attempts"
            );
        }
    });
}
