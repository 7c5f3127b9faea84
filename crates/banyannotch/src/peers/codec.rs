//! Encoding of digests as Cap'n Proto messages.

use super::peer_capnp::{
    ObservedState as WireState, PresetName as WirePreset, content, digest, endpoint_id, observation,
    suspicion,
};
use super::{AgedFinding, Digest, Finding, PeerError, Result};
use crate::configuration::{Claim, PresetName, VersionContent};
use crate::execution::Suspicion;
use crate::ids::{ConfigVersion, EndpointId, Fingerprint, Incarnation, InstanceId, LogOffset};
use crate::membership::ObservedState;

/// Encodes a digest into a message.
pub fn write_digest(digest: &Digest, mut builder: digest::Builder<'_>) {
    write_endpoint(&digest.entry, builder.reborrow().init_entry());
    if let Some(operators) = digest.operators {
        builder.set_operators(operators.to_string());
    }
    if let Some(claim) = &digest.claim {
        write_claim(claim, &mut builder);
    }
    let (mut observations, mut suspicions) = (Vec::new(), Vec::new());
    for found in &digest.findings {
        match &found.finding {
            Finding::Observed { observer, endpoint, state } => {
                observations.push((observer, endpoint, state, found.age_ms));
            }
            Finding::Suspected(suspicion) => suspicions.push((suspicion, found.age_ms)),
        }
    }
    let mut list = builder.reborrow().init_observations(list_length(observations.len()));
    for (index, (observer, endpoint, state, age_ms)) in (0..).zip(observations) {
        let mut item = list.reborrow().get(index);
        item.set_observer(observer.as_str());
        item.set_state(match state {
            ObservedState::Leaving => WireState::Leaving,
            ObservedState::Dead => WireState::Dead,
        });
        item.set_age_ms(age_ms);
        write_endpoint(endpoint, item.init_endpoint());
    }
    let mut list = builder.init_suspicions(list_length(suspicions.len()));
    for (index, (suspicion, age_ms)) in (0..).zip(suspicions) {
        let mut item = list.reborrow().get(index);
        let (high, low) = split_fingerprint(suspicion.fingerprint);
        item.set_fingerprint_high(high);
        item.set_fingerprint_low(low);
        item.set_age_ms(age_ms);
        write_endpoint(&suspicion.endpoint, item.init_endpoint());
    }
}

/// Decodes a digest from a message of another entry.
///
/// # Errors
/// Returns [`PeerError`] if the message is malformed or its content does not match the content's digest.
pub fn read_digest(reader: digest::Reader<'_>) -> Result<Digest> {
    let mut findings = Vec::new();
    for item in reader.get_observations()? {
        findings.push(read_observation(item)?);
    }
    for item in reader.get_suspicions()? {
        findings.push(read_suspicion(item)?);
    }
    let operators = match reader.get_operators()?.to_str()? {
        "" => None,
        text => Some(text.parse()?),
    };
    Ok(Digest { entry: read_endpoint(reader.get_entry()?)?, operators, claim: read_claim(reader)?, findings })
}

fn write_claim(claim: &Claim, builder: &mut digest::Builder<'_>) {
    builder.set_version(claim.version.0);
    builder.set_through(claim.through.0);
    let (high, low) = split_fingerprint(claim.digest);
    builder.set_content_high(high);
    builder.set_content_low(low);
    let Some(version_content) = &claim.content else { return };
    let mut content = builder.reborrow().init_content();
    content.set_document(&*version_content.text);
    content.set_author(&*version_content.author);
    content.set_preset(match version_content.configuration.preset {
        PresetName::Ordinary => WirePreset::Ordinary,
        PresetName::Peak => WirePreset::Peak,
        PresetName::Maintenance => WirePreset::Maintenance,
    });
}

fn read_claim(reader: digest::Reader<'_>) -> Result<Option<Claim>> {
    let version = ConfigVersion(reader.get_version());
    if version == ConfigVersion(0) {
        return Ok(None);
    }
    let digest = join_fingerprint(reader.get_content_high(), reader.get_content_low());
    let version_content =
        if reader.has_content() { Some(read_content(version, reader.get_content()?)?) } else { None };
    if version_content.as_ref().is_some_and(|version_content| version_content.digest() != digest) {
        return Err(PeerError::Digest);
    }
    Ok(Some(Claim { version, through: LogOffset(reader.get_through()), digest, content: version_content }))
}

fn read_content(version: ConfigVersion, reader: content::Reader<'_>) -> Result<VersionContent> {
    let preset = match reader.get_preset()? {
        WirePreset::Ordinary => PresetName::Ordinary,
        WirePreset::Peak => PresetName::Peak,
        WirePreset::Maintenance => PresetName::Maintenance,
    };
    let author = reader.get_author()?.to_str()?;
    Ok(VersionContent::parse(version, author, reader.get_document()?.to_str()?, preset)?)
}

fn read_observation(reader: observation::Reader<'_>) -> Result<AgedFinding> {
    let state = match reader.get_state()? {
        WireState::Leaving => ObservedState::Leaving,
        WireState::Dead => ObservedState::Dead,
    };
    let endpoint = read_endpoint(reader.get_endpoint()?)?;
    let observer = InstanceId::from(reader.get_observer()?.to_str()?);
    Ok(AgedFinding { finding: Finding::Observed { observer, endpoint, state }, age_ms: reader.get_age_ms() })
}

fn read_suspicion(reader: suspicion::Reader<'_>) -> Result<AgedFinding> {
    let fingerprint = join_fingerprint(reader.get_fingerprint_high(), reader.get_fingerprint_low());
    let suspicion = Suspicion { fingerprint, endpoint: read_endpoint(reader.get_endpoint()?)? };
    Ok(AgedFinding { finding: Finding::Suspected(suspicion), age_ms: reader.get_age_ms() })
}

fn write_endpoint(endpoint: &EndpointId, mut builder: endpoint_id::Builder<'_>) {
    builder.set_instance(endpoint.instance.as_str());
    builder.set_incarnation(endpoint.incarnation.0);
}

fn read_endpoint(reader: endpoint_id::Reader<'_>) -> Result<EndpointId> {
    let instance = InstanceId::from(reader.get_instance()?.to_str()?);
    Ok(EndpointId { instance, incarnation: Incarnation(reader.get_incarnation()) })
}

fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn split_fingerprint(fingerprint: Fingerprint) -> (u64, u64) {
    ((fingerprint.0 >> 64) as u64, fingerprint.0 as u64)
}

fn join_fingerprint(high: u64, low: u64) -> Fingerprint {
    Fingerprint((u128::from(high) << 64) | u128::from(low))
}
