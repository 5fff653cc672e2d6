//! Guards against settings that lack what a decision could use, and against ones that no decision can use.
mod common;
use common::*;
use ryelead::*;

#[test]
fn impossible_settings_are_errors_and_not_panics() {
    let with = |change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(with(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(with(|s| s.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(with(|s| s.classes[0].aim = Span::ZERO), Some(SettingsError::ZeroSpan { setting: "aim" }));
    assert_eq!(
        with(|s| s.classes[0].deadline = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "deadline" })
    );
    assert!(matches!(with(|s| s.cold_share = f64::NAN), Some(SettingsError::BadNumber { .. })));
    assert!(matches!(with(|s| s.overload_factor = -1.0), Some(SettingsError::BadNumber { .. })));
    assert!(matches!(with(|s| s.classes[0].worth = f64::INFINITY), Some(SettingsError::BadNumber { .. })));
    assert_eq!(with(|_| ()), None);
}

/// No reports, keys, tenants, probes, cancels or advice, and no goal to speak of: requests are served all the same.
#[test]
fn the_plain_path_needs_nothing_but_a_class() {
    let settings = Settings {
        classes: vec![class(Effect::Idempotent)],
        cancel: false,
        goal: Goal { whole: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        warm_after: Span::ZERO,
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 1);
    rig.list(fleet(3, 1, 1));
    for _ in 0..100 {
        let (id, sent) = rig.ask(0);
        assert!(sent.is_some());
        rig.wait(Span::from_ms(10.0));
        rig.answer_with(id, 0, Outcome::Success, 10.0, Some(vec![f64::NAN, -1.0, 1e300]));
    }
    rig.assert_rules();
}

#[test]
fn a_request_of_an_unknown_class_is_refused() {
    let mut rig = Rig::new(Settings::default(), 1);
    rig.list(fleet(3, 1, 1));
    let request = Request::new(RequestId(5), ClassId(9), Span::from_ms(100.0));
    let mut actions = Vec::new();
    rig.balancer.handle(rig.now, Event::Request(request), &mut actions);
    assert!(refused(&actions, RequestId(5)));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
}
