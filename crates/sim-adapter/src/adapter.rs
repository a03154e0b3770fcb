//! Batches of lines in, replies out, for all instances of one process.

use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use garnetcrank_policy::api::{Action, Event, Micros};
use garnetcrank_settings::micros;

use crate::error::ProtocolError;
use crate::instance::Instance;
use crate::protocol::{EndpointRow, Input, Output};

/// The instances of one process and the batch under way.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<u32, Instance>,
    endpoint_lists: HashMap<u32, Vec<EndpointRow>>,
    now: Micros,
    /// Serial number of the batch under way.
    open_batch: Option<u64>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Takes one line. Returns the reply to a batch with the batch's last line.
    ///
    /// # Errors
    /// The line breaks the protocol; nothing of the batch's reply is to be written then.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>, ProtocolError> {
        let line: Input = serde_json::from_str(text)?;
        if let Input::BatchBegin { now, serial } = line {
            self.begin_batch(now, serial)?;
            return Ok(None);
        }
        let Some(serial) = self.open_batch else {
            return Err(ProtocolError::OutsideBatch);
        };
        match line {
            Input::BatchEnd {} => return self.end_batch(serial).map(Some),
            Input::EndpointList { list_id, members } => {
                self.endpoint_lists.insert(list_id, members);
            }
            Input::StartInstance { instance, seed, config } => {
                self.instances.insert(instance, Instance::new(seed, *config));
            }
            Input::StopInstance { instance } => {
                self.instances.remove(&instance);
            }
            event => self.handle_event(event)?,
        }
        Ok(None)
    }

    fn begin_batch(&mut self, now: f64, serial: u64) -> Result<(), ProtocolError> {
        if let Some(open) = self.open_batch {
            return Err(ProtocolError::NestedBatch { serial, open });
        }
        self.now = micros(now);
        self.open_batch = Some(serial);
        Ok(())
    }

    fn end_batch(&mut self, serial: u64) -> Result<String, ProtocolError> {
        self.open_batch = None;
        push_line(&mut self.reply, &Output::BatchDone { serial })?;
        Ok(std::mem::take(&mut self.reply))
    }

    fn handle_event(&mut self, line: Input) -> Result<(), ProtocolError> {
        let number = line.instance();
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(ProtocolError::UnknownInstance { instance: number });
        };
        let Some(event) = instance.translate_event(line, &self.endpoint_lists)? else {
            return Ok(());
        };
        self.actions.clear();
        match run_policy(instance, self.now, event, &mut self.actions) {
            Ok(()) => {
                for action in &self.actions {
                    push_line(&mut self.reply, &instance.to_output(number, action))?;
                }
                Ok(())
            }
            Err(panic) => {
                push_line(&mut self.reply, &Output::Panicked { instance: number, text: &panic.message })
            }
        }
    }
}

/// A panic of the policy.
struct PolicyPanic {
    message: String,
}

/// Hands an event to an instance's policy.
fn run_policy(
    instance: &mut Instance,
    now: Micros,
    event: Event,
    actions: &mut Vec<Action>,
) -> Result<(), PolicyPanic> {
    let handled = catch_unwind(AssertUnwindSafe(|| instance.policy.handle(now, event, actions)));
    handled.map_err(|panic| PolicyPanic { message: panic_message(panic.as_ref()).to_owned() })
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text;
    }
    panic.downcast_ref::<&str>().copied().unwrap_or("panic without words")
}

fn push_line(reply: &mut String, line: &Output) -> Result<(), ProtocolError> {
    reply.push_str(&serde_json::to_string(line)?);
    reply.push('\n');
    Ok(())
}
