//! Replaces all entries in turn under load. Guards against a planned stop that interrupts a request, and
//! against an entry that refuses requests before the load balancer can notice that it is no longer ready.

mod common;

use banyannotch_standins::harness::wait_until;
use common::{
    Balancer, Load, TIMEOUT, add_entries, add_replicas, check_no_violations, serialize_tests, start_platform,
};

const ENTRIES: usize = 6;

const SETTINGS: &str = "[intake]\ndrain_notice_ms = 500\n";

#[test]
fn six_entries_are_replaced_in_turn_without_a_resend() {
    let _guard = serialize_tests();
    actix_rt::System::new().block_on(async {
        let mut deployment = start_platform(&[]);
        add_replicas(&mut deployment, 2);
        add_entries(&mut deployment, ENTRIES, SETTINGS);
        deployment.make_ready().await.expect("the deployment is ready");
        let balancer = Balancer::new(&deployment);
        let load = Load::start(&balancer, 12, 150);
        let mut leaving = Vec::new();
        for number in 0..ENTRIES {
            let name = format!("successor-{}", number + 1);
            deployment.add_entry(&name, "zone-1", SETTINGS).expect("the successor starts");
            deployment.announce().await.expect("the list is updated");
            let successor = deployment.entries.last().expect("the successor");
            deployment.wait_ready(successor).await.expect("the successor is ready");
            balancer.set_entries(deployment.entries.iter().map(|entry| entry.callers).collect());
            let old = deployment.entries.remove(0);
            old.process.terminate().expect("SIGTERM is sent to the entry");
            // Requests continue between two replacements, also through the successor.
            let answered = balancer.answered.get();
            wait_until(TIMEOUT, async || balancer.answered.get() >= answered + 12)
                .await
                .expect("requests are answered between two replacements");
            deployment.announce().await.expect("the list is updated");
            leaving.push(old);
        }
        for mut old in leaving {
            assert_eq!(old.process.wait_exit(TIMEOUT).await.expect("the entry ends"), Some(0));
        }
        balancer.set_entries(deployment.entries.iter().map(|entry| entry.callers).collect());
        load.stop().await;
        println!("{} answers, resends: {:?}", balancer.answered.get(), balancer.resends.borrow());
        assert_eq!(*balancer.resends.borrow(), Vec::<String>::new());
        check_no_violations(&deployment).await;
    });
}
