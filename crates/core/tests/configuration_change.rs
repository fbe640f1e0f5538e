//! Configuration changes while the store loses replies, fails, or accepts a competing change.

use std::collections::BTreeMap;

use paddlemount_core::configuration::{
    apply::{digest, evaluate, replay},
    change::{ChangeEvent, ChangeStep, ConfigurationChange, StoreFailure, StoreOutcome},
};
use paddlemount_protocol::{
    configuration::{Change, ChangeRequest, Pool, RevisedConfiguration, Tenant},
    identity::{Revision, WeightsVersion},
    platform::StorePutResult,
    time::Timestamp,
};

const NOW: Timestamp = Timestamp(1_000_000);

fn put_tenant(id: &str, tenant: &str, weight: u32) -> ChangeRequest {
    let settings = Tenant { weight, ..Tenant::default() };
    request(id, Change::PutTenant { tenant: tenant.into(), settings })
}

fn request(id: &str, change: Change) -> ChangeRequest {
    ChangeRequest {
        id: id.into(),
        operator: "alice".into(),
        if_revision: None,
        change,
        command: format!("change {id}"),
        dry_run: false,
    }
}

/// A store that can lose the reply to a put, before or after its effect.
#[derive(Default)]
struct Store {
    document: RevisedConfiguration,
    applied: BTreeMap<String, u32>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    LostBefore,
    LostAfter,
    Refused,
    Raced,
}

impl Store {
    fn put(&mut self, expected: Revision, step: &ChangeStep) -> StorePutResult {
        let ChangeStep::Put { configuration, .. } = step else { panic!("not a put") };
        if self.document.revision != expected {
            return StorePutResult::Conflict { revision: self.document.revision };
        }
        let revision = expected.next();
        self.document = RevisedConfiguration { revision, configuration: (**configuration).clone() };
        let newest = self.document.configuration.changes.last().unwrap();
        *self.applied.entry(newest.id.to_string()).or_default() += 1;
        StorePutResult::Stored { revision }
    }

    fn race(&mut self, number: usize) {
        let other = put_tenant(&format!("race-{number}"), "other", 1 + u32::try_from(number).unwrap());
        let configuration = Box::new(evaluate(&self.document, &other, NOW).unwrap());
        let expected = self.document.revision;
        self.put(expected, &ChangeStep::Put { expected, configuration });
    }
}

fn run(store: &mut Store, change: &mut ConfigurationChange, faults: &[Fault]) -> StoreOutcome {
    let mut step = ChangeStep::Read;
    let mut faults = faults.iter();
    for number in 0..100 {
        let fault = faults.next().copied().unwrap_or(Fault::None);
        let event = match &step {
            ChangeStep::End(outcome) => return outcome.clone(),
            ChangeStep::Read | ChangeStep::RetryRead => match fault {
                Fault::None | Fault::Raced => ChangeEvent::Read(Ok(store.document.clone())),
                Fault::LostBefore | Fault::LostAfter => ChangeEvent::Read(Err(StoreFailure::Unclear)),
                Fault::Refused => ChangeEvent::Read(Err(StoreFailure::NotApplied)),
            },
            ChangeStep::Put { expected, .. } => match fault {
                Fault::None => ChangeEvent::Put(Ok(store.put(*expected, &step))),
                Fault::LostBefore => ChangeEvent::Put(Err(StoreFailure::Unclear)),
                Fault::LostAfter => {
                    store.put(*expected, &step);
                    ChangeEvent::Put(Err(StoreFailure::Unclear))
                }
                Fault::Refused => ChangeEvent::Put(Err(StoreFailure::NotApplied)),
                Fault::Raced => {
                    store.race(number);
                    ChangeEvent::Put(Ok(store.put(*expected, &step)))
                }
            },
        };
        step = change.step(event);
    }
    panic!("the change does not end");
}

fn stored(outcome: &StoreOutcome) -> Option<Revision> {
    match outcome {
        StoreOutcome::Stored { revision, .. } => Some(*revision),
        _ => None,
    }
}

#[test]
fn a_put_whose_reply_is_lost_is_resolved_by_reading() {
    let mut store = Store::default();
    let mut change = ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW);
    let outcome = run(&mut store, &mut change, &[Fault::None, Fault::LostAfter]);
    assert_eq!(stored(&outcome), Some(Revision(1)));
    assert_eq!(store.applied["c1"], 1);
}

#[test]
fn a_put_lost_before_its_effect_is_retried() {
    let mut store = Store::default();
    let mut change = ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW);
    let outcome = run(&mut store, &mut change, &[Fault::None, Fault::LostBefore, Fault::LostBefore]);
    assert_eq!(stored(&outcome), Some(Revision(1)));
    assert_eq!(store.applied["c1"], 1);
}

#[test]
fn a_change_is_refused_while_the_store_is_down() {
    let mut store = Store::default();
    let mut change = ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW);
    let outcome = run(&mut store, &mut change, &[Fault::Refused; 50]);
    assert!(matches!(outcome, StoreOutcome::Refused { .. }), "{outcome:?}");
    assert!(store.applied.is_empty());
}

#[test]
fn an_unclear_put_without_any_later_read_is_unknown() {
    let mut store = Store::default();
    let mut change = ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW);
    let mut faults = vec![Fault::None, Fault::LostAfter];
    faults.extend([Fault::LostBefore; 50]);
    assert_eq!(run(&mut store, &mut change, &faults), StoreOutcome::Unknown);
}

#[test]
fn a_repeated_change_is_applied_once_and_answered_with_its_revision() {
    let mut store = Store::default();
    let new_change = || ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW);
    run(&mut store, &mut new_change(), &[]);
    store.race(1);
    let again = run(&mut store, &mut new_change(), &[]);
    assert_eq!(stored(&again), Some(Revision(1)));
    assert_eq!(store.applied["c1"], 1);
}

#[test]
fn an_identity_used_for_another_change_is_refused() {
    let mut store = Store::default();
    run(&mut store, &mut ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW), &[]);
    let mut other = ConfigurationChange::new(put_tenant("c1", "kestrel", 3), Revision(0), NOW);
    assert!(matches!(run(&mut store, &mut other, &[]), StoreOutcome::Refused { .. }));
}

#[test]
fn of_two_racing_changes_of_one_object_the_second_is_refused_with_the_current_revision() {
    let mut store = Store::default();
    run(&mut store, &mut ConfigurationChange::new(put_tenant("c0", "kestrel", 1), Revision(0), NOW), &[]);
    let based =
        |id, weight| ChangeRequest { if_revision: Some(Revision(1)), ..put_tenant(id, "kestrel", weight) };
    let first = run(&mut store, &mut ConfigurationChange::new(based("c1", 2), Revision(1), NOW), &[]);
    assert_eq!(stored(&first), Some(Revision(2)));
    let second = run(&mut store, &mut ConfigurationChange::new(based("c2", 3), Revision(1), NOW), &[]);
    let StoreOutcome::Refused { revision, reason } = second else { panic!("{second:?}") };
    assert_eq!(revision, Revision(2));
    assert!(
        reason.contains("tenant kestrel") && reason.contains("alice") && reason.contains("c1"),
        "{reason}"
    );
}

#[test]
fn a_change_of_another_object_does_not_conflict() {
    let mut store = Store::default();
    run(&mut store, &mut ConfigurationChange::new(put_tenant("c0", "kestrel", 1), Revision(0), NOW), &[]);
    store.race(1);
    let based = ChangeRequest { if_revision: Some(Revision(1)), ..put_tenant("c1", "kestrel", 2) };
    let outcome = run(&mut store, &mut ConfigurationChange::new(based, Revision(1), NOW), &[]);
    assert_eq!(stored(&outcome), Some(Revision(3)));
}

#[test]
fn a_store_older_than_what_is_in_force_is_refused() {
    let mut store = Store::default();
    let mut change = ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(9), NOW);
    let outcome = run(&mut store, &mut change, &[]);
    assert!(matches!(&outcome, StoreOutcome::Refused { revision: Revision(9), .. }), "{outcome:?}");
}

#[test]
fn errors_state_the_place_and_the_remedy() {
    let empty = RevisedConfiguration::default();
    let refused = |change| evaluate(&empty, &request("c", change), NOW).unwrap_err().to_string();
    let tenant = |settings| Change::PutTenant { tenant: "kestrel".into(), settings };
    let plain_key = Tenant { key_hashes: vec!["secret".into()], ..Tenant::default() };
    assert_eq!(
        refused(tenant(plain_key)),
        "tenant kestrel key_hashes: a key hash must be 64 hexadecimal digits; give the SHA-256 of the key, not the key"
    );
    let no_share = Tenant { weight: 0, ..Tenant::default() };
    assert_eq!(refused(tenant(no_share)), "tenant kestrel weight: 0 is out of range; give 1 to 1000");
    let unknown = Tenant { models: vec!["ledger".into()], ..Tenant::default() };
    assert!(refused(tenant(unknown)).contains("no pool serves model ledger; create the pool first"));
    let pool = Pool {
        model: "ledger".into(),
        weights: WeightsVersion(1),
        rollout: Some(WeightsVersion(1)),
        adapters: Vec::new(),
        reuse_weight: 0.5,
    };
    assert!(
        refused(Change::PutPool { pool: "p".into(), settings: pool }).contains("roll out another version")
    );
    let missing = Change::DeletePool { pool: "p".into() };
    assert_eq!(refused(missing), "pool p does not exist; check the name against the current configuration");
}

#[test]
fn replaying_accepted_changes_gives_the_same_document() {
    let mut store = Store::default();
    let before = store.document.configuration.clone();
    for number in 0..400 {
        store.race(number);
    }
    let mut replayed = before;
    let mut all = Store::default();
    for number in 0..400 {
        all.race(number);
        replay(&mut replayed, all.document.configuration.changes.last().unwrap()).unwrap();
    }
    assert_eq!(digest(&replayed), digest(&store.document.configuration));
}

#[test]
fn under_any_store_faults_a_change_is_applied_at_most_once_and_its_outcome_is_correct() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let faults: Vec<Fault> = bytes
            .iter()
            .map(|byte| match byte % 6 {
                0 | 1 => Fault::None,
                2 => Fault::LostBefore,
                3 => Fault::LostAfter,
                4 => Fault::Refused,
                _ => Fault::Raced,
            })
            .collect();
        let mut store = Store::default();
        let mut change = ConfigurationChange::new(put_tenant("c1", "kestrel", 2), Revision(0), NOW);
        let outcome = run(&mut store, &mut change, &faults);
        let applied = store.applied.get("c1").copied().unwrap_or(0);
        assert!(applied <= 1);
        match outcome {
            StoreOutcome::Stored { .. } => assert_eq!(applied, 1),
            StoreOutcome::Refused { .. } => assert_eq!(applied, 0),
            StoreOutcome::Unknown => {}
            StoreOutcome::WouldApply { .. } => panic!("not a dry run"),
        }
    });
}
