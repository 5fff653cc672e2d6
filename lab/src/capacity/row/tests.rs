use super::*;

fn given(value: f64, unit: &str) -> Figure {
    Figure::new(value, unit, Origin::Target).expect("a figure")
}

fn row(name: &str, need: Figure, have: Figure) -> Row {
    Row { name: name.into(), role: "agent".into(), need, have, mechanism: "`agent/src/agent.rs`".into() }
}

#[test]
fn the_smallest_headroom_comes_first_what_is_not_there_before_that_and_what_is_unknown_last() {
    let absent = Figure::missing(Origin::Absent("nothing spreads it".into()));
    let unknown = Figure::missing(Origin::NotMeasured("no run".into()));
    let rows = [
        row("ample", given(1.0, "MB"), given(32.0, "MB")),
        row("unknown", unknown, given(5.0, "s")),
        row("tight", given(30.0, "MB"), given(32.0, "MB")),
        row("absent", given(5.0, "s"), absent),
        row("short", given(40.0, "MB"), given(32.0, "MB")),
        row("also tight", given(30.0, "MB"), given(32.0, "MB")),
    ];
    let order: Vec<&str> =
        ranked(&rows.iter().collect::<Vec<_>>()).iter().map(|row| row.name.as_str()).collect();
    assert_eq!(order, ["absent", "short", "also tight", "tight", "ample", "unknown"]);
    let texts: Vec<String> = rows.iter().map(|row| row.headroom().text()).collect();
    assert_eq!(texts, ["32", "not measured", "1.07", "0", "0.8", "1.07"]);
}

#[test]
fn a_row_that_cannot_be_divided_is_refused() {
    let refused = |row: Row| row.check().expect_err("refused").to_string();
    let units = refused(row("memory", given(5.0, "MB"), given(32.0, "KB")));
    assert_eq!(units, "row `memory`: need is in MB, have in KB");
    let sign = refused(row("memory", given(-0.5, "MB"), given(32.0, "MB")));
    assert!(sign.starts_with("row `memory`: need is -0.5 MB"), "{sign}");
    assert!(row("memory", given(0.0, "MB"), given(32.0, "MB")).check().is_err());
    assert!(row("memory", given(1.0, "MB"), given(-1.0, "MB")).check().is_err());
    assert_eq!(refused(row(" ", given(1.0, "s"), given(1.0, "s"))), "row ` `: name is empty");
}

#[test]
fn text_cannot_leave_its_cell() {
    let text = markdown(["a", "b"], &[["x | y".into(), "one\ntwo".into()]]);
    assert_eq!(text, "| a | b |\n| --- | --- |\n| x \\| y | one two |");
}
