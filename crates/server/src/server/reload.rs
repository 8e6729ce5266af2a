//! A new configuration while the program runs: the event bus moves to its new address, all else stays as it
//! was at the start. `known` is not read again, since the numbers of the events carry on.

use crate::config::Config;
use crate::discovery::event_bus::EventBusFollower;
use pebblevane_adapter_common::FieldResult;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A file that can't be used may still be being written: it is read again at this pace, for so long.
const AGAIN: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(2);

pub struct ConfigReloader {
    config: Config,
    bus: Arc<EventBusFollower>,
    /// Since when, and why, the file can't be used.
    odd: Option<(Instant, String)>,
}

impl ConfigReloader {
    pub fn new(config: Config, bus: Arc<EventBusFollower>) -> ConfigReloader {
        ConfigReloader { config, bus, odd: None }
    }

    /// The pause before the file is to be read again, if it is.
    pub fn again(&self) -> Option<Duration> {
        self.odd.as_ref().map(|_| AGAIN)
    }

    /// The file is to be read, from now on until it can be used.
    pub fn begin(&mut self, told: FieldResult<Config>) {
        self.odd = None;
        self.read(told);
    }

    /// Takes over what was read. A configuration that can't be used changes nothing.
    pub fn read(&mut self, told: FieldResult<Config>) {
        match told {
            Ok(new) => {
                self.odd = None;
                self.take_over(new);
            }
            Err(why) => {
                let (since, known) =
                    self.odd.take().map_or((Instant::now(), None), |(at, why)| (at, Some(why)));
                if known.as_ref() != Some(&why) {
                    tracing::warn!(reason = %why, "configuration reload failed, keeping the previous one");
                }
                self.odd = Some((since, why)).filter(|_| since.elapsed() < PATIENCE);
            }
        }
    }

    fn take_over(&mut self, new: Config) {
        let config = &mut self.config;
        let left = [
            ("name", new.name != config.name),
            ("listen", new.listen != config.listen),
            ("limits", new.limits != config.limits),
            ("settings", new.settings.0 != config.settings.0),
        ];
        for (field, _) in left.iter().filter(|(_, changed)| *changed) {
            tracing::warn!(field, "changed setting takes effect at the next start");
        }
        tracing::info!(event_bus = %new.event_bus, "configuration reloaded");
        self.bus.move_to(new.event_bus);
        config.event_bus = new.event_bus;
    }
}
