//! `dilljunction-lab capacity`: the committed page is what it should be, and a page that isn't is found.

use dilljunction_lab::capacity::documents::{Documents, DocumentsError, FOLDER, PAGE};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A folder of this test alone, with a small page in it.
struct Copy(PathBuf);

const TEMPLATE: &str = "\
# Capacity
{% set cpu = row('cpu', role='agent', need=at('idle', 'cpu', target.fleet.backends),
                 have=allowed(42, 'ms/s'), by=['docs']) %}
{{ ranked([cpu]) }}

{{ fit_table('idle') }}

{{ provenance() }}
";

impl Copy {
    fn new(name: &str) -> Copy {
        let root =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("capacity-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&root);
        fs::create_dir_all(root.join(FOLDER)).expect("a folder");
        let copy = Copy(root);
        copy.put("CAPACITY.md.jinja", TEMPLATE);
        let committed = repository().join(FOLDER).join("target.toml");
        copy.put("target.toml", &fs::read_to_string(committed).expect("the target"));
        copy.put("idle.json", &idle());
        copy.documents().write().expect("a page");
        copy
    }

    fn documents(&self) -> Documents {
        Documents::of(&self.0)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(FOLDER).join(name)
    }

    fn put(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("written");
    }

    fn change(&self, path: &Path, from: &str, to: &str) {
        let text = fs::read_to_string(path).expect("read");
        assert!(text.contains(from), "{from}");
        fs::write(path, text.replacen(from, to, 1)).expect("written");
    }

    fn found(&self) -> bool {
        matches!(self.documents().check(), Err(DocumentsError::Differs { .. }))
    }

    fn command(&self, arguments: &[&str]) -> (Option<i32>, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dilljunction-lab"));
        let output =
            command.arg("capacity").arg("--root").arg(&self.0).args(arguments).output().expect("runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn idle() -> String {
    let point = |size: f64, value: f64| serde_json::json!({"size": size, "values": [value, value, value]});
    serde_json::json!({"name": "idle", "about": "an agent without traffic", "command": "measure idle",
        "build": "0123456 release", "machine": "8 cores", "date": "2026-12-02", "driver": "servers known",
        "series": [{"key": "cpu", "unit": "ms/s",
            "fitted": [point(100.0, 3.5), point(200.0, 4.0), point(400.0, 5.0), point(800.0, 7.0)],
            "held_out": [point(1600.0, 11.25)]}]})
    .to_string()
}

#[test]
fn the_committed_page_is_what_template_measurements_and_target_give() {
    let unread = Documents::of(&repository()).check().expect("up to date");
    assert_eq!(unread, Vec::<String>::new(), "measurements that nothing on the page reads");
}

#[test]
fn a_changed_target_is_found_and_one_command_gives_the_new_page() {
    let copy = Copy::new("target");
    assert!(!copy.found());
    copy.change(&copy.path("target.toml"), "backends = 1600", "backends = 3200");
    assert!(copy.found());
    copy.documents().write().expect("a page");
    assert!(!copy.found());
    let page = fs::read_to_string(copy.0.join(PAGE)).expect("a page");
    assert!(page.contains("| cpu | agent | 19 ms/s | 42 ms/s | 2.21 | worked out from a slope"), "{page}");
}

#[test]
fn a_changed_measurement_is_found_also_where_no_median_moves() {
    let copy = Copy::new("measurement");
    copy.change(&copy.path("idle.json"), "[11.25,11.25,11.25]", "[12.25,12.25,12.25]");
    assert!(copy.found());
    copy.documents().write().expect("a page");
    copy.change(&copy.path("idle.json"), "[12.25,", "[12.5,");
    assert!(copy.found());
    copy.documents().write().expect("a page");
    copy.change(&copy.path("idle.json"), "8 cores", "4 cores");
    assert!(copy.found());
}

#[test]
fn a_measurement_that_came_or_went_is_found() {
    let copy = Copy::new("files");
    copy.put("spare.json", &idle().replace("\"idle\"", "\"spare\""));
    assert!(copy.found());
    assert_eq!(copy.documents().write().expect("a page"), ["spare"]);
    fs::remove_file(copy.path("idle.json")).expect("removed");
    let reason = copy.documents().check().expect_err("nothing to read").to_string();
    assert!(reason.ends_with("no measurement `idle`"), "{reason}");
}

#[test]
fn a_page_that_was_edited_by_hand_is_found_with_its_line() {
    let copy = Copy::new("edited");
    copy.change(&copy.0.join(PAGE), "11.2 ms/s", "10.2 ms/s");
    assert!(matches!(copy.documents().check(), Err(DocumentsError::Differs { line: 4 })));
    copy.documents().write().expect("a page");
    for edit in ["", "\n"] {
        let text = fs::read_to_string(copy.0.join(PAGE)).expect("a page");
        fs::write(copy.0.join(PAGE), format!("{}{edit}", text.trim_end_matches('\n'))).expect("written");
        assert_eq!(copy.found(), edit.is_empty());
    }
    copy.change(&copy.0.join(PAGE), "# Capacity", "# Capacity\r");
    assert!(copy.found());
}

#[test]
fn a_file_under_a_wrong_name_or_not_of_the_form_is_named() {
    let copy = Copy::new("form");
    copy.put("other.json", &idle());
    let reason = copy.documents().check().expect_err("misnamed").to_string();
    assert!(reason.contains("other: its name says `idle`"), "{reason}");
    copy.put("other.json", &idle().replace("\"about\"", "\"abuot\""));
    let reason = copy.documents().check().expect_err("of another form").to_string();
    assert!(reason.contains("other.json") && reason.contains("abuot"), "{reason}");
}

#[test]
fn the_command_tells_by_its_exit_status_and_one_line() {
    let copy = Copy::new("command");
    let (status, out, err) = copy.command(&["--check"]);
    assert_eq!((status, err.as_str()), (Some(0), ""), "{out}");
    copy.change(&copy.path("target.toml"), "backends = 1600", "backends = 1700");
    let (status, _, err) = copy.command(&["--check"]);
    assert_eq!((status, err.lines().count()), (Some(1), 1), "{err}");
    assert!(err.contains("docs/CAPACITY.md:4: differs"), "{err}");
    assert_eq!(copy.command(&[]).0, Some(0));
    assert_eq!(copy.command(&["--check"]).0, Some(0));
    copy.change(&copy.path("target.toml"), "backends = 1700", "backends = 0");
    let (status, _, err) = copy.command(&[]);
    assert_eq!((status, err.lines().count()), (Some(2), 1), "{err}");
    assert!(err.contains("target.toml: fleet.backends: is 0"), "{err}");
    copy.change(&copy.path("target.toml"), "backends = 0", "backends = 1700");
    copy.put("spare.json", &idle().replace("\"idle\"", "\"spare\""));
    let (status, _, err) = copy.command(&[]);
    assert_eq!(status, Some(0));
    assert!(err.contains("docs/capacity/spare.json: nothing on the page reads it"), "{err}");
}
