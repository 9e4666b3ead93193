from behave import given, then, when

from tests.properties import members as checks
from tests.support.peers_net import MembershipNet

CHECKS = {
    'incarnation': checks.check_older_incarnation,
    'heals': checks.check_heals,
    'split': lambda kind: checks.check_split(10, 60, kind),
}


@then('member updates merge alike in any order')
def step_merge(context):
    checks.check_merge_any_order()


@then('no member update undoes a newer incarnation or a leave')
def step_older(context):
    checks.check_older_incarnation()


@then('member hearsay keeps to its bytes')
def step_hearsay(context):
    checks.check_piggyback()


@then('the member table keeps to its limit')
def step_table(context):
    checks.check_table_bounded()


@then(
    'heartbeats of {count:d} members keep to their bytes while a third is lost'
)
def step_sizes(context, count):
    checks.check_sizes(count, 120)


@then('{count:d} members of which a third is lost see it within {bound:d} s')
def step_loss(context, count, bound):
    checks.check_loss(count, bound)


@then('member views heal within the bound')
def step_heals(context):
    checks.check_heals()


@then('{count:d} members split for {seconds:d} s heal within the bound')
def step_split(context, count, seconds):
    checks.check_split(count, seconds)


@then('relay ranges cover every member')
def step_relay(context):
    checks.check_relay_once()


@then('the member check "{check}" fails for "{variant}"')
def step_variant(context, check, variant):
    try:
        CHECKS[check](checks.VARIANTS[variant])
    except AssertionError:
        return
    raise RuntimeError(f'{check} passes for {variant}')


@then('a position spreads over {count:d} members within {bound:d} s')
def step_spread(context, count, bound):
    # A view of few members spreads no faster than a whole one.
    net = MembershipNet(count, view=64 if count > 300 else 0)
    seconds = net.spread(5, net.running()[:3], bound)
    assert seconds is not None


@given('{count:d} members that know each other')
def step_known(context, count):
    context.net = MembershipNet(count)
    context.net.tick(10)


@when('a member meets "{fault}" at "{step}"')
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
        others = [one for one in net.nodes if one != name]
        net.cuts = {frozenset((name, other)) for other in others[::2]}
    net.tick(40)
    net.heal()


def reach_step(net, name, step):
    """Bring one member to a step of its life."""
    if step in ('start', 'join'):
        net.kill(name)
        net.tick(30)
        net.start(name)
        net.publish_list()
    if step in ('join', 'heartbeat'):
        net.tick_one(name)
    if step == 'pull':
        net.positions['node-0000'] = 7
        net.tick(1)
    if step == 'drain':
        net.nodes[name].leave(0)
        net.tick_one(name)


@when('the platform lists a member that is gone and omits one that runs')
def step_list(context):
    net = context.net
    gone, omitted = net.running()[1:3]
    net.kill(gone)
    running = net.running
    net.running = lambda: [one for one in running() if one != omitted] + [gone]
    listed = net.running()
    net.publish_list()
    net.running = running
    assert gone in listed and omitted not in listed
    net.tick(10)


@then('every member view is right within the bound')
def step_right(context):
    net = context.net
    draining = {name for name in net.running() if net.nodes[name].me.state == 3}
    net.tick(net.bound())
    for viewer, name in net.missing_pairs():
        assert name in draining, (viewer, name)
    assert not net.stale_pairs(), net.stale_pairs()
