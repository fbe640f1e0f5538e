//! `paddlemount ctl` against an in-process node.

#[path = "../../node/tests/admin/support.rs"]
#[allow(dead_code)]
mod support;

use std::process::Output;

use support::{Cluster, READ_KEY};

const NO_KEY: &str = "";

async fn ctl(cluster: &Cluster, key: &str, arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_paddlemount"));
    command.args(["ctl", "--node", &cluster.nodes[0].admin_address().to_string()]).args(arguments);
    command.env_remove("PADDLEMOUNT_KEY");
    if key != NO_KEY {
        command.env("PADDLEMOUNT_KEY", key);
    }
    command.output().await.unwrap()
}

fn texts(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_come_as_tables_csv_and_json() {
    let cluster = Cluster::start(2, 1).await;
    let query = "show engines engine, model order by engine";
    let table = "engine    model\nengine-1  ledger\nengine-2  ledger\n(2 rows)\n";
    assert_eq!(texts(&ctl(&cluster, READ_KEY, &[query]).await), (Some(0), table.into(), String::new()));
    let csv = "engine,model\r\nengine-1,ledger\r\nengine-2,ledger\r\n";
    assert_eq!(texts(&ctl(&cluster, READ_KEY, &["--csv", query]).await).1, csv);
    let (code, json, _) = texts(&ctl(&cluster, READ_KEY, &["--json", query]).await);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((code, &json["body"]["table"]["rows"][1][0]), (Some(0), &"engine-2".into()));
    let (code, line, _) = texts(&ctl(&cluster, READ_KEY, &["watch engines engine, draining limit 1"]).await);
    assert_eq!((code, line.as_str()), (Some(0), "engine=engine-1  draining=false\n"));
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_codes_tell_failures_apart() {
    let cluster = Cluster::start(1, 1).await;
    let (code, _, message) = texts(&ctl(&cluster, READ_KEY, &["show", "engnies"]).await);
    assert_eq!(code, Some(2));
    assert!(message.contains("show engnies\n     ^^^^^^^\n") && message.contains("did you mean engines?"));
    let (code, _, message) = texts(&ctl(&cluster, READ_KEY, &["drain engine engine-1"]).await);
    assert_eq!(code, Some(1));
    assert!(message.contains("read has the role read; this needs the role operate"), "{message}");
    let (code, _, message) = texts(&ctl(&cluster, NO_KEY, &["show tenants"]).await);
    assert_eq!(code, Some(2));
    assert!(message.contains("no operator key"), "{message}");
    let (code, _, message) = texts(&ctl(&cluster, "wrong", &["show tenants"]).await);
    assert_eq!(code, Some(1));
    assert!(message.contains("key is missing or unknown"), "{message}");
    cluster.stop().await;
}
