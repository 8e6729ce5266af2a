//! What the trace tests share: a small deployment and a printer of decisions.

use pebblevane::interface::*;
use pebblevane::logic::Logic;
use std::fmt::Write;

pub const LOOKUP: usize = 0;
pub const POST: usize = 1;
pub const KEYED: usize = 2;
pub const ORDERED: usize = 3;
pub const PLACED: usize = 4;
pub const LOAD: usize = 5;

pub struct Desk {
    pub logic: Logic,
    pub now: f64,
    pub trace: String,
    /// What probes tell of an engine's jobs in hand; none are answered without.
    pub told: Vec<f64>,
    pub field: &'static str,
    /// How long a probe takes there.
    pub probe_ms: Vec<f64>,
    asked: Vec<EngineId>,
    pub sent: Vec<(f64, u32)>,
    jobs: u32,
}

pub fn settings(more: &[(&str, f64)]) -> Settings {
    let mut all = Settings::default();
    let mut set = |name: String, value: Value| drop(all.0.insert(name, value));
    for (i, effect) in
        ["read_like", "non_idempotent", "idempotency_key", "read_like", "read_like", "non_idempotent"]
            .iter()
            .enumerate()
    {
        for (name, value) in [("Aim", 1000.0), ("Worth", 1.0), ("DedupWindow", 2000.0)] {
            set(format!("Classes.{i}.{name}"), Value::Number(value));
        }
        set(format!("Classes.{i}.Semantics"), Value::Text(effect.to_string()));
        set(format!("Classes.{i}.Group"), Value::Text("zone".to_string()));
        set(format!("Classes.{i}.ByArrival"), Value::Flag(i == ORDERED));
        set(format!("Extra.ClassThreads.{i}"), Value::Number(1.0));
        set(format!("Extra.IsLoad.{i}"), Value::Flag(i == LOAD));
        set(format!("Extra.WaitsForLoads.{i}"), Value::Flag(i == LOOKUP));
    }
    set(format!("Classes.{PLACED}.ConfinedTo.0"), Value::Number(1.0));
    set("Extra.CpuOfKind.0".to_string(), Value::Number(8.0));
    set("Ceilings.Cancelling".to_string(), Value::Flag(true));
    set("Report.Names.0".to_string(), Value::Text("concurrent".to_string()));
    for (name, value) in [("Balancers", 2.0), ("Tick", 5.0), ("Ceilings.TryLimit", 4.0)].iter().chain(more) {
        let flag = ["Extra.GrantsCount", "Ceilings.Probes"].contains(name);
        set(name.to_string(), if flag { Value::Flag(*value > 0.0) } else { Value::Number(*value) });
    }
    all
}

pub fn engine(number: u32, stage: Stage, ready_at: Option<f64>) -> Listing {
    Listing {
        engine: EngineId(number),
        name: format!("engine-{number}"),
        location: number as usize % 2,
        stage,
        ready_at: ready_at.map(Moment::from_ms),
        capacity_hint: 1.0,
        ..Listing::default()
    }
}

impl Desk {
    pub fn new(more: &[(&str, f64)], engines: u32) -> Desk {
        let ordinal = more.iter().find(|(name, _)| *name == "Ordinal").map_or(0.0, |(_, ordinal)| *ordinal);
        let logic = Logic::new(Moment::from_ms(0.0), 7 + ordinal as u64, settings(more));
        let mut desk = Desk {
            logic,
            now: 0.0,
            trace: String::new(),
            told: vec![],
            field: "concurrent",
            probe_ms: vec![],
            asked: vec![],
            sent: vec![],
            jobs: 0,
        };
        desk.list(true, (0..engines).map(|i| engine(i, Stage::Running, None)).collect());
        desk
    }
    fn note(&mut self, what: &str, decided: Decided) {
        let mut parts: Vec<String> = Vec::new();
        parts.extend(decided.recalls.iter().map(|(job, copy)| format!("recall {}.{copy}", job.0)));
        parts.extend(decided.answers.iter().map(|(job, answer)| match answer {
            Answer::Throttled(_) => format!("throttle {}", job.0),
            Answer::Cancelled => format!("cancel {}", job.0),
        }));
        parts.extend(decided.dispatches.iter().map(|d| {
            let granted = d.terms.map(|terms| format!(" with {} MB", terms.grant_mb)).unwrap_or_default();
            format!("send {} to {}{granted}", d.job.0, d.engine.0)
        }));
        parts.extend(decided.probes.iter().map(|engine| format!("probe {}", engine.0)));
        self.sent.extend(decided.dispatches.iter().map(|dispatch| (self.now, dispatch.engine.0)));
        self.asked.extend(&decided.probes);
        if !what.is_empty() || !parts.is_empty() {
            let line = format!("{:<5} {what}: {}", self.now, parts.join(", "));
            writeln!(self.trace, "{}", line.trim_end()).unwrap();
        }
    }
    fn moment(&self) -> Moment {
        Moment::from_ms(self.now)
    }
    pub fn list(&mut self, complete: bool, listings: Vec<Listing>) {
        let what: Vec<String> = listings.iter().map(|l| format!("{} {:?}", l.engine.0, l.stage)).collect();
        let decided = self.logic.engines_changed(self.moment(), complete, listings);
        self.note(&format!("list [{}]", what.join(", ")), decided);
    }
    pub fn take(&mut self, reservation: usize, group: u64, key: Option<u64>) -> u32 {
        let id = self.jobs;
        self.jobs += 1;
        let job = Job {
            reservation,
            group,
            key,
            left: Span::from_ms(4000.0),
            cost: Some(Span::from_ms(100.0)),
            memory_mb: Some(200.0),
            ..Job::default()
        };
        let decided = self.logic.take(self.moment(), JobId(id), job);
        self.note(&format!("take {id}"), decided);
        id
    }
    pub fn settle(&mut self, job: u32, copy: u32, verdict: Verdict, took: f64) {
        let outcome = Outcome {
            verdict,
            took: Span::from_ms(took),
            over: verdict == Verdict::Done,
            bill: None,
            report: Report::new(),
        };
        let decided = self.logic.settle(self.moment(), JobId(job), copy, outcome);
        self.note(&format!("{verdict:?} {job}.{copy}"), decided);
    }
    pub fn note_on(&mut self, job: u32, copy: u32, note: Note) {
        let decided = self.logic.progress(self.moment(), JobId(job), copy, note);
        self.note(&format!("{note:?} {job}.{copy}"), decided);
    }
    pub fn stop(&mut self, within: f64) {
        let decided = self.logic.stopping(self.moment(), Moment::from_ms(self.now + within));
        self.note("stopping", decided);
    }
    /// Lets time pass, waking the module every five milliseconds as the clock would.
    pub fn pass(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 5.0;
            let decided = self.logic.wake(self.moment());
            self.note("", decided);
            for engine in std::mem::take(&mut self.asked) {
                let Some(jobs) = self.told.get(engine.0 as usize).copied() else { continue };
                let took = Span::from_ms(self.probe_ms.get(engine.0 as usize).copied().unwrap_or(1.0));
                let report = vec![(self.field.to_string(), jobs)];
                let outcome = Outcome { verdict: Verdict::Done, took, over: false, bill: None, report };
                let decided = self.logic.probed(self.moment(), engine, outcome);
                self.note(&format!("told {}: {jobs}", engine.0), decided);
            }
        }
    }
}
