//! Guards against a daemon that starts with settings that cannot be right.

use std::fmt::Write;

use super::Settings;

const RIGHT: &str = r#"
instance = "entry-1"
zone = "riga-1"
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
log = "127.0.0.1:9000"
instance_list = "127.0.0.1:9001"
"#;

#[test]
fn each_wrong_setting_is_named_with_what_is_allowed() {
    let replaced = |from: &str, to: &str| RIGHT.replace(from, to);
    let cases = [
        ("right", RIGHT.to_owned()),
        ("unknown key", format!("{RIGHT}\nspeed = 1\n")),
        ("unknown key of a part", format!("{RIGHT}\n[execution]\nstep_timeout = 1\n")),
        ("wrong unit", format!("{RIGHT}\n[execution]\nstep_timeout_ms = \"350ms\"\n")),
        ("missing zone", replaced("zone = \"riga-1\"\n", "")),
        ("empty zone", replaced("riga-1", "")),
        ("not an address", replaced("127.0.0.1:8080", "localhost")),
        ("duplicate address", replaced("8082", "8080")),
        ("log without port", replaced("9000", "0")),
        ("credit too small", format!("{RIGHT}\n[execution]\ncredit_tokens = 8\n")),
        ("not TOML", "instance".to_owned()),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let result = match Settings::parse("entry.toml", &text) {
            Ok(settings) => format!("accepted for {} in {}", settings.instance, settings.zone),
            Err(error) => error.to_string().trim_end().to_owned(),
        };
        writeln!(report, "## {name}\n{result}").expect("a string takes text");
    }
    insta::assert_snapshot!(report);
}
