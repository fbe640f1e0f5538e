//! Retries that arrive when no window counts the requests that earned them any more, found by the property of a small
//! share.

use Step::{FallSilent, GoOn, Wait};

use crate::world::{ATTEMPTS, Step, check_all_nodes};

fn requests(
    node: u8,
    count: u8,
    servers: [u8; ATTEMPTS],
    failing: u8,
    (stalled, stall_tens_of_ms): (u8, u16),
) -> Step {
    Step::Requests { node, count, servers, failing, stalled, stall_tens_of_ms }
}

#[test]
fn retries_that_outlast_the_requests_that_earned_them_stay_within_the_budget() {
    let steps = [
        GoOn { server: 240 },
        GoOn { server: 219 },
        FallSilent { server: 128 },
        requests(179, 97, [196, 139, 80], 194, (38, 11213)),
        GoOn { server: 243 },
        GoOn { server: 140 },
        GoOn { server: 19 },
        FallSilent { server: 204 },
        requests(251, 183, [207, 197, 37], 112, (156, 61610)),
        requests(254, 96, [50, 192, 182], 248, (129, 43598)),
        Wait { tens_of_ms: 149 },
        GoOn { server: 27 },
        GoOn { server: 247 },
        Wait { tens_of_ms: 206 },
        FallSilent { server: 76 },
        GoOn { server: 69 },
        GoOn { server: 50 },
        Wait { tens_of_ms: 51 },
        requests(166, 96, [241, 228, 160], 184, (91, 53322)),
        requests(151, 251, [26, 14, 156], 176, (115, 49451)),
        GoOn { server: 67 },
        GoOn { server: 80 },
        GoOn { server: 80 },
        Wait { tens_of_ms: 152 },
        FallSilent { server: 120 },
        Wait { tens_of_ms: 128 },
        requests(251, 121, [111, 46, 192], 239, (31, 9401)),
        FallSilent { server: 158 },
        requests(213, 22, [143, 158, 25], 206, (228, 52527)),
        GoOn { server: 167 },
        FallSilent { server: 97 },
        GoOn { server: 74 },
        FallSilent { server: 233 },
        Wait { tens_of_ms: 248 },
        FallSilent { server: 169 },
        Wait { tens_of_ms: 154 },
        FallSilent { server: 240 },
        Wait { tens_of_ms: 139 },
        GoOn { server: 91 },
        requests(3, 29, [71, 99, 89], 101, (241, 64894)),
        FallSilent { server: 202 },
        requests(51, 30, [91, 220, 28], 195, (84, 53279)),
        FallSilent { server: 116 },
        Wait { tens_of_ms: 92 },
        requests(178, 166, [173, 211, 248], 85, (198, 23547)),
        Wait { tens_of_ms: 144 },
        requests(66, 185, [46, 87, 75], 45, (211, 32736)),
        FallSilent { server: 229 },
        requests(234, 9, [214, 178, 106], 59, (130, 23441)),
        GoOn { server: 0 },
        GoOn { server: 241 },
        FallSilent { server: 24 },
    ];
    check_all_nodes(&steps, 100, 0);
}
