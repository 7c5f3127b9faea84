//! Guards against a command whose help cannot be printed because its options are declared in an order that the parser does
//! not support.

use super::options;

#[test]
fn every_command_has_a_help_text() {
    options().check_invariants(true);
    let commands = ["ask", "call", "post", "get", "direct", "routed", "overhead", "idle", "run", "soak"];
    for command in commands {
        let arguments = [command, "--help"];
        let help = options().run_inner(&arguments).expect_err("help is no command").unwrap_stdout();
        assert!(help.contains("Usage:"), "{command}: {help}");
    }
}
