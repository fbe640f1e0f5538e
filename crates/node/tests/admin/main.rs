//! The administration interface of running nodes, with stand-ins for engines and the platform.

mod feeds;
mod first_minutes;
mod stub_member;
mod support;

use std::time::{Duration, Instant};

use paddlemount_language::{answer::WatchLine, value::Value};
use paddlemount_protocol::{configuration::ChangeOutcome, platform::MachineRole, refusal::RefusalCode};
use support::{ADMINISTER_KEY, Cluster, OPERATE_KEY, READ_KEY};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_merge_all_nodes_and_list_each() {
    let cluster = Cluster::start(2, 2).await;
    let answer =
        cluster.query_as(0, READ_KEY, "show engines engine, pool, model order by engine").await.unwrap();
    let members: Vec<_> =
        answer.members.iter().map(|member| (member.node.as_str(), member.answered)).collect();
    assert_eq!(members, [("node-1", true), ("node-2", true)]);
    assert_eq!(answer.notes, Vec::<String>::new());
    let table = cluster.table(1, "show engines engine, model order by engine").await;
    let row = |engine: &str| vec![Value::from(engine), Value::from(support::MODEL)];
    assert_eq!(table.rows, [row("engine-1"), row("engine-2")]);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn roles_bound_what_operators_may_do() {
    let cluster = Cluster::start(1, 1).await;
    let code = async |key: &str, statement: &str| {
        cluster.query_as(0, key, statement).await.map_err(|problem| problem.error.code).err()
    };
    assert_eq!(code("unknown", "show tenants").await, Some(RefusalCode::Unauthenticated));
    assert_eq!(code("", "show tenants").await, Some(RefusalCode::Unauthenticated));
    assert_eq!(code(READ_KEY, "show tenants").await, None);
    assert_eq!(code(READ_KEY, "drain engine engine-1").await, Some(RefusalCode::Forbidden));
    assert_eq!(code(OPERATE_KEY, "drain engine engine-1 dry run").await, None);
    assert_eq!(code(OPERATE_KEY, "delete tenant kestrel").await, Some(RefusalCode::Forbidden));
    let keys = format!("set tenant kestrel key_hashes = [\"{}\"] dry run", support::hash("new"));
    assert_eq!(code(OPERATE_KEY, &keys).await, Some(RefusalCode::Forbidden));
    assert_eq!(code(ADMINISTER_KEY, &keys).await, None);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn syntax_errors_report_the_span_and_a_suggestion() {
    let cluster = Cluster::start(1, 1).await;
    let problem = cluster.query_as(0, READ_KEY, "show engnies").await.unwrap_err();
    let syntax = problem.syntax.unwrap();
    assert_eq!((syntax.span, syntax.suggestion.as_deref()), (5..12, Some("engines")));
    assert_eq!(problem.error.code, RefusalCode::InvalidRequest);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_route_previews_an_unsent_prompt() {
    let cluster = Cluster::start(2, 1).await;
    let statement =
        format!("explain route pool contracts tenant kestrel prompt \"{}\"", "terms ".repeat(200));
    let explanation = cluster.explanation(0, &statement).await;
    assert!(explanation.summary.contains("of kestrel would go to engine-"), "{}", explanation.summary);
    let candidates = &explanation.sections[1].table;
    assert_eq!(candidates.rows.len(), 2);
    let problem = cluster.query_as(0, READ_KEY, "explain route pool other tenant kestrel prompt \"x\"").await;
    assert!(problem.unwrap_err().error.message.contains("there is no pool other"));
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_reports_changed_rows_and_limits_concurrent_streams() {
    let cluster = Cluster::start(1, 1).await;
    let mut watch = cluster.watch(0, "watch engines engine, draining").await;
    assert_eq!(watch.rows().await.rows, [vec![Value::from("engine-1"), Value::from(false)]]);
    assert_eq!(watch.line().await, Some(WatchLine::Heartbeat));
    let mut others = Vec::new();
    for _ in 1..paddlemount_node::admin::limits::MAX_WATCHERS {
        others.push(cluster.watch(0, "watch routing").await);
    }
    let refused = cluster.query_as(0, READ_KEY, "watch routing").await.unwrap_err();
    assert_eq!(refused.error.code, RefusalCode::Overloaded);
    assert_eq!(cluster.query_as(0, READ_KEY, "show nodes").await.map(|answer| answer.notes.len()), Ok(0));
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_node_explains_a_request_with_candidates_attempts_and_trace() {
    let cluster = Cluster::start(2, 2).await;
    let mut watch = cluster.watch(1, "watch decisions request, engine where chosen = true").await;
    assert_eq!(watch.line().await, Some(WatchLine::Heartbeat));
    let (request, status) = cluster.prompt(0, &"standing terms ".repeat(100)).await;
    assert_eq!(status, 200);
    let statement = format!("explain request {request}");
    let mut explanations = Vec::new();
    for node in [0, 1] {
        cluster
            .until(node, &format!("show requests where request = {request} and state = ended"), |table| {
                table.rows.len() == 1
            })
            .await;
        let explanation = cluster.explanation(node, &statement).await;
        assert!(explanation.summary.contains("by node node-1 and completed"), "{}", explanation.summary);
        let titles: Vec<_> = explanation.sections.iter().map(|section| section.title.clone()).collect();
        assert!(titles[1].contains("engines weighed") && titles[2].contains("tries"), "{titles:?}");
        assert_eq!(explanation.sections[1].table.rows.len(), 2);
        assert_eq!(explanation.sections[2].table.rows.len(), 1);
        let trace = Value::from("0af7651916cd43dd8448eb211c80319c");
        assert!(explanation.sections[0].table.rows.iter().any(|row| row[1] == trace));
        explanations.push(explanation);
    }
    assert_eq!(explanations[0], explanations[1]);
    assert_eq!(watch.rows().await.rows[0][0], Value::from(request.as_str()));
    let unknown = cluster.query_as(0, READ_KEY, "explain request never-sent").await.unwrap_err();
    assert_eq!(unknown.error.code, RefusalCode::NotFound);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_failure_is_recorded_as_a_second_attempt_and_a_retry_event() {
    let mut cluster = Cluster::start(2, 1).await;
    let mut watch = cluster.watch(0, "watch retries event, subject").await;
    assert_eq!(watch.line().await, Some(WatchLine::Heartbeat));
    let prompt = "hire terms ".repeat(100);
    let (first, _) = cluster.prompt(0, &prompt).await;
    let chosen = format!("show requests engine where request = {first} and state = ended");
    let served = cluster.until(0, &chosen, |table| table.rows.len() == 1).await.rows[0][0].to_string();
    let failed = cluster.engines.remove(usize::from(served == "engine-2"));
    failed.kill();
    let (second, status) = cluster.prompt(0, &prompt).await;
    assert_eq!(status, 200);
    let other = if served == "engine-1" { "engine-2" } else { "engine-1" };
    let row = watch.rows().await.rows.remove(0);
    assert_eq!(row, [Value::from("sent"), Value::from(other)]);
    let retention = format!("show decisions kept where request = {second} limit 1");
    assert_eq!(cluster.table(0, &retention).await.rows, [[Value::from("retried")]]);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_requests_are_recorded() {
    let cluster = Cluster::start(1, 1).await;
    let (request, status) = cluster.prompt(0, &"x".repeat(3 << 20)).await;
    assert_eq!(status, 413);
    let statement = format!("show requests ending, code, tenant where request = {request}");
    let row = vec!["not_run".into(), "too_large".into(), "kestrel".into()];
    assert_eq!(cluster.table(0, &statement).await.rows, [row]);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_reach_all_nodes_and_conflicting_changes_are_refused() {
    let cluster = Cluster::start(1, 2).await;
    let (outcome, sentence) = cluster.change(0, "set tenant kestrel weight = 3 as first").await;
    let ChangeOutcome::InForce { revision, .. } = outcome else { panic!("{sentence}") };
    assert!(
        sentence.starts_with(&format!("in force everywhere as revision {revision} after ")),
        "{sentence}"
    );
    for node in [0, 1] {
        assert_eq!(cluster.table(node, "show tenants weight").await.rows, [[Value::from(3_u32)]]);
    }
    let stale = format!("set tenant kestrel weight = 4 if revision {}", revision.0 - 1);
    let (outcome, sentence) = cluster.change(1, &stale).await;
    assert!(matches!(outcome, ChangeOutcome::Refused { .. }), "{sentence}");
    assert!(sentence.contains("administer") && sentence.contains("first"), "{sentence}");
    let (outcome, _) = cluster.change(1, "set tenant kestrel weight = 5 dry run").await;
    assert_eq!(outcome, ChangeOutcome::WouldApply { revision });
    let (again, _) = cluster.change(1, "create service booking as second").await;
    let (repeated, _) = cluster.change(1, "create service booking as second").await;
    let revision_of = |outcome: &ChangeOutcome| match outcome {
        ChangeOutcome::InForce { revision, .. } => *revision,
        other => panic!("{other:?}"),
    };
    assert_eq!(revision_of(&again), revision_of(&repeated));
    let trail = cluster.table(0, "show changes change, operator, outcome where outcome = refused").await;
    assert_eq!(trail.rows.len(), 1, "{trail:?}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dead_members_are_named_within_the_deadline() {
    const MEMBERS: usize = 50;
    let deadline = Duration::from_secs(2);
    let cluster = Cluster::start(1, 1).await;
    let unresponsive = ["hollow-07", "hollow-23", "hollow-41"];
    for number in 0..MEMBERS {
        let name = format!("hollow-{number:02}");
        let answers = !unresponsive.contains(&name.as_str());
        let address = stub_member::start(&name, answers).await;
        cluster.list_machine(MachineRole::Node { node: name.into() }, address).await;
    }
    cluster.until(0, "show nodes member", |table| table.rows.len() == MEMBERS + 1).await;
    let started = Instant::now();
    let answer = cluster.query_within(0, READ_KEY, "show tenants", deadline).await.unwrap();
    let took = started.elapsed();
    let unanswered: Vec<&str> =
        answer.members.iter().filter(|member| !member.answered).map(|member| member.node.as_str()).collect();
    assert_eq!(unanswered, unresponsive);
    assert_eq!(answer.members.len(), MEMBERS + 1);
    assert_eq!(
        answer.notes,
        ["3 of 50 other nodes did not answer within 2000 ms: hollow-07, hollow-23, hollow-41"]
    );
    println!("50 members, 3 unresponsive, deadline 2000 ms: answered after {} ms", took.as_millis());
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn show_prefixes_lists_the_most_requested_prefix_and_its_holder() {
    let cluster = Cluster::start(2, 1).await;
    let terms = "Standing hire terms, clause by clause. ".repeat(60);
    for question in 0..6 {
        cluster.prompt(0, &format!("{terms} question {question}")).await;
    }
    let statement = "show prefixes tenant, tokens, holders, heat order by heat desc limit 1";
    let hottest = cluster.until(0, statement, |table| {
        table.rows.first().is_some_and(|row| matches!(&row[2], Value::List(holders) if holders.len() == 1))
    });
    let row = hottest.await.rows.remove(0);
    assert_eq!(row[0], Value::from("kestrel"));
    assert!(matches!(row[1], Value::Number(tokens) if tokens >= 256.0), "{row:?}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_count_tokens_by_pool_and_class_and_events_by_mechanism() {
    let cluster = Cluster::start(1, 1).await;
    let terms = "Standing hire terms, clause by clause. ".repeat(60);
    for _ in 0..2 {
        let (request, _) = cluster.prompt(0, &terms).await;
        let ended = format!("show requests request where request = {request} and state = ended");
        cluster.until(0, &ended, |table| table.rows.len() == 1).await;
    }
    cluster.change(0, "drain engine engine-1").await;
    let page = cluster.page(0, "/metrics").await;
    let value = |series: &str| {
        let line =
            page.lines().find(|line| line.starts_with(series)).unwrap_or_else(|| panic!("{series}: {page}"));
        line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()
    };
    let labels = "{pool=\"contracts\",tenant_class=\"small\"}";
    let prompt = value(&format!("paddlemount_prompt_tokens_total{labels}"));
    let cached = value(&format!("paddlemount_cached_tokens_total{labels}"));
    assert!(cached > 0.0 && cached < prompt, "{cached} of {prompt}");
    assert_eq!(value(&format!("paddlemount_pool_time_to_first_token_seconds_count{labels}")), 2.0);
    assert_eq!(value("paddlemount_mechanism_events_total{mechanism=\"drains\",event=\"draining\"}"), 1.0);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disconnected_watcher_releases_its_slot() {
    let cluster = Cluster::start(1, 1).await;
    let in_use = || cluster.nodes[0].state().admin_limits.watchers.in_use();
    let mut watch = cluster.watch(0, "watch routing").await;
    assert_eq!(watch.line().await, Some(WatchLine::Heartbeat));
    assert_eq!(in_use(), 1);
    drop(watch);
    let started = Instant::now();
    while in_use() > 0 {
        assert!(started.elapsed() < support::TIMEOUT, "the slot is still in use");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cluster.stop().await;
}
