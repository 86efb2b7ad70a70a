//! The targets that may run one request.
//!
//! A target counts from the moment at which the request is sent to it, so that attempts in progress
//! count as well. Only the target's own refusal, or a connection that had ended before, shows that
//! a send does not run.

use super::target_state::TargetInstance;

/// Instances of targets that may run one request, in the order in which it was sent to them.
#[derive(Debug, Default)]
pub struct RunTargets {
    sends: Vec<InstanceSends>,
}

#[derive(Debug)]
struct InstanceSends {
    instance: TargetInstance,
    /// Number of sends that may run.
    count: usize,
}

impl RunTargets {
    /// Records that the request is sent to an instance.
    pub fn record_sent(&mut self, instance: &TargetInstance) {
        match self.sends.iter_mut().find(|sends| sends.instance == *instance) {
            Some(sends) => sends.count += 1,
            None => self.sends.push(InstanceSends { instance: instance.clone(), count: 1 }),
        }
    }

    /// Records that one of the sends to an instance has not run and never will.
    pub fn record_not_run(&mut self, instance: &TargetInstance) {
        if let Some(sends) = self.sends.iter_mut().find(|sends| sends.instance == *instance) {
            sends.count -= 1;
        }
        self.sends.retain(|sends| sends.count > 0);
    }

    /// Number of instances that may run the request.
    #[must_use]
    pub fn count(&self) -> usize {
        self.sends.len()
    }

    /// Returns the instances that may run the request.
    pub fn iter(&self) -> impl Iterator<Item = &TargetInstance> {
        self.sends.iter().map(|sends| &sends.instance)
    }
}
