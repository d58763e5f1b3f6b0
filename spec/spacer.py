"""Verify small transition systems with Spacer; print counterexamples."""

import sys
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

import z3

MAX_TRACE_STEPS = 24
PROOF_TIMEOUT_MS = 120_000

State = dict[str, Any]
Step = Callable[[State], tuple[Any, State]]


class System(NamedTuple):
    """Define the variables, initial state, steps and bad states.

    A step maps a state to its guard and the new values of the variables that
    it changes.
    """

    variables: dict[str, Any]
    initial: State
    steps: dict[str, Step]
    bad: Callable[[State], Any]


Build = Callable[[Collection[str]], System]


def make_state(system: System, suffix: str) -> State:
    """Create one constant per variable."""
    return {
        name: z3.Const(f"{name}{suffix}", sort)
        for name, sort in system.variables.items()
    }


def apply_step(step: Step, before: State, after: State) -> Any:
    """Return the formula that a step leads from one state to another."""
    guard, changes = step(before)
    frame = {**before, **changes}
    return z3.And(guard, *[after[name] == frame[name] for name in after])


def is_initial(system: System, state: State) -> Any:
    """Return the formula that a state is the initial one."""
    return z3.And(
        *[state[name] == value for name, value in system.initial.items()]
    )


def is_proved(system: System) -> bool:
    """Return whether no bad state is reachable in any number of steps."""
    before, after = make_state(system, ""), make_state(system, "'")
    reachable = z3.Function(
        "reached", *system.variables.values(), z3.BoolSort()
    )
    engine = z3.Fixedpoint()
    engine.set(engine="spacer", timeout=PROOF_TIMEOUT_MS)
    engine.register_relation(reachable)
    engine.declare_var(*before.values(), *after.values())
    engine.rule(reachable(*before.values()), is_initial(system, before))
    for step in system.steps.values():
        engine.rule(
            reachable(*after.values()),
            [reachable(*before.values()), apply_step(step, before, after)],
        )
    result = engine.query(reachable(*before.values()), system.bad(before))
    return bool(result == z3.unsat)


def find_trace(system: System) -> list[tuple[str, State]] | None:
    """Find a shortest trace to a bad state within MAX_TRACE_STEPS."""
    solver = z3.Solver()
    states = [make_state(system, "@0")]
    solver.add(is_initial(system, states[0]))
    choices: list[Any] = []
    for depth in range(MAX_TRACE_STEPS + 1):
        if solver.check(system.bad(states[-1])) == z3.sat:
            return read_trace(system, solver.model(), states, choices)
        states.append(make_state(system, f"@{depth + 1}"))
        choices.append(z3.Int(f"step@{depth}"))
        options = [
            z3.And(
                choices[-1] == index, apply_step(step, states[-2], states[-1])
            )
            for index, step in enumerate(system.steps.values())
        ]
        solver.add(z3.Or(*options))
    return None


def read_trace(
    system: System, model: Any, states: list[State], choices: list[Any]
) -> list[tuple[str, State]]:
    """Extract the steps of a model and the variables that each changed."""
    names = list(system.steps)
    trace = []
    for index, choice in enumerate(choices):
        changes = {}
        for name in system.variables:
            old = model.eval(states[index][name], model_completion=True)
            new = model.eval(states[index + 1][name], model_completion=True)
            if not old.eq(new):
                changes[name] = new
        trace.append((names[model.eval(choice).as_long()], changes))
    return trace


def write_line(text: str) -> None:
    """Write one line."""
    sys.stdout.write(f"{text}\n")


def print_trace(trace: list[tuple[str, State]]) -> None:
    """Print a trace, one step per line."""
    for number, (name, changes) in enumerate(trace, 1):
        listed = " ".join(f"{key}={new}" for key, new in changes.items())
        write_line(f"  {number:2} {name:24} {listed}")


def check(title: str, build: Build, guards: Collection[str]) -> int:
    """Verify a system, and refute it without each guard; 0 on success."""
    failures = 0
    if is_proved(build(frozenset())):
        write_line(f"{title}: proved, no bound on steps")
    else:
        write_line(f"{title}: NOT PROVED")
        trace = find_trace(build(frozenset()))
        print_trace(trace or [])
        failures += 1
    for guard in guards:
        trace = find_trace(build(frozenset([guard])))
        if trace is None:
            write_line(f"{title} without {guard}: NO COUNTEREXAMPLE")
            failures += 1
            continue
        write_line(f"{title} without {guard}: broken in {len(trace)} steps")
        print_trace(trace)
    return 1 if failures else 0
