use super::*;

#[test]
fn ids_are_remembered_for_a_limited_time_and_in_a_limited_number() {
    let (mut ids, start) = (RecentIds::default(), Instant::now());
    assert!(!ids.contains(b"a", start));
    ids.remember(b"a", start);
    ids.remember(b"a", start);
    assert!(ids.contains(b"a", start + REMEMBERED_TIME - Duration::from_millis(1)));
    assert!(!ids.contains(b"b", start));
    assert!(!ids.contains(b"a", start + REMEMBERED_TIME));
    for number in 0..3 * IDS_MAX {
        ids.remember(&number.to_be_bytes(), start + REMEMBERED_TIME);
    }
    assert_eq!((ids.hashes.len(), ids.by_age.len()), (IDS_MAX, IDS_MAX));
    assert!(ids.contains(&(3 * IDS_MAX - 1).to_be_bytes(), start + REMEMBERED_TIME));
}
