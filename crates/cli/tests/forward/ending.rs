//! Planned stops.

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Place, place::KEY};

use crate::router::Router;

#[tokio::test]
async fn a_planned_stop_takes_the_node_out_first_and_cuts_off_no_stream() {
    let place = Place::start().await.expect("a place starts");
    place.configure(1, &[KEY]);
    let mut router = Router::start(&place).await;
    for engine in &place.engines {
        engine.script(&[Behaviour::Slow]);
    }
    let (got, ()) = tokio::join!(router.send("/chat/1", "a1"), async {
        router.until("running", async || place.engines.iter().any(|engine| engine.runs("a1") == 1)).await;
        router.terminate();
        let out = async || router.ask_readiness().await == Some(StatusCode::SERVICE_UNAVAILABLE);
        router.until("taken out", out).await;
    });
    let got = got.expect("an answer");
    assert!(got.whole, "{got:?}");
    assert!(got.body.ends_with("id: 5\ndata: piece 5\n\n"));
    assert!(router.ended().await, "the process ends well");
    assert!(router.told("stopping") && router.told("stopped"));
}

#[tokio::test]
async fn the_lease_is_given_up_at_a_planned_stop() {
    let place = Place::start().await.expect("a place starts");
    place.configure(1, &[KEY]);
    let mut router = Router::start(&place).await;
    router.until("leading", async || router.told("leadership_gained")).await;
    router.terminate();
    assert!(router.ended().await);
    assert!(!place.has_leader());
}
