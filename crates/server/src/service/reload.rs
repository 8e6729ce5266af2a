//! A new configuration while the program runs: the event bus moves to its new address, all else stays as it
//! was at the start. `known` is not read again, since the numbers of the events carry on.

use super::bus::Bus;
use super::config::Config;
use pebblevane_door::Told;

/// A configuration that can't be used changes nothing.
pub fn reload(config: &mut Config, told: Told<Config>, bus: &Bus) {
    let new = match told {
        Ok(new) => new,
        Err(why) => return tracing::warn!("reload: the old configuration stays: {why}"),
    };
    let left = [
        ("name", new.name != config.name),
        ("listen", new.listen != config.listen),
        ("limits", new.limits != config.limits),
        ("settings", new.settings.0 != config.settings.0),
    ];
    for (field, _) in left.iter().filter(|(_, changed)| *changed) {
        tracing::warn!("reload: field {field} has changed, which takes effect at the next start only");
    }
    tracing::info!("reload: the event bus is at {}", new.bus);
    bus.move_to(new.bus);
    config.bus = new.bus;
}
