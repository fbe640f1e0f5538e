//! Stub members that only answer queries of other members.

use std::net::SocketAddr;

use paddlemount_language::answer::{MemberReply, Table, WatchPosition};
use paddlemount_node::peers::authentication::Authenticator;
use paddlemount_protocol::identity::{NodeId, Revision};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support::CLUSTER_KEY;

/// Listens as a member; one that does not answer only accepts connections.
pub async fn start(name: &str, answers: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = NodeId::from(name);
    tokio::spawn(async move {
        let mut unanswered = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if answers {
                tokio::spawn(serve(stream, node.clone()));
            } else {
                unanswered.push(stream);
            }
        }
    });
    address
}

async fn serve(mut stream: TcpStream, node: NodeId) {
    let mut received = Vec::new();
    let signature = loop {
        let mut part = [0; 4_096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return,
            Ok(length) => received.extend_from_slice(&part[..length]),
        }
        if let Some(signature) = request_signature(&received) {
            break signature;
        }
    };
    let reply = MemberReply {
        node,
        revision: Revision(1),
        table: Table::default(),
        truncated: false,
        explanation: None,
        next: WatchPosition::default(),
        lost: 0,
    };
    let body = serde_json::to_string(&reply).unwrap();
    let signed = Authenticator::new([CLUSTER_KEY]).sign_answer(&signature, body.as_bytes());
    let answer = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\nx-paddlemount-signature: {signed}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// The signature of a request, once its body is complete.
fn request_signature(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let header = |name: &str| {
        head.lines()
            .find_map(|line| line.to_lowercase().strip_prefix(name).map(|value| value.trim().to_owned()))
    };
    let length: usize = header("content-length:")?.parse().ok()?;
    if body.len() < length { None } else { header("x-paddlemount-signature:") }
}
