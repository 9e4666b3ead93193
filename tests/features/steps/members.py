from behave import given, then, when

from tests.properties import members as checks
from tests.support.peers_net import MembershipNet

CHECKS = {
    'incarnation': checks.check_older_incarnation,
    'heals': checks.check_heals,
    'split': lambda kind: checks.check_split(10, 60, kind),
}


@then('member updates merge to the same view in any order')
def step_merge(context):
    checks.check_merge_any_order()


@then('no member update overrides a newer incarnation or a leave')
def step_older(context):
    checks.check_older_incarnation()


@then('queued gossip stays within its byte limit')
def step_gossip(context):
    checks.check_piggyback()


@then('the member table stays within its limit')
def step_table(context):
    checks.check_table_bounded()


@then(
    'heartbeats of {count:d} members stay within their size while a third fails'
)
def step_sizes(context, count):
    checks.check_sizes(count, 120)


@then('{count:d} members detect the failure of a third within {seconds:d} s')
def step_loss(context, count, seconds):
    checks.check_loss(count, seconds)


@then('member views are correct within the recovery time')
def step_heals(context):
    checks.check_heals()


@then(
    '{count:d} members split for {seconds:d} s recover within the recovery time'
)
def step_split(context, count, seconds):
    checks.check_split(count, seconds)


@then('relay ranges cover every member once')
def step_relay(context):
    checks.check_relay_once()


@then('the member check "{check}" fails for "{variant}"')
def step_variant(context, check, variant):
    try:
        CHECKS[check](checks.VARIANTS[variant])
    except AssertionError:
        return
    raise RuntimeError(f'{check} passes for {variant}')


@then('a position reaches {count:d} members within {limit:d} s')
def step_spread(context, count, limit):
    # A partial view spreads a position no faster than a complete one.
    net = MembershipNet(count, view=64 if count > 300 else 0)
    seconds = net.spread(5, net.running()[:3], limit)
    assert seconds is not None


@given('{count:d} members with complete views')
def step_complete_views(context, count):
    context.net = MembershipNet(count)
    context.net.tick(10)


@when('a member has the fault "{fault}" at the step "{step}"')
def step_fault(context, fault, step):
    net = context.net
    name = net.running()[3]
    reach_step(net, name, step)
    if fault == 'kill':
        net.kill(name)
    elif fault == 'restart':
        net.start(name)
    elif fault == 'freeze':
        net.frozen.add(name)
    else:
        others = [other for other in net.nodes if other != name]
        net.cuts = {frozenset((name, other)) for other in others[::2]}
    net.tick(40)
    net.heal()


def reach_step(net, name, step):
    """Bring a member to a step of its lifecycle."""
    if step in ('start', 'join'):
        net.kill(name)
        net.tick(30)
        net.start(name)
        net.publish_list()
    if step in ('join', 'heartbeat'):
        net.tick_node(name)
    if step == 'pull':
        net.positions['node-0000'] = 7
        net.tick(1)
    if step == 'drain':
        net.nodes[name].leave(0)
        net.tick_node(name)


@when('the platform lists a killed member and omits a running one')
def step_list(context):
    net = context.net
    killed, omitted = net.running()[1:3]
    net.kill(killed)
    running = net.running
    net.running = lambda: (
        [name for name in running() if name != omitted] + [killed]
    )
    listed = net.running()
    net.publish_list()
    net.running = running
    assert killed in listed and omitted not in listed
    net.tick(10)


@then('every member view is correct within the recovery time')
def step_correct(context):
    net = context.net
    draining = {name for name in net.running() if net.nodes[name].me.state == 3}
    net.tick(net.recovery_seconds())
    for viewer, name in net.missing_pairs():
        assert name in draining, (viewer, name)
    assert not net.stale_pairs(), net.stale_pairs()
