use super::*;

#[test]
fn the_shipped_worlds_are_usable_and_have_their_names() {
    for (name, _) in SHIPPED {
        let world = World::find(name).unwrap();
        assert_eq!(world.name, name);
        assert!((world.agent_shares().iter().sum::<f64>() - 1.0).abs() < 1e-9);
    }
}

#[test]
fn what_cannot_be_used_is_named_with_its_key() {
    let good = "about = 'x'\nseconds = 1\nrate = 10\nagents = 2\n[[building]]\nname = 'a'\nservers = 2\n";
    assert!(World::parse(good, "x.toml").is_ok());
    for (more, expected) in [
        ("[server]\ncoers = 2", "server.coers"),
        ("[server]\ncores = 0", "server.cores: is 0; must lie between"),
        ("[[fault]]\nat = 1\nkind = 'slow'\nservers = ['a-1']", "fault[0].factor: slow needs it"),
        ("[[fault]]\nat = 1\nkind = 'hang'\nservers = ['b-*']", "fault[0].servers: no server is named b-*"),
        ("[[fault]]\nat = 1\nkind = 'hang'\nservers = ['a-*']\noffice = 'x'", "hang has no use for it"),
        ("[[fault]]\nat = 1\nkind = 'melt'", "fault[0].kind: unknown variant"),
        ("[[class]]\nname = 'x'\nshare = 1\nwork_ms = [1, 2]\nwanted_ms = 9\ndeadline_ms = 9\nworth = 1\neffect = 'keyed'", "class[0].effect"),
    ] {
        let fault = World::parse(&format!("{good}{more}"), "x.toml").unwrap_err();
        assert!(fault.starts_with("x.toml: ") && fault.contains(expected), "{fault}");
    }
    assert!(World::find("nowhere").unwrap_err().contains("calm"));
}

#[test]
fn patterns_fit_as_people_expect() {
    assert!(fits("*", "x") && fits("a-*", "a-12") && fits("*-1", "a-1") && fits("a*c", "abc"));
    assert!(!fits("a-*", "b-1") && !fits("a", "ab") && !fits("*-1", "a-12"));
}
