use super::*;

#[test]
fn a_report_is_read_by_name_and_a_malformed_one_is_none() {
    let reports = LoadReports::new(vec!["qps".into(), "queue".into()], true);
    assert_eq!(reports.read(b" queue=2, util=0.6,qps=7"), Some(vec![7.0, 2.0]));
    for bad in [
        "",
        "queue=2",
        "queue=2,qps",
        "queue=2,qps=x",
        "queue=2,qps=NaN",
        "queue=2,qps=-1",
        "queue=1e9,qps=1",
        "\u{ff}",
    ] {
        assert_eq!(reports.read(bad.as_bytes()), None, "{bad:?}");
    }
}
