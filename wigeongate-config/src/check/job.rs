//! Checks of a job specification before it is submitted.

use wigeongate_core::job::JobSpec;

use super::{Check, check_name, check_positive};
use crate::problem::{FieldPath, Problems};

impl Check for JobSpec {
    fn check(&self, problems: &mut Problems) {
        check_name(FieldPath::of("queue"), self.queue.as_str(), problems);
        check_positive(FieldPath::of("tasks"), self.tasks, problems);
        if self.minimum > self.tasks {
            let allowed = format!("at most the {} tasks of the job", self.tasks);
            problems.add_compared(FieldPath::of("minimum"), "tasks", self.minimum, allowed);
        }
    }
}
