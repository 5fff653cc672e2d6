//! The command line: what it checks, what it refuses, and that a switch counts.

use dilljunction_lab::standins::hand::*;
use std::process::{Command, Output};

fn dilljunction(arguments: &[&str]) -> Output {
    Command::new(program())
        .args(arguments)
        .env_remove("LB_CONFIG")
        .env_remove("LB_LISTEN")
        .env_remove("LB_DISCOVERY")
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn toml(text: &str) -> String {
    let path = config_file(text).with_extension("toml");
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn check_names_file_key_and_reason_of_what_cannot_be_used() {
    let discovery = "127.0.0.1:1".parse().unwrap();
    let good = config_file(&config(discovery, "", SETTINGS, 1024)).display().to_string();
    let limits = toml("[limits]\nclient_connections = 100");
    let output = dilljunction(&["check", &good, &limits]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout).lines().count(), 2);
    let bad = toml("[limits]\nclient_conections = 100");
    let output = dilljunction(&["check", &good, &bad]);
    assert_eq!(output.status.code(), Some(1));
    let said = text(&output.stderr);
    assert!(said.starts_with(&format!("{bad}: limits.client_conections: unknown field")), "{said}");
    // Each is usable alone, and together they are not.
    let wide = toml("[limits]\nclient_connections = 5000");
    assert!(dilljunction(&["check", &wide]).status.success());
    let output = dilljunction(&["check", &good, &wide]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).starts_with(&format!("{good}: limits: ")), "{}", text(&output.stderr));
}

#[test]
fn a_switch_that_cannot_be_used_ends_the_start_with_one_line() {
    let discovery = "127.0.0.1:1".parse().unwrap();
    let good = config_file(&config(discovery, "", SETTINGS, 1024));
    for bad in ["[limits]\nclient_connections = 1", "[unknown]", "x"] {
        let file = toml(bad);
        let output = command(&good).args(["--with", &file]).output().unwrap();
        assert_eq!(output.status.code(), Some(1), "{bad}");
        let said = text(&output.stderr);
        assert!(said.lines().count() == 1 && said.contains(&file), "{bad}: {said}");
    }
    let output = command(&good).args(["--with", "no such file"]).output().unwrap();
    assert!(text(&output.stderr).contains("no such file: cannot be read"));
}

/// The limit of the file holds in place of the one that follows from the configuration: the first of 20 clients that
/// stay has made room for the others, where there would have been room for all.
#[test]
fn limits_of_our_own_are_kept() {
    let backend = Backend::new(|_| ok("x"));
    let line = serving("s", backend.address);
    let discovery = Discovery::new(line.clone());
    let file = toml("[limits]\nclient_connections = 8");
    let first_stays = |arguments: &[&str]| {
        let agent = Agent::start_with(&config(discovery.address, &line, SETTINGS, 1024), arguments);
        let mut clients: Vec<Client> = Vec::new();
        for _ in 0..20 {
            let mut client = Client::to(&agent);
            assert_eq!(client.ask(&request("read", 9000)).status(), 200);
            clients.push(client);
        }
        let again = request("read", 9000);
        let _ = std::io::Write::write_all(&mut clients[0].stream, again.as_bytes());
        clients[0].read().is_some()
    };
    assert!(first_stays(&[]));
    assert!(!first_stays(&["--with", &file]));
}

#[test]
fn help_and_version_are_told() {
    let help = text(&dilljunction(&["--help"]).stdout);
    assert!(help.contains("--with <FILE>") && help.contains("check") && help.contains("LB_CONFIG"), "{help}");
    assert!(text(&dilljunction(&["--version"]).stdout).starts_with("dilljunction "));
    assert_eq!(dilljunction(&["--nonsense"]).status.code(), Some(2));
}
