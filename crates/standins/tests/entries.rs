//! Stops, kills and replaces entries under load. Guards against requests that are cut off by a planned stop, or lost
//! when an entry dies.

mod common;

use banyannotch_standins::caller::{Caller, CallerError};
use banyannotch_standins::harness::TOKEN;
use common::{LIMIT, PROMPTS, ask_until_answered, body, check, check_clean, deployment, read_tokens};

#[test]
fn a_planned_stop_cuts_off_no_stream() {
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
        deployment.entries[0].process.terminate().expect("the entry is asked to stop");
        // The balancer has not noticed yet: a request during the notice is taken and answered.
        let late = caller.generate_whole(entry, &body("during the notice", 5)).await.expect("an answer");
        check(&late, "during the notice", 5);
        for (prompt, stream, answer) in streams {
            let answer = stream.finish(answer).await.expect("the rest of the answer");
            check(&answer, &prompt, 300);
        }
        let code = deployment.entries[0].process.wait_exit(LIMIT).await.expect("the entry ends");
        assert_eq!(code, Some(0));
    });
}

#[test]
fn callers_of_a_killed_entry_get_the_whole_answer_from_another() {
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
        assert!(matches!(broken, Err(CallerError::Broken(_) | CallerError::NoOutcome)), "{broken:?}");
        let answer = ask_until_answered(&caller, &[first, second], &body(prompt, 200)).await;
        check(&answer, prompt, 200);
        deployment.entries.remove(0);
        check_clean(&deployment).await;
    });
}
