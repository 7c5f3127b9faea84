//! Tests of the exchange between entries: its policy, the encoding of digests, and calls over loopback.

mod loopback;
mod rounds;
mod wire;

use super::{AgedFinding, Digest, Finding};
use crate::configuration::{Claim, PresetName, VersionContent};
use crate::execution::Suspicion;
use crate::ids::{ConfigVersion, EndpointId, Fingerprint, InstanceId, LogOffset};
use crate::membership::ObservedState;

fn version_content(version: u64) -> VersionContent {
    let text = format!("[presets.peak]\nmax_tokens = {version}\n");
    VersionContent::parse(ConfigVersion(version), "anna", &text, PresetName::Peak).expect("a document")
}

fn claim(version: u64, through: u64, with_content: bool) -> Claim {
    let version_content = version_content(version);
    Claim {
        version: version_content.version(),
        through: LogOffset(through),
        digest: version_content.digest(),
        content: with_content.then_some(version_content),
    }
}

fn observed(observer: &str, endpoint: &str, state: ObservedState, age_ms: u64) -> AgedFinding {
    let (observer, endpoint) = (InstanceId::from(observer), EndpointId::new(endpoint, 1));
    AgedFinding { finding: Finding::Observed { observer, endpoint, state }, age_ms }
}

fn suspicion(fingerprint: u128, endpoint: &str) -> Suspicion {
    Suspicion { fingerprint: Fingerprint(fingerprint), endpoint: EndpointId::new(endpoint, 1) }
}

fn suspected(fingerprint: u128, endpoint: &str, age_ms: u64) -> AgedFinding {
    AgedFinding { finding: Finding::Suspected(suspicion(fingerprint, endpoint)), age_ms }
}

fn digest_of(entry: &str, claim: Option<Claim>, findings: Vec<AgedFinding>) -> Digest {
    Digest { entry: EndpointId::new(entry, 1), operators: "127.0.0.1:8082".parse().ok(), claim, findings }
}
