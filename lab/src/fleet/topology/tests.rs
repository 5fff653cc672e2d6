use super::*;

#[test]
fn sixteen_zones_in_seven_regions_share_the_members_evenly() {
    for members in [40, 100, 1_600] {
        let topology = Topology::new(members);
        let zones: Vec<usize> = (0..16).map(|zone| topology.in_zone(zone).len()).collect();
        assert_eq!(zones.iter().sum::<usize>(), members);
        assert!(zones.iter().max().unwrap() - zones.iter().min().unwrap() <= 1, "{zones:?}");
        let regions: Vec<usize> = (0..REGIONS).map(|region| topology.in_region(region).len()).collect();
        assert!(regions.iter().sum::<usize>() == members && regions.iter().all(|n| *n > 0), "{regions:?}");
    }
}

#[test]
fn the_way_grows_from_zone_to_region_and_is_as_long_back() {
    let topology = Topology::new(160);
    let ms = |from, to| topology.link(from, to).latency.as_secs_f64() * 1e3;
    assert_eq!((ms(0, 1), ms(0, 10), ms(0, 30)), (0.3, 1.0, 10.0));
    assert_eq!(ms(0, 80), 40.0, "the farthest region");
    for (from, to) in (0..160).flat_map(|from| (0..160).map(move |to| (from, to))) {
        assert_eq!(topology.link(from, to), topology.link(to, from));
        assert!((0.3..=40.0).contains(&ms(from, to)), "{from} {to}");
    }
}
