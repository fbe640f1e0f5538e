//! Back ends that fall over when they have to reject too many requests in a second.

use std::time::{Duration, Instant};

use http::StatusCode;
use paddlemount_platform_standin::{Behaviour, Runner};

use crate::{fleet::fleet, router::metric_value};

/// Rejections a second that the engines bear.
const BEARABLE: usize = 1;
/// Callers at each node: three times as many in all as the engines have slots.
const CALLERS: usize = 24;
/// How long they send requests.
const DURATION: Duration = Duration::from_secs(5);
/// How often the engines may fall over: twice, and a tenth of their number.
const MAX_FALLS: u32 = 2;

#[tokio::test]
async fn brittle_engines_do_not_fall_over_under_three_times_the_load_that_they_have_room_for() {
    let (cluster, _links, routers) = fleet().await;
    for engine in &cluster.engines {
        engine.become_brittle(BEARABLE);
        engine.script(&[Behaviour::Slow; 4_000]);
    }
    // The engines say that they are brittle for some time before they are under load.
    for (number, router) in routers.iter().enumerate() {
        let heard = async || {
            router.send("/chat/1", &format!("first-{number}-{}", rand::random::<u64>())).await;
            router.logged("service_brittle")
        };
        router.wait_until("told", heard).await;
    }
    let began = Instant::now();
    let callers = (0..CALLERS * routers.len()).map(|caller| {
        let router = &routers[caller % routers.len()];
        async move {
            let mut served = 0;
            for number in 0.. {
                if began.elapsed() >= DURATION {
                    break;
                }
                let answer = router.send("/chat/1", &format!("b-{caller}-{number}")).await;
                if answer.is_some_and(|answer| answer.status == StatusCode::OK && answer.complete) {
                    served += 1;
                } else {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            served
        }
    });
    let served: u32 = futures_util::future::join_all(callers).await.into_iter().sum();
    let falls: u32 = cluster.engines.iter().map(Runner::falls).sum();
    assert!(falls <= MAX_FALLS, "{falls} falls, {served} requests served");
    assert!(served > 0);
    for router in &routers {
        assert!(router.logged("service_brittle"));
        assert_eq!(metric_value(router, "paddlemount_forward_services_brittle").await, Some(1.0));
    }
}
