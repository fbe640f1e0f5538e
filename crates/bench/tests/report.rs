//! The HTML report: a self-contained page with a table row, bars and lines per policy.

use paddlemount_bench::{
    experiment::{self, RunSettings},
    policy::PolicyName,
    report,
    scenario::Scenario,
};

#[test]
fn a_report_has_a_row_and_a_line_for_each_policy_and_needs_no_other_file() {
    let mut scenario = Scenario::load("kestrel").unwrap();
    scenario.run.warm_up_s = 1.0;
    scenario.run.measured_s = 4.0;
    let policies = [PolicyName::LeastLoaded, PolicyName::Prefix];
    let runs = policies.map(|policy| RunSettings {
        scenario: "a <b>".to_owned(),
        policy,
        seed: 1,
        without: Vec::new(),
    });
    let page = report::html(&experiment::run_all(&scenario, &runs, 2)).unwrap();
    for policy in policies {
        assert!(page.contains(&format!("<tr><td>{policy}</td>")), "{policy}");
    }
    assert_eq!(page.matches("<svg").count(), 6);
    assert!(page.contains("Scenario a &lt;b&gt;"), "names are escaped");
    assert!(!page.contains("src=") && !page.contains("href="));
}

#[test]
fn no_results_are_refused() {
    assert!(report::html(&[]).is_err());
}
