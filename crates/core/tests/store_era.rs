//! Revisions are totally ordered across the eras of a store that was restored from a backup.

use paddlemount_protocol::{
    era::StoreEra,
    identity::{FencingToken, Revision},
};

#[test]
fn a_revision_of_a_later_era_is_greater_whatever_its_number() {
    bolero::check!().with_type::<(u16, u32, u16, u32)>().for_each(
        |(era, number, other_era, other_number)| {
            let revision = |era: u16, number: u32| Revision::in_era(StoreEra(era.into()), number.into());
            let (left, right) = (revision(*era, *number), revision(*other_era, *other_number));
            assert_eq!(left.cmp(&right), (era, number).cmp(&(other_era, other_number)));
            assert_eq!((left.era(), left.number()), (StoreEra((*era).into()), (*number).into()));
            assert_eq!(FencingToken::from(left) < FencingToken::from(right), left < right);
        },
    );
}

#[test]
fn without_eras_a_revision_equals_the_stores_number() {
    assert_eq!(Revision::in_era(StoreEra::default(), 4_711), Revision(4_711));
    assert_eq!(StoreEra::new(7), Some(StoreEra(7)));
    assert_eq!(StoreEra::new(u64::MAX), None);
}
