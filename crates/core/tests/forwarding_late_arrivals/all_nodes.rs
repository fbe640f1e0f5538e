//! Requests of all nodes together.

use crate::world::{NODES, SERVERS, Step, check_all_nodes};

/// Steady requests at all nodes for so many seconds, which all fail at servers that answer.
fn steady(seconds: u32) -> Vec<Step> {
    let second = || {
        let at_node = |node| Step::Requests {
            node,
            count: 12,
            servers: [0, 1, 2],
            failing: 0xff,
            stalled: 0,
            stall_tens_of_ms: 0,
        };
        (0..NODES as u8).map(at_node).chain([Step::Wait { tens_of_ms: 100 }])
    };
    (0..seconds).flat_map(|_| second()).collect()
}

/// All servers are silent for nearly a window, and fail all requests in the next one.
#[test]
fn retries_of_two_windows_do_not_arrive_in_one() {
    let servers = 0..SERVERS as u8;
    let mut steps = steady(10);
    steps.extend(servers.clone().map(|server| Step::FallSilent { server }));
    steps.extend(steady(9));
    steps.extend(servers.map(|server| Step::GoOn { server }));
    steps.extend(steady(19));
    for (share_per_mille, slack) in [(100, 54), (200, 0), (200, 54), (200, 190)] {
        check_all_nodes(&steps, share_per_mille, slack);
    }
}

#[test]
fn all_nodes_together_keep_to_the_sum_whenever_silent_servers_go_on() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| check_all_nodes(steps, 200, 54));
}

#[test]
fn all_nodes_together_keep_to_a_small_share_whenever_silent_servers_go_on() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| check_all_nodes(steps, 100, 0));
}

#[test]
fn all_nodes_together_keep_to_a_large_slack_whenever_silent_servers_go_on() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| check_all_nodes(steps, 200, 190));
}
