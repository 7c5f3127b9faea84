//! Accepts a record only if it builds on the version in force, so that every entry picks the same winner of a race.

use std::sync::Arc;

use super::{Action, Change, ChangeRecord, Configuration, Decision, Document, Event, PresetName, Refused};
use crate::duty::Duty;
use crate::ids::{ConfigVersion, LogOffset};
use crate::platform::{Record, Records};

/// Pause before the log is read again after a failure.
const RETRY_MS: u64 = 200;

/// The policy of configuration.
#[derive(Debug)]
pub struct Acceptance {
    current: Option<Arc<Configuration>>,
    next: LogOffset,
    started: bool,
}

impl Default for Acceptance {
    fn default() -> Self {
        Self { current: None, next: LogOffset(1), started: false }
    }
}

impl Acceptance {
    fn on_records(&mut self, records: &Records, actions: &mut Vec<Action>) {
        let before = self.version();
        for record in &records.records {
            self.on_record(record, actions);
        }
        self.next = self.next.max(records.next);
        if self.version() > before
            && let Some(current) = &self.current
        {
            actions.push(Action::Publish(Arc::clone(current)));
        }
    }

    fn on_record(&mut self, record: &Record, actions: &mut Vec<Action>) {
        let Ok(change) = serde_json::from_str::<ChangeRecord>(&record.data) else {
            return refuse(record.offset, None, Refused::Unreadable, actions);
        };
        let version = ConfigVersion(record.offset.0);
        match self.accept(version, &change) {
            Ok(Some(configuration)) => {
                actions.push(Action::Decide(Decision::Accepted {
                    version: configuration.version,
                    author: change.author,
                    preset: configuration.preset,
                }));
                self.current = Some(Arc::new(configuration));
            }
            Ok(None) => {}
            Err(reason) => refuse(record.offset, Some(change.author), reason, actions),
        }
    }

    fn accept(
        &self,
        version: ConfigVersion,
        record: &ChangeRecord,
    ) -> std::result::Result<Option<Configuration>, Refused> {
        if let Change::Restate { version, document, preset } = &record.change {
            if *version <= self.version() {
                return Ok(None);
            }
            return build(*version, document, *preset).map(Some);
        }
        if record.base != self.version() {
            return Err(Refused::Raced { base: record.base, current: self.version() });
        }
        match &record.change {
            Change::Document(text) => {
                let preset = self.current.as_ref().map(|current| current.preset).unwrap_or_default();
                build(version, text, preset).map(Some)
            }
            Change::Preset(preset) => match &self.current {
                Some(current) => {
                    Ok(Some(Configuration { version, document: current.document.clone(), preset: *preset }))
                }
                None => Err(Refused::Unreadable),
            },
            Change::Restate { .. } => Ok(None),
        }
    }

    fn version(&self) -> ConfigVersion {
        self.current.as_ref().map(|current| current.version).unwrap_or_default()
    }
}

impl Duty for Acceptance {
    type Event = Event;
    type Action = Action;

    fn on_event(&mut self, _now_us: u64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Read(Some(records)) => {
                self.on_records(&records, actions);
                actions.push(Action::Read { from: self.next, after_ms: 0 });
            }
            Event::Read(None) => actions.push(Action::Read { from: self.next, after_ms: RETRY_MS }),
        }
    }

    fn next_timer_us(&self) -> Option<u64> {
        (!self.started).then_some(0)
    }

    fn on_timer(&mut self, _now_us: u64, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.started, true) {
            actions.push(Action::Read { from: self.next, after_ms: 0 });
        }
    }
}

fn build(
    version: ConfigVersion,
    text: &str,
    preset: PresetName,
) -> std::result::Result<Configuration, Refused> {
    let document = Document::parse(text).map_err(Refused::Document)?;
    Ok(Configuration { version, document, preset })
}

fn refuse(offset: LogOffset, author: Option<String>, reason: Refused, actions: &mut Vec<Action>) {
    actions.push(Action::Decide(Decision::Refused { offset, author, reason }));
}
