"""Check which replicas the policies of several daemons choose."""

from ..gateway_fakes import SERVICE, STREAM, make_keeper, make_policy
from ..serving_fakes import outcome

DAEMONS = 20


def first_choices(affinity):
    """Return the replicas that daemons choose for their first request."""

    async def choose():
        chosen = set()
        for seed in range(DAEMONS):
            policy = make_policy(make_keeper(STREAM))
            policy.random.seed(seed)
            chosen.add(policy.choose(SERVICE, affinity, set(), None).vm_id)
        return chosen

    return outcome(choose)


def test_first_requests_of_a_prefix_do_not_scatter_over_replicas():
    choices = [first_choices(f"prefix-{number}") for number in range(10)]
    assert [len(each) for each in choices] == [1] * 10
    assert set().union(*choices) == {"v1", "v2", "v3"}


def test_first_requests_without_a_prefix_do_not_share_one_replica():
    assert first_choices("") == {"v1", "v2", "v3"}
