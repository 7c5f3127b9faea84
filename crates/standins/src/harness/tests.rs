//! Guards against waits without a bound, and against a `listening` line that is misread.

use std::time::Duration;

use super::child::parse_listener;
use super::{HarnessError, Process, wait_for, wait_until};

#[test]
fn listening_lines() {
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
fn waits_are_bounded() {
    actix_rt::System::new().block_on(async {
        let limit = Duration::from_millis(30);
        let never = wait_until(limit, async || false).await;
        assert!(matches!(never, Err(HarnessError::TimedOut { .. })));
        let hanging = wait_until(limit, async || std::future::pending().await).await;
        assert!(matches!(hanging, Err(HarnessError::TimedOut { .. })));
        let mut looks = 0;
        let third = wait_for(Duration::from_secs(5), async || {
            looks += 1;
            (looks == 3).then_some(looks)
        });
        assert_eq!(third.await.expect("the third look"), 3);
    });
}

#[test]
fn a_process_that_does_not_listen_is_reported() {
    let result = Process::start("true".as_ref(), [""; 0]);
    assert!(matches!(result, Err(HarnessError::NotListening { found: 0, expected: 1, .. })), "{result:?}");
    let result = Process::start("/nonexistent/binary".as_ref(), [""; 0]);
    assert!(matches!(result, Err(HarnessError::Start { .. })), "{result:?}");
}
