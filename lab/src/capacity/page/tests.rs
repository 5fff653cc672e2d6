use super::super::fixture::{measurement, measurements};
use super::super::measurements::Measurements;
use super::*;

const TARGET: &str = include_str!("../../../../docs/capacity/target.toml");

fn sources(template: &str) -> Sources {
    let target = Target::parse(TARGET, Path::new("target.toml")).expect("usable");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    Sources { template: template.into(), target, measurements: measurements(), root }
}

fn text(template: &str) -> String {
    sources(template).render().expect(template).text
}

fn fault(template: &str) -> String {
    sources(template).render().expect_err(template).to_string()
}

const ROW: &str =
    "row('cpu', role='agent', need=at('idle', 'cpu', 1600), have=allowed(42, 'ms/s'), by=['lab/src'])";

#[test]
fn figures_come_with_unit_and_how_they_were_found() {
    assert_eq!(text("{{ measured('idle', 'cpu', 1600) }}"), "6.2 ms/s");
    assert_eq!(text("{{ measured('idle', 'cpu', 1600).how }}"), "measured at 1,600 servers known");
    assert_eq!(text("{{ predict('idle', 'cpu', 3200) }}"), "9.4 ms/s");
    let how = "worked out from a slope: line over 100 to 800 servers known, r² 1";
    assert_eq!(text("{{ predict('idle', 'cpu', 1600).how }}"), how);
    assert_eq!(text("{{ predict('idle', 'cpu', 3200).how }}"), format!("{how}, 4 times beyond the largest"));
    assert!(text("{{ predict('idle', 'list', 400).how }}").contains("square over"));
    assert_eq!(text("{{ predict('idle', 'list', 3200) }}"), "10,200 KB");
    assert_eq!(
        text("{{ worked_out(2.5 * 2, 's', 'twice') }}, {{ reasoned(1, 's', 'so').how }}"),
        "5 s, by reasoning: so"
    );
    assert_eq!(text("{{ absent('x') }}, {{ not_measured('y').how }}"), "nothing, not measured: y");
    assert_eq!(text("{{ 0.0787037 | figure }} {{ target.fleet.backends | count }}"), "0.0787 1,600");
}

#[test]
fn a_size_that_was_measured_is_shown_as_measured_and_any_other_is_predicted() {
    let how = |size| text(&format!("{{{{ at('idle', 'cpu', {size}).how }}}}"));
    assert!(how(1600).starts_with("measured at") && how(1700).starts_with("worked out from a slope"));
}

#[test]
fn whatever_is_missing_is_an_error_with_its_line_and_name() {
    let line = |reason: &str| format!("{TEMPLATE}:2: {reason}");
    let cases = [
        ("\n{{ at('busy', 'cpu', 1) }}", "no measurement `busy`"),
        ("\n{{ predict('idle', 'ram', 1) }}", "idle: no series `ram`; it has cpu, list"),
        ("\n{{ measured('idle', 'cpu', 7) }}", "idle: cpu: not measured at 7"),
        ("\n{{ fit_table('busy') }}", "no measurement `busy`"),
        ("\n{{ source('lab/src/nowhere.rs') }}", "lab/src/nowhere.rs: no such file in the repository"),
        ("\n{{ source('../etc') }}", "../etc: no such file in the repository"),
        ("\n{{ absent(' ') }}", "a figure has to say how it was found"),
        ("\n{{ worked_out(1.0, '', 'x') }}", "1 has no unit (worked out: x)"),
        ("\n{{ table([], 'agent') }}", "no row has the role `agent`"),
    ];
    for (template, reason) in cases {
        assert_eq!(fault(template), line(reason));
    }
    for template in ["\n{{ target.backend }}", "\n{{ absent('x').value * 2 }}", "\n{{ settings.least }}"] {
        let reason = fault(template);
        assert!(reason.starts_with(&format!("{TEMPLATE}:2: ")) && reason.contains("undefined"), "{reason}");
    }
    for template in ["{{ 1 / 0 | figure }}", "{{ 5 | nofilter }}", "{% if %}", "{{ reasoned(1) }}"] {
        assert_eq!(fault(template).lines().count(), 1);
    }
}

#[test]
fn a_measurement_that_is_still_to_come_needs_its_reason_and_excuses_no_other_gap() {
    assert_eq!(text("{{ at('busy', 'cpu', 1, or_not_measured='no run').how }}"), "not measured: no run");
    assert_eq!(text("{{ at('busy', 'cpu', 1, or_absent='no code').how }}"), "not there: no code");
    assert_eq!(text("{{ at('idle', 'cpu', 1600, or_absent='no code') }}"), "6.2 ms/s");
    assert!(fault("{{ at('idle', 'ram', 1, or_not_measured='no run') }}").contains("no series `ram`"));
    assert!(fault("{{ measured('idle', 'cpu', 1, or_not_measured='no run') }}").contains("not measured at 1"));
    assert!(fault("{{ at('busy', 'cpu', 1, or_not_measured=' ') }}").contains("has to say"));
    assert!(fault("{{ at('busy', 'cpu', 1, or_absent='a', or_not_measured='b') }}").contains("either"));
    assert!(fault("{{ at('busy', 'cpu', 1, or='a') }}").contains("or"));
}

#[test]
fn figures_are_worked_out_from_others_and_a_gap_stays_a_gap() {
    let cpu = "at('idle', 'cpu', 1600)";
    assert_eq!(text(&format!("{{{{ scaled({cpu}, 9, 'ms/s', 'nine times') }}}}")), "55.8 ms/s");
    assert_eq!(text(&format!("{{{{ power({cpu}, 2, 'x', 'squared') }}}}")), "38.4 x");
    let twice = format!("total([{cpu}, {cpu}], 'ms/s', 'twice')");
    let how = text(&format!("{{{{ scaled({twice}, 2, 'ms/s', 'four times').how }}}}"));
    assert_eq!(how, "worked out: four times; from what is measured at 1,600 servers known");
    let gap = format!("{{{{ total([{cpu}, not_measured('no run')], 'ms/s', 'both').how }}}}");
    assert_eq!(text(&gap), "not measured: no run");
    assert!(fault(&format!("{{{{ total([{cpu}], 's', 'x') }}}}")).contains("6.2 ms/s is not in s"));
    assert!(fault(&format!("{{{{ scaled({cpu}, 9, 'ms/s', '') }}}}")).contains("has to say"));
    assert!(fault("{{ scaled(5, 9, 'ms/s', 'x') }}").contains("5 is no figure"));
}

#[test]
fn rows_stand_once_and_need_figures_and_files() {
    let table = text(&format!("{{{{ ranked([{ROW}]) }}}}"));
    let cells = "| cpu | agent | 6.2 ms/s | 42 ms/s | 6.77 | measured at 1,600 servers known | `lab/src` |";
    assert_eq!(table.lines().nth(2), Some(cells));
    assert!(fault(&format!("{{{{ [{ROW}, {ROW}] }}}}")).contains("row `cpu` stands twice"));
    let bare = fault(&format!("{{{{ {} }}}}", ROW.replace("allowed(42, 'ms/s')", "42")));
    assert!(bare.contains("cpu: 42 is no figure"), "{bare}");
    let nowhere = fault(&format!("{{{{ {} }}}}", ROW.replace("lab/src", "lab/none")));
    assert!(nowhere.contains("lab/none: no such file"), "{nowhere}");
    assert!(fault("{{ ranked([1]) }}").contains("1 is no row"));
}

#[test]
fn fits_stand_beside_what_was_kept_out_of_them() {
    let table = text("{{ fit_table('idle') }}");
    let cpu = table.lines().nth(2).expect("a line");
    assert!(cpu.starts_with("| `cpu`, ms/s | 100, 200, 400, 800 | line | 3 | 0.002 | 1 |"), "{cpu}");
    assert!(cpu.ends_with("| at 1,600: 6.2 / 6.2 (1) |"), "{cpu}");
    let mut off = measurement("idle");
    off.series[0].held_out[0].values = vec![4.0];
    let mut wrong = sources("{{ fit_table('idle') }}");
    wrong.measurements.add(off).expect("usable");
    assert!(wrong.render().expect("a page").text.contains("**off by more than a quarter**"));
}

#[test]
fn a_series_that_is_fitted_to_nothing_is_shown_as_measured() {
    let mut only_measured = sources("{{ fit_table('large') }}");
    let mut large = measurement("large");
    large.series.iter_mut().for_each(|series| series.fitted.clear());
    only_measured.measurements.add(large).expect("usable");
    let table = only_measured.render().expect("a page").text;
    let line = "| `cpu`, ms/s | none | not fitted | - | - | - | - | at 1,600: measured 6.2 (6.19 to 6.21) |";
    assert!(table.lines().any(|found| found == line), "{table}");
}

#[test]
fn measurements_that_nothing_reads_are_told_on_the_page_and_beside_it() {
    let mut sources = sources(
        "{{ at('idle', 'cpu', 100) }}\n{% for name in measurements %}{{ fit_table(name) }}{% endfor %}{{ provenance() }}",
    );
    sources.measurements.add(measurement("spare")).expect("usable");
    let page = sources.render().expect("a page");
    assert_eq!(page.unread, ["spare"]);
    let line = |name: &str| page.text.lines().find(|line| line.contains(name)).expect(name).to_string();
    assert!(line("`spare`").ends_with("no row of this page reads it |"));
    let idle = line("`idle`");
    assert!(idle.contains("| `measure idle` | 0123456 release | 8 cores | 2026-12-02 | "), "{idle}");
    assert!(idle.ends_with(" | - |"), "{idle}");
}

#[test]
fn a_curve_that_is_none_is_called_so() {
    let mut zigzag = measurement("idle");
    for (place, point) in zigzag.series[0].fitted.iter_mut().enumerate() {
        point.values = vec![if place % 2 == 0 { 1.0 } else { 9.0 }; 3];
    }
    let mut sources = sources("{{ predict('idle', 'cpu', 900).how }}\n{{ fit_table('idle') }}");
    sources.measurements = Measurements::default();
    sources.measurements.add(zigzag).expect("usable");
    let text = sources.render().expect("a page").text;
    assert!(text.contains("which the values don't follow") && text.contains("| not a line |"), "{text}");
}
