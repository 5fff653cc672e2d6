use super::*;

#[test]
fn memory_is_read_from_its_line_alone() {
    assert_eq!(memory_kib("MemTotal:       24576000 kB\nMemFree: 7 kB\n"), Some(24_576_000));
    assert_eq!(memory_kib("MemFree: 7 kB\n"), None);
    assert_eq!(memory_kib("MemTotal: much\n"), None);
}

#[test]
fn the_day_is_written_as_year_month_and_day() {
    let today = today();
    let parts: Vec<usize> = today.split('-').map(str::len).collect();
    assert_eq!(parts, [4, 2, 2], "{today}");
}

#[test]
fn the_head_of_a_file_names_build_and_machine() {
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    assert!(build().ends_with(profile), "{}", build());
    assert!(machine().contains("cores"), "{}", machine());
}
