//! Processing of batches of input lines into replies, for all instances of one process.

use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use garnetcrank_policy::api::{Action, Event, Micros};
use garnetcrank_settings::micros_from_ms;

use crate::error::ProtocolError;
use crate::instance::Instance;
use crate::protocol::{EndpointRow, Input, Output};

/// Instances of one process and the state of the open batch.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<u32, Instance>,
    endpoint_lists: HashMap<u32, Vec<EndpointRow>>,
    now: Micros,
    /// Serial number of the open batch; `None` between batches.
    open_batch: Option<u64>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Processes one line. Returns the reply to the batch if the line ends it, `None` otherwise.
    ///
    /// # Errors
    /// The line violates the protocol. The reply to the open batch must then not be written, not even in part.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, ProtocolError> {
        let input: Input = serde_json::from_str(line)?;
        if let Input::BatchBegin { now, serial } = input {
            self.begin_batch(now, serial)?;
            return Ok(None);
        }
        let Some(serial) = self.open_batch else {
            return Err(ProtocolError::OutsideBatch);
        };
        match input {
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
        self.now = micros_from_ms(now);
        self.open_batch = Some(serial);
        Ok(())
    }

    fn end_batch(&mut self, serial: u64) -> Result<String, ProtocolError> {
        self.open_batch = None;
        push_line(&mut self.reply, &Output::BatchDone { serial })?;
        Ok(std::mem::take(&mut self.reply))
    }

    fn handle_event(&mut self, input: Input) -> Result<(), ProtocolError> {
        let instance_number = input.instance();
        let Some(instance) = self.instances.get_mut(&instance_number) else {
            return Err(ProtocolError::UnknownInstance { instance: instance_number });
        };
        let Some(event) = instance.translate_event(input, &self.endpoint_lists)? else {
            return Ok(());
        };
        self.actions.clear();
        match run_policy(instance, self.now, event, &mut self.actions) {
            Ok(()) => {
                for action in &self.actions {
                    push_line(&mut self.reply, &instance.to_output(instance_number, action))?;
                }
                Ok(())
            }
            Err(panic) => push_line(
                &mut self.reply,
                &Output::Panicked { instance: instance_number, text: &panic.message },
            ),
        }
    }
}

/// Panic raised by the policy while it handled an event.
struct PolicyPanic {
    message: String,
}

/// Lets an instance's policy handle an event, and catches a panic.
fn run_policy(
    instance: &mut Instance,
    now: Micros,
    event: Event,
    actions: &mut Vec<Action>,
) -> Result<(), PolicyPanic> {
    let result = catch_unwind(AssertUnwindSafe(|| instance.policy.handle(now, event, actions)));
    result.map_err(|payload| PolicyPanic { message: panic_message(payload.as_ref()).to_owned() })
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message;
    }
    payload.downcast_ref::<&str>().copied().unwrap_or("panic without words")
}

fn push_line(reply: &mut String, output: &Output) -> Result<(), ProtocolError> {
    reply.push_str(&serde_json::to_string(output)?);
    reply.push('\n');
    Ok(())
}
