//! A node may replace the leadership only of an earlier process of its own.

use paddlemount_forward::node_state::Leader;
use paddlemount_protocol::identity::{FencingToken, NodeId};

fn leader(node: &str, port: u16) -> Leader {
    let peers = Some(([127, 0, 0, 1], port).into());
    Leader { holder: NodeId::from(node), token: FencingToken(7), peers }
}

#[test]
fn only_an_earlier_process_of_the_same_machine_is_replaced() {
    let (local, address) = (NodeId::from("a"), Some(([127, 0, 0, 1], 1).into()));
    assert_eq!(leader("a", 1).token_of(&local, address), Some(FencingToken(7)));
    assert_eq!(leader("b", 1).token_of(&local, address), None, "another node leads");
    assert_eq!(
        leader("a", 2).token_of(&local, address),
        None,
        "a machine of this name at another address leads"
    );
}
