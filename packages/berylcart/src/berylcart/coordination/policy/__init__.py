"""Route attempts, admit requests and limit retries and hedges."""

from berylcart.coordination.policy.admission_table import AdmissionTable
from berylcart.coordination.policy.routing import (
    DEFAULT_POLICY,
    Policy,
    Router,
)
from berylcart.coordination.policy.stage_policy import (
    PolicyParts,
    StagePolicy,
)
from berylcart.coordination.policy.vm_directory import VmDirectory

__all__ = [
    "DEFAULT_POLICY",
    "AdmissionTable",
    "Policy",
    "PolicyParts",
    "Router",
    "StagePolicy",
    "VmDirectory",
]
