//! Options of listening sockets.

use std::net::{SocketAddr, TcpStream};

use paddlemount_node::server::bind;

#[test]
fn accepted_connections_have_nodelay_set() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = bind("callers", any).unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    assert!(accepted.nodelay().unwrap(), "small writes would wait for delayed acknowledgements");
}
