"""Load the policy that is named in the settings."""

from importlib import import_module

from berylcart.coordination.policy.routing import DEFAULT_POLICY, Policy
from berylcart.state.errors import BerylcartError, Code


def load_policy(name: str) -> Policy:
    """Load a policy: "berylcart", or "MODULE:ATTRIBUTE" of another package.

    Raises BerylcartError with SETTINGS_INVALID.

    >>> load_policy("berylcart").is_hedging
    True
    """
    if name == DEFAULT_POLICY.name:
        return DEFAULT_POLICY
    module_name, _, attribute = name.partition(":")
    try:
        policy = getattr(import_module(module_name), attribute)
    except (ImportError, AttributeError, ValueError) as error:
        raise BerylcartError(
            Code.SETTINGS_INVALID, f"policy: cannot load {name!r}: {error}"
        ) from error
    if not isinstance(policy, Policy):
        raise BerylcartError(
            Code.SETTINGS_INVALID,
            f"policy: {name!r} is not an instance of Policy",
        )
    return policy
