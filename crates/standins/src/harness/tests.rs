//! Tests that waits time out, that `listening` lines are parsed, and that processes which do not start are
//! reported.

use std::time::Duration;

use super::child::parse_listener;
use super::{HarnessError, Process, wait_for, wait_until};

#[test]
fn listening_lines_are_parsed() {
    let lines = [
        "listening 127.0.0.1:80",
        "listening peers 127.0.0.1:81",
        "listening nowhere",
        "ready 127.0.0.1:80",
        "",
    ];
    insta::assert_debug_snapshot!(lines.map(parse_listener));
}

#[test]
fn waits_time_out() {
    actix_rt::System::new().block_on(async {
        let limit = Duration::from_millis(30);
        let never = wait_until(limit, async || false).await;
        assert!(matches!(never, Err(HarnessError::TimedOut { .. })));
        let hanging = wait_until(limit, async || std::future::pending().await).await;
        assert!(matches!(hanging, Err(HarnessError::TimedOut { .. })));
        let mut checks = 0;
        let third = wait_for(Duration::from_secs(5), async || {
            checks += 1;
            (checks == 3).then_some(checks)
        });
        assert_eq!(third.await.expect("the third check returns a value"), 3);
    });
}

#[test]
fn a_process_that_does_not_listen_is_reported() {
    let result = Process::start("true".as_ref(), [""; 0]);
    assert!(matches!(result, Err(HarnessError::NotListening { found: 0, expected: 1, .. })), "{result:?}");
    let result = Process::start("/nonexistent/binary".as_ref(), [""; 0]);
    assert!(matches!(result, Err(HarnessError::Start { .. })), "{result:?}");
}
