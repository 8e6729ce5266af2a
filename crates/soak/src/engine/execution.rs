//! Runs one dispatch, and answers it as the engine's faults have it.

use super::Engine;
use super::message::message;
use crate::answers::rows;
use crate::history::DispatchEnd;
use crate::testbed::{Testbed, locked};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval of the progress messages about a running job.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// The execution of one dispatch.
pub(super) struct Execution {
    pub(super) engine: Arc<Engine>,
    pub(super) testbed: Arc<Testbed>,
    pub(super) gateway: usize,
    /// The engine's run that got the dispatch.
    pub(super) engine_run: u32,
    pub(super) id: String,
    /// Index of the dispatch in the history.
    pub(super) dispatch_index: usize,
    pub(super) cancelled: Arc<AtomicBool>,
    pub(super) answers: mpsc::UnboundedSender<Vec<u8>>,
}

impl Execution {
    /// Runs a job that typically takes this long on an idle engine. It takes longer if more jobs are in flight than the
    /// engine has threads, which are two for each core.
    pub(super) async fn run(self, work: Duration) {
        self.engine.wait_until_unblocked(self.gateway).await;
        if self.is_cancelled() {
            return;
        }
        if locked(&self.engine.state).job_failures.occurs() {
            return self.answer_failure();
        }
        let before = self.engine.inflight.fetch_add(1, SeqCst);
        let load = f64::from(before + 1) / (2.0 * self.testbed.schedule.cores);
        let mut left = work.mul_f64(load.max(1.0) * rand::rng().random_range(0.5..1.6));
        let total = left;
        while left > PROGRESS_INTERVAL {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
            left -= PROGRESS_INTERVAL;
            let share = 1.0 - left.as_secs_f64() / total.as_secs_f64();
            self.send(message(&self.id, "INFO", &format!("tell=advance,val={share:.2}"), ""));
        }
        tokio::time::sleep(left).await;
        self.engine.wait_until_unblocked(self.gateway).await;
        self.engine.inflight.fetch_sub(1, SeqCst);
        if self.is_cancelled() {
            return;
        }
        if locked(&self.engine.state).answer_corruption.occurs() {
            return self.answer_corrupt().await;
        }
        self.answer_result();
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(SeqCst) || self.engine.run() != self.engine_run
    }

    fn send(&self, bytes: Vec<u8>) {
        let _ = self.answers.send(bytes);
    }

    fn record_end(&self, end: DispatchEnd) {
        self.testbed.history.record_dispatch_end(self.dispatch_index, end);
    }

    fn result_message(&self) -> Vec<u8> {
        let rows = rows(&self.id, self.engine.index, self.engine_run);
        let fields = format!("sheets={},toil=20.0,room=64,meter=util:0.3", rows.len());
        message(&self.id, "HIT", &fields, &rows[0])
    }

    fn answer_result(&self) {
        self.record_end(DispatchEnd::Done);
        self.send(self.result_message());
    }

    /// Answers that the job was rejected or failed.
    fn answer_failure(&self) {
        let (word, end) = match rand::rng().random_range(0..4) {
            0 => ("SHED", DispatchEnd::Shed),
            1 => ("LATE", DispatchEnd::Late),
            _ => ("FAULT", DispatchEnd::Fault),
        };
        self.record_end(end);
        self.send(message(&self.id, word, "-", ""));
    }

    /// Answers in one of several ways that break the protocol or are slow.
    async fn answer_corrupt(&self) {
        let id = &self.id;
        let variant = rand::rng().random_range(0..8);
        match variant {
            0 => self.send(b"what is this\r\n".to_vec()),
            1 => self.send(format!("{id} HIT sheets=1 40\r\nhalf a row").into_bytes()),
            2 => self.send(format!("{id} HIT sheets=1 999999\r\n").into_bytes()),
            3 => {
                self.answer_result();
                self.send(self.result_message());
            }
            4 => {
                self.answer_result();
                tokio::time::sleep(Duration::from_millis(30)).await;
                self.send(self.result_message());
            }
            // Noise in the name of the field for the number of pages.
            5 => {
                let rows = rows(id, self.engine.index, self.engine_run);
                self.send(message(id, "HIT", &format!("sheetp={}", rows.len()), &rows[0]));
            }
            // Contradictory: progress, then the answer that the job never ran.
            6 => {
                self.send(message(id, "INFO", "tell=advance,val=0.70", ""));
                self.record_end(DispatchEnd::Fault);
                self.send(message(id, "LATE", "-", ""));
            }
            _ => {
                for byte in self.result_message() {
                    self.send(vec![byte]);
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                self.record_end(DispatchEnd::Done);
            }
        }
    }
}
