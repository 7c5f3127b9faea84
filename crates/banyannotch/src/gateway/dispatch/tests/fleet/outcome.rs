//! Figures of a run.

use super::OBJECTIVE_MS;

/// Counts of the requests of one class that arrived in the measured time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub arrived: u64,
    /// Requests whose answer began within the objective.
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub classes: Vec<Counts>,
    /// First attempts at gateways that lost their links to the engines.
    pub cut_first_tries: Counts,
    /// First attempts at the other gateways.
    pub other_first_tries: Counts,
    pub sends: u64,
    /// Sends whose path uses engines outside the gateway's zone.
    pub foreign_sends: u64,
    pub rejections: u64,
    /// Calls that were handed on to another gateway.
    pub handoffs: u64,
    pub preemptions: u64,
    /// Share of the processed prompt tokens that were processed again.
    pub reprocessed_share: f64,
    pub mean_utilization: f64,
    pub busiest_over_mean: f64,
    /// Mean utilization of the engines with each factor on the time of a pass.
    pub utilization_by_speed: Vec<(f64, f64)>,
    /// Mean time to the first event, in milliseconds.
    pub mean_first_ms: f64,
    /// Mean time of an answer, in milliseconds.
    pub mean_answer_ms: f64,
}

impl Counts {
    /// Counts an answer that began after the given time.
    pub fn record_answer(&mut self, first_ms: u64) {
        if first_ms <= OBJECTIVE_MS {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    /// Share of the requests whose answer began.
    pub fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.arrived.max(1) as f64
    }
}

impl Outcome {
    pub fn total(&self) -> Counts {
        let add = |sum: Counts, counts: &Counts| Counts {
            arrived: sum.arrived + counts.arrived,
            in_time: sum.in_time + counts.in_time,
            late: sum.late + counts.late,
            refused: sum.refused + counts.refused,
        };
        self.classes.iter().fold(Counts::default(), add)
    }

    pub fn line(&self) -> String {
        let total = self.total();
        format!(
            "busiest {:.2} of mean {:.2}, arrived {}, in time {}, late {}, refused {}, sends {}, foreign {}, \
             rejected {}, preempted {}, reprocessed {:.3}, first {:.0} ms, answer {:.0} ms, by speed {:.2?}",
            self.busiest_over_mean,
            self.mean_utilization,
            total.arrived,
            total.in_time,
            total.late,
            total.refused,
            self.sends,
            self.foreign_sends,
            self.rejections,
            self.preemptions,
            self.reprocessed_share,
            self.mean_first_ms,
            self.mean_answer_ms,
            self.utilization_by_speed,
        )
    }
}
