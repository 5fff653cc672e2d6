use super::*;

const COMMITTED: &str = include_str!("../../../../docs/capacity/target.toml");

fn parse(text: &str) -> Result<Target, TargetError> {
    Target::parse(text, Path::new("target.toml"))
}

#[test]
fn the_committed_target_is_usable_and_is_the_operators_table() {
    let target = parse(COMMITTED).expect("usable");
    assert_eq!((target.fleet.backends, target.fleet.services, target.fleet.zones), (1600, 230, 16));
    assert_eq!(target.calls.a_second / f64::from(target.fleet.backends), 175.0);
    assert_eq!((target.calls.depth, target.calls.added_p99_ms), (9, 0.92));
}

#[test]
fn every_key_is_needed_and_has_to_be_a_number_above_zero() {
    let keys: Vec<&str> = COMMITTED.lines().filter(|l| !l.starts_with('#') && l.contains('=')).collect();
    assert_eq!(keys.len(), 21);
    for line in keys {
        let key = line.split(' ').next().expect("a key");
        let missing = parse(&COMMITTED.replace(line, "")).expect_err(key);
        assert!(missing.reason.contains(key), "{missing}");
        for value in ["0", "-1", "nan", "inf", "1e300", "'many'"] {
            let wrong = parse(&COMMITTED.replace(line, &format!("{key} = {value}"))).expect_err(key);
            assert!(wrong.key.ends_with(key) && wrong.key.contains('.'), "{wrong}");
            assert_eq!(wrong.to_string().lines().count(), 1);
        }
    }
}

#[test]
fn errors_name_file_key_and_reason() {
    let unknown = parse(&COMMITTED.replace("depth = 9", "depth = 9\ndeepness = 3")).expect_err("unknown");
    assert!(
        unknown.to_string().starts_with("target.toml: calls") && unknown.reason.contains("deepness"),
        "{unknown}"
    );
    let broken = parse("[fleet").expect_err("no TOML");
    assert!(broken.to_string().starts_with("target.toml: -: "), "{broken}");
    let missing = Target::read(Path::new("/nowhere/target.toml")).expect_err("no file");
    assert!(missing.to_string().starts_with("/nowhere/target.toml: -: "), "{missing}");
}

#[test]
fn numbers_that_contradict_each_other_are_refused() {
    let cases = [
        ("backends = 1600", "backends = 5000", "fleet.backends"),
        ("services = 230", "services = 1601", "fleet.services"),
        ("zones = 16", "zones = 6", "fleet.zones"),
        ("restarts_at_once = 16", "restarts_at_once = 1601", "failures.restarts_at_once"),
    ];
    for (from, to, key) in cases {
        let wrong = parse(&COMMITTED.replace(from, to)).expect_err(key);
        assert_eq!(wrong.key, key);
    }
}
