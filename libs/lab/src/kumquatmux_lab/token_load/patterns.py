"""Load patterns: what callers do, and what fails meanwhile."""

from __future__ import annotations

from kumquatmux_lab.token_load.model import LoadModel, LoadSettings


def arrivals(model: LoadModel, load: float, since: float, until: float) -> None:
    """Add requests at random times, at a share of what the servers can do."""
    settings = model.settings
    slots = sum(settings.servers) * settings.slots
    zones = len(settings.servers)
    now = since
    while True:
        now += model.random.expovariate(load * slots / settings.work_s)
        if now >= until:
            return
        model.ask(model.random.randrange(zones), now)


def class_arrivals(
    model: LoadModel, kind: int, load: float, since: float, until: float
) -> None:
    """Add requests of one class at random times, at a share of what servers can do."""
    settings = model.settings
    slots = sum(settings.servers) * settings.slots
    zones = len(settings.servers)
    work_s = settings.request_classes()[kind].work_s
    now = since
    while (now := now + model.random.expovariate(load * slots / work_s)) < until:
        model.ask(model.random.randrange(zones), now, kind=kind)


def start_all(model: LoadModel, at: float, fed_at: float) -> None:
    """Start all entry VMs at a time; later they learn the document and the servers."""
    for zone in range(len(model.settings.servers)):
        for vm in model.vm_names(zone):
            model.at(at + model.random.uniform(0.0, 0.1), model.start_vm, zone, vm)
        model.at(fed_at + model.random.uniform(0.0, 0.05), model.feed, zone)


def loss_of_power(
    seed: int,
    load: float = 0.3,
    dark_s: float = 1.5,
    settings: LoadSettings | None = None,
) -> LoadModel:
    """Play the time after all VMs of the system lost power, for two seconds and more.

    At 2 s every entry VM is down; at ``2 + dark_s`` all start, and 0.4 s later they
    know the servers. Requests of the dark time come again with the new ones.
    """
    model = LoadModel(settings or LoadSettings(), seed)
    back_at = 2.0 + dark_s
    arrivals(model, load, 2.0, back_at + 4.0)
    start_all(model, back_at, back_at + 0.4)
    model.run(back_at + 8.0)
    return model


def crest(
    seed: int,
    load: float = 1.3,
    for_s: float = 3.0,
    settings: LoadSettings | None = None,
) -> LoadModel:
    """Play a swing of demand beyond what the servers can do, between calm seconds."""
    model = LoadModel(settings or LoadSettings(), seed)
    start_all(model, 0.0, 0.3)
    arrivals(model, 0.4, 1.0, 2.0)
    arrivals(model, load, 2.0, 2.0 + for_s)
    arrivals(model, 0.4, 2.0 + for_s, 5.0 + for_s)
    model.run(10.0 + for_s)
    return model


BURST_STARTS_AT_S = 1.5
"""When the burst of a class begins, after half a second of the base load alone."""


def class_burst(
    seed: int,
    settings: LoadSettings,
    base_loads: tuple[float, ...],
    burst_kind: int,
    for_s: float = 3.0,
    burst_load: float = 2.0,
) -> LoadModel:
    """Return a model with a burst of one class over a base load of all, not yet run.

    Args:
        seed: Seed of the random numbers.
        settings: Size and figures of the model.
        base_loads: Share of what the servers can do, by class.
        burst_kind: Number of the class that bursts.
        for_s: Seconds of the burst.
        burst_load: Load of the burst, as such a share.
    """
    model = LoadModel(settings, seed)
    start_all(model, 0.0, 0.3)
    burst_ends_at = BURST_STARTS_AT_S + for_s
    for kind, load in enumerate(base_loads):
        class_arrivals(model, kind, load, 1.0, burst_ends_at + 1.0)
    class_arrivals(model, burst_kind, burst_load, BURST_STARTS_AT_S, burst_ends_at)
    return model
