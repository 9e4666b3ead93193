"""Troubles of replicas and planned stops, injected while callers send."""

import asyncio
import signal
import time

from tests.site.fleet import RESTART_SECONDS
from tests.site.replica import CRASH_MARK

READY_SECONDS = 10


def choose(replicas, share, rng):
    """Return a random share of the replicas, at least one."""
    count = max(1, round(share * len(replicas)))
    return rng.sample(replicas, count)


def shards_of(play):
    return [r for r in play.fleet.replicas.values() if r.service != 'single']


def singles_of(play):
    return [r for r in play.fleet.replicas.values() if r.service == 'single']


async def set_for(replicas, mode, share, seconds):
    for replica in replicas:
        replica.set_mode(mode, share)
    await asyncio.sleep(seconds)
    for replica in replicas:
        replica.set_mode('ok')


async def slow_replicas(play, rng):
    """Let replicas of many services take several times as long."""
    chosen = choose(list(play.fleet.replicas.values()), 0.16, rng)
    slowness = rng.choice([5, 8.5])
    for replica in chosen:
        replica.slowness = slowness
    await asyncio.sleep(6.5)
    for replica in chosen:
        replica.slowness = 1


async def slow_singles(play, rng):
    """Let most replicas of single requests take far longer."""
    chosen = choose(singles_of(play), rng.choice([0.5, 1]), rng)
    for replica in chosen:
        replica.slowness = rng.choice([4, 8, 20])
    await asyncio.sleep(6.5)
    for replica in chosen:
        replica.slowness = 1


async def darken_replicas(play, rng):
    """Let replicas of many services go silent."""
    chosen = choose(list(play.fleet.replicas.values()), 0.14, rng)
    await set_for(chosen, 'dark', 1, 4.5)


async def darken_singles(play, rng):
    """Let many or all replicas of single requests go silent."""
    chosen = choose(singles_of(play), rng.choice([0.3, 0.6, 1]), rng)
    await set_for(chosen, rng.choice(['dark', 'hang']), 1, 6.5)


async def darken_shard(play, rng):
    """Let all replicas of a shard go silent."""
    shard = rng.choice(play.fleet.shards)
    chosen = [r for r in shards_of(play) if r.service == shard]
    await set_for(chosen, 'dark', 1, 4.5)


async def break_replicas(play, rng):
    """Let replicas fail a part of their requests."""
    chosen = choose(list(play.fleet.replicas.values()), 0.14, rng)
    mode = rng.choice(['shed', 'grey', 'hang', 'lose'])
    await set_for(chosen, mode, 0.45, 6.5)


async def lose_answers(play, rng):
    """Let replicas reset a few connections after the run."""
    chosen = choose(list(play.fleet.replicas.values()), 0.5, rng)
    await set_for(chosen, 'lose', rng.choice([0.03, 0.05]), 5.5)


async def crash_replicas(play, rng):
    """Take replicas down for some seconds."""
    chosen = choose(list(play.fleet.replicas.values()), 0.15, rng)
    await set_for(chosen, 'down', 1, 5)


async def rest_replicas(play, rng):
    """Let replicas refuse requests and ask for a rest."""
    chosen = choose(list(play.fleet.replicas.values()), 0.3, rng)
    await set_for(chosen, 'rest', rng.choice([0.1, 0.5, 1]), 6.5)


async def break_singles(play, rng):
    """Let the replicas of single requests refuse, and lose answers."""
    until = time.monotonic() + 6.5
    replicas = singles_of(play)
    while time.monotonic() < until:
        for replica in replicas:
            mode = rng.choice(['ok', 'shed', 'lose', 'lose', 'full'])
            replica.set_mode(mode, rng.uniform(0.3, 1))
        await asyncio.sleep(rng.uniform(0.1, 0.6))
    for replica in replicas:
        replica.set_mode('ok')


async def send_crashing(play, rng):
    """Send a request that crashes replicas again and again."""
    kind = rng.choice(play.fleet.site.kinds)
    path = f'{kind.prefix}{CRASH_MARK[1:]}{rng.randrange(10**9)}'
    tasks = []
    for _ in range(12):
        for _ in range(rng.choice([1, 1, 3])):
            coro = play.callers.send_path(kind, path)
            tasks.append(asyncio.create_task(coro))
        await asyncio.sleep(rng.uniform(0.2, 1.5))
    await asyncio.gather(*tasks)


async def hold_singles(play, rng):
    """Hold requests for seconds, then lose most answers."""
    singles = singles_of(play)
    held = choose(singles, rng.choice([0.6, 1]), rng)
    await set_for(held, 'dark', 1, rng.uniform(4.5, 8))
    await set_for(singles, 'lose', 0.9, 9)


async def press(play, rng):
    """Multiply the traffic."""
    play.callers.load *= 2.5
    await asyncio.sleep(5)
    play.callers.load /= 2.5


TROUBLES = (
    slow_replicas,
    slow_singles,
    darken_replicas,
    darken_singles,
    darken_shard,
    break_replicas,
    lose_answers,
    crash_replicas,
    press,
)
# Drawn only by name, so that a seed keeps its series of `TROUBLES`.
BUDGET_TROUBLES = (rest_replicas, break_singles, send_crashing)


async def stop_and_start(play, name):
    """Stop a gateway and start it again."""
    if name in play.restarting:
        return
    play.restarting.add(name)
    try:
        await play.fleet.stop_gateway(name)
        await asyncio.sleep(RESTART_SECONDS)
        play.fleet.spawn(name)
        await play.fleet.wait_until(
            lambda: play.fleet.is_ready(name), READY_SECONDS, name
        )
    finally:
        play.restarting.discard(name)


async def roll(play, rng):
    """Stop gateways in turn, one each second, and start them again."""
    names = rng.sample(play.fleet.names, len(play.fleet.names))
    tasks = []
    for name in names:
        tasks.append(asyncio.create_task(stop_and_start(play, name)))
        await asyncio.sleep(rng.choice([1.0, 1.3]))
    await asyncio.gather(*tasks)


async def stop_several(play, rng):
    """Stop most gateways at the same moment, and start them again."""
    count = rng.randint(2, len(play.fleet.names))
    names = rng.sample(play.fleet.names, count)
    await asyncio.gather(*(stop_and_start(play, name) for name in names))


async def kill_all(play, rng):
    """Kill all gateways at once and start them again."""
    names = [n for n in play.fleet.names if n not in play.restarting]
    play.restarting.update(names)
    play.fleet.disruptions.append(time.monotonic())
    for name in names:
        play.fleet.procs[name].send_signal(signal.SIGKILL)
        play.fleet.procs[name].wait()
    await asyncio.sleep(0.7)
    for name in names:
        play.fleet.spawn(name)
    for name in names:
        await play.fleet.wait_until(
            lambda name=name: play.fleet.is_ready(name), READY_SECONDS, name
        )
    play.fleet.disruptions.append(time.monotonic())
    play.restarting.difference_update(names)


STOPS = (roll, stop_several)
# Only injected where they are named.
NAMED_ONLY = (hold_singles, kill_all)
