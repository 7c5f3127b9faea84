//! Stops and kills entries while streams are open. Guards against requests that are interrupted by a planned
//! stop, or lost when an entry is killed.

mod common;

use banyannotch_standins::caller::{Caller, CallerError};
use banyannotch_standins::harness::TOKEN;
use common::{
    PROMPTS, TIMEOUT, body, check_answer, check_no_violations, deployment, generate_with_retries, read_tokens,
};

#[test]
fn a_planned_stop_interrupts_no_stream() {
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(2, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let entry = deployment.entries[0].callers;
        let mut streams = Vec::new();
        for number in 0..10 {
            let prompt = format!("{} {number}", PROMPTS[number % 3]);
            let mut stream = caller.generate(entry, &body(&prompt, 300)).await.expect("a response");
            let answer = read_tokens(&mut stream, 2).await;
            streams.push((prompt, stream, answer));
        }
        deployment.entries[0].process.terminate().expect("SIGTERM is sent to the entry");
        // During the drain notice the load balancer may still send requests, which must be answered.
        let late = caller.generate_whole(entry, &body("during the notice", 5)).await.expect("an answer");
        check_answer(&late, "during the notice", 5);
        for (prompt, stream, answer) in streams {
            let answer = stream.finish(answer).await.expect("the rest of the answer");
            check_answer(&answer, &prompt, 300);
        }
        let code = deployment.entries[0].process.wait_exit(TIMEOUT).await.expect("the entry ends");
        assert_eq!(code, Some(0));
    });
}

#[test]
fn callers_of_a_killed_entry_get_the_complete_answer_from_another() {
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment(2, 2);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let (first, second) = (deployment.entries[0].callers, deployment.entries[1].callers);
        let prompt = PROMPTS[1];
        let mut stream = caller.generate(first, &body(prompt, 200)).await.expect("a response");
        let answer = read_tokens(&mut stream, 10).await;
        deployment.entries[0].process.kill().expect("the entry is killed");
        let broken = stream.finish(answer).await;
        assert!(
            matches!(broken, Err(CallerError::Broken(_) | CallerError::NoOutcome)),
            "expected a broken stream: {broken:?}"
        );
        let answer = generate_with_retries(&caller, &[first, second], &body(prompt, 200)).await;
        check_answer(&answer, prompt, 200);
        deployment.entries.remove(0);
        check_no_violations(&deployment).await;
    });
}
