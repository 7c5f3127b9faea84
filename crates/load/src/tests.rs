//! Guards against options declared in an order that the parser does not support, which makes printing the
//! help fail.

use super::options;

static COMMANDS: [[&str; 2]; 10] = [
    ["ask", "--help"],
    ["call", "--help"],
    ["post", "--help"],
    ["get", "--help"],
    ["direct", "--help"],
    ["routed", "--help"],
    ["overhead", "--help"],
    ["idle", "--help"],
    ["run", "--help"],
    ["soak", "--help"],
];

#[test]
fn every_command_has_a_help_text() {
    options().check_invariants(true);
    for command in &COMMANDS {
        let help =
            options().run_inner(command).expect_err("--help ends parsing with the help text").unwrap_stdout();
        assert!(help.contains("Usage:"), "{command:?}: {help}");
    }
}
